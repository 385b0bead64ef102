#include "proxy/dispatcher.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxy {
namespace {

constexpr std::size_t kMaxPendingCommands = 16;

std::string NotRunText(const char* reason) {
  return std::string("retry_after_ms=250 not run: ") + reason;
}

}  // namespace

Dispatcher::Dispatcher(const ProxySettings& settings, BackendSet& backends, GroupSet& groups,
                       tenants::admission& admission, access::rule_set& access, Outbox& outbox)
    : settings_(settings),
      backends_(backends),
      groups_(groups),
      admission_(admission),
      access_(access),
      outbox_(outbox),
      placement_(settings, backends, access) {}

void Dispatcher::SetConfiguration(const model::Configuration* configuration, common::Instant now) {
  configuration_ = configuration;
  if (configuration != nullptr) {
    queues_.set_tenants(configuration->tenants);
  }
  const std::set<SessionNumber> awaiting = std::exchange(awaiting_configuration_, {});
  for (const SessionNumber number : awaiting) {
    RestartSession(std::move(*FindSession(number)), now);
  }
}

void Dispatcher::RestartSession(Session waiting, common::Instant now) {
  const SessionNumber number = waiting.number;
  sessions_.erase(number);
  SessionStarted(number, waiting.database, waiting.key, now);
  if (waiting.handed_over) {
    RecordHandover(number, waiting.accepts_end_request);
  }
  Session* session = FindSession(number);
  if (session == nullptr) {
    return;
  }
  session->received_command = waiting.received_command;
  session->pending_commands = std::move(waiting.pending_commands);
  if (session->accepted) {
    RunPendingCommands(number, now);
  }
}

void Dispatcher::RecordHandover(SessionNumber number, bool accepts_end_request) {
  if (Session* session = FindSession(number)) {
    session->handed_over = true;
    session->accepts_end_request = accepts_end_request;
  }
}

Dispatcher::Session* Dispatcher::FindSession(SessionNumber number) {
  const auto found = sessions_.find(number);
  return found == sessions_.end() ? nullptr : &found->second;
}

const model::Route* Dispatcher::RouteOf(const Session& session) const {
  if (configuration_ == nullptr) {
    return nullptr;
  }
  const auto found = configuration_->routes.find(session.database);
  return found == configuration_->routes.end() ? nullptr : &found->second;
}

void Dispatcher::SessionStarted(SessionNumber number, const std::string& database,
                                const tenants::key_digest& key, common::Instant now) {
  Session session;
  session.number = number;
  session.database = database;
  session.key = key;
  session.started = now;
  if (configuration_ == nullptr) {
    awaiting_configuration_.insert(number);
    sessions_.emplace(number, std::move(session));
    return;
  }
  const model::Route* route = RouteOf(session);
  if (route == nullptr) {
    outbox_.Log("session_refused", {{"database", database},
                                    {"reason", "unknown database"},
                                    {"version", std::to_string(configuration_->version)}});
    outbox_.Emit(CloseSession{number, true, model::ErrorCode::kUnknownDatabase, database});
    return;
  }
  if (!AcceptsCaller(session, *route, now)) {
    return;
  }
  session.accepted = true;
  sessions_.emplace(number, std::move(session));
  outbox_.Emit(AcceptSession{number});
}

void Dispatcher::CommandReceived(SessionNumber number, const CallerCommand& command,
                                 common::Instant now) {
  Session* session = FindSession(number);
  if (session == nullptr) {
    return;
  }
  ++counters_.commands;
  session->received_command = true;
  if (session->operation || !session->accepted || session->congested) {
    if (session->pending_commands.size() >= kMaxPendingCommands) {
      outbox_.Emit(
          CloseSession{number, true, model::ErrorCode::kMalformed, "too many commands at once"});
      SessionClosed(number, now);
      return;
    }
    session->pending_commands.push_back(command);
    return;
  }
  in_command_received_ = true;
  RunCommand(*session, command, now);
  RunPendingCommands(number, now);
  in_command_received_ = false;
}

void Dispatcher::RunPendingCommands(SessionNumber number, common::Instant now) {
  while (Session* current = FindSession(number)) {
    if (current->operation || current->congested || current->pending_commands.empty()) {
      break;
    }
    const CallerCommand command = std::move(current->pending_commands.front());
    current->pending_commands.pop_front();
    if (current->end_reason != nullptr) {
      AnswerError(*current, model::ErrorCode::kBusy, NotRunText(current->end_reason));
    } else {
      RunCommand(*current, command, now);
    }
  }
  Session* current = FindSession(number);
  const bool idle = current != nullptr && !current->operation && !current->transaction.open &&
                    !current->congested;
  // Not ended here: during CommandReceived, as a command that was read together with this one may
  // follow (a later tick ends the session); a session that accepts an end request, as the daemon
  // that handed it over ends it; a session that is being ended already.
  const bool ended_elsewhere = in_command_received_ || current == nullptr ||
                               current->accepts_end_request || current->end_reason != nullptr;
  if (draining_ && idle && !ended_elsewhere) {
    outbox_.Emit(CloseSession{number});
    SessionClosed(number, now);
  }
}

