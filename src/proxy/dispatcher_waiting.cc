// Queues the dispatcher's operations (waiting/service_queues.h), refuses those that can't start in
// time with a retry-after time, and reports the load.

#include <algorithm>

#include "proxy/dispatcher.h"
#include "waiting/retry_after.h"

namespace valvekeel::proxy {
namespace {

constexpr const char* kRefusedEarly = "refused early: ";
/// Refusals of one session within this time, without a success in between, count as attempts of one
/// request. It is the shortest deadline of callers that retry.
constexpr common::Duration kRetryWindow{2'000'000};

common::Instant QueueEnd(const Operation& operation) {
  return std::min(operation.queue_deadline, operation.deadline);
}

}  // namespace

waiting::target Dispatcher::TargetOf(const Session& session) const {
  const waiting::need needs = NeedsPrimary(session) ? waiting::need::primary : waiting::need::any;
  return {session.operation->route.service, needs};
}

void Dispatcher::Enqueue(const Session& session) {
  const Operation& operation = *session.operation;
  waiting::waiter waiter;
  waiter.number = session.number;
  waiter.tenant = operation.tenant;
  waiter.priority = operation.route.priority;
  waiter.target_latency = operation.route.target_latency;
  waiter.arrived = operation.arrived;
  waiter.queue_deadline = QueueEnd(operation);
  const waiting::target target = TargetOf(session);
  waiter.needs = target.needs;
  queues_.add(target.service, waiter, operation.waits_only_for_slot);
}

void Dispatcher::RecordNoFreeSlot(Session& session, std::size_t instances, common::Instant now) {
  // A read that was sent without an answer may have run; it is not refused early.
  session.operation->waits_only_for_slot = session.operation->resends == 0;
  queues_.on_no_free_slot(TargetOf(session), instances, now);
}

void Dispatcher::RecordStart(const Session& session, common::Instant now) {
  const Operation& operation = *session.operation;
  queues_.on_started(TargetOf(session),
                     {session.number, operation.route.priority, operation.tenant}, now);
}

void Dispatcher::ReportOperation(const Session& session, const Operation& operation,
                                 common::Instant now) {
  const bool sent = operation.phase != OperationPhase::kQueued;
  const bool in_transaction = sent && operation.attempts == 0;  // it took its slot before
  if (load_observer_ == nullptr || in_transaction) {
    return;
  }
  waiting::arrival reported;
  reported.at = operation.arrived;
  reported.service = operation.route.service;
  reported.needs = TargetOf(session).needs;
  reported.tenant = operation.tenant;
  reported.priority = operation.route.priority;
  reported.target_latency = operation.route.target_latency;
  reported.max_wait = QueueEnd(operation) - operation.arrived;
  reported.work = sent ? now - operation.sent : common::Duration(0);
  load_observer_->on_operation_ended(reported);
}

void Dispatcher::ReportCapacity(common::Instant now) {
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
    load_observer_->on_capacity({now, service, waiting::need::any, count});
    load_observer_->on_capacity({now, service, waiting::need::primary, slots_at_primary[service]});
  }
}

void Dispatcher::RefuseEarly(common::Instant now) {
  if (!settings_.early_refusal) {
    return;
  }
  for (const waiting::late_waiter& late : queues_.find_late_waiters(now)) {
    Session* session = FindSession(late.number);
    const bool queued = session != nullptr && session->operation &&
                        session->operation->phase == OperationPhase::kQueued;
    if (!queued) {
      continue;  // it got a slot freed by another's refusal
    }
    session->operation->expected_wait = late.expected_wait;
    ++counters_.refused_early;
    RefuseWithRetryAfter(*session, std::string(kRefusedEarly) + session->operation->last_refusal,
                         now);
  }
}

void Dispatcher::RefuseAtQueueDeadline(Session& session, common::Instant now) {
  Operation& operation = *session.operation;
  ++counters_.refused_at_queue_deadline[operation.last_refusal];
  if (operation.waits_only_for_slot) {
    operation.expected_wait = queues_.expected_wait(TargetOf(session), now);
  }
  RefuseWithRetryAfter(session, operation.last_refusal, now);
}

void Dispatcher::RefuseWithRetryAfter(Session& session, const std::string& reason,
                                      common::Instant now) {
  const Operation& operation = *session.operation;
  const bool is_retry = session.refused_since && now < *session.refused_since + kRetryWindow;
  session.refused_since = is_retry ? *session.refused_since : operation.arrived;
  waiting::refused_attempt refused;
  refused.session = session.number;
  refused.since_first = now - *session.refused_since;
  refused.max_wait = QueueEnd(operation) - operation.arrived;
  refused.target_latency = operation.route.target_latency;
  refused.expected_wait = operation.expected_wait;
  const common::Duration pause = waiting::retry_after(refused);
  FinishWithError(session, model::ErrorCode::kBusy,
                  "retry_after_ms=" + MillisecondsText(pause) + " " + reason, now);
}

}  // namespace valvekeel::proxy
