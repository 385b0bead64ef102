#include "gateway/session.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <utility>

#include "common/sqlstate.h"
#include "gateway/session_parts.h"

namespace valvekeel::gateway {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using common::IsOk;
using common::ValueOf;
using sql::Classification;
using sql::StatementKind;
using wire::ErrorFields;
using wire::TransactionStatus;

constexpr std::size_t kReadBytes = 65536;

/// @return true if running the statements may commit something.
bool MayCommit(const std::vector<Classification>& statements, bool in_block) {
  for (const Classification& statement : statements) {
    const bool ends =
        statement.kind == StatementKind::kCommit || statement.kind == StatementKind::kRollback;
    if (statement.kind == StatementKind::kCommit) {
      return true;
    }
    if (statement.kind == StatementKind::kBegin || ends) {
      in_block = statement.kind == StatementKind::kBegin;
    } else if (!in_block) {
      return true;
    }
  }
  return false;
}

/// Read buffer shared by all sessions, so that an idle session needs none of its own.
std::array<char, kReadBytes>& SharedReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

}  // namespace

Session::Session(SessionServices services, tcp::socket socket, pool::SessionNumber number,
                 CancelKey key, CancelHandler on_cancel)
    : services_(services),
      socket_(std::move(socket)),
      key_(key),
      on_cancel_(std::move(on_cancel)),
      decoder_(services.settings.max_message_bytes) {
  route_.number = number;
  route_.budget = services.settings.default_deadline;
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
}

Session::~Session() = default;

// --- Socket -----------------------------------------------------------------------------------

awaitable<bool> Session::ReadMore() {
  asio::error_code error;
  co_await socket_.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, error));
  if (error || ended_) {
    co_return false;
  }
  auto& buffer = SharedReadBuffer();
  const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    co_return true;
  }
  if (error) {
    co_return false;
  }
  decoder_.Feed({buffer.data(), count});
  co_return true;
}

awaitable<bool> Session::Flush() {
  if (encoder_.Size() == 0) {
    co_return true;
  }
  const std::string bytes = encoder_.Take();
  asio::error_code error;
  // A planned stop waits while sending_ is set. Otherwise its final error is written into the
  // middle of the answer: with a caller that reads late, an answer of 25 MB ended after 4 MB.
  sending_ = true;
  co_await asio::async_write(socket_, asio::buffer(bytes), redirect_error(use_awaitable, error));
  sending_ = false;
  co_return !error;
}

awaitable<bool> Session::SendFatal(ErrorFields error) {
  error.severity = "FATAL";
  encoder_.ErrorResponse(error);
  co_await Flush();
  if (services_.stopping) {
    // Closing the socket with unread input resets the connection and discards answers not yet
    // delivered: with a caller that reads late, 2.3 KB of 65 KB arrived.
    ShutdownSend();
  }
  co_return false;
}

void Session::Close() {
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.cancel(ignored);
}

void Session::Cancel() {
  if (busy_) {
    // The instance that runs the statement is known only inside a transaction. The request goes to
    // every instance of the group; owners ignore it if they do not run the statement.
    const auto view = services_.backends.View(route_.database);
    if (!view) {
      return;
    }
    for (const auto& instance : view->instances) {
      services_.backends.Cancel({route_.database, instance.id, route_.number});
    }
  }
}

void Session::Stop() {
  stopping_ = true;
  if (!Busy() && !ended_) {
    wire::Encoder final_error;
    final_error.ErrorResponse(
        {std::string(common::kAdminShutdown), std::string(kStoppingMessage), "", "FATAL"});
    const std::string bytes = final_error.Take();
    asio::error_code ignored;
    socket_.write_some(asio::buffer(bytes), ignored);
    ShutdownSend();
  }
}