void Dispatcher::CallerCongested(SessionNumber number, bool congested, common::Instant now) {
  Session* session = FindSession(number);
  if (session == nullptr) {
    return;
  }
  session->congested = congested;
  if (!congested) {
    RunPendingCommands(number, now);
  }
}

void Dispatcher::SessionClosed(SessionNumber number, common::Instant now) {
  Session* session = FindSession(number);
  if (session == nullptr) {
    return;
  }
  if (session->operation) {
    AbandonSentRequest(*session, now);
    session->operation.reset();
  }
  EndTransaction(*session, now);
  queues_.remove(number);
  awaiting_configuration_.erase(number);
  sessions_.erase(number);
}

void Dispatcher::RunCommand(Session& session, const CallerCommand& command, common::Instant now) {
  session.transaction.last_active = now;
  switch (command.command.kind) {
    case model::CommandKind::kBegin:
    case model::CommandKind::kBeginReadOnly:
      BeginTransaction(session, command, now);
      return;
    case model::CommandKind::kRollback:
      Rollback(session, now);
      return;
    case model::CommandKind::kSet:
      SetValue(session, command.command);
      return;
    case model::CommandKind::kPrepare:
      Prepare(session, command.command);
      return;
    case model::CommandKind::kDeallocate:
      Deallocate(session, command.command);
      return;
    case model::CommandKind::kRead:
    case model::CommandKind::kWrite:
    case model::CommandKind::kExecute:
    case model::CommandKind::kCommit:
      CreateOperation(session, command, now);
      return;
    case model::CommandKind::kInvalid:
      AnswerError(session, model::ErrorCode::kMalformed, "unknown command");
      return;
  }
}

void Dispatcher::BeginTransaction(Session& session, const CallerCommand& command,
                                  common::Instant now) {
  if (session.transaction.open) {
    AnswerError(session, model::ErrorCode::kMalformed, "a transaction is open");
    return;
  }
  const model::Route* route = RouteOf(session);
  if (route == nullptr) {
    AnswerError(session, model::ErrorCode::kUnknownDatabase, session.database);
    return;
  }
  const auto tenant = AdmitOperation(session, command, *route, now);
  if (!tenant) {
    return;
  }
  // BEGIN is sent with the first statement, so that the transaction occupies no connection before.
  Transaction& transaction = session.transaction;
  transaction = Transaction{};
  transaction.open = true;
  transaction.read_only = command.command.kind == model::CommandKind::kBeginReadOnly;
  transaction.begin_request_id = command.request_id;
  transaction.route = *route;
  transaction.tenant = *tenant;
  transaction.began = now;
  transaction.last_active = now;
  AnswerLocally(session);
}

void Dispatcher::Rollback(Session& session, common::Instant now) {
  if (!session.transaction.open) {
    AnswerError(session, model::ErrorCode::kMalformed, "no transaction is open");
    return;
  }
  EndTransaction(session, now);
  AnswerLocally(session);
}

void Dispatcher::SetValue(Session& session, const model::Command& command) {
  session.values[command.name] = command.arguments;
  AnswerLocally(session);
}

void Dispatcher::Prepare(Session& session, const model::Command& command) {
  session.prepared[command.name] = command.prepared;
  AnswerLocally(session);
}

void Dispatcher::Deallocate(Session& session, const model::Command& command) {
  if (session.prepared.erase(command.name) == 0) {
    AnswerError(session, model::ErrorCode::kUnknownStatement, command.name);
    return;
  }
  AnswerLocally(session);
}

