#include "standin/instance_server.h"

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <optional>
#include <utility>

#include "common/sqlstate.h"
#include "sql/parse_tree.h"
#include "standin/value.h"
#include "wire/decoder.h"
#include "wire/encoder.h"

namespace valvekeel::standin {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;
using common::ErrorOf;
using common::IsOk;
using common::ValueOf;

constexpr std::size_t kMaximumMessageBytes = std::size_t{16} << 20U;
constexpr std::size_t kReadBytes = 16384;
constexpr std::size_t kParseCacheTexts = 1000;
constexpr std::size_t kParseCacheTextBytes = 10000;

bool TouchesTable(const sql::ParsedStatement& statement) {
  return statement.node.contains("fromClause") || statement.node.contains("relation");
}

}  // namespace

/// One session of a client of the stand-in.
class InstanceSession : public std::enable_shared_from_this<InstanceSession> {
 public:
  InstanceSession(InstanceServer& server, tcp::socket socket, std::uint32_t id)
      : server_(server),
        socket_(std::move(socket)),
        id_(id),
        generation_(server.group_.At(server.instance_).generation),
        sql_(server.group_, server.instance_, server.locks_),
        decoder_(kMaximumMessageBytes),
        cache_(kParseCacheTexts, kParseCacheTextBytes),
        service_timer_(server.loop_) {}

  awaitable<void> Run() {
    const auto self = shared_from_this();
    bool open = co_await Startup();
    while (open) {
      open = co_await ServeOne();
    }
    sql_.Abort();
    asio::error_code ignored;
    socket_.close(ignored);
    if (counted_) {
      --server_.counters_.connections;
    }
    server_.sessions_.erase(id_);
  }

  bool Stale() const {
    const Instance& instance = server_.group_.At(server_.instance_);
    return !instance.up || instance.generation != generation_;
  }

  void Close() {
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    service_timer_.cancel();
  }

  void Cancel() {
    canceled_ = true;
    service_timer_.cancel();
  }

 private:
  struct Prepared {
    std::optional<sql::ParsedStatement> statement;  // none: empty query
    std::vector<wire::TypeId> types;
  };
  struct Portal {
    std::string statement;
    std::vector<Value> parameters;
    std::vector<wire::FormatCode> formats;
  };

  awaitable<bool> Read() {
    std::array<char, kReadBytes> bytes{};
    asio::error_code error;
    const std::size_t count =
        co_await socket_.async_read_some(asio::buffer(bytes), redirect_error(use_awaitable, error));
    if (error) {
      co_return false;
    }
    decoder_.Feed({bytes.data(), count});
    co_return true;
  }

