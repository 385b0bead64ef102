#include "backend/connection.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

#include "common/position.h"
#include "common/sqlstate.h"
#include "wire/encoder.h"

namespace valvekeel::backend {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::posix::stream_descriptor;
using common::IsOk;
using common::ValueOf;
using pool::Statement;

constexpr std::size_t kProbeColumns = 4;
constexpr const char* kProbeStatementName = "valvekeel_probe";

/// Drops notices, which libpq would print to stderr.
void IgnoreNotice(void* /*context*/, const PGresult* /*result*/) {}

std::string ResultField(const PGresult* result, int field) {
  const char* text = PQresultErrorField(result, field);
  return text == nullptr ? "" : text;
}

/// Uses the internal-error SQLSTATE and libpq's message if the result has no SQLSTATE.
wire::ErrorFields ReadError(const PGresult* result) {
  wire::ErrorFields fields;
  fields.sqlstate = ResultField(result, PG_DIAG_SQLSTATE);
  fields.message = ResultField(result, PG_DIAG_MESSAGE_PRIMARY);
  fields.detail = ResultField(result, PG_DIAG_MESSAGE_DETAIL);
  if (fields.sqlstate.empty()) {
    fields.sqlstate = std::string(common::kInternalError);
    fields.message = PQresultErrorMessage(result);
  }
  return fields;
}

std::vector<wire::ColumnDescription> ReadColumns(const PGresult* result) {
  std::vector<wire::ColumnDescription> columns;
  for (int i = 0; i < PQnfields(result); ++i) {
    wire::ColumnDescription column;
    column.name = PQfname(result, i);
    column.table = PQftable(result, i);
    column.attribute = static_cast<std::int16_t>(PQftablecol(result, i));
    column.type = PQftype(result, i);
    column.type_size = static_cast<std::int16_t>(PQfsize(result, i));
    column.type_modifier = PQfmod(result, i);
    column.format = static_cast<wire::FormatCode>(PQfformat(result, i));
    columns.push_back(std::move(column));
  }
  return columns;
}

std::vector<wire::WireValue> ReadRow(const PGresult* result, int row) {
  std::vector<wire::WireValue> values;
  for (int i = 0; i < PQnfields(result); ++i) {
    if (PQgetisnull(result, row, i) != 0) {
      values.emplace_back(std::nullopt);
    } else {
      const auto length = static_cast<std::size_t>(PQgetlength(result, row, i));
      values.emplace_back(std::string(PQgetvalue(result, row, i), length));
    }
  }
  return values;
}

void AppendRows(const PGresult* result, bool keep_values, CommandResult& out) {
  wire::Encoder description;
  description.RowDescription(ReadColumns(result));
  out.answer.description = description.Take();
  wire::Encoder rows;
  for (int row = 0; row < PQntuples(result); ++row) {
    std::vector<wire::WireValue> values = ReadRow(result, row);
    rows.DataRow(values);
    if (keep_values) {
      out.values.push_back(std::move(values));
    }
  }
  rows.CommandComplete(PQcmdStatus(const_cast<PGresult*>(result)));
  out.answer.rows = rows.Take();
}

void AppendDescription(const PGresult* result, CommandResult& out) {
  wire::Encoder encoder;
  std::vector<wire::TypeId> types;
  for (int i = 0; i < PQnparams(result); ++i) {
    types.push_back(PQparamtype(result, i));
  }
  encoder.ParameterDescription(types);
  if (PQnfields(result) > 0) {
    encoder.RowDescription(ReadColumns(result));
  } else {
    encoder.NoData();
  }
  out.answer.description = encoder.Take();
}

CommandResult ReadResult(const PGresult* result, const Statement& statement, bool keep_values) {
  CommandResult out;
  switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_SINGLE_TUPLE:
      AppendRows(result, keep_values, out);
      break;
    case PGRES_COMMAND_OK:
      if (statement.describe_only) {
        AppendDescription(result, out);
      } else {
        wire::Encoder encoder;
        encoder.CommandComplete(PQcmdStatus(const_cast<PGresult*>(result)));
        out.answer.rows = encoder.Take();
      }
      break;
    case PGRES_EMPTY_QUERY: {
      wire::Encoder encoder;
      encoder.EmptyQueryResponse();
      out.answer.rows = encoder.Take();
      break;
    }
    case PGRES_PIPELINE_ABORTED:
      out.skipped = true;
      break;
    default:
      out.answer.error = ReadError(result);
      break;
  }
  return out;
}

