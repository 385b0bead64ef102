#include "proxysim/database_group.h"

#include <algorithm>
#include <array>
#include <utility>

namespace valvekeel::proxysim {
namespace {

using common::Duration;
using model::CommandKind;
using model::ErrorCode;
using model::TransactionState;

constexpr Duration kMinWorkTime{2'000};
constexpr Duration kMaxWorkTime{20'000};
constexpr Duration kReplicationRetryInterval{20'000};
constexpr Duration kDemotionDelay{1'000'000};

std::string ValuesText(const std::map<std::string, std::string>& values) {
  std::string text = "{";
  for (const auto& [name, value] : values) {
    text += name;
    text += "=" + value + " ";
  }
  return text + "}";
}

bool TakesSlot(const model::InstanceRequest& request) {
  if (const auto* control = std::get_if<model::ControlRequest>(&request)) {
    return control->kind == model::ControlKind::kStatus;
  }
  const CommandKind kind = std::get<model::SessionRequest>(request).command.kind;
  return model::RunsOnInstance(kind);
}

}  // namespace

DatabaseGroup::DatabaseGroup(World& world, History& history, std::string service, GroupShape shape)
    : world_(world), history_(history), service_(std::move(service)), shape_(shape) {
  for (std::size_t number = 0; number < shape_.instances; ++number) {
    SimulatedInstance instance;
    instance.id = service_ + "-" + std::to_string(number);
    instance.primary = number == 0;
    instances_.emplace(instance.id, std::move(instance));
  }
}

SimulatedInstance* DatabaseGroup::Primary() {
  SimulatedInstance* best = nullptr;
  for (auto& [id, instance] : instances_) {
    if (instance.primary && (best == nullptr || instance.term > best->term)) {
      best = &instance;
    }
  }
  return best;
}

std::optional<ErrorCode> DatabaseGroup::Connect(const std::string& id, std::uint64_t number,
                                                ServerConnection connection) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return ErrorCode::kWrongInstance;
  }
  SimulatedInstance& instance = found->second;
  if (instance.connections.size() >= shape_.max_connections) {
    return ErrorCode::kTooManyConnections;
  }
  instance.connections.emplace(number, std::move(connection));
  return std::nullopt;
}

void DatabaseGroup::Disconnect(const std::string& id, std::uint64_t number) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    found->second.connections.erase(number);
  }
}

void DatabaseGroup::Request(const std::string& id, std::uint64_t number,
                            const model::InstanceRequest& request) {
  const auto found = instances_.find(id);
  if (found == instances_.end() || !found->second.alive) {
    return;
  }
  const auto connection = found->second.connections.find(number);
  if (connection == found->second.connections.end()) {
    return;
  }
  if (on_request && std::holds_alternative<model::SessionRequest>(request)) {
    on_request(id, connection->second.daemon);
  }
  CheckWarmUpLimit(found->second, request);
  connection->second.queue.push_back(request);
  if (!connection->second.busy) {
    RunNext(found->second, number);
  }
}

void DatabaseGroup::StartWarmUp(SimulatedInstance& instance) {
  if (shape_.warm_up.time == Duration(0)) {
    return;
  }
  instance.cold_until = world_.Now() + shape_.warm_up.time;
  // Reports the end of the warm-up, as the instance's heartbeats would.
  world_.After(shape_.warm_up.time, [this] { on_change(); });
}

void DatabaseGroup::CheckWarmUpLimit(const SimulatedInstance& instance,
                                     const model::InstanceRequest& request) {
  const auto* session = std::get_if<model::SessionRequest>(&request);
  const bool counted = session != nullptr && !session->request_id.empty();
  if (!counted || world_.Now() >= instance.cold_until) {
    return;
  }
  const std::size_t arrived = cold_requests_.RecordRequest(instance.id, world_.Now());
  const double most = shape_.warm_up.rate * shape_.tolerance.overage + shape_.tolerance.slack;
  if (static_cast<double>(arrived) > most) {
    world_.Report("FAILBACK", instance.id + " got " + std::to_string(arrived) +
                                  " requests in a second while it was cold");
  }
}