  awaitable<bool> Flush() {
    const std::string bytes = encoder_.Take();
    asio::error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes), redirect_error(use_awaitable, error));
    co_return !error;
  }

  awaitable<bool> Startup() {
    while (true) {
      const auto next = decoder_.NextInitial();
      if (!IsOk(next)) {
        co_return false;
      }
      if (!ValueOf(next)) {
        const bool received = co_await Read();
        if (!received) {
          co_return false;
        }
        continue;
      }
      const wire::InitialMessage& message = *ValueOf(next);
      if (std::holds_alternative<wire::EncryptionRequest>(message)) {
        encoder_.AppendMessages("N");
        const bool flushed = co_await Flush();
        if (!flushed) {
          co_return false;
        }
        continue;
      }
      if (const auto* cancel = std::get_if<wire::CancelRequest>(&message)) {
        const auto found = server_.sessions_.find(cancel->process_id);
        const auto target = found == server_.sessions_.end() ? nullptr : found->second.lock();
        if (target != nullptr && cancel->secret_key == cancel->process_id) {
          target->Cancel();
        }
        co_return false;
      }
      co_return co_await Open();
    }
  }

  awaitable<bool> Open() {
    if (Stale()) {
      co_return false;
    }
    if (server_.counters_.connections >= server_.limits_.connections) {
      ++server_.counters_.refused_connections;
      encoder_.ErrorResponse({std::string(common::kTooManyConnections),
                              "sorry, too many clients already", "", "FATAL"});
      co_await Flush();
      co_return false;
    }
    counted_ = true;
    ++server_.counters_.connections;
    server_.counters_.most_connections =
        std::max(server_.counters_.most_connections, server_.counters_.connections);
    asio::steady_timer opening(server_.loop_, server_.limits_.opening_time);
    asio::error_code error;
    co_await opening.async_wait(redirect_error(use_awaitable, error));
    encoder_.AuthenticationOk();
    encoder_.ParameterStatus("server_version", "15.0");
    encoder_.ParameterStatus("client_encoding", "UTF8");
    encoder_.ParameterStatus("server_encoding", "UTF8");
    encoder_.ParameterStatus("standard_conforming_strings", "on");
    encoder_.BackendKeyData(id_, id_);
    encoder_.ReadyForQuery(sql_.Status());
    co_return co_await Flush();
  }

  awaitable<bool> ServeOne() {
    auto next = decoder_.Next();
    if (!IsOk(next)) {
      encoder_.ErrorResponse(
          {std::string(common::kProtocolViolation), ErrorOf(next).reason, "", "FATAL"});
      co_await Flush();
      co_return false;
    }
    if (!ValueOf(next)) {
      co_return co_await Read();
    }
    const wire::FrontendMessage message = std::move(*ValueOf(next));
    if (std::holds_alternative<wire::TerminateMessage>(message) || Stale()) {
      co_return false;
    }
    if (const auto* query = std::get_if<wire::QueryMessage>(&message)) {
      co_return co_await Simple(*query);
    }
    if (std::holds_alternative<wire::SyncMessage>(message)) {
      FinishImplicit();
      skip_until_sync_ = false;
      encoder_.ReadyForQuery(sql_.Status());
      co_return co_await Flush();
    }
    if (std::holds_alternative<wire::FlushMessage>(message)) {
      co_return co_await Flush();
    }
    if (skip_until_sync_) {
      co_return true;
    }
    co_return co_await Extended(message);
  }

  void Fail(const SqlError& error) {
    encoder_.ErrorResponse({error.sqlstate, error.message});
    skip_until_sync_ = true;
  }

  void FinishImplicit() {
    server_.group_.Tick(common::SteadyNow());
    if (const auto error = sql_.FinishImplicit(common::SteadyNow())) {
      encoder_.ErrorResponse({error->sqlstate, error->message});
    }
  }

  awaitable<StatementResult> RunStatement(const sql::ParsedStatement& statement,
                                          const std::vector<Value>& parameters) {
    ++server_.counters_.statements;
    if (TouchesTable(statement)) {
      ++server_.counters_.table_statements;
      co_await server_.AcquireSlot();
      canceled_ = false;
      service_timer_.expires_after(server_.limits_.service_time);
      asio::error_code error;
      co_await service_timer_.async_wait(redirect_error(use_awaitable, error));
      server_.ReleaseSlot();
    }
    if (Stale()) {
      Close();
      co_return SqlError{std::string(common::kAdminShutdown), "terminating connection"};
    }
    if (canceled_) {
      canceled_ = false;
      static const sql::ParsedStatement kUnknown{"canceled", {}, ""};
      sql_.Execute(kUnknown, {}, common::SteadyNow());
      co_return SqlError{std::string(common::kQueryCanceled),
                         "canceling statement due to user request"};
    }
    server_.group_.Tick(common::SteadyNow());
    co_return sql_.Execute(statement, parameters, common::SteadyNow());
  }

  void SendRows(const ResultSet& result, const std::vector<wire::FormatCode>& formats) {
    for (const Row& row : result.rows) {
      std::vector<wire::WireValue> values;
      for (std::size_t i = 0; i < row.size(); ++i) {
        values.push_back(ToWire(row[i], result.columns[i].type, FormatOf(formats, i)));
      }
      encoder_.DataRow(values);
    }
    encoder_.CommandComplete(result.tag);
  }

  static wire::FormatCode FormatOf(const std::vector<wire::FormatCode>& formats, std::size_t i) {
    if (formats.empty()) {
      return wire::kTextFormat;
    }
    return formats.size() == 1 ? formats[0] : formats[std::min(i, formats.size() - 1)];
  }

  void SendColumns(const std::vector<ResultColumn>& columns,
                   const std::vector<wire::FormatCode>& formats) {
    if (columns.empty()) {
      encoder_.NoData();
      return;
    }
    std::vector<wire::ColumnDescription> described;
    for (std::size_t i = 0; i < columns.size(); ++i) {
      wire::ColumnDescription column;
      column.name = columns[i].name;
      column.type = static_cast<wire::TypeId>(columns[i].type);
      column.format = FormatOf(formats, i);
      described.push_back(std::move(column));
    }
    encoder_.RowDescription(described);
  }

  awaitable<bool> Simple(const wire::QueryMessage& query) {
    const sql::ParseResult parsed = cache_.Parse(query.text);
    if (!IsOk(parsed)) {
      Fail({std::string(common::kSyntaxError), ErrorOf(parsed).message});
    } else if (ValueOf(parsed)->empty()) {
      encoder_.EmptyQueryResponse();
    } else {
      for (const sql::ParsedStatement& statement : *ValueOf(parsed)) {
        const StatementResult result = co_await RunStatement(statement, {});
        if (!IsOk(result)) {
          Fail(ErrorOf(result));
          break;
        }
        if (!ValueOf(result).columns.empty()) {
          SendColumns(ValueOf(result).columns, {});
        }
        SendRows(ValueOf(result), {});
      }
    }
    skip_until_sync_ = false;
    FinishImplicit();
    encoder_.ReadyForQuery(sql_.Status());
    co_return co_await Flush();
  }

  awaitable<bool> Extended(const wire::FrontendMessage& message) {
    if (const auto* parse = std::get_if<wire::ParseMessage>(&message)) {
      Parse(*parse);
    } else if (const auto* bind = std::get_if<wire::BindMessage>(&message)) {
      Bind(*bind);
    } else if (const auto* describe = std::get_if<wire::DescribeMessage>(&message)) {
      Describe(*describe);
    } else if (const auto* execute = std::get_if<wire::ExecuteMessage>(&message)) {
      co_await Execute(*execute);
    } else if (const auto* close = std::get_if<wire::CloseMessage>(&message)) {
      if (close->kind == wire::ObjectKind::kStatement) {
        statements_.erase(close->name);
      } else {
        portals_.erase(close->name);
      }
      encoder_.CloseComplete();
    } else {
      Fail({std::string(common::kFeatureNotSupported), "message not supported by the stand-in"});
    }
    co_return true;
  }

  void Parse(const wire::ParseMessage& message) {
    const sql::ParseResult parsed = cache_.Parse(message.text);
    if (!IsOk(parsed)) {
      Fail({std::string(common::kSyntaxError), ErrorOf(parsed).message});
      return;
    }
    if (ValueOf(parsed)->size() > 1) {
      Fail({std::string(common::kSyntaxError),
            "cannot insert multiple commands into a prepared statement"});
      return;
    }
    Prepared prepared;
    prepared.types = message.parameter_types;
    if (!ValueOf(parsed)->empty()) {
      prepared.statement = ValueOf(parsed)->front();
    }
    statements_[message.statement] = std::move(prepared);
    encoder_.ParseComplete();
  }

  void Bind(const wire::BindMessage& message) {
    const auto found = statements_.find(message.statement);
    if (found == statements_.end()) {
      Fail({std::string(common::kInvalidStatementName), "prepared statement does not exist"});
      return;
    }
    Portal portal;
    portal.statement = message.statement;
    portal.formats = message.result_formats;
    for (std::size_t i = 0; i < message.parameters.size(); ++i) {
      const auto& types = found->second.types;
      const wire::TypeId type = i < types.size() ? types[i] : 0;
      const auto value =
          FromWire(message.parameters[i], type, FormatOf(message.parameter_formats, i));
      if (!IsOk(value)) {
        Fail(ErrorOf(value));
        return;
      }
      portal.parameters.push_back(ValueOf(value));
    }
    portals_[message.portal] = std::move(portal);
    encoder_.BindComplete();
  }

  void Describe(const wire::DescribeMessage& message) {
    std::string statement = message.name;
    std::vector<wire::FormatCode> formats;
    if (message.kind == wire::ObjectKind::kPortal) {
      const auto portal = portals_.find(message.name);
      if (portal == portals_.end()) {
        Fail({std::string(common::kInvalidCursorName), "portal does not exist"});
        return;
      }
      statement = portal->second.statement;
      formats = portal->second.formats;
    }
    const auto found = statements_.find(statement);
    if (found == statements_.end()) {
      Fail({std::string(common::kInvalidStatementName), "prepared statement does not exist"});
      return;
    }
    if (message.kind == wire::ObjectKind::kStatement) {
      std::vector<wire::TypeId> types = found->second.types;
      for (wire::TypeId& type : types) {
        type = type == 0 ? static_cast<wire::TypeId>(ColumnType::kText) : type;
      }
      encoder_.ParameterDescription(types);
    }
    if (!found->second.statement) {
      encoder_.NoData();
      return;
    }
    const auto columns = sql_.Describe(*found->second.statement);
    if (!IsOk(columns)) {
      Fail(ErrorOf(columns));
      return;
    }
    SendColumns(ValueOf(columns), formats);
  }

  awaitable<void> Execute(const wire::ExecuteMessage& message) {
    const auto portal = portals_.find(message.portal);
    if (portal == portals_.end()) {
      Fail({std::string(common::kInvalidCursorName), "portal does not exist"});
      co_return;
    }
    const auto found = statements_.find(portal->second.statement);
    if (found == statements_.end()) {
      Fail({std::string(common::kInvalidStatementName), "prepared statement does not exist"});
      co_return;
    }
    if (!found->second.statement) {
      encoder_.EmptyQueryResponse();
      co_return;
    }
    const sql::ParsedStatement statement = *found->second.statement;
    const Portal bound = portal->second;
    const StatementResult result = co_await RunStatement(statement, bound.parameters);
    if (!IsOk(result)) {
      Fail(ErrorOf(result));
      co_return;
    }
    SendRows(ValueOf(result), bound.formats);
  }

  InstanceServer& server_;
  tcp::socket socket_;
  std::uint32_t id_;
  std::uint64_t generation_;
  SqlSession sql_;
  wire::Decoder decoder_;
  wire::Encoder encoder_;
  sql::ParseCache cache_;
  asio::steady_timer service_timer_;
  std::map<std::string, Prepared> statements_;
  std::map<std::string, Portal> portals_;
  bool skip_until_sync_ = false;
  bool canceled_ = false;
  bool counted_ = false;
};