/// Columns: in recovery, received position, replayed position, timeline. On a primary both
/// positions are the current one.
Statement MakeProbeStatement() {
  Statement statement;
  statement.text =
      "SELECT pg_is_in_recovery(),"
      " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
      " ELSE pg_current_wal_lsn() END,"
      " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
      " ELSE pg_current_wal_lsn() END,"
      " COALESCE((SELECT received_tli FROM pg_stat_wal_receiver),"
      " (SELECT timeline_id FROM pg_control_checkpoint()))";
  return statement;
}

}  // namespace

const Statement& ProbeStatement() {
  static const Statement kProbe = MakeProbeStatement();
  return kProbe;
}

std::optional<monitor::Observation> ReadObservation(const CommandResult& result) {
  if (result.answer.error || result.values.size() != 1 ||
      result.values[0].size() != kProbeColumns) {
    return std::nullopt;
  }
  const auto& row = result.values[0];
  for (const wire::WireValue& value : row) {
    if (!value) {
      return std::nullopt;
    }
  }
  const auto received = common::ParseLsn(*row[1]);
  const auto replayed = common::ParseLsn(*row[2]);
  monitor::Observation observation;
  if (!IsOk(received) || !IsOk(replayed) || !absl::SimpleAtoi(*row[3], &observation.term)) {
    return std::nullopt;
  }
  observation.in_recovery = *row[0] == "t";
  observation.received = ValueOf(received);
  observation.replayed = ValueOf(replayed);
  return observation;
}

Connection::Connection(asio::io_context& loop, const cluster::Endpoint& address,
                       const std::string& database, const std::string& user)
    : loop_(loop),
      conninfo_(absl::StrCat("hostaddr=", address.host, " port=", address.port, " dbname='",
                             database, "' user='", user,
                             "' sslmode=disable application_name=valvekeel")),
      descriptor_(loop) {}

Connection::~Connection() { Close(); }

void Connection::Close() {
  usable_ = false;
  if (descriptor_.is_open()) {
    asio::error_code ignored;
    descriptor_.cancel(ignored);
    descriptor_.release();
  }
  if (connection_ != nullptr) {
    PQfinish(connection_);
    connection_ = nullptr;
  }
}

void Connection::Abort() {
  usable_ = false;
  asio::error_code ignored;
  if (descriptor_.is_open()) {
    descriptor_.cancel(ignored);
  }
}

ConnectionError Connection::CloseAsLost() {
  std::string message = connection_ == nullptr ? "closed" : PQerrorMessage(connection_);
  Close();
  return {ConnectionFault::kLost, std::move(message)};
}

bool Connection::AttachSocket() {
  const int socket = PQsocket(connection_);
  if (descriptor_.is_open() && descriptor_.native_handle() == socket) {
    return true;
  }
  if (descriptor_.is_open()) {
    descriptor_.release();
  }
  if (socket < 0) {
    return false;
  }
  asio::error_code error;
  descriptor_.assign(socket, error);
  return !error;
}

awaitable<bool> Connection::WaitReadable() {
  asio::error_code error;
  co_await descriptor_.async_wait(stream_descriptor::wait_read,
                                  redirect_error(use_awaitable, error));
  co_return !error;
}

awaitable<bool> Connection::WaitWritable() {
  asio::error_code error;
  co_await descriptor_.async_wait(stream_descriptor::wait_write,
                                  redirect_error(use_awaitable, error));
  co_return !error;
}

