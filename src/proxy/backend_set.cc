#include "proxy/backend_set.h"

#include <algorithm>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kControlTimeout{300'000};
constexpr common::Duration kProbePause{250'000};
constexpr common::Duration kAbandonedLimit{500'000};   // for an answer to an abandoned request
constexpr common::Duration kOpenTimeout{800'000};      // for a connection to be accepted
constexpr common::Duration kRejectedPause{80'000};     // after an instance rejected a connection
constexpr common::Duration kRemovalDelay{30'000'000};  // an unlisted, unreachable instance
constexpr std::size_t kExtraControlConnections = 1;
/// Interval between checks of all instances. The shortest limit that the checks enforce is 100 ms.
/// Checking 3,000 instances in every tick, a hundred times a second, would load a coordinator
/// needlessly.
constexpr common::Duration kCheckInterval{30'000};
/// Time since the last contact within which an instance cannot have restarted unless its
/// connections broke. If none broke, this daemon has only closed its own connections.
constexpr common::Duration kNoRestartGap{500'000};
/// Idle time after which a connection beyond the first is closed. When a daemon loses power, its
/// instances keep its connections for seconds and reject those of other daemons.
constexpr common::Duration kIdleLimit{700'000};
/// Idle time after which a connection to an instance that is not watched is closed.
constexpr common::Duration kUnwatchedIdleLimit{100'000};

/// Longest delay with which a change is learned of while the store answers: a watch that hears
/// nothing is given up after it.
constexpr common::Duration kLongestDelay{3'700'000};

/// @return when a change that was learned of now may have been made at the earliest.
/// @param changed_after when the former state was still in force, if known.
common::Instant EarliestChange(const std::optional<common::Instant>& changed_after,
                               common::Instant now) {
  return std::max(changed_after.value_or(now), now - kLongestDelay);
}

const char* OpenFailureName(OpenFailure failure) {
  switch (failure) {
    case OpenFailure::kRefused:
      return "refused";
    case OpenFailure::kTimedOut:
      return "silent";
    case OpenFailure::kRejected:
      return "another instance answers";
  }
  return "unknown";
}

}  // namespace

void BackendSet::SetEntry(const model::InstanceEntry& entry, common::Instant now,
                          std::optional<common::Instant> changed_after) {
  const bool added = !backends_.contains(entry.id);
  if (added) {
    backends_.emplace(entry.id, Backend(entry));
    AddToService(entry);
    outbox_.Log("instance_listed", {{"instance", entry.id},
                                    {"service", entry.service},
                                    {"address", common::FormatEndpoint(entry.address)},
                                    {"zone", entry.zone},
                                    {"draining", entry.draining ? "true" : "false"}});
  }
  Backend& backend = backends_.at(entry.id);
  const std::uint64_t before = backend.Entry().incarnation;
  if (before != 0 && entry.incarnation != 0 && entry.incarnation != before) {
    BeginIncarnation(backend, entry, now);
  }
  if (backend.Entry().service != entry.service) {
    RemoveFromService(backend.Entry());
    AddToService(entry);
  }
  backend.SetEntry(entry);
  backend.unlisted_since.reset();
  if (!entry.draining) {
    backend.draining_since.reset();
    backend.leaving_since.reset();
  } else if (!backend.draining_since) {
    backend.draining_since = now;
    backend.leaving_since =
        std::min(backend.leaving_since.value_or(now),
                 added ? common::Instant(0) : EarliestChange(changed_after, now));
    outbox_.Log("instance_draining", {{"instance", entry.id}, {"service", entry.service}});
  }
}

void BackendSet::AddUnlisted(const std::string& service, const std::string& id,
                             const model::CommitHolder& holder, common::Instant now) {
  model::InstanceEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = holder.address;
  entry.zone = holder.zone;
  Backend& backend = backends_.emplace(id, Backend(entry)).first->second;
  backend.unlisted_since = now;
  backend.leaving_since = common::Instant(0);
  AddToService(entry);
  outbox_.Log("instance_recorded", {{"instance", id},
                                    {"service", service},
                                    {"address", common::FormatEndpoint(holder.address)}});
}

void BackendSet::BeginIncarnation(Backend& backend, const model::InstanceEntry& entry,
                                  common::Instant now) {
  outbox_.Log("instance_restarted",
              {{"instance", entry.id},
               {"service", entry.service},
               {"incarnation", std::to_string(entry.incarnation)},
               {"before", std::to_string(backend.Entry().incarnation)},
               {"connections", std::to_string(backend.Connections().size())}},
              LogLevel::kWarning);
  while (!backend.Connections().empty()) {
    const ConnectionNumber number = backend.Connections().begin()->first;
    outbox_.Emit(CloseConnection{number});
    DropLostConnection(backend, number, now);
  }
  std::deque<QueuedControlRequest> queued = std::exchange(backend.control_queue, {});
  const std::string service = backend.Entry().service;
  backend = Backend(entry);
  if (service != entry.service) {
    std::erase(ids_by_service_[service], entry.id);
    AddToService(entry);
  }
  for (const QueuedControlRequest& item : queued) {
    FinishControl(item.number, std::nullopt, now);
  }
  if (restart_observer_ != nullptr) {
    restart_observer_->OnRestarted(entry, now);
  }
}

void BackendSet::ApplyStatus(Backend& backend, const model::InstanceStatus& status,
                             common::Instant sent, common::Instant now) {
  // A log grows within a term, and terms do not fall. A lower status than before shows that the
  // instance has lost its log, even before its entry shows the restart.
  const bool later = backend.status && sent >= backend.status_received_at;
  const bool lost =
      later && (status.term < backend.status->term || (status.term == backend.status->term &&
                                                       status.received < backend.status->received));
  backend.status = status;
  backend.status_received_at = now;
  if (!lost) {
    return;
  }
  outbox_.Log("instance_lost_its_log",
              {{"instance", backend.Entry().id},
               {"term", std::to_string(status.term)},
               {"received", PositionText(status.received)}},
              LogLevel::kWarning);
  if (restart_observer_ != nullptr) {
    restart_observer_->OnRestarted(backend.Entry(), now);
  }
}

void BackendSet::AddToService(const model::InstanceEntry& entry) {
  std::vector<std::string>& ids = ids_by_service_[entry.service];
  ids.insert(std::lower_bound(ids.begin(), ids.end(), entry.id), entry.id);
}

void BackendSet::RemoveFromService(const model::InstanceEntry& entry) {
  std::erase(ids_by_service_[entry.service], entry.id);
}

const std::vector<std::string>& BackendSet::IdsOf(const std::string& service) const {
  static const std::vector<std::string> kNone;
  const auto found = ids_by_service_.find(service);
  return found == ids_by_service_.end() ? kNone : found->second;
}

void BackendSet::OnEntryRemoved(const std::string& id, common::Instant now,
                                std::optional<common::Instant> changed_after) {
  Backend* backend = Find(id);
  if (backend != nullptr && !backend->unlisted_since) {
    backend->unlisted_since = now;
    backend->leaving_since =
        std::min(backend->leaving_since.value_or(now), EarliestChange(changed_after, now));
    outbox_.Log("instance_unlisted", {{"instance", id}, {"service", backend->Entry().service}});
  }
}

Backend* BackendSet::Find(const std::string& id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

Connection* BackendSet::FindConnection(ConnectionNumber number) {
  Backend* backend = BackendOf(number);
  return backend == nullptr ? nullptr : backend->Find(number);
}

bool BackendSet::HasSuccessor(const Backend& backend) const {
  if (!backend.unlisted_since && !backend.address_taken) {
    return false;
  }
  const model::InstanceEntry& entry = backend.Entry();
  const std::vector<std::string>& ids = IdsOf(entry.service);
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    const Backend& other = backends_.at(id);
    const model::InstanceEntry& successor = other.Entry();
    return successor.id != entry.id && successor.address == entry.address &&
           !other.unlisted_since && !other.address_taken;
  });
}

void BackendSet::SetConnectionLimit(const std::string& service, std::size_t limit, bool watched) {
  limits_[service] = limit;
  const bool changed = watched ? watched_.insert(service).second : watched_.erase(service) > 0;
  watch_changes_ += changed ? 1 : 0;
}

std::size_t BackendSet::ConnectionLimit(const std::string& service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? 0 : found->second;
}

bool BackendSet::Open(Backend& backend, common::Instant now, std::size_t extra) {
  const std::size_t limit = ConnectionLimit(backend.Entry().service) + extra;
  if (!backend.MayOpen(now) || backend.Connections().size() >= limit) {
    return false;
  }
  StartOpening("", backend, now);
  return true;
}

std::optional<ConnectionNumber> BackendSet::OpenFor(const std::string& tenant, Backend& backend,
                                                    common::Instant now) {
  if (!backend.MayOpen(now)) {
    return std::nullopt;
  }
  if (backend.Connections().size() >= ConnectionLimit(backend.Entry().service)) {
    const Connection* replaced = backend.PickFreeOfOtherTenant(tenant);
    if (replaced == nullptr) {
      return std::nullopt;
    }
    Close(backend, replaced->number);
  }
  return StartOpening(tenant, backend, now);
}

ConnectionNumber BackendSet::StartOpening(const std::string& tenant, Backend& backend,
                                          common::Instant now) {
  const ConnectionNumber number = outbox_.NextNumber();
  backend.Add(number, tenant, now);
  backend_ids_by_connection_[number] = backend.Entry().id;
  outbox_.Emit(OpenConnection{number, backend.Entry().address, backend.Entry().service,
                              backend.Entry().id, tenant});
  return number;
}

void BackendSet::Send(Backend& backend, Connection& connection,
                      std::vector<model::InstanceRequest> requests, RequestPurpose purpose,
                      common::Instant now) {
  for (std::size_t i = 0; i < requests.size(); ++i) {
    connection.outstanding.push_back({purpose, now, 0, backend.log_end, std::nullopt});
    if (purpose == RequestPurpose::kPreparation) {
      connection.outstanding.back().preparation = requests[i];
    }
  }
  connection.last_used = now;
  outbox_.Emit(SendRequests{connection.number, std::move(requests)});
}

void BackendSet::QueueControlRequest(const std::string& instance,
                                     const model::ControlRequest& request, ControlCallback callback,
                                     common::Instant now) {
  Backend* backend = Find(instance);
  if (backend == nullptr) {
    callback(std::nullopt, now);
    return;
  }
  const ControlNumber number = outbox_.NextNumber();
  controls_[number] = {std::move(callback), instance, now};
  backend->control_queue.push_back({number, request, now});
  SendQueuedControls(*backend, now);
}

void BackendSet::SendQueuedControls(Backend& backend, common::Instant now) {
  // What the sender decided before a standstill of the process may no longer hold.
  std::erase_if(backend.control_queue, [now](const QueuedControlRequest& item) {
    return now >= item.queued + kControlTimeout;
  });
  while (!backend.control_queue.empty()) {
    Connection* connection = backend.PickAnyFree();
    if (connection == nullptr) {
      if (backend.OpeningCount() == 0) {
        Open(backend, now, kExtraControlConnections);
      }
      return;
    }
    const QueuedControlRequest item = backend.control_queue.front();
    backend.control_queue.pop_front();
    connection->outstanding.push_back(
        {RequestPurpose::kControl, now, item.number, backend.log_end, std::nullopt});
    outbox_.Emit(SendRequests{connection->number, {item.request}});
  }
}

void BackendSet::FinishControl(ControlNumber number,
                               const std::optional<model::InstanceStatus>& status,
                               common::Instant now) {
  const auto found = controls_.find(number);
  if (found == controls_.end()) {
    return;
  }
  const PendingControl control = std::move(found->second);
  controls_.erase(found);
  control.callback(status, now);
}

void BackendSet::Release(Backend& backend, Connection& connection, common::Instant now) {
  connection.session.reset();
  const bool in_transaction = connection.state != model::TransactionState::kIdle;
  if (connection.outstanding.empty() && in_transaction) {
    model::Command rollback;
    rollback.kind = model::CommandKind::kRollback;
    Send(backend, connection, {model::SessionRequest{"", rollback, std::nullopt}},
         RequestPurpose::kCleanup, now);
    return;
  }
  SendQueuedControls(backend, now);
}

void BackendSet::Close(Backend& backend, ConnectionNumber number) {
  Connection* connection = backend.Find(number);
  if (connection == nullptr) {
    return;
  }
  outbox_.Emit(CloseConnection{number});
  backend_ids_by_connection_.erase(number);
  std::vector<ControlNumber> unanswered;
  for (const OutstandingRequest& outstanding : connection->outstanding) {
    if (outstanding.purpose == RequestPurpose::kControl) {
      unanswered.push_back(outstanding.control);
    }
  }
  backend.Remove(number);
  for (const ControlNumber control : unanswered) {
    // Expires the request; ExpireControls calls its callback.
    const auto pending = controls_.find(control);
    if (pending != controls_.end()) {
      pending->second.started = common::Instant(0);
    }
  }
}

Backend* BackendSet::BackendOf(ConnectionNumber number) {
  const auto found = backend_ids_by_connection_.find(number);
  return found == backend_ids_by_connection_.end() ? nullptr : Find(found->second);
}

void BackendSet::OnOpened(ConnectionNumber number, common::Instant now) {
  Backend* backend = BackendOf(number);
  if (backend == nullptr) {
    return;
  }
  const bool was_unreachable = backend->Unreachable();
  const bool may_have_restarted = was_unreachable || backend->Connections().size() == 1;
  backend->address_taken = false;
  DetectRestart(*backend, now);
  backend->OnContact(now);
  if (was_unreachable) {
    outbox_.Log("instance_regained", {{"instance", backend->Entry().id}});
  }
  Connection* connection = backend->Find(number);
  connection->open = true;
  connection->opened = now;
  connection->last_used = now;
  if (may_have_restarted && backend->status) {
    // The status shows a restart before the entry does; a daemon that cannot reach the store never
    // receives the entry.
    QueueControlRequest(
        backend->Entry().id, {model::ControlKind::kStatus, 0},
        [](const std::optional<model::InstanceStatus>&, common::Instant) {}, now);
  }
  SendQueuedControls(*backend, now);
  observer_->OnCapacity(now);
}

void BackendSet::DetectRestart(Backend& backend, common::Instant now) {
  const bool may_have_restarted = backend.restart_detection.on_connection_opened();
  if (warm_up_observer_ == nullptr) {
    return;
  }
  if (may_have_restarted) {
    warm_up_observer_->on_possible_restart(backend.Entry(), now);
    return;
  }
  const bool connected = std::any_of(backend.Connections().begin(), backend.Connections().end(),
                                     [](const auto& each) { return each.second.open; });
  if (!connected && !backend.ContactedWithin(kNoRestartGap, now)) {
    warm_up_observer_->on_first_contact(backend.Entry(), now);
  }
}

void BackendSet::OnOpenFailed(ConnectionNumber number, OpenFailure failure, model::ErrorCode error,
                              common::Instant now) {
  Backend* backend = BackendOf(number);
  if (backend == nullptr) {
    return;
  }
  backend_ids_by_connection_.erase(number);
  backend->Remove(number);
  const bool wrong_instance =
      failure == OpenFailure::kRejected && error == model::ErrorCode::kWrongInstance;
  if (failure != OpenFailure::kRejected || wrong_instance) {
    backend->address_taken = wrong_instance;
    const bool was_unreachable = backend->Unreachable();
    backend->OnOpenFailed(now, failure != OpenFailure::kTimedOut);
    if (!was_unreachable && backend->Unreachable()) {
      backend->restart_detection.on_connection_lost(now);
      outbox_.Log("instance_lost",
                  {{"instance", backend->Entry().id}, {"reason", OpenFailureName(failure)}},
                  LogLevel::kWarning);
    }
  } else {
    backend->OnContact(now);
    backend->DelayOpening(now + kRejectedPause);
    outbox_.Log("connection_rejected",
                {{"instance", backend->Entry().id}, {"reason", model::ErrorCodeName(error)}});
  }
  observer_->OnCapacity(now);
}

void BackendSet::OnAnswered(ConnectionNumber number, const model::Reply& reply,
                            common::Instant now) {
  Backend* backend = BackendOf(number);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(number);
  if (connection == nullptr) {
    return;
  }
  backend->OnContact(now);
  if (connection->outstanding.empty()) {
    OnClosed(number, now);
    outbox_.Emit(CloseConnection{number});
    return;
  }
  const OutstandingRequest outstanding = connection->outstanding.front();
  connection->outstanding.pop_front();
  connection->state = reply.state;
  connection->last_used = now;
  if (reply.position) {
    backend->log_end = std::max(backend->log_end, *reply.position);
  }
  const bool not_restarted =
      backend->restart_detection.on_answer(connection->opened, outstanding.sent);
  if (not_restarted && warm_up_observer_ != nullptr) {
    warm_up_observer_->on_restart_ruled_out(backend->Entry());
  }
  if (reply.succeeded && outstanding.preparation) {
    connection->OnPrepared(*outstanding.preparation);
  }
  if (outstanding.purpose == RequestPurpose::kControl) {
    if (reply.status) {
      ApplyStatus(*backend, *reply.status, outstanding.sent, now);
    }
    FinishControl(outstanding.control, reply.status, now);
    // The callback may have closed the connection.
    connection = backend->Find(number);
  } else if (connection->session) {
    observer_->OnAnswer(*backend, *connection, outstanding, reply, now);
    connection = backend->Find(number);
  }
  if (connection == nullptr) {
    return;
  }
  if (!connection->session && connection->outstanding.empty()) {
    Release(*backend, *connection, now);
    observer_->OnCapacity(now);
  }
}

void BackendSet::OnClosed(ConnectionNumber number, common::Instant now) {
  Backend* backend = BackendOf(number);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(number);
  if (connection == nullptr) {
    return;
  }
  if (!connection->open) {
    OnOpenFailed(number, OpenFailure::kRefused, model::ErrorCode::kFailed, now);
    return;
  }
  backend->restart_detection.on_connection_lost(now);
  DropLostConnection(*backend, number, now);
  // Reconnects at once to check whether the instance still listens.
  if (backend->Connections().empty() && IsWatched(backend->Entry().service)) {
    Open(*backend, now);
  }
}

void BackendSet::DropLostConnection(Backend& backend, ConnectionNumber number,
                                    common::Instant now) {
  Connection lost = std::move(*backend.Find(number));
  backend_ids_by_connection_.erase(number);
  backend.Remove(number);
  for (const OutstandingRequest& outstanding : lost.outstanding) {
    if (outstanding.purpose == RequestPurpose::kControl) {
      FinishControl(outstanding.control, std::nullopt, now);
    }
  }
  if (lost.session) {
    observer_->OnLost(backend, lost, now);
  }
}

void BackendSet::ExpireControls(common::Instant now) {
  std::vector<ControlNumber> expired;
  for (const auto& [number, control] : controls_) {
    if (now >= control.started + kControlTimeout) {
      expired.push_back(number);
    }
  }
  for (const ControlNumber number : expired) {
    if (Backend* backend = Find(controls_[number].instance)) {
      std::erase_if(backend->control_queue,
                    [number](const QueuedControlRequest& item) { return item.number == number; });
    }
    FinishControl(number, std::nullopt, now);
  }
}

void BackendSet::CheckHealth(Backend& backend, common::Instant now) {
  const bool probe_due = now >= backend.probe_sent_at + kProbePause;
  if (backend.IsUnresponsive(now) && !backend.Unreachable() && probe_due) {
    backend.probe_sent_at = now;
    const std::string id = backend.Entry().id;
    QueueControlRequest(
        id, {model::ControlKind::kStatus, 0},
        [this, id](const std::optional<model::InstanceStatus>& status, common::Instant at) {
          Backend* probed = Find(id);
          if (probed == nullptr || status || probed->Unreachable()) {
            return;
          }
          probed->OnProbeFailed(at);
          if (probed->Unreachable()) {
            probed->restart_detection.on_connection_lost(at);
            outbox_.Log("instance_lost", {{"instance", id}, {"reason", "silent"}},
                        LogLevel::kWarning);
          }
        },
        now);
  }
  const bool watched = IsWatched(backend.Entry().service);
  const bool needs_connection = backend.Unreachable() || backend.Connections().empty();
  if (watched && needs_connection && backend.OpeningCount() == 0) {
    Open(backend, now, kExtraControlConnections);
  }
}

void BackendSet::TrimConnections(Backend& backend, common::Instant now) {
  std::vector<ConnectionNumber> closing;
  const std::size_t limit = ConnectionLimit(backend.Entry().service);
  const bool watched = IsWatched(backend.Entry().service);
  std::size_t total = backend.Connections().size();
  std::vector<ConnectionNumber> timed_out;
  for (auto& [number, connection] : backend.Connections()) {
    if (!connection.open && now >= connection.created + kOpenTimeout) {
      timed_out.push_back(number);
    }
    const bool idle = connection.open && connection.outstanding.empty() && !connection.session;
    const common::Duration idle_limit = watched ? kIdleLimit : kUnwatchedIdleLimit;
    const std::size_t kept = watched ? 1 : 0;
    const bool unused = total > kept && now >= connection.last_used + idle_limit;
    const bool surplus = idle && (total > limit || unused);
    const bool abandoned = !connection.session && !connection.outstanding.empty() &&
                           now >= connection.outstanding.front().sent + kAbandonedLimit;
    if (surplus || abandoned) {
      closing.push_back(number);
      --total;
    }
  }
  for (const ConnectionNumber number : closing) {
    Close(backend, number);
  }
  for (const ConnectionNumber number : timed_out) {
    outbox_.Emit(CloseConnection{number});
    OnOpenFailed(number, OpenFailure::kTimedOut, model::ErrorCode::kFailed, now);
  }
}

bool BackendSet::CloseIfTerminated(Backend& backend, common::Instant now) {
  const bool terminated = backend.unlisted_since && backend.Unreachable() &&
                          now >= *backend.unlisted_since + kRemovalDelay;
  if (!terminated) {
    return false;
  }
  // Sessions whose transaction is open there learn that it is lost.
  while (!backend.Connections().empty()) {
    const ConnectionNumber number = backend.Connections().begin()->first;
    outbox_.Emit(CloseConnection{number});
    DropLostConnection(backend, number, now);
  }
  const std::deque<QueuedControlRequest> queued = std::exchange(backend.control_queue, {});
  for (const QueuedControlRequest& item : queued) {
    FinishControl(item.number, std::nullopt, now);
  }
  return true;
}

void BackendSet::Tick(common::Instant now) {
  ExpireControls(now);
  if (now < check_due_) {
    return;
  }
  check_due_ = now + kCheckInterval;
  std::vector<std::string> terminated;
  for (auto& [id, backend] : backends_) {
    CheckHealth(backend, now);
    TrimConnections(backend, now);
    if (CloseIfTerminated(backend, now)) {
      terminated.push_back(id);
    }
  }
  for (const std::string& id : terminated) {
    RemoveFromService(backends_.at(id).Entry());
    backends_.erase(id);
  }
}

}  // namespace valvekeel::proxy