void DatabaseGroup::RunNext(SimulatedInstance& instance, std::uint64_t number) {
  ServerConnection& connection = instance.connections.at(number);
  if (connection.queue.empty()) {
    connection.busy = false;
    return;
  }
  connection.busy = true;
  const model::InstanceRequest request = connection.queue.front();
  connection.queue.pop_front();
  const std::string id = instance.id;
  if (!TakesSlot(request)) {
    Execute(id, number, request);
    return;
  }
  if (instance.running_requests >= shape_.slots + shape_.queue_limit) {
    SendReply(id, number, ErrorReply(connection, ErrorCode::kBusy));
    return;
  }
  ++instance.running_requests;
  const std::size_t ahead = instance.running_requests / std::max<std::size_t>(1, shape_.slots);
  const Duration work = world_.RandomBetween(kMinWorkTime, kMaxWorkTime);
  world_.After(work * static_cast<std::int64_t>(1 + ahead / 2), [this, id, number, request] {
    const auto found = instances_.find(id);
    if (found == instances_.end()) {
      return;
    }
    found->second.running_requests -= found->second.running_requests > 0 ? 1 : 0;
    if (found->second.alive && found->second.connections.contains(number)) {
      Execute(id, number, request);
    }
  });
}

void DatabaseGroup::Execute(const std::string& id, std::uint64_t number,
                            const model::InstanceRequest& request) {
  SimulatedInstance& instance = instances_.at(id);
  ServerConnection& connection = instance.connections.at(number);
  if (const auto* control = std::get_if<model::ControlRequest>(&request)) {
    SendReply(id, number, ExecuteControl(instance, connection, *control));
    return;
  }
  const auto& session = std::get<model::SessionRequest>(request);
  const CommandKind kind = session.command.kind;
  model::Reply reply = ExecuteSession(instance, connection, session);
  const bool commits =
      reply.succeeded &&
      (kind == CommandKind::kCommit ||
       (kind == CommandKind::kWrite && connection.state == TransactionState::kIdle));
  const std::string writer =
      kind == CommandKind::kCommit ? std::exchange(connection.writer, "") : session.request_id;
  if (commits && !writer.empty()) {
    Commit(instance, number, writer);
    return;
  }
  SendReply(id, number, std::move(reply));
}

void DatabaseGroup::SendReply(const std::string& id, std::uint64_t number, model::Reply reply) {
  const auto found = instances_.find(id);
  if (found == instances_.end() || !found->second.connections.contains(number)) {
    return;
  }
  SimulatedInstance& instance = found->second;
  ServerConnection& connection = instance.connections.at(number);
  reply.state = connection.state;
  reply.position = PositionOf(instance, instance.applied);
  if (!(instance.primary && world_.Chance(lost_answers_))) {
    connection.answer(reply);
  }
  RunNext(instance, number);
}

model::Reply DatabaseGroup::ErrorReply(const ServerConnection& connection, ErrorCode code) const {
  static_cast<void>(connection);
  model::Reply reply;
  reply.error = code;
  return reply;
}

common::Position DatabaseGroup::PositionOf(const SimulatedInstance& instance,
                                           std::size_t entries) const {
  if (entries == 0) {
    return {1, 0};
  }
  return {instance.log[entries - 1].term, entries};
}

model::InstanceStatus DatabaseGroup::StatusOf(const SimulatedInstance& instance) const {
  model::InstanceStatus status;
  status.primary = instance.primary;
  status.term = instance.term;
  status.received = PositionOf(instance, instance.log.size());
  status.fenced_term = instance.fenced_term;
  return status;
}

