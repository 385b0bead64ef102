// What the decisions on waiting (waiting/service_queues.h) mean for operations: who is refused,
// and when its caller should come back.

#include <algorithm>

#include "proxy/dispatcher.h"
#include "waiting/come_back.h"

namespace valvekeel::proxy {
namespace {

constexpr const char* kRefusedEarly = "refused early: ";
/// Time in which refusals of one session, without a success between, count as attempts of one
/// request: the shortest deadline of the callers that try again.
constexpr common::Duration kRetryMemory{2'000'000};

common::Instant HoldEnd(const Operation& operation) {
  return std::min(operation.hold_until, operation.deadline);
}

}  // namespace

waiting::target Dispatcher::TargetOf(const Session& session) const {
  const waiting::need needs = NeedsPrimary(session) ? waiting::need::primary : waiting::need::any;
  return {session.operation->route.service, needs};
}

void Dispatcher::JoinQueue(const Session& session) {
  const Operation& operation = *session.operation;
  waiting::waiter waiter;
  waiter.number = session.number;
  waiter.tenant = operation.tenant;
  waiter.priority = operation.route.priority;
  waiter.target_latency = operation.route.target_latency;
  waiter.arrived = operation.arrived;
  waiter.hold_until = HoldEnd(operation);
  const waiting::target target = TargetOf(session);
  waiter.needs = target.needs;
  waiting_.add(target.service, waiter, operation.waits_for_room);
}

void Dispatcher::NoteNoRoom(Session& session, std::size_t places, common::Instant now) {
  // Of a read that was sent and not answered it is not known that it did not run.
  session.operation->waits_for_room = session.operation->resends == 0;
  waiting_.note_blocked(TargetOf(session), places, now);
}

void Dispatcher::NoteStarted(const Session& session, common::Instant now) {
  const Operation& operation = *session.operation;
  waiting_.note_started(TargetOf(session),
                        {session.number, operation.route.priority, operation.tenant}, now);
}

void Dispatcher::ObserveOperation(const Session& session, const Operation& operation,
                                  common::Instant now) {
  const bool sent = operation.phase != OperationPhase::kWaiting;
  const bool in_transaction = sent && operation.attempts == 0;  // where the room was taken before
  if (load_observer_ == nullptr || in_transaction) {
    return;
  }
  waiting::arrival came;
  came.at = operation.arrived;
  came.service = operation.route.service;
  came.needs = TargetOf(session).needs;
  came.tenant = operation.tenant;
  came.priority = operation.route.priority;
  came.target_latency = operation.route.target_latency;
  came.hold = HoldEnd(operation) - operation.arrived;
  came.work = sent ? now - operation.sent : common::Duration(0);
  load_observer_->note_operation(came);
}

void Dispatcher::ObserveCapacity(common::Instant now) {
  if (load_observer_ == nullptr) {
    return;
  }
  std::map<std::string, std::size_t> slots;
  std::map<std::string, std::size_t> slots_at_primary;
  for (const auto& [id, backend] : backends_.All()) {
    const std::string& service = backend.Entry().service;
    const bool usable = placement_.AcceptsWork(backend, now);
    const std::size_t limit = usable ? static_cast<std::size_t>(backend.InFlightLimit()) : 0;
    slots[service] += limit;
    slots_at_primary[service] += groups_.UsablePrimary(service, now) == id ? limit : 0;
  }
  for (const auto& [service, count] : slots) {
    load_observer_->note_capacity({now, service, waiting::need::any, count});
    load_observer_->note_capacity(
        {now, service, waiting::need::primary, slots_at_primary[service]});
  }
}

void Dispatcher::RefuseHopeless(common::Instant now) {
  if (!settings_.early_refusal) {
    return;
  }
  for (const waiting::hopeless& found : waiting_.find_hopeless(now)) {
    Session* session = Find(found.number);
    const bool waits = session != nullptr && session->operation &&
                       session->operation->phase == OperationPhase::kWaiting;
    if (!waits) {
      continue;  // another's refusal gave it room
    }
    session->operation->forecast = found.likely_wait;
    ++counters_.refused_early;
    RefuseWaiting(*session, std::string(kRefusedEarly) + session->operation->last_refusal, now);
  }
}

void Dispatcher::RefuseHeld(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  ++counters_.held_in_vain[operation.last_refusal];
  if (operation.waits_for_room) {
    operation.forecast = waiting_.likely_wait(TargetOf(session), now);
  }
  RefuseWaiting(session, operation.last_refusal, now);
}

void Dispatcher::RefuseWaiting(Session& session, const std::string& reason, common::Instant now) {
  const Operation& operation = *session.operation;
  const bool tries_again = session.refused_since && now < *session.refused_since + kRetryMemory;
  session.refused_since = tries_again ? *session.refused_since : operation.arrived;
  waiting::refused_attempt refused;
  refused.session = session.number;
  refused.since_first = now - *session.refused_since;
  refused.hold = HoldEnd(operation) - operation.arrived;
  refused.target_latency = operation.route.target_latency;
  refused.likely_wait = operation.forecast;
  const common::Duration pause = waiting::come_back(refused);
  FinishWithError(session, model::ErrorCode::kBusy,
                  "retry_after_ms=" + MillisecondsText(pause) + " " + reason, now);
}

}  // namespace valvekeel::proxy
