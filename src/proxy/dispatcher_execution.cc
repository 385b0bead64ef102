// Placement, execution and repetition of operations.

#include <algorithm>
#include <utility>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kReadOnlyPause{20'000};  // until a new primary may be known
constexpr common::Duration kRetryPause{2'000};      // before an operation is placed again
constexpr std::uint32_t kMostAttempts = 30;
/// Time for a connection that was asked for an operation to open; then another instance is asked.
/// Four times a handshake of the users' sites.
constexpr common::Duration kOpeningPatience{50'000};
/// Part of its longest wait after which an operation counts as crowded out: four fifths.
constexpr int kCrowdedOutAfter = 4;
constexpr int kCrowdedOutOf = 5;

Urgency UrgencyOf(const model::Route& route) { return {route.priority, route.target_latency}; }

}  // namespace

bool Dispatcher::IsWrite(const Session& session) const {
  const model::Command& command = session.operation->caller.command;
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
    return session.operation->caller.command.kind == model::CommandKind::kCommit &&
           session.transaction.wrote;
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

std::vector<Placement> Dispatcher::Places(const Session& session, common::Instant now) {
  const Operation& operation = *session.operation;
  const std::string& service = operation.route.service;
  const std::string primary = groups_.UsablePrimary(service, now);
  const Backend* leader = backends_.Find(primary);
  if (NeedsPrimary(session)) {
    if (leader == nullptr || !placement_.AcceptsWork(*leader, now) ||
        access_.judge(leader->Entry(), WorkOf(session), now).outcome >= access::verdict::later) {
      return {};
    }
    Placement at_primary;
    at_primary.instance = primary;
    if (session.transaction.open || !IsWrite(session)) {
      at_primary.required = groups_.Get(service, now).KnownOfPrimary();
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

void Dispatcher::OnCapacity(common::Instant now) { Pump(now); }

void Dispatcher::Pump(common::Instant now) {
  pump_again_ = true;
  if (pumping_ || ended_) {
    return;
  }
  pumping_ = true;
  while (std::exchange(pump_again_, false)) {
    for (const waiting::place& place : waiting_.order()) {
      Session* session = Find(place.number);
      if (now < session->operation->not_before) {
        continue;
      }
      if (TryStart(*session, now)) {
        waiting_.remove(session->number);
      } else {
        waiting_.set_for_room(session->number, session->operation->waits_for_room);
      }
    }
  }
  pumping_ = false;
}

bool Dispatcher::TryStart(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  operation.waits_for_room = false;
  const Transaction& transaction = session.transaction;
  const tenants::admission_result found = Identify(session, operation.route, now);
  if (!StillAdmitted(session, found)) {
    return false;  // the next tick answers it
  }
  operation.tenant = settings_.mechanisms.tenant_connections ? found.tenant : std::string();
  if (WouldCommit(session) && groups_.WritesStalled(operation.route.service, now)) {
    operation.last_refusal = "writes stay unanswered";
    return false;
  }
  if (transaction.open && transaction.connection) {
    if (const auto barred = BarredWithin(session, now)) {
      operation.last_refusal = barred->reason;
      return false;
    }
    Backend* backend = backends_.Find(transaction.instance);
    Connection* connection = backend->Find(*transaction.connection);
    operation.instance = transaction.instance;
    operation.connection = connection->number;
    SendPreparation(session, *backend, *connection, std::nullopt, now);
    return true;
  }
  const std::vector<Placement> places = Places(session, now);
  if (places.empty()) {
    operation.last_refusal = NeedsPrimary(session) ? "no usable primary" : "no fresh instance";
    waiting_.note_no_place(TargetOf(session), now);
    return false;
  }
  const bool all_avoided = std::all_of(places.begin(), places.end(), [&](const Placement& place) {
    return operation.avoided.contains(place.instance);
  });
  if (all_avoided) {
    operation.avoided.clear();
  }
  for (const Placement& place : places) {
    if (!operation.avoided.contains(place.instance) && StartOn(session, place, now)) {
      return true;
    }
  }
  const bool any_takes = std::any_of(places.begin(), places.end(), [&](const Placement& place) {
    return TakesStatement(*backends_.Find(place.instance), operation, now);
  });
  operation.last_refusal = any_takes ? "no free connection" : "instances are busy";
  NoteNoRoom(session, places.size(), now);
  OpenFor(session, places, now);
  const common::Duration longest_wait = operation.hold_until - operation.arrived;
  if (now >= operation.arrived + longest_wait * kCrowdedOutAfter / kCrowdedOutOf) {
    for (const Placement& place : places) {
      backends_.Find(place.instance)->NoteCrowdedOut(UrgencyOf(operation.route), now);
    }
  }
  return false;
}

bool Dispatcher::TakesStatement(const Backend& backend, const Operation& operation,
                                common::Instant now) const {
  return backend.HasRoom() && now >= backend.AvoidUntil() &&
         !backend.LeftToImpatient(UrgencyOf(operation.route), now);
}

bool Dispatcher::AwaitsConnection(const Operation& operation, common::Instant now) {
  if (!operation.opening) {
    return false;
  }
  const Connection* connection = backends_.FindConnection(*operation.opening);
  return connection != nullptr && !connection->open && now < connection->created + kOpeningPatience;
}

void Dispatcher::OpenFor(Session& session, const std::vector<Placement>& places,
                         common::Instant now) {
  Operation& operation = *session.operation;
  if (AwaitsConnection(operation, now)) {
    return;
  }
  for (const Placement& place : places) {
    Backend& backend = *backends_.Find(place.instance);
    const bool possible = !operation.avoided.contains(place.instance) &&
                          TakesStatement(backend, operation, now) &&
                          backends_.MayOpenFor(backend, waiting_.size());
    operation.opening = possible ? backends_.OpenFor(operation.tenant, backend, now) : std::nullopt;
    if (operation.opening) {
      return;
    }
  }
}

bool Dispatcher::StartOn(Session& session, const Placement& place, common::Instant now) {
  Backend& backend = *backends_.Find(place.instance);
  if (!TakesStatement(backend, *session.operation, now)) {
    return false;
  }
  Connection* connection = backend.PickFree(session.operation->tenant, session.values);
  if (connection == nullptr) {
    return false;
  }
  NoteStarted(session, now);
  connection->session = session.number;
  Operation& operation = *session.operation;
  operation.instance = place.instance;
  operation.connection = connection->number;
  operation.required_age = place.age;
  operation.required_own = place.is_own_commit;
  ++operation.attempts;
  SendPreparation(session, backend, *connection, place.required, now);
  return true;
}

std::vector<model::InstanceRequest> Dispatcher::Preparation(
    const Session& session, Connection& connection,
    const std::optional<common::Position>& required) const {
  std::vector<model::InstanceRequest> requests;
  const bool surplus =
      std::any_of(connection.values.begin(), connection.values.end(),
                  [&](const auto& value) { return !session.values.contains(value.first); });
  if (surplus && settings_.mechanisms.session_reset) {
    requests.emplace_back(model::ControlRequest{model::ControlKind::kResetSession, 0});
    connection.values.clear();
    connection.prepared.clear();
  }
  for (const auto& [name, value] : session.values) {
    const auto in_force = connection.values.find(name);
    if (in_force != connection.values.end() && in_force->second == value) {
      continue;
    }
    model::Command set;
    set.kind = model::CommandKind::kSet;
    set.name = name;
    set.arguments = value;
    requests.emplace_back(model::SessionRequest{"", set, std::nullopt});
    connection.values[name] = value;
  }
  const model::Command& command = session.operation->caller.command;
  if (command.kind == model::CommandKind::kExecute) {
    const model::PreparedStatement& statement = session.prepared.at(command.name);
    if (!connection.prepared.contains(statement)) {
      model::Command prepare;
      prepare.kind = model::CommandKind::kPrepare;
      prepare.name = "p" + std::to_string(connection.prepared.size() + 1);
      prepare.prepared = statement;
      connection.prepared[statement] = prepare.name;
      requests.emplace_back(model::SessionRequest{"", prepare, std::nullopt});
    }
  }
  if (session.transaction.open && !session.transaction.connection) {
    model::Command begin;
    begin.kind = session.transaction.read_only ? model::CommandKind::kBeginReadOnly
                                               : model::CommandKind::kBegin;
    requests.emplace_back(model::SessionRequest{session.transaction.begin_id, begin, required});
  }
  return requests;
}

void Dispatcher::SendPreparation(Session& session, Backend& backend, Connection& connection,
                                 const std::optional<common::Position>& required,
                                 common::Instant now) {
  Operation& operation = *session.operation;
  const std::optional<common::Position> checked =
      settings_.mechanisms.required_positions ? required : std::nullopt;
  operation.required = session.transaction.open ? std::nullopt : checked;
  operation.sent = now;
  std::vector<model::InstanceRequest> requests = Preparation(session, connection, checked);
  if (requests.empty()) {
    SendStatement(session, backend, connection, now);
    return;
  }
  operation.phase = OperationPhase::kPreparing;
  operation.preparations = requests.size();
  SendWork(backend, connection, std::move(requests), Purpose::kPreparation, now);
}

void Dispatcher::SendStatement(Session& session, Backend& backend, Connection& connection,
                               common::Instant now) {
  Operation& operation = *session.operation;
  const bool counted = operation.phase == OperationPhase::kPreparing;
  operation.phase = OperationPhase::kRunning;
  operation.sent = now;
  model::SessionRequest request{operation.caller.request_id, operation.caller.command,
                                operation.required};
  if (request.command.kind == model::CommandKind::kExecute) {
    request.command.name = connection.prepared.at(session.prepared.at(request.command.name));
  }
  if (counted) {
    backends_.Send(backend, connection, {std::move(request)}, Purpose::kStatement, now);
  } else {
    SendWork(backend, connection, {std::move(request)}, Purpose::kStatement, now);
  }
}

void Dispatcher::OnAnswer(Backend& backend, Connection& connection, const Outstanding& outstanding,
                          const model::Reply& reply, common::Instant now) {
  Session* session = Find(*connection.session);
  const bool expected = session != nullptr && session->operation &&
                        session->operation->connection == connection.number;
  if (!expected) {
    connection.session.reset();
    return;
  }
  if (reply.position) {
    groups_.NotePosition(backend.Entry().service, backend.Entry().id, *reply.position,
                         outstanding.sent);
  }
  if (outstanding.purpose == Purpose::kPreparation) {
    AnswerToPreparation(*session, backend, connection, reply, now);
  } else {
    AnswerToStatement(*session, backend, connection, reply, now);
  }
}

void Dispatcher::AnswerToPreparation(Session& session, Backend& backend, Connection& connection,
                                     const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  if (operation.preparations > 0) {
    --operation.preparations;
  }
  if (reply.succeeded && operation.preparations > 0) {
    return;
  }
  if (reply.succeeded && Closed(backend.Entry().id, operation.route, operation.tenant, now)) {
    // Closed since: nothing of the statement has run. The connection ends what was begun there.
    Connection lost = connection;
    backends_.Close(backend, lost.number);
    OnLost(backend, lost, now);
    return;
  }
  if (reply.succeeded) {
    if (session.transaction.open && !session.transaction.connection) {
      session.transaction.connection = connection.number;
      session.transaction.instance = backend.Entry().id;
      session.transaction.barred = false;
    }
    SendStatement(session, backend, connection, now);
    return;
  }
  if (operation.preparations > 0 || !model::PromisesNothingKept(reply.error)) {
    // The connection's state is not known: what it stands for ends with it.
    outbox_.Log("preparation_failed",
                {{"request", operation.caller.request_id},
                 {"instance", backend.Entry().id},
                 {"error", model::ErrorCodeName(reply.error)}},
                LogLevel::kWarning);
    Connection lost = connection;
    backends_.Close(backend, lost.number);
    OnLost(backend, lost, now);
    return;
  }
  Refused(session, backend, connection, reply, now);
}

void Dispatcher::AnswerToStatement(Session& session, Backend& backend, Connection& connection,
                                   const model::Reply& reply, common::Instant now) {
  if (reply.succeeded) {
    Succeeded(session, backend, connection, reply, now);
  } else {
    Refused(session, backend, connection, reply, now);
  }
}

void Dispatcher::Succeeded(Session& session, Backend& backend, Connection& connection,
                           const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  backend.NoteSuccess(now - operation.sent);
  if (operation.required) {
    backend.NoteFresh(operation.required_age, now);
  }
  const bool commits = MayHaveCommitted(session);
  if (commits) {
    groups_.NoteWriteAnswered(operation.route.service, operation.instance);
  }
  if (commits && reply.position) {
    session.own_commit = *reply.position;
    session.own_commit_at = now;
  }
  if (!IsWrite(session) && operation.caller.command.kind != model::CommandKind::kCommit) {
    const bool at_primary =
        groups_.UsablePrimary(operation.route.service, now) == operation.instance;
    ++(at_primary ? counters_.primary_reads : counters_.replica_reads);
  }
  session.transaction.ran = true;
  session.transaction.wrote = session.transaction.wrote || IsWrite(session);
  const bool transaction_ended =
      session.transaction.open && reply.state == model::TransactionState::kIdle;
  if (transaction_ended) {
    EndTransaction(session, now);
  } else if (!session.transaction.open) {
    connection.session.reset();
  }
  FinishWithReply(session, reply, now);
}

void Dispatcher::Refused(Session& session, Backend& backend, Connection& connection,
                         const model::Reply& reply, common::Instant now) {
  Operation& operation = *session.operation;
  const std::string& instance = backend.Entry().id;
  const model::ErrorCode code = reply.error;
  if (code == model::ErrorCode::kLagging) {
    backend.NoteLagging(operation.required_age, !operation.required_own, now);
  }
  if (code == model::ErrorCode::kBusy) {
    backend.NoteBusy(now);
  }
  if (code == model::ErrorCode::kReadOnly) {
    groups_.Get(operation.route.service, now).round_at = common::Instant(0);
  }
  const bool first = !session.transaction.open || !session.transaction.ran;
  if (first && model::PromisesNothingKept(code) && operation.attempts < kMostAttempts) {
    ++counters_.retries;
    if (code != model::ErrorCode::kLagging) {
      outbox_.Log("request_retried", {{"request", operation.caller.request_id},
                                      {"instance", instance},
                                      {"error", model::ErrorCodeName(code)},
                                      {"attempt", std::to_string(operation.attempts)}});
    }
    session.transaction.connection.reset();
    connection.session.reset();
    if (session.transaction.barred) {
      LeaveConnection(session.transaction, backend, connection, now);
    }
    const bool read_only = code == model::ErrorCode::kReadOnly;
    const bool lagging = code == model::ErrorCode::kLagging;
    const common::Duration pause =
        read_only ? kReadOnlyPause : (lagging ? common::Duration(0) : kRetryPause);
    Wait(session, instance, model::ErrorCodeName(code), pause, now);
    return;
  }
  outbox_.Log("request_failed",
              {{"request", operation.caller.request_id},
               {"error", model::ErrorCodeName(code)},
               {"reason", "the instance answered so"},
               {"service", operation.route.service},
               {"instance", instance},
               {"held_ms", MillisecondsText(now - operation.arrived)}},
              LogLevel::kWarning);
  if (session.transaction.open) {
    session.transaction.failed = reply.state == model::TransactionState::kFailed;
    if (reply.state == model::TransactionState::kIdle) {
      EndTransaction(session, now);
      connection.session.reset();  // it is not the transaction's yet if its BEGIN was refused
    }
  } else {
    connection.session.reset();
  }
  FinishWithReply(session, reply, now);
}

void Dispatcher::Wait(Session& session, const std::string& avoid, const char* reason,
                      common::Duration pause, common::Instant now) {
  Operation& operation = *session.operation;
  operation.phase = OperationPhase::kWaiting;
  operation.connection = 0;
  operation.last_refusal = reason;
  operation.not_before = now + pause;
  operation.avoided.insert(avoid);
  operation.waits_for_room = false;
  JoinQueue(session);
  if (pause == common::Duration(0) && TryStart(session, now)) {
    waiting_.remove(session.number);
  }
}

void Dispatcher::Abandon(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  Backend* backend = backends_.Find(operation.instance);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(operation.connection);
  if (connection == nullptr || operation.phase == OperationPhase::kWaiting) {
    return;
  }
  const bool in_transaction = session.transaction.open;
  session.transaction.connection.reset();
  if (in_transaction || operation.phase == OperationPhase::kPreparing) {
    // Closing rolls back whatever was begun.
    backends_.Close(*backend, connection->number);
    return;
  }
  // The instance may still be at work: the connection is free again once it has answered.
  connection->session.reset();
  static_cast<void>(now);
}

void Dispatcher::OnLost(Backend& backend, Connection& connection, common::Instant now) {
  Session* session = Find(*connection.session);
  connection.session.reset();
  if (session == nullptr) {
    return;
  }
  const bool running = session->operation && session->operation->connection == connection.number;
  session->transaction.connection.reset();
  if (!running) {
    session->transaction.failed = session->transaction.open;
    outbox_.Log("transaction_lost",
                {{"request", session->transaction.begin_id}, {"instance", backend.Entry().id}},
                LogLevel::kWarning);
    if (session->operation) {
      // It waited, unsent, to go on with what is lost now.
      FinishWithError(*session, model::ErrorCode::kAborted, "the connection was lost", now);
    }
    return;
  }
  Operation& operation = *session->operation;
  const bool first = !session->transaction.open || !session->transaction.ran;
  if (MayHaveCommitted(*session)) {
    FinishWithError(*session, model::ErrorCode::kInDoubt, "the connection was lost", now);
    return;
  }
  if (first && operation.attempts < kMostAttempts) {
    ++counters_.retries;
    outbox_.Log("request_retried", {{"request", operation.caller.request_id},
                                    {"instance", backend.Entry().id},
                                    {"error", "connection lost"},
                                    {"attempt", std::to_string(operation.attempts)}});
    Wait(*session, backend.Entry().id, "connection lost", common::Duration(1), now);
    return;
  }
  FinishWithError(*session, model::ErrorCode::kAborted, "the connection was lost", now);
}

}  // namespace valvekeel::proxy