model::Reply DatabaseGroup::ExecuteControl(SimulatedInstance& instance,
                                           ServerConnection& connection,
                                           const model::ControlRequest& request) {
  switch (request.kind) {
    case model::ControlKind::kResetSession:
      if (const auto refused = RefusePreparation(instance, connection)) {
        return *refused;
      }
      connection.values.clear();
      connection.prepared.clear();
      break;
    case model::ControlKind::kPauseReplication:
      if (!instance.primary && request.term > std::max(instance.term, instance.fenced_term)) {
        instance.fenced_term = request.term;
      }
      break;
    case model::ControlKind::kResumeReplication:
      instance.fenced_term = 0;
      break;
    case model::ControlKind::kDemote:
      if (instance.primary && request.term > instance.term) {
        instance.primary = false;
      }
      break;
    case model::ControlKind::kStatus:
      break;
  }
  model::Reply reply;
  reply.succeeded = true;
  reply.signature = "-";
  reply.status = StatusOf(instance);
  return reply;
}

void DatabaseGroup::CheckConnection(const SimulatedInstance& instance,
                                    const ServerConnection& connection,
                                    const CallerAttempt& attempt) {
  const bool in_transaction = connection.state != TransactionState::kIdle;
  if (in_transaction != attempt.in_transaction) {
    world_.Report("PINNED", attempt.id + " at " + instance.id + ": transaction of the connection " +
                                (in_transaction ? "open" : "not open"));
  }
  if (in_transaction && connection.session != attempt.session) {
    world_.Report("PINNED", attempt.id + " ran in another session's transaction");
  }
  if (connection.values != attempt.values) {
    world_.Report("PINNED", attempt.id + " at " + instance.id + " ran with session values " +
                                ValuesText(connection.values) + ", its session has " +
                                ValuesText(attempt.values));
  }
}

bool DatabaseGroup::LogContains(const SimulatedInstance& instance, const AcknowledgedCommit& commit,
                                std::size_t entries) const {
  for (std::size_t index = 0; index < entries; ++index) {
    const std::size_t from_end = entries - 1 - index;
    if (instance.log[from_end].id == commit.id) {
      return true;
    }
  }
  return false;
}

void DatabaseGroup::CheckKey(const ServerConnection& connection, const CallerAttempt& attempt) {
  if (keys == nullptr || attempt.key.empty()) {
    return;
  }
  const common::Instant from = attempt.sent - kRevocationLimit;
  if (!keys->HeldWithin(attempt.key, connection.tenant, from, world_.Now())) {
    world_.Report("KEY", attempt.id + " of " + attempt.key + " ran for \"" + connection.tenant +
                             "\" too late or for another tenant");
  }
}

void DatabaseGroup::CheckRead(const SimulatedInstance& instance, const CallerAttempt& attempt) {
  const std::vector<AcknowledgedCommit> required = history_.RequiredCommits(attempt);
  // Checking the newest few suffices: logs are prefixes of each other.
  constexpr std::size_t kChecked = 4;
  for (std::size_t i = 0; i < std::min(kChecked, required.size()); ++i) {
    const AcknowledgedCommit& commit = required[required.size() - 1 - i];
    if (!LogContains(instance, commit, instance.applied)) {
      world_.Report("STALE", attempt.id + " at " + instance.id + " misses " + commit.id);
    }
  }
}

std::optional<model::Reply> DatabaseGroup::RefusePreparation(const SimulatedInstance& instance,
                                                             ServerConnection& connection) {
  if (shape_.refused_preparations == 0) {
    return std::nullopt;
  }
  const bool in_transaction = connection.state != TransactionState::kIdle;
  if (connection.state == TransactionState::kFailed) {
    return ErrorReply(connection, ErrorCode::kMalformed);
  }
  const bool lost_primary_role = in_transaction && !connection.read_only && !instance.primary;
  if (!lost_primary_role && !world_.Chance(shape_.refused_preparations)) {
    return std::nullopt;
  }
  constexpr std::array<ErrorCode, 6> kCodes = {ErrorCode::kReadOnly,      ErrorCode::kBusy,
                                               ErrorCode::kAborted,       ErrorCode::kLagging,
                                               ErrorCode::kWrongInstance, ErrorCode::kFailed};
  if (in_transaction) {
    connection.state = TransactionState::kFailed;
  }
  return ErrorReply(connection, lost_primary_role ? ErrorCode::kReadOnly
                                                  : kCodes[world_.RandomBelow(kCodes.size())]);
}

