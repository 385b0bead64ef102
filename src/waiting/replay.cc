// Simulates the load of a trace in steps of a millisecond.

#include "waiting/replay.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <queue>
#include <utility>

#include "common/stable_hash.h"
#include "waiting/retry_after.h"
#include "waiting/service_queues.h"

namespace valvekeel::waiting {
namespace {

constexpr common::Duration STEP{1'000};
/** Interval at which a daemon checks its queued operations. */
constexpr common::Duration TICK{10'000};
/** Retry-after time of every refusal under the baseline policy. */
constexpr common::Duration BASELINE_RETRY_AFTER{250'000};
constexpr std::size_t NEED_COUNT = 2;
/** Callers retry fewer than this many steps late, because of their network links and timers.
 * Without the delay all retries arrive at a tick, and the phase decides which of them are served.
 */
constexpr std::uint64_t MAX_DELAY_STEPS = 20;
/** Above the number of attempts of a caller, so that each attempt has its own hash. */
constexpr std::uint64_t MAX_ATTEMPTS = 64;

/** A caller over all its attempts. */
struct caller {
  const arrival* request = nullptr;
  std::uint32_t attempts = 0;
  common::Instant attempt_at{0};
  bool waits_only_for_slot = false;
};

/** Slots of a service for one need. */
struct slot_usage {
  std::size_t capacity = 0;
  std::size_t running = 0;
};

/** A scheduled event of a caller. */
struct caller_event {
  common::Instant at{0};
  std::size_t caller = 0;

  bool operator>(const caller_event& other) const {
    return std::pair(this->at, this->caller) > std::pair(other.at, other.caller);
  }
};

using event_queue = std::priority_queue<caller_event, std::vector<caller_event>, std::greater<>>;

class replayer {
 public:
  replayer(const trace& load, policy used_policy) : load(load), used_policy(used_policy) {
    this->queues.set_tenants(load.tenants);
    for (const arrival& each : load.arrivals) {
      this->callers.push_back({&each, 0, each.at, false});
      this->pending_attempts.push({each.at, this->callers.size() - 1});
    }
  }

  replay_result run() {
    for (common::Instant now{0}; this->has_work(); now += STEP) {
      this->apply_capacity_changes(now);
      this->complete_finished(now);
      this->run_due_attempts(now);
      if (now % TICK == common::Duration(0)) {
        this->tick(now);
      }
    }
    return std::move(this->result);
  }

 private:
  bool has_work() const {
    return !this->pending_attempts.empty() || !this->completions.empty() || !this->queues.empty();
  }

  bool is_fair() const { return this->used_policy == policy::fair; }

  outcome& outcome_of(const caller& of) { return this->result.by_tenant[of.request->tenant]; }

  std::array<slot_usage, NEED_COUNT>& usages_at(const std::string& service) {
    return this->usage_by_service[service];
  }

  slot_usage& usage_of(const caller& of) {
    return this->usages_at(of.request->service).at(static_cast<std::size_t>(of.request->needs));
  }

  static target target_of(const caller& of) { return {of.request->service, of.request->needs}; }

  /** @return the tenant under which the caller is queued; the baseline queues without tenants. */
  std::string tenant_for_queue(const caller& of) const {
    return this->is_fair() ? of.request->tenant : std::string();
  }

  void apply_capacity_changes(common::Instant now) {
    bool changed = false;
    while (this->next_capacity < this->load.capacities.size() &&
           this->load.capacities.at(this->next_capacity).at <= now) {
      const capacity_change& change = this->load.capacities.at(this->next_capacity);
      this->usages_at(change.service).at(static_cast<std::size_t>(change.needs)).capacity =
          change.slots;
      ++this->next_capacity;
      changed = true;
    }
    if (changed) {
      this->start_queued(now);
    }
  }

  void complete_finished(common::Instant now) {
    while (!this->completions.empty() && this->completions.top().at <= now) {
      const caller_event end = this->completions.top();
      this->completions.pop();
      const caller& served = this->callers.at(end.caller);
      --this->usage_of(served).running;
      const bool in_time = end.at - served.request->at <= served.request->target_latency;
      outcome& of = this->outcome_of(served);
      ++(in_time ? of.in_time : of.late);
      this->start_queued(now);
    }
  }

  void run_due_attempts(common::Instant now) {
    while (!this->pending_attempts.empty() && this->pending_attempts.top().at <= now) {
      const std::size_t number = this->pending_attempts.top().caller;
      this->pending_attempts.pop();
      this->attempt(number, now);
    }
  }

  void attempt(std::size_t number, common::Instant now) {
    caller& arriving = this->callers.at(number);
    arriving.attempt_at = now;
    ++arriving.attempts;
    if (arriving.attempts == 1) {
      ++this->outcome_of(arriving).callers;
    } else {
      this->record_retry(now);
    }
    if (this->try_start(number, now)) {
      return;
    }
    waiter added;
    added.number = number;
    added.tenant = this->tenant_for_queue(arriving);
    added.priority = arriving.request->priority;
    added.target_latency = arriving.request->target_latency;
    added.arrived = now;
    added.queue_deadline = now + arriving.request->max_wait;
    added.needs = arriving.request->needs;
    this->queues.add(arriving.request->service, added, arriving.waits_only_for_slot);
    this->result.most_waiting = std::max(this->result.most_waiting, this->queues.size());
  }

  void record_retry(common::Instant now) {
    this->recent_retries.push(now);
    while (this->recent_retries.front() + RETRY_WINDOW <= now) {
      this->recent_retries.pop();
    }
    this->result.most_returning =
        std::max(this->result.most_returning, this->recent_retries.size());
  }

  bool try_start(std::size_t number, common::Instant now) {
    caller& tried = this->callers.at(number);
    slot_usage& at = this->usage_of(tried);
    tried.waits_only_for_slot = at.capacity > 0;
    if (at.capacity == 0) {
      this->queues.on_no_instance(target_of(tried), now);
      return false;
    }
    if (at.running >= at.capacity) {
      this->queues.on_no_free_slot(target_of(tried), at.capacity, now);
      return false;
    }
    this->queues.on_started(target_of(tried),
                            {number, tried.request->priority, this->tenant_for_queue(tried)}, now);
    ++at.running;
    this->completions.push({now + tried.request->work, number});
    return true;
  }

  void start_queued(common::Instant now) {
    for (const queue_entry& each : this->queues.order()) {
      if (this->try_start(each.number, now)) {
        this->queues.remove(each.number);
      } else {
        this->queues.set_waits_only_for_slot(each.number,
                                             this->callers.at(each.number).waits_only_for_slot);
      }
    }
  }

  void tick(common::Instant now) {
    const std::vector<queue_entry> waiting = this->queues.order();
    for (const queue_entry& each : waiting) {
      if (now >= each.queue_deadline) {
        this->refuse_at_deadline(each.number, now);
      }
    }
    this->start_queued(now);
    if (!this->is_fair()) {
      return;
    }
    for (const late_waiter& found : this->queues.find_late_waiters(now)) {
      this->refuse(found.number, found.expected_wait, now);
    }
  }

  void refuse_at_deadline(std::size_t number, common::Instant now) {
    const caller& expired = this->callers.at(number);
    ++this->outcome_of(expired).held_in_vain;
    const auto expected = expired.waits_only_for_slot
                              ? this->queues.expected_wait(target_of(expired), now)
                              : std::nullopt;
    this->refuse(number, expected, now);
  }

  void refuse(std::size_t number, const std::optional<common::Duration>& expected_wait,
              common::Instant now) {
    this->queues.remove(number);
    const caller& refused = this->callers.at(number);
    outcome& of = this->outcome_of(refused);
    ++of.refusals;
    of.refusal_time += now - refused.attempt_at;
    const common::Duration delay = this->retry_after_of(number, expected_wait, now);
    const bool again = refused.attempts <= this->load.retries &&
                       now + delay < refused.request->at + this->load.deadline;
    if (again) {
      this->pending_attempts.push({now + delay + this->extra_delay_of(number), number});
    } else {
      ++of.refused;
    }
  }

  /** @return the retry-after time of a refused caller. */
  common::Duration retry_after_of(std::size_t number,
                                  const std::optional<common::Duration>& expected_wait,
                                  common::Instant now) const {
    if (!this->is_fair()) {
      return BASELINE_RETRY_AFTER;
    }
    const caller& refused = this->callers.at(number);
    refused_attempt attempt;
    attempt.session = number;
    attempt.since_first = now - refused.request->at;
    attempt.max_wait = refused.request->max_wait;
    attempt.target_latency = refused.request->target_latency;
    attempt.expected_wait = expected_wait;
    return retry_after(attempt);
  }

  /** @return how much later than its retry-after time a caller retries. */
  common::Duration extra_delay_of(std::size_t number) const {
    const std::uint64_t attempt = number * MAX_ATTEMPTS + this->callers.at(number).attempts;
    return STEP * static_cast<std::int64_t>(common::MixHash(attempt) % MAX_DELAY_STEPS);
  }

  const trace& load;
  policy used_policy;
  service_queues queues;
  std::vector<caller> callers;
  std::map<std::string, std::array<slot_usage, NEED_COUNT>> usage_by_service;
  event_queue pending_attempts;
  event_queue completions;
  std::queue<common::Instant> recent_retries;  // within the last RETRY_WINDOW
  std::size_t next_capacity = 0;
  replay_result result;
};

std::optional<double> figure_of(const outcome& of, const std::string& name) {
  const std::map<std::string, std::size_t> counts = {
      {"callers", of.callers}, {"in_time", of.in_time},   {"late", of.late},
      {"refused", of.refused}, {"refusals", of.refusals}, {"held_in_vain", of.held_in_vain}};
  const auto count = counts.find(name);
  if (count != counts.end()) {
    return static_cast<double>(count->second);
  }
  if (name != "refusal_ms") {
    return std::nullopt;
  }
  constexpr double MICROSECONDS_IN_MILLISECOND = 1'000;
  return of.refusals == 0 ? 0
                          : static_cast<double>(of.refusal_time.count()) /
                                MICROSECONDS_IN_MILLISECOND / static_cast<double>(of.refusals);
}

}  // namespace

replay_result replay(const trace& load, policy used_policy) {
  return replayer(load, used_policy).run();
}

outcome total(const replay_result& of) {
  outcome sum;
  for (const auto& [tenant, each] : of.by_tenant) {
    sum.callers += each.callers;
    sum.in_time += each.in_time;
    sum.late += each.late;
    sum.refused += each.refused;
    sum.refusals += each.refusals;
    sum.held_in_vain += each.held_in_vain;
    sum.refusal_time += each.refusal_time;
  }
  return sum;
}

std::optional<double> figure(const replay_result& of, const std::string& tenant,
                             const std::string& name) {
  if (tenant != "*") {
    const auto found = of.by_tenant.find(tenant == "-" ? "" : tenant);
    return found == of.by_tenant.end() ? std::nullopt : figure_of(found->second, name);
  }
  if (name == "most_waiting") {
    return static_cast<double>(of.most_waiting);
  }
  if (name == "most_returning") {
    return static_cast<double>(of.most_returning);
  }
  return figure_of(total(of), name);
}

std::vector<expected_outcome> unmet_expectations(const trace& load, const replay_result& result) {
  std::vector<expected_outcome> found;
  for (const expected_outcome& each : load.expectations) {
    const auto value = figure(result, each.tenant, each.figure);
    const bool met = value && (each.at_least ? *value >= each.value : *value <= each.value);
    if (!met) {
      found.push_back(each);
    }
  }
  return found;
}

}  // namespace valvekeel::waiting