awaitable<std::optional<ConnectionError>> Connection::Open(std::chrono::microseconds timeout) {
  connection_ = PQconnectStart(conninfo_.c_str());
  if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD) {
    co_return ConnectionError{ConnectionFault::kRefused, connection_ == nullptr
                                                             ? "out of memory"
                                                             : PQerrorMessage(connection_)};
  }
  // The timer's handler may run after this coroutine has ended, so they share the state on the
  // heap.
  struct OpenState {
    bool active = true;
    bool timed_out = false;
  };
  auto open_state = std::make_shared<OpenState>();
  asio::steady_timer timer(loop_, timeout);
  timer.async_wait([this, open_state](const asio::error_code& error) {
    if (!error && open_state->active) {
      open_state->timed_out = true;
      Abort();
    }
  });
  PostgresPollingStatusType state = PGRES_POLLING_WRITING;
  bool ready = true;
  while (ready && state != PGRES_POLLING_OK && state != PGRES_POLLING_FAILED) {
    if (!AttachSocket()) {
      break;
    }
    if (state == PGRES_POLLING_READING) {
      ready = co_await WaitReadable();
    } else {
      ready = co_await WaitWritable();
    }
    if (ready) {
      state = PQconnectPoll(connection_);
    }
  }
  timer.cancel();
  open_state->active = false;
  const bool timed_out = open_state->timed_out;
  if (state != PGRES_POLLING_OK || timed_out) {
    const std::string message = PQerrorMessage(connection_);
    ConnectionFault fault = timed_out ? ConnectionFault::kTimedOut : ConnectionFault::kRefused;
    if (absl::StrContains(message, "too many clients") ||
        absl::StrContains(message, "remaining connection slots")) {
      fault = ConnectionFault::kTooManyConnections;
    }
    Close();
    co_return ConnectionError{fault, message};
  }
  PQsetNoticeReceiver(connection_, IgnoreNotice, nullptr);
  if (PQsetnonblocking(connection_, 1) != 0 || PQenterPipelineMode(connection_) == 0 ||
      !AttachSocket()) {
    co_return CloseAsLost();
  }
  usable_ = true;
  const bool prepared = co_await PrepareProbe();
  if (!prepared) {
    co_return CloseAsLost();
  }
  co_return std::nullopt;
}

awaitable<bool> Connection::PrepareProbe() {
  // Probes are most of the control traffic to instances. A prepared probe takes a fifth of the
  // bytes.
  if (PQsendPrepare(connection_, kProbeStatementName, ProbeStatement().text.c_str(), 0, nullptr) ==
          0 ||
      PQpipelineSync(connection_) == 0) {
    co_return false;
  }
  const bool flushed = co_await FlushOutput();
  if (!flushed) {
    co_return false;
  }
  bool lost = false;
  PGresult* result = co_await NextResult(&lost);
  const bool prepared = !lost && PQresultStatus(result) == PGRES_COMMAND_OK;
  PQclear(result);
  if (!prepared) {
    co_return false;
  }
  PGresult* end = co_await NextResult(&lost);
  PQclear(end);
  PGresult* sync = co_await NextResult(&lost);
  const bool synced = !lost && PQresultStatus(sync) == PGRES_PIPELINE_SYNC;
  PQclear(sync);
  co_return synced;
}

bool Connection::SendCommand(const Command& command) {
  const Statement& statement = *command.statement;
  if (&statement == &ProbeStatement()) {
    if (PQsendQueryPrepared(connection_, kProbeStatementName, 0, nullptr, nullptr, nullptr,
                            wire::kTextFormat) == 0) {
      return false;
    }
  } else if (statement.describe_only) {
    if (PQsendPrepare(connection_, "", statement.text.c_str(),
                      static_cast<int>(statement.parameter_types.size()),
                      statement.parameter_types.data()) == 0 ||
        PQsendDescribePrepared(connection_, "") == 0) {
      return false;
    }
  } else {
    std::vector<const char*> values;
    std::vector<int> lengths;
    std::vector<int> formats;
    for (std::size_t i = 0; i < statement.parameters.size(); ++i) {
      const wire::WireValue& value = statement.parameters[i];
      values.push_back(value ? value->c_str() : nullptr);
      lengths.push_back(value ? static_cast<int>(value->size()) : 0);
      const auto& codes = statement.parameter_formats;
      const std::size_t index = codes.size() == 1 ? 0 : i;
      formats.push_back(index < codes.size() ? codes[index] : wire::kTextFormat);
    }
    std::vector<wire::TypeId> types = statement.parameter_types;
    types.resize(values.size(), 0);
    if (PQsendQueryParams(connection_, statement.text.c_str(), static_cast<int>(values.size()),
                          types.data(), values.data(), lengths.data(), formats.data(),
                          statement.result_format) == 0) {
      return false;
    }
  }
  return !command.sync_after || PQpipelineSync(connection_) != 0;
}