std::optional<model::Command> DatabaseGroup::Resolve(const ServerConnection& connection,
                                                     const CallerAttempt& attempt,
                                                     const model::Command& command) {
  const auto prepared = connection.prepared.find(command.name);
  if (prepared == connection.prepared.end()) {
    world_.Report("PINNED", attempt.id + " executed a name that was not prepared there");
    return std::nullopt;
  }
  if (prepared->second.text != attempt.prepared) {
    world_.Report("PINNED",
                  attempt.id + " ran " + prepared->second.text + " instead of " + attempt.prepared);
  }
  model::Command resolved = command;
  resolved.kind = prepared->second.writes ? CommandKind::kWrite : CommandKind::kRead;
  return resolved;
}

model::Reply DatabaseGroup::ExecuteSession(SimulatedInstance& instance,
                                           ServerConnection& connection,
                                           const model::SessionRequest& request) {
  model::Command command = request.command;
  model::Reply reply;
  reply.succeeded = true;
  reply.signature = "-";
  if (request.required && PositionOf(instance, instance.applied) < *request.required) {
    return ErrorReply(connection, ErrorCode::kLagging);
  }
  switch (command.kind) {
    case CommandKind::kSet:
      if (const auto refused = RefusePreparation(instance, connection)) {
        return *refused;
      }
      connection.values[command.name] = command.arguments;
      return reply;
    case CommandKind::kPrepare:
      if (const auto refused = RefusePreparation(instance, connection)) {
        return *refused;
      }
      connection.prepared[command.name] = command.prepared;
      return reply;
    case CommandKind::kRollback:
      connection.state = TransactionState::kIdle;
      connection.writer.clear();
      return reply;
    case CommandKind::kBegin:
    case CommandKind::kBeginReadOnly: {
      const CallerAttempt* attempt = history_.Find(request.request_id);
      const bool read_only = command.kind == CommandKind::kBeginReadOnly;
      if (!read_only && !instance.primary) {
        return ErrorReply(connection, ErrorCode::kReadOnly);
      }
      connection.state = TransactionState::kOpen;
      connection.read_only = read_only;
      connection.session = attempt == nullptr ? 0 : attempt->session;
      return reply;
    }
    default:
      break;
  }
  const CallerAttempt* attempt = history_.Find(request.request_id);
  if (attempt == nullptr) {
    world_.Report("UNASKED", "statement of " + request.request_id);
    return reply;
  }
  if (command.kind == CommandKind::kExecute) {
    const auto resolved = Resolve(connection, *attempt, command);
    if (!resolved) {
      return ErrorReply(connection, ErrorCode::kUnknownStatement);
    }
    command = *resolved;
  }
  CheckKey(connection, *attempt);
  CheckConnection(instance, connection, *attempt);
  const bool lost_primary_role =
      connection.state != TransactionState::kIdle && !connection.read_only && !instance.primary;
  if (lost_primary_role) {
    connection.state =
        command.kind == CommandKind::kCommit ? TransactionState::kIdle : TransactionState::kFailed;
    connection.writer.clear();
    return ErrorReply(connection, ErrorCode::kReadOnly);
  }
  reply.signature = request.request_id;
  if (command.kind == CommandKind::kRead) {
    CheckRead(instance, *attempt);
  } else if (command.kind == CommandKind::kWrite) {
    if (!instance.primary) {
      return ErrorReply(connection, ErrorCode::kReadOnly);
    }
    if (connection.state == TransactionState::kOpen) {
      connection.writer = request.request_id;
    }
  } else if (command.kind == CommandKind::kCommit) {
    connection.state = TransactionState::kIdle;
  }
  return reply;
}