void Session::ShutdownSend() {
  // The final error promises the caller that no later request runs, so all further input is
  // discarded.
  ended_ = true;
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

awaitable<void> Session::DiscardUntilClosed() {
  // Closing a socket with unread input resets the connection, and the caller could lose the final
  // error. Input is therefore read and discarded until the caller closes or this daemon exits.
  auto& buffer = SharedReadBuffer();
  asio::error_code error;
  while (!error) {
    co_await socket_.async_wait(tcp::socket::wait_read, redirect_error(use_awaitable, error));
    if (!error) {
      socket_.read_some(asio::buffer(buffer), error);
    }
    if (error == asio::error::would_block) {
      error.clear();
    }
  }
}

awaitable<void> Session::Run() {
  const auto self = shared_from_this();
  bool open = co_await Startup();
  while (open) {
    // Checked before each message: the stop may have begun while the last answer was being sent.
    if (stopping_ && IsIdle()) {
      open = co_await SendFatal(MakeError(common::kAdminShutdown, std::string(kStoppingMessage)));
    } else {
      open = co_await Serve();
    }
  }
  if (!route_.transaction_instance.empty()) {
    services_.backends.Release({route_.database, route_.transaction_instance, route_.number});
  }
  if (ended_) {
    co_await DiscardUntilClosed();
  }
  asio::error_code ignored;
  socket_.close(ignored);
}

// --- Messages ---------------------------------------------------------------------------------

awaitable<bool> Session::Serve() {
  auto next = decoder_.Next();
  if (!IsOk(next)) {
    co_return co_await SendFatal(
        MakeError(common::kProtocolViolation, common::ErrorOf(next).reason));
  }
  if (!ValueOf(next)) {
    co_return co_await ReadMore();
  }
  wire::FrontendMessage message = std::move(*ValueOf(next));
  if (std::holds_alternative<wire::TerminateMessage>(message)) {
    co_return false;
  }
  if (auto* query = std::get_if<wire::QueryMessage>(&message)) {
    busy_ = true;
    const bool open = co_await HandleSimple(std::move(*query));
    busy_ = false;
    co_return open;
  }
  if (std::holds_alternative<wire::SyncMessage>(message)) {
    busy_ = true;
    co_await HandleSync();
    encoder_.ReadyForQuery(Status());
    const bool open = co_await Flush();
    busy_ = false;
    co_return open;
  }
  if (std::holds_alternative<wire::FlushMessage>(message)) {
    if (!skip_until_sync_ && !pipeline_error_) {
      busy_ = true;
      co_await RunPending(false);
      busy_ = false;
    }
    co_return co_await Flush();
  }
  if (skip_until_sync_ || pipeline_error_) {
    co_return true;
  }
  if (pending_.output.size() >= services_.settings.max_pipeline_messages) {
    FailPipeline(MakeError(common::kProgramLimitExceeded, "too many messages before a Sync"));
    co_return true;
  }
  HandleExtended(std::move(message));
  co_return true;
}

void Session::FailPipeline(ErrorFields error) { pipeline_error_ = std::move(error); }

void Session::HandleExtended(wire::FrontendMessage message) {
  if (auto* parse = std::get_if<wire::ParseMessage>(&message)) {
    HandleParse(std::move(*parse));
  } else if (auto* bind = std::get_if<wire::BindMessage>(&message)) {
    HandleBind(std::move(*bind));
  } else if (const auto* describe = std::get_if<wire::DescribeMessage>(&message)) {
    HandleDescribe(*describe);
  } else if (const auto* execute = std::get_if<wire::ExecuteMessage>(&message)) {
    HandleExecute(*execute);
  } else if (const auto* close = std::get_if<wire::CloseMessage>(&message)) {
    HandleClose(*close);
  } else {
    FailPipeline(MakeError(common::kFeatureNotSupported,
                           "COPY, function calls and passwords are not supported"));
  }
}

void Session::HandleParse(wire::ParseMessage message) {
  const sql::ParseResult parsed = services_.cache.Parse(message.text);
  if (!IsOk(parsed)) {
    FailPipeline(MakeError(common::kSyntaxError, common::ErrorOf(parsed).message));
    return;
  }
  if (ValueOf(parsed)->size() > 1) {
    FailPipeline(MakeError(common::kSyntaxError,
                           "cannot insert multiple commands into a prepared statement"));
    return;
  }
  const bool replaces = message.statement.empty() || statements_.contains(message.statement);
  if (!message.statement.empty() && statements_.contains(message.statement)) {
    FailPipeline(MakeError(
        "42P05", absl::StrCat("prepared statement \"", message.statement, "\" already exists")));
    return;
  }
  if (!replaces && statements_.size() >= services_.settings.max_prepared_statements) {
    FailPipeline(
        MakeError(common::kProgramLimitExceeded, "the session has too many prepared statements"));
    return;
  }
  statements_[message.statement] = {std::move(message.text), std::move(message.parameter_types),
                                    ValueOf(parsed)};
  wire::Encoder encoder;
  encoder.ParseComplete();
  pending_.output.emplace_back(encoder.Take());
}

void Session::HandleBind(wire::BindMessage message) {
  const auto found = statements_.find(message.statement);
  if (found == statements_.end()) {
    FailPipeline(
        MakeError(common::kInvalidStatementName,
                  absl::StrCat("prepared statement \"", message.statement, "\" does not exist")));
    return;
  }
  const auto& formats = message.result_formats;
  const bool mixed = std::any_of(formats.begin(), formats.end(),
                                 [&](wire::FormatCode code) { return code != formats.front(); });
  if (mixed) {
    FailPipeline(MakeError(common::kFeatureNotSupported,
                           "result columns in both text and binary form are not supported"));
    return;
  }
  Portal portal;
  portal.prepared = found->second;
  portal.parameters = std::move(message.parameters);
  portal.parameter_formats = std::move(message.parameter_formats);
  portal.result_format = formats.empty() ? wire::kTextFormat : formats.front();
  portals_[message.portal] = std::move(portal);
  wire::Encoder encoder;
  encoder.BindComplete();
  pending_.output.emplace_back(encoder.Take());
}

void Session::HandleDescribe(const wire::DescribeMessage& message) {
  if (message.kind == wire::ObjectKind::kPortal) {
    const auto portal = portals_.find(message.name);
    if (portal == portals_.end()) {
      FailPipeline(MakeError(common::kInvalidCursorName,
                             absl::StrCat("portal \"", message.name, "\" does not exist")));
      return;
    }
    // The column descriptions arrive with the rows, so the answer is sent at Execute.
    portal->second.describe = true;
    return;
  }
  const auto found = statements_.find(message.name);
  if (found == statements_.end()) {
    FailPipeline(
        MakeError(common::kInvalidStatementName,
                  absl::StrCat("prepared statement \"", message.name, "\" does not exist")));
    return;
  }
  wire::Encoder encoder;
  const auto& tree = *found->second.tree;
  const Classification statement = tree.empty() ? Classification{} : sql::Classify(tree.front());
  const bool local = tree.empty() || absl::StartsWith(statement.name, kOwnPrefix);
  if (local) {
    encoder.ParameterDescription({});
    if (statement.kind == StatementKind::kShow) {
      wire::ColumnDescription column;
      column.name = statement.name;
      column.type = kTextType;
      encoder.RowDescription({column});
    } else {
      encoder.NoData();
    }
    pending_.output.emplace_back(encoder.Take());
    return;
  }
  pool::Statement describe;
  describe.text = found->second.text;
  describe.parameter_types = found->second.types;
  describe.describe_only = true;
  pending_.output.emplace_back(StatementOutput{pending_.statements.size(), true, true});
  pending_.statements.push_back(std::move(describe));
  Classification read;
  read.kind = statement.kind == StatementKind::kRead ? StatementKind::kRead : StatementKind::kShow;
  pending_.classes.push_back(std::move(read));
}

void Session::HandleExecute(const wire::ExecuteMessage& message) {
  const auto found = portals_.find(message.portal);
  if (found == portals_.end()) {
    FailPipeline(MakeError(common::kInvalidCursorName,
                           absl::StrCat("portal \"", message.portal, "\" does not exist")));
    return;
  }
  Portal& portal = found->second;
  if (portal.prepared.tree->empty()) {
    wire::Encoder encoder;
    if (portal.describe) {
      encoder.NoData();
    }
    encoder.EmptyQueryResponse();
    pending_.output.emplace_back(encoder.Take());
    return;
  }
  pool::Statement statement;
  statement.text = portal.prepared.text;
  statement.parameter_types = portal.prepared.types;
  statement.parameters = portal.parameters;
  statement.parameter_formats = portal.parameter_formats;
  statement.result_format = portal.result_format;
  AddStatement(std::move(statement), portal.prepared.tree->front(), portal.describe);
  portal.describe = false;
}

void Session::HandleClose(const wire::CloseMessage& message) {
  if (message.kind == wire::ObjectKind::kStatement) {
    statements_.erase(message.name);
  } else {
    portals_.erase(message.name);
  }
  wire::Encoder encoder;
  encoder.CloseComplete();
  pending_.output.emplace_back(encoder.Take());
}

void Session::AddStatement(pool::Statement statement, const sql::ParsedStatement& parsed,
                           bool describe) {
  Classification classification = sql::Classify(parsed);
  std::optional<ErrorFields> error;
  const auto local = AnswerLocally(classification, describe, &error);
  if (error) {
    FailPipeline(std::move(*error));
    return;
  }
  if (local) {
    pending_.output.emplace_back(*local);
    return;
  }
  if (classification.kind == StatementKind::kShow && classification.name == kOutcomeSetting) {
    statement = {};
    statement.text =
        "SELECT CASE WHEN count(*) = 1 THEN 'recorded' ELSE 'not recorded' END AS "
        "request_outcome FROM valvekeel_requests WHERE id = $1";
    statement.parameters.emplace_back(route_.request_id.empty() ? last_request_id_
                                                                : route_.request_id);
    classification.kind = StatementKind::kRead;
    pending_.needs_primary = true;  // only a confirmed primary has the current records
  }
  pending_.output.emplace_back(StatementOutput{pending_.statements.size(), describe, false});
  pending_.statements.push_back(std::move(statement));
  pending_.classes.push_back(std::move(classification));
}

awaitable<bool> Session::HandleSimple(wire::QueryMessage message) {
  pending_ = {};
  pipeline_error_.reset();
  const sql::ParseResult parsed = services_.cache.Parse(message.text);
  if (!IsOk(parsed)) {
    FailPipeline(MakeError(common::kSyntaxError, common::ErrorOf(parsed).message));
  } else if (ValueOf(parsed)->empty()) {
    encoder_.EmptyQueryResponse();
  } else {
    for (const sql::ParsedStatement& statement : *ValueOf(parsed)) {
      pool::Statement text;
      text.text = statement.text;
      AddStatement(std::move(text), statement, true);
      if (pipeline_error_) {
        break;
      }
    }
  }
  co_await RunPending(true);
  skip_until_sync_ = false;
  encoder_.ReadyForQuery(Status());
  co_return co_await Flush();
}

awaitable<void> Session::HandleSync() {
  if (!skip_until_sync_) {
    co_await RunPending(false);
  }
  pending_ = {};
  pipeline_error_.reset();
  skip_until_sync_ = false;
}

// --- Running ----------------------------------------------------------------------------------

awaitable<void> Session::RunPending(bool simple) {
  PendingBatch pending = std::exchange(pending_, {});
  if (pipeline_error_) {
    // No statement of a pipeline with an error runs: all would be rolled back anyway.
    encoder_.ErrorResponse(*pipeline_error_);
    pipeline_error_.reset();
    skip_until_sync_ = !simple;
    if (status_ == TransactionStatus::kInTransaction && !route_.transaction_instance.empty()) {
      // The database did not receive the failed statement and keeps the transaction open, so it is
      // ended here.
      services_.backends.Release({route_.database, route_.transaction_instance, route_.number});
      route_.transaction_instance.clear();
      route_.transaction_wrote = false;
      status_ = TransactionStatus::kFailed;
    }
    co_return;
  }
  if (status_ == TransactionStatus::kFailed && route_.transaction_instance.empty() &&
      !pending.statements.empty()) {
    const StatementKind kind = pending.classes.front().kind;
    if (kind != StatementKind::kRollback && kind != StatementKind::kCommit) {
      encoder_.ErrorResponse(MakeError(common::kInFailedTransaction,
                                       "current transaction is aborted, commands ignored until "
                                       "end of transaction block"));
      skip_until_sync_ = !simple;
      co_return;
    }
    // The transaction was rolled back when its connection was lost; COMMIT and ROLLBACK are
    // answered here.
    status_ = TransactionStatus::kIdle;
    encoder_.AppendMessages(Completed("ROLLBACK"));
    co_return;
  }
  if (pending.statements.empty()) {
    Emit(pending, {}, simple);
    co_return;
  }
  SessionBatch batch;
  batch.statements = pending.statements;
  for (const auto& [name, value] : settings_) {
    batch.settings.push_back({name, value});
  }
  batch.reads_only = !pending.needs_primary;
  batch.may_commit = MayCommit(pending.classes, !route_.transaction_instance.empty());
  const Classification& first = pending.classes.front();
  batch.opens_transaction = first.kind == StatementKind::kBegin;
  batch.opens_read_only = first.kind == StatementKind::kBegin && first.read_only;
  for (const Classification& statement : pending.classes) {
    const bool reads =
        statement.kind == StatementKind::kRead || statement.kind == StatementKind::kShow ||
        statement.kind == StatementKind::kSet || statement.kind == StatementKind::kReset;
    const bool ends =
        statement.kind == StatementKind::kCommit || statement.kind == StatementKind::kRollback;
    batch.reads_only = batch.reads_only && (reads || ends);
    batch.records_request = batch.records_request || statement.kind == StatementKind::kWrite;
    batch.opens_read_only =
        batch.opens_read_only && (reads || ends || statement.kind == StatementKind::kBegin);
    batch.changes_settings = batch.changes_settings || statement.kind == StatementKind::kSet ||
                             statement.kind == StatementKind::kReset;
  }
  const bool in_block = !route_.transaction_instance.empty() && !batch.may_commit;
  request_recorded_ = request_recorded_ || batch.records_request;
  const RoutedReply routed = co_await services_.router.Run(route_, std::move(batch));
  if (routed.error) {
    encoder_.ErrorResponse(*routed.error);
    skip_until_sync_ = !simple;
    ClearRequestId();
    status_ = in_block ? TransactionStatus::kFailed : TransactionStatus::kIdle;
    co_return;
  }
  Emit(pending, routed.reply, simple);
  SaveSettings(pending, routed.reply);
  status_ = routed.reply.status;
  if (routed.committed) {
    AnnounceToken();
  }
  if (status_ == TransactionStatus::kIdle) {
    ClearRequestId();
  }
}

void Session::ClearRequestId() {
  // A request id belongs to one request only. If it were sent with the next one too, the outcome
  // reported for it would be that of the wrong statements.
  if (request_recorded_) {
    last_request_id_ = std::exchange(route_.request_id, "");
    request_recorded_ = false;
  }
}

void Session::Emit(const PendingBatch& pending, const pool::BatchReply& reply, bool simple) {
  for (const OutputItem& item : pending.output) {
    if (const auto* bytes = std::get_if<std::string>(&item)) {
      encoder_.AppendMessages(*bytes);
      continue;
    }
    const StatementOutput& statement_output = std::get<StatementOutput>(item);
    const pool::StatementAnswer& answer = reply.answers[statement_output.statement];
    if (answer.error) {
      encoder_.ErrorResponse(*answer.error);
      skip_until_sync_ = !simple;
      return;
    }
    if (statement_output.describe) {
      encoder_.AppendMessages(answer.description);
      if (answer.description.empty() && !simple) {
        encoder_.NoData();
      }
    }
    if (!statement_output.only_describe) {
      encoder_.AppendMessages(answer.rows);
    }
  }
}

void Session::SaveSettings(const PendingBatch& pending, const pool::BatchReply& reply) {
  for (std::size_t i = 0; i < pending.classes.size(); ++i) {
    const Classification& statement = pending.classes[i];
    if (reply.answers[i].error || pending.statements[i].describe_only || statement.local) {
      continue;
    }
    if (statement.kind == StatementKind::kSet) {
      settings_[statement.name] = statement.value;
    } else if (statement.kind == StatementKind::kReset) {
      if (statement.name.empty()) {
        settings_.clear();
      } else {
        settings_.erase(statement.name);
      }
    }
  }
}

}  // namespace valvekeel::gateway
