// Placement, execution and retries of the dispatcher's operations.

#include <algorithm>
#include <utility>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kReadOnlyPause{20'000};  // until a new primary may be known
constexpr common::Duration kRetryPause{2'000};      // before an operation is placed again
constexpr std::uint32_t kMaxAttempts = 30;
/// Time for a connection to open for an operation; then one to another instance may be opened. Four
/// times the duration of a handshake.
constexpr common::Duration kOpeningTimeout{50'000};
/// An operation counts as crowded out after four fifths of its longest wait.
constexpr int kCrowdedOutNumerator = 4;
constexpr int kCrowdedOutDenominator = 5;

Urgency UrgencyOf(const model::Route& route) { return {route.priority, route.target_latency}; }

}  // namespace

bool Dispatcher::IsWrite(const Session& session) const {
  const model::Command& command = session.operation->caller_command.command;
  if (command.kind == model::CommandKind::kWrite) {
    return true;
  }
  if (command.kind != model::CommandKind::kExecute) {
    return false;
  }
  const auto prepared = session.prepared.find(command.name);
  return prepared != session.prepared.end() && prepared->second.writes;
}

bool Dispatcher::WouldCommit(const Session& session) const {
  if (session.transaction.open) {
    return session.operation->caller_command.command.kind == model::CommandKind::kCommit &&
           session.transaction.has_written;
  }
  return IsWrite(session);
}

bool Dispatcher::MayHaveCommitted(const Session& session) const {
  return settings_.mechanisms.unknown_outcomes &&
         session.operation->phase == OperationPhase::kRunning && WouldCommit(session);
}

bool Dispatcher::NeedsPrimary(const Session& session) const {
  const Operation& operation = *session.operation;
  if (operation.route.consistency == model::Consistency::kPrimary) {
    return true;
  }
  if (session.transaction.open) {
    return !session.transaction.read_only;
  }
  return IsWrite(session);
}

std::vector<Placement> Dispatcher::FindPlacements(const Session& session, common::Instant now) {
  const Operation& operation = *session.operation;
  const std::string& service = operation.route.service;
  const std::string primary = groups_.UsablePrimary(service, now);
  const Backend* primary_backend = backends_.Find(primary);
  if (NeedsPrimary(session)) {
    if (primary_backend == nullptr || !placement_.AcceptsWork(*primary_backend, now) ||
        access_.evaluate(primary_backend->Entry(), WorkOf(session), now).level >=
            access::access_level::deferred) {
      return {};
    }
    Placement at_primary;
    at_primary.instance = primary;
    if (session.transaction.open || !IsWrite(session)) {
      at_primary.required = groups_.Get(service, now).PrimaryPosition();
    }
    return {at_primary};
  }
  const GroupState& group = groups_.Get(service, now);
  const ReadParameters need{
      operation.route.consistency, operation.route.max_staleness,
      session.transaction.open ? session.transaction.began : operation.arrived, session.own_commit,
      session.own_commit_at};
  return placement_.Candidates(group, primary, groups_.Members(service), need, WorkOf(session),
                               now);
}

void Dispatcher::OnCapacity(common::Instant now) { StartQueuedOperations(now); }

void Dispatcher::StartQueuedOperations(common::Instant now) {
  start_queued_again_ = true;
  if (starting_queued_ || stopped_) {
    return;
  }
  starting_queued_ = true;
  while (std::exchange(start_queued_again_, false)) {
    for (const waiting::queue_entry& queued : queues_.order()) {
      Session* session = FindSession(queued.number);
      if (now < session->operation->not_before) {
        continue;
      }
      if (TryStart(*session, now)) {
        queues_.remove(session->number);
      } else {
        queues_.set_waits_only_for_slot(session->number, session->operation->waits_only_for_slot);
      }
    }
  }
  starting_queued_ = false;
}

bool Dispatcher::TryStart(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  operation.waits_only_for_slot = false;
  const Transaction& transaction = session.transaction;
  const tenants::admission_result current = IdentifyTenant(session, operation.route, now);
  if (!StillAdmitted(session, current)) {
    return false;  // the next tick answers it
  }
  operation.tenant = settings_.mechanisms.tenant_connections ? current.tenant : std::string();
  if (WouldCommit(session) && groups_.WritesStalled(operation.route.service, now)) {
    operation.last_refusal = "writes stay unanswered";
    return false;
  }
  if (transaction.open && transaction.connection) {
    if (const auto blocked = BlockingAnswerInTransaction(session, now)) {
      operation.last_refusal = blocked->reason;
      return false;
    }
    Backend* backend = backends_.Find(transaction.instance);
    Connection* connection = backend->Find(*transaction.connection);
    operation.instance = transaction.instance;
    operation.connection = connection->number;
    SendPreparation(session, *backend, *connection, std::nullopt, now);
    return true;
  }
  const std::vector<Placement> placements = FindPlacements(session, now);
  if (placements.empty()) {
    operation.last_refusal = NeedsPrimary(session) ? "no usable primary" : "no fresh instance";
    queues_.on_no_instance(TargetOf(session), now);
    return false;
  }
  const bool all_avoided =
      std::all_of(placements.begin(), placements.end(), [&](const Placement& placement) {
        return operation.avoided_instances.contains(placement.instance);
      });
  if (all_avoided) {
    operation.avoided_instances.clear();
  }
  for (const Placement& placement : placements) {
    if (!operation.avoided_instances.contains(placement.instance) &&
        StartOn(session, placement, now)) {
      return true;
    }
  }
  const bool any_accepts =
      std::any_of(placements.begin(), placements.end(), [&](const Placement& placement) {
        return AcceptsStatement(*backends_.Find(placement.instance), operation, now);
      });
  operation.last_refusal = any_accepts ? "no free connection" : "instances are busy";
  RecordNoFreeSlot(session, placements.size(), now);
  OpenConnectionFor(session, placements, now);
  const common::Duration longest_wait = operation.queue_deadline - operation.arrived;
  if (now >= operation.arrived + longest_wait * kCrowdedOutNumerator / kCrowdedOutDenominator) {
    for (const Placement& placement : placements) {
      backends_.Find(placement.instance)->OnStarved(UrgencyOf(operation.route), now);
    }
  }
  return false;
}

bool Dispatcher::AcceptsStatement(const Backend& backend, const Operation& operation,
                                  common::Instant now) const {
  return backend.HasCapacity() && now >= backend.AvoidUntil() &&
         !backend.ReservedForMoreUrgent(UrgencyOf(operation.route), now);
}

bool Dispatcher::IsConnectionOpening(const Operation& operation, common::Instant now) {
  if (!operation.opening_connection) {
    return false;
  }
  const Connection* connection = backends_.FindConnection(*operation.opening_connection);
  return connection != nullptr && !connection->open && now < connection->created + kOpeningTimeout;
}

void Dispatcher::OpenConnectionFor(Session& session, const std::vector<Placement>& placements,
                                   common::Instant now) {
  Operation& operation = *session.operation;
  if (IsConnectionOpening(operation, now)) {
    return;
  }
  for (const Placement& placement : placements) {
    Backend& backend = *backends_.Find(placement.instance);
    const bool possible = !operation.avoided_instances.contains(placement.instance) &&
                          AcceptsStatement(backend, operation, now) &&
                          backends_.MayOpenFor(backend, queues_.size());
    operation.opening_connection =
        possible ? backends_.OpenFor(operation.tenant, backend, now) : std::nullopt;
    if (operation.opening_connection) {
      return;
    }
  }
}

bool Dispatcher::StartOn(Session& session, const Placement& placement, common::Instant now) {
  Backend& backend = *backends_.Find(placement.instance);
  if (!AcceptsStatement(backend, *session.operation, now)) {
    return false;
  }
  Connection* connection = backend.PickFree(session.operation->tenant, session.values);
  if (connection == nullptr) {
    return false;
  }
  RecordStart(session, now);
  connection->session = session.number;
  Operation& operation = *session.operation;
  operation.instance = placement.instance;
  operation.connection = connection->number;
  operation.required_position_age = placement.age;
  operation.required_is_own_commit = placement.is_own_commit;
  ++operation.attempts;
  SendPreparation(session, backend, *connection, placement.required, now);
  return true;
}

std::vector<model::InstanceRequest> Dispatcher::BuildPreparation(
    const Session& session, const Connection& connection,
    const std::optional<common::Position>& required) const {
  std::vector<model::InstanceRequest> requests;
  const bool has_extra_values =
      std::any_of(connection.values.begin(), connection.values.end(),
                  [&](const auto& value) { return !session.values.contains(value.first); });
  const bool resets = has_extra_values && settings_.mechanisms.session_reset;
  if (resets) {
    requests.emplace_back(model::ControlRequest{model::ControlKind::kResetSession, 0});
  }
  for (const auto& [name, value] : session.values) {
    const auto in_force = connection.values.find(name);
    if (!resets && in_force != connection.values.end() && in_force->second == value) {
      continue;
    }
    model::Command set;
    set.kind = model::CommandKind::kSet;
    set.name = name;
    set.arguments = value;
    requests.emplace_back(model::SessionRequest{"", set, std::nullopt});
  }
  const model::Command& command = session.operation->caller_command.command;
  if (command.kind == model::CommandKind::kExecute) {
    const model::PreparedStatement& statement = session.prepared.at(command.name);
    if (resets || !connection.prepared.contains(statement)) {
      const std::size_t names_in_use = resets ? 0 : connection.prepared.size();
      model::Command prepare;
      prepare.kind = model::CommandKind::kPrepare;
      prepare.name = "p" + std::to_string(names_in_use + 1);
      prepare.prepared = statement;
      requests.emplace_back(model::SessionRequest{"", prepare, std::nullopt});
    }
  }
  if (session.transaction.open && !session.transaction.connection) {
    model::Command begin;
    begin.kind = session.transaction.read_only ? model::CommandKind::kBeginReadOnly
                                               : model::CommandKind::kBegin;
    requests.emplace_back(
        model::SessionRequest{session.transaction.begin_request_id, begin, required});
  }
  return requests;
}

void Dispatcher::SendPreparation(Session& session, Backend& backend, Connection& connection,
                                 const std::optional<common::Position>& required,
                                 common::Instant now) {
  Operation& operation = *session.operation;
  const std::optional<common::Position> checked =
      settings_.mechanisms.required_positions ? required : std::nullopt;
  operation.required_position = session.transaction.open ? std::nullopt : checked;
  operation.sent = now;
  std::vector<model::InstanceRequest> requests = BuildPreparation(session, connection, checked);
  if (requests.empty()) {
    SendStatement(session, backend, connection, now);
    return;
  }
  if (!settings_.mechanisms.confirmed_session_state) {
    for (const model::InstanceRequest& request : requests) {
      connection.OnPrepared(request);
    }
  }
  operation.phase = OperationPhase::kPreparing;
  operation.unanswered_preparations = requests.size();
  SendAndCountRequests(backend, connection, std::move(requests), RequestPurpose::kPreparation, now);
}

void Dispatcher::SendStatement(Session& session, Backend& backend, Connection& connection,
                               common::Instant now) {
  Operation& operation = *session.operation;
  const bool counted = operation.phase == OperationPhase::kPreparing;
  operation.phase = OperationPhase::kRunning;
  operation.sent = now;
  model::SessionRequest request{operation.caller_command.request_id,
                                operation.caller_command.command, operation.required_position};
  if (request.command.kind == model::CommandKind::kExecute) {
    request.command.name = connection.prepared.at(session.prepared.at(request.command.name));
  }
  if (counted) {
    backends_.Send(backend, connection, {std::move(request)}, RequestPurpose::kStatement, now);
  } else {
    SendAndCountRequests(backend, connection, {std::move(request)}, RequestPurpose::kStatement,
                         now);
  }
}

void Dispatcher::OnAnswer(Backend& backend, Connection& connection,
                          const OutstandingRequest& outstanding, const model::Reply& reply,
                          common::Instant now) {
  Session* session = FindSession(*connection.session);
  const bool expected = session != nullptr && session->operation &&
                        session->operation->connection == connection.number;
  if (!expected) {
    connection.session.reset();
    return;
  }
  if (reply.position) {
    groups_.RecordPosition(backend.Entry().service, backend.Entry().id, *reply.position,
                           outstanding.sent);
  }
  if (outstanding.purpose == RequestPurpose::kPreparation) {
    OnPreparationAnswer(*session, backend, connection, reply, now);
    return;
  }
  if (reply.succeeded && reply.position && WouldCommit(*session)) {
    const std::string& service = session->operation->route.service;
    if (!groups_.MayAcknowledge(service, reply.position->term, now)) {
      WithholdAcknowledgement(*session, connection, now);
      return;
    }
    groups_.RecordAcknowledged(service, outstanding.log_end, *reply.position);
  }
  OnStatementAnswer(*session, backend, connection, reply, now);
}

void Dispatcher::WithholdAcknowledgement(Session& session, Connection& connection,
                                         common::Instant now) {
  // The promoted instance need not hold the commit.
  if (!session.transaction.open) {
    connection.session.reset();
  }
  FinishWithError(session, model::ErrorCode::kInDoubt, "no lease of the primary's term", now);
}

void Dispatcher::OnPreparationAnswer(Session& session, Backend& backend, Connection& connection,
                                     const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  if (operation.unanswered_preparations > 0) {
    --operation.unanswered_preparations;
  }
  if (reply.succeeded && operation.unanswered_preparations > 0) {
    return;
  }
  if (reply.succeeded &&
      IsInstanceClosed(backend.Entry().id, operation.route, operation.tenant, now)) {
    // The instance closed after the preparation was sent; the statement has not run. Closing the
    // connection rolls back what was begun there.
    Connection lost = connection;
    backends_.Close(backend, lost.number);
    OnLost(backend, lost, now);
    return;
  }
  if (reply.succeeded) {
    if (session.transaction.open && !session.transaction.connection) {
      session.transaction.connection = connection.number;
      session.transaction.instance = backend.Entry().id;
      session.transaction.instance_closed = false;
    }
    SendStatement(session, backend, connection, now);
    return;
  }
  if (operation.unanswered_preparations > 0 || !model::GuaranteesNoEffect(reply.error)) {
    // The connection's state is unknown; closing it also ends its transaction.
    outbox_.Log("preparation_failed",
                {{"request", operation.caller_command.request_id},
                 {"instance", backend.Entry().id},
                 {"error", model::ErrorCodeName(reply.error)}},
                LogLevel::kWarning);
    Connection lost = connection;
    backends_.Close(backend, lost.number);
    OnLost(backend, lost, now);
    return;
  }
  OnRefused(session, backend, connection, reply, now);
}

void Dispatcher::OnStatementAnswer(Session& session, Backend& backend, Connection& connection,
                                   const model::Reply& reply, common::Instant now) {
  if (reply.succeeded) {
    OnStatementSucceeded(session, backend, connection, reply, now);
  } else if (reply.error == model::ErrorCode::kUnknownStatement) {
    OnSessionStateMismatch(session, backend, connection, now);
  } else {
    OnRefused(session, backend, connection, reply, now);
  }
}

void Dispatcher::OnSessionStateMismatch(Session& session, Backend& backend, Connection& connection,
                                        common::Instant now) {
  outbox_.Log(
      "session_state_mismatch",
      {{"request", session.operation->caller_command.request_id}, {"instance", backend.Entry().id}},
      LogLevel::kWarning);
  session.operation->phase = OperationPhase::kPreparing;  // the instance did not run the statement
  Connection lost = connection;
  backends_.Close(backend, lost.number);
  OnLost(backend, lost, now);
}

void Dispatcher::OnStatementSucceeded(Session& session, Backend& backend, Connection& connection,
                                      const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  backend.RecordLatency(now - operation.sent);
  if (operation.required_position) {
    backend.OnFreshRead(operation.required_position_age, now);
  }
  const bool commits = MayHaveCommitted(session);
  if (commits) {
    groups_.OnWriteAnswered(operation.route.service, operation.instance);
  }
  if (commits && reply.position) {
    session.own_commit = *reply.position;
    session.own_commit_at = now;
  }
  if (!IsWrite(session) && operation.caller_command.command.kind != model::CommandKind::kCommit) {
    const bool at_primary =
        groups_.UsablePrimary(operation.route.service, now) == operation.instance;
    ++(at_primary ? counters_.primary_reads : counters_.replica_reads);
  }
  session.transaction.has_run_statement = true;
  session.transaction.has_written = session.transaction.has_written || IsWrite(session);
  const bool transaction_ended =
      session.transaction.open && reply.state == model::TransactionState::kIdle;
  if (transaction_ended) {
    EndTransaction(session, now);
  } else if (!session.transaction.open) {
    connection.session.reset();
  }
  FinishWithReply(session, reply, now);
}

void Dispatcher::OnRefused(Session& session, Backend& backend, Connection& connection,
                           const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  const std::string& instance = backend.Entry().id;
  const model::ErrorCode code = reply.error;
  if (code == model::ErrorCode::kLagging) {
    backend.OnLaggingRead(operation.required_position_age, !operation.required_is_own_commit, now);
  }
  if (code == model::ErrorCode::kBusy) {
    backend.OnBusy(now);
  }
  if (code == model::ErrorCode::kReadOnly) {
    groups_.Get(operation.route.service, now).last_round_at = common::Instant(0);
  }
  const bool nothing_has_run = !session.transaction.open || !session.transaction.has_run_statement;
  if (nothing_has_run && model::GuaranteesNoEffect(code) && operation.attempts < kMaxAttempts) {
    ++counters_.retries;
    if (code != model::ErrorCode::kLagging) {
      outbox_.Log("request_retried", {{"request", operation.caller_command.request_id},
                                      {"instance", instance},
                                      {"error", model::ErrorCodeName(code)},
                                      {"attempt", std::to_string(operation.attempts)}});
    }
    session.transaction.connection.reset();
    connection.session.reset();
    if (session.transaction.instance_closed) {
      ReleaseOrCloseConnection(session.transaction, backend, connection, now);
    }
    const bool read_only = code == model::ErrorCode::kReadOnly;
    const bool lagging = code == model::ErrorCode::kLagging;
    const common::Duration pause =
        read_only ? kReadOnlyPause : (lagging ? common::Duration(0) : kRetryPause);
    Requeue(session, instance, model::ErrorCodeName(code), pause, now);
    return;
  }
  outbox_.Log("request_failed",
              {{"request", operation.caller_command.request_id},
               {"error", model::ErrorCodeName(code)},
               {"reason", "the instance answered with an error"},
               {"service", operation.route.service},
               {"instance", instance},
               {"held_ms", MillisecondsText(now - operation.arrived)}},
              LogLevel::kWarning);
  if (session.transaction.open) {
    session.transaction.failed = reply.state == model::TransactionState::kFailed;
    if (reply.state == model::TransactionState::kIdle) {
      EndTransaction(session, now);
      connection.session.reset();  // not yet the transaction's connection if BEGIN was refused
    }
  } else {
    connection.session.reset();
  }
  FinishWithReply(session, reply, now);
}

void Dispatcher::Requeue(Session& session, const std::string& avoid, const char* reason,
                         common::Duration pause, common::Instant now) {
  Operation& operation = *session.operation;
  operation.phase = OperationPhase::kQueued;
  operation.connection = 0;
  operation.last_refusal = reason;
  operation.not_before = now + pause;
  operation.avoided_instances.insert(avoid);
  operation.waits_only_for_slot = false;
  Enqueue(session);
  if (pause == common::Duration(0) && TryStart(session, now)) {
    queues_.remove(session.number);
  }
}

void Dispatcher::AbandonSentRequest(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  Backend* backend = backends_.Find(operation.instance);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(operation.connection);
  if (connection == nullptr || operation.phase == OperationPhase::kQueued) {
    return;
  }
  const bool in_transaction = session.transaction.open;
  session.transaction.connection.reset();
  if (in_transaction || operation.phase == OperationPhase::kPreparing) {
    // Closing the connection rolls back whatever was begun.
    backends_.Close(*backend, connection->number);
    return;
  }
  // The instance may still run the request; the connection is free again once it has answered.
  connection->session.reset();
  static_cast<void>(now);
}

void Dispatcher::OnLost(Backend& backend, Connection& connection, common::Instant now) {
  Session* session = FindSession(*connection.session);
  connection.session.reset();
  if (session == nullptr) {
    return;
  }
  const bool running = session->operation && session->operation->connection == connection.number;
  session->transaction.connection.reset();
  if (!running) {
    session->transaction.failed = session->transaction.open;
    outbox_.Log(
        "transaction_lost",
        {{"request", session->transaction.begin_request_id}, {"instance", backend.Entry().id}},
        LogLevel::kWarning);
    if (session->operation) {
      // The operation was queued, not sent; its transaction is lost with the connection.
      FinishWithError(*session, model::ErrorCode::kAborted, "the connection was lost", now);
    }
    return;
  }
  Operation& operation = *session->operation;
  const bool nothing_has_run =
      !session->transaction.open || !session->transaction.has_run_statement;
  if (MayHaveCommitted(*session)) {
    FinishWithError(*session, model::ErrorCode::kInDoubt, "the connection was lost", now);
    return;
  }
  if (nothing_has_run && operation.attempts < kMaxAttempts) {
    ++counters_.retries;
    outbox_.Log("request_retried", {{"request", operation.caller_command.request_id},
                                    {"instance", backend.Entry().id},
                                    {"error", "connection lost"},
                                    {"attempt", std::to_string(operation.attempts)}});
    Requeue(*session, backend.Entry().id, "connection lost", common::Duration(1), now);
    return;
  }
  FinishWithError(*session, model::ErrorCode::kAborted, "the connection was lost", now);
}

}  // namespace valvekeel::proxy