void DatabaseGroup::Commit(SimulatedInstance& instance, std::uint64_t number,
                           const std::string& id) {
  instance.log.push_back({instance.term, id});
  instance.applied = instance.log.size();
  history_.OnCommitted(id);
  const std::string at = instance.id;
  const auto done = [this, at, number, id] {
    model::Reply reply;
    reply.succeeded = true;
    reply.signature = id;
    SendReply(at, number, std::move(reply));
  };
  if (shape_.sync_replicas == 0) {
    done();
  } else {
    pending_.push_back({instance.log.size(), {}, done, at});
  }
  Replicate(at);
}

void DatabaseGroup::Replicate(const std::string& from) {
  for (auto& [id, instance] : instances_) {
    if (id == from) {
      continue;
    }
    const std::string to = id;
    world_.After(world_.NetworkDelay(), [this, from, to] { ReceiveLog(from, to); });
  }
}

void DatabaseGroup::ReceiveLog(const std::string& from, const std::string& to) {
  const auto leader = instances_.find(from);
  const auto replica = instances_.find(to);
  if (leader == instances_.end() || replica == instances_.end() || !leader->second.primary) {
    return;
  }
  SimulatedInstance& receiver = replica->second;
  const bool accepts =
      leader->second.alive && receiver.alive && !receiver.primary &&
      !receiver.replication_blocked && receiver.term <= leader->second.term &&
      (receiver.term < leader->second.term || receiver.log.size() <= leader->second.log.size()) &&
      (receiver.fenced_term == 0 || receiver.term < leader->second.term) &&
      world_.Reaches(from, to);
  if (!accepts) {
    if (receiver.log.size() < leader->second.log.size() || receiver.term < leader->second.term) {
      world_.After(kReplicationRetryInterval, [this, from, to] { ReceiveLog(from, to); });
    }
    return;
  }
  TruncateTo(receiver, leader->second);
  receiver.fenced_term = 0;  // of an earlier term
  receiver.term = leader->second.term;
  receiver.log = leader->second.log;
  const std::size_t received = receiver.log.size();
  world_.After(receiver.lag, [this, to, received] {
    const auto applying = instances_.find(to);
    if (applying != instances_.end()) {
      SimulatedInstance& instance = applying->second;
      instance.applied = std::max(instance.applied, std::min(received, instance.log.size()));
    }
  });
  std::vector<std::function<void()>> done;
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (pending->instance == from && pending->index <= received) {
      pending->replicas.insert(to);
    }
    if (pending->replicas.size() >= shape_.sync_replicas) {
      done.push_back(std::move(pending->done));
      pending = pending_.erase(pending);
    } else {
      ++pending;
    }
  }
  for (const auto& each : done) {
    each();
  }
}

void DatabaseGroup::TruncateTo(SimulatedInstance& instance, const SimulatedInstance& leader) {
  std::size_t common = 0;
  while (common < instance.log.size() && common < leader.log.size() &&
         instance.log[common].id == leader.log[common].id &&
         instance.log[common].term == leader.log[common].term) {
    ++common;
  }
  for (std::size_t index = common; index < instance.log.size(); ++index) {
    const std::string& id = instance.log[index].id;
    const bool kept = std::any_of(leader.log.begin(), leader.log.end(),
                                  [&](const LogEntry& entry) { return entry.id == id; });
    if (!kept) {
      history_.OnRolledBack(id);
    }
  }
  instance.log.resize(common);
  instance.applied = std::min(instance.applied, common);
}

bool DatabaseGroup::Promote(const std::string& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end() || !found->second.alive) {
    return false;
  }
  if (found->second.primary && Primary() == &found->second) {
    return true;
  }
  world_.After(shape_.promotion_time, [this, id] { BecomePrimary(id); });
  return true;
}