void Dispatcher::CreateOperation(Session& session, const CallerCommand& command,
                                 common::Instant now) {
  const Transaction& transaction = session.transaction;
  const model::CommandKind kind = command.command.kind;
  const bool commits = kind == model::CommandKind::kCommit;
  if (commits && !transaction.open) {
    AnswerError(session, model::ErrorCode::kMalformed, "no transaction is open");
    return;
  }
  if (transaction.open && transaction.failed) {
    if (commits) {
      EndTransaction(session, now);
      AnswerError(session, model::ErrorCode::kAborted, "the transaction had failed");
    } else {
      AnswerError(session, model::ErrorCode::kMalformed, "the transaction has failed");
    }
    return;
  }
  const bool unknown_name =
      kind == model::CommandKind::kExecute && !session.prepared.contains(command.command.name);
  if (unknown_name) {
    AnswerError(session, model::ErrorCode::kUnknownStatement, command.command.name);
    return;
  }
  const model::Route* route = transaction.open ? &transaction.route : RouteOf(session);
  if (route == nullptr) {
    AnswerError(session, model::ErrorCode::kUnknownDatabase, session.database);
    return;
  }
  if (transaction.open) {
    if (!CheckTransactionTenant(session, command, now)) {
      return;
    }
  } else if (!AdmitOperation(session, command, *route, now)) {
    return;
  }
  Operation operation;
  operation.caller_command = command;
  operation.route = *route;
  operation.arrived = now;
  operation.deadline = now + route->timeout;
  operation.queue_deadline =
      now + common::Duration(static_cast<std::int64_t>(
                settings_.hold_fraction * static_cast<double>(route->target_latency.count())));
  session.operation = std::move(operation);
  if (!TryStart(session, now)) {
    Enqueue(session);
  }
}

model::TransactionState Dispatcher::TransactionStateOf(const Session& session) const {
  if (!session.transaction.open) {
    return model::TransactionState::kIdle;
  }
  return session.transaction.failed ? model::TransactionState::kFailed
                                    : model::TransactionState::kOpen;
}

void Dispatcher::AnswerLocally(Session& session) {
  model::Reply reply;
  reply.succeeded = true;
  reply.signature = "-";
  reply.state = TransactionStateOf(session);
  outbox_.Emit(AnswerCaller{session.number, std::move(reply), std::nullopt});
}

void Dispatcher::AnswerError(Session& session, model::ErrorCode code, const std::string& text) {
  ++counters_.errors[model::ErrorCodeName(code)];
  if (session.transaction.open) {
    session.transaction.failed = true;
  }
  model::Reply reply;
  reply.error = code;
  reply.error_text = text;
  reply.state = TransactionStateOf(session);
  outbox_.Emit(AnswerCaller{session.number, std::move(reply), std::nullopt});
}

void Dispatcher::FinishWithError(Session& session, model::ErrorCode code, const std::string& reason,
                                 common::Instant now) {
  ReportOperation(session, *session.operation, now);
  const Operation operation = std::move(*session.operation);
  session.operation.reset();
  queues_.remove(session.number);
  const GroupState* group = groups_.Find(operation.route.service);
  outbox_.Log(
      "request_failed",
      {{"request", operation.caller_command.request_id},
       {"error", model::ErrorCodeName(code)},
       {"reason", reason},
       {"service", operation.route.service},
       {"instance", operation.instance},
       {"attempts", std::to_string(operation.attempts)},
       {"held_ms", MillisecondsText(now - operation.arrived)},
       {"forecast_ms", operation.expected_wait ? MillisecondsText(*operation.expected_wait) : ""},
       {"term", group == nullptr ? "" : std::to_string(group->lease.Newest().term)},
       {"lease_age_ms",
        group == nullptr ? "" : MillisecondsText(now - group->lease.Newest().started)}},
      LogLevel::kWarning);
  if (operation.caller_command.command.kind == model::CommandKind::kCommit) {
    EndTransaction(session, now);
  }
  AnswerError(session, code, reason);
  RunPendingCommands(session.number, now);
}

void Dispatcher::FinishWithReply(Session& session, const model::Reply& reply, common::Instant now) {
  const Operation& operation = *session.operation;
  ReportOperation(session, operation, now);
  const StatementTimes times{operation.route.consistency, operation.sent - operation.arrived,
                             now - operation.sent};
  session.operation.reset();
  if (!reply.succeeded) {
    ++counters_.errors[model::ErrorCodeName(reply.error)];
  } else {
    ++counters_.succeeded;
    session.refused_since.reset();
  }
  session.transaction.last_active = now;
  outbox_.Emit(AnswerCaller{session.number, reply, times});
  RunPendingCommands(session.number, now);
}

void Dispatcher::EndTransaction(Session& session, common::Instant now) {
  const Transaction transaction = std::exchange(session.transaction, Transaction{});
  if (!transaction.connection) {
    return;
  }
  Backend* backend = backends_.Find(transaction.instance);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(*transaction.connection);
  if (connection != nullptr) {
    ReleaseOrCloseConnection(transaction, *backend, *connection, now);
  }
}

}  // namespace valvekeel::proxy