InstanceServer::InstanceServer(asio::io_context& loop, DatabaseGroup& group, std::size_t instance,
                               InstanceLimits limits)
    : loop_(loop), group_(group), instance_(instance), limits_(limits), acceptor_(loop) {}

InstanceServer::~InstanceServer() = default;

std::uint16_t InstanceServer::Start(const std::string& host, std::uint16_t port) {
  const tcp::endpoint endpoint(asio::ip::make_address(host), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  asio::co_spawn(loop_, Accept(), asio::detached);
  return acceptor_.local_endpoint().port();
}

awaitable<void> InstanceServer::Accept() {
  while (true) {
    asio::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), error);
    const std::uint32_t id = next_session_++;
    auto session = std::make_shared<InstanceSession>(*this, std::move(socket), id);
    sessions_[id] = session;
    asio::co_spawn(
        loop_, [session]() -> awaitable<void> { co_await session->Run(); }, asio::detached);
  }
}

awaitable<void> InstanceServer::AcquireSlot() {
  if (busy_slots_ < limits_.slots) {
    ++busy_slots_;
    co_return;
  }
  auto turn = std::make_shared<asio::steady_timer>(loop_, asio::steady_timer::time_point::max());
  slot_queue_.push_back(turn);
  asio::error_code error;
  co_await turn->async_wait(redirect_error(use_awaitable, error));
}

void InstanceServer::ReleaseSlot() {
  if (slot_queue_.empty()) {
    --busy_slots_;
    return;
  }
  // The slot passes to the next in the queue, so the count stays.
  slot_queue_.front()->cancel();
  slot_queue_.pop_front();
}

void InstanceServer::CloseStaleSessions() {
  for (const auto& [id, weak] : sessions_) {
    const auto session = weak.lock();
    if (session != nullptr && session->Stale()) {
      session->Close();
    }
  }
}

}  // namespace valvekeel::standin
