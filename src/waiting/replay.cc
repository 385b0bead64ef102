// Replay of a load, a millisecond at a time.

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
/** How often a daemon looks at who waits. */
constexpr common::Duration TICK{10'000};
/** Time that all refused callers were told before. */
constexpr common::Duration STANDING_COME_BACK{250'000};
constexpr std::size_t NEEDS = 2;
/** Callers come up to so many steps later than told, as their links and timers have it. Without
 * this all that return do so at a tick, and the phase decides who is served. */
constexpr std::uint64_t MOST_DELAY_STEPS = 20;
/** More than the attempts of a caller. */
constexpr std::uint64_t ATTEMPTS_COUNTED = 64;

/** One caller through all its attempts. */
struct caller {
  const arrival* asks = nullptr;
  std::uint32_t attempts = 0;
  common::Instant attempt_at{0};
  bool for_room = false;
};

/** The slots of a service's instances for one need. */
struct slots {
  std::size_t capacity = 0;
  std::size_t running = 0;
};

/** Something that happens to a caller at a time. */
struct timed {
  common::Instant at{0};
  std::size_t caller = 0;

  bool operator>(const timed& other) const {
    return std::pair(this->at, this->caller) > std::pair(other.at, other.caller);
  }
};

using timeline = std::priority_queue<timed, std::vector<timed>, std::greater<>>;

class player {
 public:
  player(const trace& played, policy by) : played(played), by(by) {
    this->queues.set_tenants(played.tenants);
    for (const arrival& each : played.arrivals) {
      this->callers.push_back({&each, 0, each.at, false});
      this->coming.push({each.at, this->callers.size() - 1});
    }
  }

  replay_result run() {
    for (common::Instant now{0}; this->is_open(); now += STEP) {
      this->take_capacities(now);
      this->take_ends(now);
      this->take_attempts(now);
      if (now % TICK == common::Duration(0)) {
        this->tick(now);
      }
    }
    return std::move(this->result);
  }

 private:
  bool is_open() const {
    return !this->coming.empty() || !this->ending.empty() || !this->queues.empty();
  }

  bool is_fair() const { return this->by == policy::fair; }

  outcome& outcome_of(const caller& of) { return this->result.by_tenant[of.asks->tenant]; }

  std::array<slots, NEEDS>& slots_at(const std::string& service) {
    return this->slots_by_service[service];
  }

  slots& slots_of(const caller& of) {
    return this->slots_at(of.asks->service).at(static_cast<std::size_t>(of.asks->needs));
  }

  static target target_of(const caller& of) { return {of.asks->service, of.asks->needs}; }

  /** @return the tenant by which the caller is queued. */
  std::string queue_tenant(const caller& of) const {
    return this->is_fair() ? of.asks->tenant : std::string();
  }

  void take_capacities(common::Instant now) {
    bool changed = false;
    while (this->next_capacity < this->played.capacities.size() &&
           this->played.capacities.at(this->next_capacity).at <= now) {
      const capacity_change& change = this->played.capacities.at(this->next_capacity);
      this->slots_at(change.service).at(static_cast<std::size_t>(change.needs)).capacity =
          change.slots;
      ++this->next_capacity;
      changed = true;
    }
    if (changed) {
      this->pump(now);
    }
  }

  void take_ends(common::Instant now) {
    while (!this->ending.empty() && this->ending.top().at <= now) {
      const timed end = this->ending.top();
      this->ending.pop();
      const caller& served = this->callers.at(end.caller);
      --this->slots_of(served).running;
      const bool in_time = end.at - served.asks->at <= served.asks->target_latency;
      outcome& of = this->outcome_of(served);
      ++(in_time ? of.in_time : of.late);
      this->pump(now);
    }
  }

  void take_attempts(common::Instant now) {
    while (!this->coming.empty() && this->coming.top().at <= now) {
      const std::size_t number = this->coming.top().caller;
      this->coming.pop();
      this->attempt(number, now);
    }
  }

  void attempt(std::size_t number, common::Instant now) {
    caller& comes = this->callers.at(number);
    comes.attempt_at = now;
    ++comes.attempts;
    if (comes.attempts == 1) {
      ++this->outcome_of(comes).callers;
    } else {
      this->note_return(now);
    }
    if (this->try_start(number, now)) {
      return;
    }
    waiter added;
    added.number = number;
    added.tenant = this->queue_tenant(comes);
    added.priority = comes.asks->priority;
    added.target_latency = comes.asks->target_latency;
    added.arrived = now;
    added.queue_deadline = now + comes.asks->max_wait;
    added.needs = comes.asks->needs;
    this->queues.add(comes.asks->service, added, comes.for_room);
    this->result.most_waiting = std::max(this->result.most_waiting, this->queues.size());
  }

  void note_return(common::Instant now) {
    this->returns.push(now);
    while (this->returns.front() + RETRY_WINDOW <= now) {
      this->returns.pop();
    }
    this->result.most_returning = std::max(this->result.most_returning, this->returns.size());
  }

  bool try_start(std::size_t number, common::Instant now) {
    caller& tried = this->callers.at(number);
    slots& at = this->slots_of(tried);
    tried.for_room = at.capacity > 0;
    if (at.capacity == 0) {
      this->queues.on_no_instance(target_of(tried), now);
      return false;
    }
    if (at.running >= at.capacity) {
      this->queues.on_no_free_slot(target_of(tried), at.capacity, now);
      return false;
    }
    this->queues.on_started(target_of(tried),
                            {number, tried.asks->priority, this->queue_tenant(tried)}, now);
    ++at.running;
    this->ending.push({now + tried.asks->work, number});
    return true;
  }

  void pump(common::Instant now) {
    for (const queue_entry& each : this->queues.order()) {
      if (this->try_start(each.number, now)) {
        this->queues.remove(each.number);
      } else {
        this->queues.set_waits_only_for_slot(each.number, this->callers.at(each.number).for_room);
      }
    }
  }

  void tick(common::Instant now) {
    const std::vector<queue_entry> waiting = this->queues.order();
    for (const queue_entry& each : waiting) {
      if (now >= each.queue_deadline) {
        this->refuse_held(each.number, now);
      }
    }
    this->pump(now);
    if (!this->is_fair()) {
      return;
    }
    for (const late_waiter& found : this->queues.find_late_waiters(now)) {
      this->refuse(found.number, found.expected_wait, now);
    }
  }

  void refuse_held(std::size_t number, common::Instant now) {
    const caller& held = this->callers.at(number);
    ++this->outcome_of(held).held_in_vain;
    const auto likely =
        held.for_room ? this->queues.expected_wait(target_of(held), now) : std::nullopt;
    this->refuse(number, likely, now);
  }

  void refuse(std::size_t number, const std::optional<common::Duration>& likely_wait,
              common::Instant now) {
    this->queues.remove(number);
    const caller& refused = this->callers.at(number);
    outcome& of = this->outcome_of(refused);
    ++of.refusals;
    of.refusal_time += now - refused.attempt_at;
    const common::Duration pause = this->pause_of(number, likely_wait, now);
    const bool again = refused.attempts <= this->played.retries &&
                       now + pause < refused.asks->at + this->played.deadline;
    if (again) {
      this->coming.push({now + pause + this->delay_of(number), number});
    } else {
      ++of.refused;
    }
  }

  /** @return the time that a refused caller is told. */
  common::Duration pause_of(std::size_t number, const std::optional<common::Duration>& likely_wait,
                            common::Instant now) const {
    if (!this->is_fair()) {
      return STANDING_COME_BACK;
    }
    const caller& told = this->callers.at(number);
    refused_attempt attempt;
    attempt.session = number;
    attempt.since_first = now - told.asks->at;
    attempt.max_wait = told.asks->max_wait;
    attempt.target_latency = told.asks->target_latency;
    attempt.expected_wait = likely_wait;
    return retry_after(attempt);
  }

  /** @return how much later than told a caller comes. */
  common::Duration delay_of(std::size_t number) const {
    const std::uint64_t attempt = number * ATTEMPTS_COUNTED + this->callers.at(number).attempts;
    return STEP * static_cast<std::int64_t>(common::MixHash(attempt) % MOST_DELAY_STEPS);
  }

  const trace& played;
  policy by;
  service_queues queues;
  std::vector<caller> callers;
  std::map<std::string, std::array<slots, NEEDS>> slots_by_service;
  timeline coming;
  timeline ending;
  std::queue<common::Instant> returns;  // in the last RETURN_WINDOW
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

replay_result replay(const trace& played, policy by) { return player(played, by).run(); }

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

std::vector<expected_outcome> unmet_expectations(const trace& played, const replay_result& result) {
  std::vector<expected_outcome> found;
  for (const expected_outcome& each : played.expectations) {
    const auto value = figure(result, each.tenant, each.figure);
    const bool met = value && (each.at_least ? *value >= each.value : *value <= each.value);
    if (!met) {
      found.push_back(each);
    }
  }
  return found;
}

}  // namespace valvekeel::waiting