awaitable<bool> Connection::FlushOutput() {
  while (true) {
    const int state = PQflush(connection_);
    if (state <= 0) {
      co_return state == 0;
    }
    // Read input while the output is blocked: otherwise both sides could wait for each other.
    if (PQconsumeInput(connection_) == 0) {
      co_return false;
    }
    const bool writable = co_await WaitWritable();
    if (!writable || !usable_) {
      co_return false;
    }
  }
}

awaitable<PGresult*> Connection::NextResult(bool* lost) {
  while (PQisBusy(connection_) != 0) {
    const bool readable = co_await WaitReadable();
    if (!readable || !usable_ || PQconsumeInput(connection_) == 0) {
      *lost = true;
      co_return nullptr;
    }
  }
  co_return PQgetResult(connection_);
}

awaitable<common::Result<std::vector<CommandResult>, ConnectionError>> Connection::Run(
    std::vector<Command> commands, bool keep_values) {
  if (!usable_) {
    co_return ConnectionError{ConnectionFault::kLost, "the connection is closed"};
  }
  for (const Command& command : commands) {
    if (!SendCommand(command)) {
      co_return CloseAsLost();
    }
  }
  const bool flushed = co_await FlushOutput();
  if (!flushed) {
    co_return CloseAsLost();
  }
  std::vector<CommandResult> results;
  for (const Command& command : commands) {
    CommandResult merged;
    // A describe takes two libpq commands: Parse and Describe.
    const int parts = command.statement->describe_only ? 2 : 1;
    for (int part = 0; part < parts; ++part) {
      bool lost = false;
      PGresult* result = co_await NextResult(&lost);
      if (lost || result == nullptr) {
        PQclear(result);
        co_return CloseAsLost();
      }
      const bool preparation = part + 1 < parts;
      CommandResult read = ReadResult(result, *command.statement, keep_values);
      PQclear(result);
      if (!merged.answer.error && !(preparation && !read.answer.error)) {
        merged = std::move(read);
      }
      PGresult* end = co_await NextResult(&lost);
      if (lost || end != nullptr) {
        PQclear(end);
        co_return CloseAsLost();
      }
    }
    results.push_back(std::move(merged));
    if (command.sync_after) {
      bool lost = false;
      PGresult* sync = co_await NextResult(&lost);
      const bool synced = !lost && PQresultStatus(sync) == PGRES_PIPELINE_SYNC;
      PQclear(sync);
      if (!synced) {
        co_return CloseAsLost();
      }
    }
  }
  if (PQstatus(connection_) != CONNECTION_OK) {
    co_return CloseAsLost();
  }
  co_return results;
}

awaitable<common::Result<monitor::Observation, ConnectionError>> Connection::Probe() {
  std::vector<Command> commands;
  commands.push_back({&ProbeStatement(), true});
  auto results = co_await Run(std::move(commands), true);
  if (!IsOk(results)) {
    co_return common::ErrorOf(results);
  }
  const auto observation = ReadObservation(ValueOf(results).front());
  if (!observation) {
    co_return ConnectionError{ConnectionFault::kRefused, "cannot read the result of the probe"};
  }
  co_return *observation;
}

wire::TransactionStatus Connection::Status() const {
  switch (connection_ == nullptr ? PQTRANS_UNKNOWN : PQtransactionStatus(connection_)) {
    case PQTRANS_INTRANS:
      return wire::TransactionStatus::kInTransaction;
    case PQTRANS_INERROR:
      return wire::TransactionStatus::kFailed;
    default:
      return wire::TransactionStatus::kIdle;
  }
}

std::unique_ptr<PGcancel, void (*)(PGcancel*)> Connection::CancelHandle() const {
  PGcancel* handle = connection_ == nullptr ? nullptr : PQgetCancel(connection_);
  return {handle, [](PGcancel* cancel) { PQfreeCancel(cancel); }};
}

}  // namespace valvekeel::backend