void DatabaseGroup::BecomePrimary(const std::string& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end() || !found->second.alive) {
    return;
  }
  SimulatedInstance& leader = found->second;
  common::Term highest = leader.term;
  for (const auto& [other, instance] : instances_) {
    highest = std::max(highest, instance.term);
  }
  leader.primary = true;
  leader.term = highest + 1;
  leader.fenced_term = 0;
  leader.applied = leader.log.size();
  const std::vector<AcknowledgedCommit> acknowledged = history_.AcknowledgedOf(service_);
  for (const AcknowledgedCommit& commit : acknowledged) {
    if (LogContains(leader, commit, leader.log.size())) {
      continue;
    }
    // Without synchronous replicas the group accepts that commits may be lost.
    history_.RemoveAcknowledged(service_, commit.id);
    if (shape_.sync_replicas > 0) {
      world_.Report("LOST", commit.id + " is missing at " + id);
    }
  }
  if (shape_.promotion_lifts_fences) {
    for (auto& [other, instance] : instances_) {
      instance.fenced_term = 0;
    }
  }
  // Commits of the former primary that no replica confirmed may be rolled back.
  for (auto& [other, instance] : instances_) {
    if (other == id || !instance.primary) {
      continue;
    }
    const std::string former = other;
    world_.After(kDemotionDelay, [this, former, id] {
      const auto old = instances_.find(former);
      const auto now_leading = instances_.find(id);
      const bool demotes = old != instances_.end() && now_leading != instances_.end() &&
                           old->second.alive && now_leading->second.primary &&
                           world_.Reaches(former, id);
      if (demotes && old->second.term < now_leading->second.term) {
        old->second.primary = false;
        TruncateTo(old->second, now_leading->second);
        std::erase_if(pending_, [&](const PendingCommit& each) { return each.instance == former; });
      }
      on_change();
    });
  }
  Replicate(id);
  on_change();
}

void DatabaseGroup::Crash(const std::string& id, bool silent) {
  world_.RecordFault(service_);
  SimulatedInstance& instance = instances_.at(id);
  instance.alive = false;
  instance.running_requests = 0;
  std::erase_if(pending_, [&](const PendingCommit& each) { return each.instance == id; });
  auto connections = std::exchange(instance.connections, {});
  for (auto& [number, connection] : connections) {
    if (!silent) {
      connection.reset();
    }
  }
  on_change();
}

void DatabaseGroup::Restart(const std::string& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end() || found->second.alive) {
    return;
  }
  world_.RecordFault(service_);
  SimulatedInstance& instance = found->second;
  instance.alive = true;
  instance.fenced_term = 0;
  StartWarmUp(instance);
  SimulatedInstance* leader = Primary();
  if (leader != nullptr && leader->id != id && leader->term > instance.term) {
    instance.primary = false;
    TruncateTo(instance, *leader);
    Replicate(leader->id);
  }
  if (leader != nullptr && leader->id == id && shape_.sends_log_at_restart) {
    Replicate(id);
  }
  on_change();
}

void DatabaseGroup::RestartEmpty(const std::string& id, bool leads) {
  if (!instances_.contains(id)) {
    return;  // removed meanwhile
  }
  if (instances_.at(id).alive) {
    Crash(id, false);
  }
  SimulatedInstance& instance = instances_.at(id);
  ++instance.incarnation;
  instance.log.clear();
  instance.applied = 0;
  instance.primary = leads;
  instance.term = leads ? instance.term : 1;
  instance.fenced_term = 0;
  instance.alive = true;
  StartWarmUp(instance);
  SimulatedInstance* leader = Primary();
  if (leader != nullptr && leader->id != id) {
    Replicate(leader->id);
  }
  on_change();
}

void DatabaseGroup::RestartRenamed(const std::string& instance, const std::string& id) {
  auto node = instances_.extract(instance);
  if (node.empty()) {
    return;
  }
  node.key() = id;
  node.mapped().id = id;
  instances_.insert(std::move(node));
  Restart(id);
}

void DatabaseGroup::AddReplica(const std::string& id) {
  SimulatedInstance instance;
  instance.id = id;
  SimulatedInstance* leader = Primary();
  instance.term = leader == nullptr ? 1 : leader->term;
  StartWarmUp(instance);
  instances_.emplace(id, std::move(instance));
  if (leader != nullptr) {
    Replicate(leader->id);
  }
  on_change();
}

void DatabaseGroup::RemoveInstance(const std::string& id) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  Crash(id, false);
  instances_.erase(id);
  on_change();
}

}  // namespace valvekeel::proxysim
