#include "tenants/rate_allocator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace valvekeel::tenants {
namespace {

constexpr double MICROSECONDS_IN_SECOND = 1e6;

/** Part of the limit in a window from which on a tenant is held back. A tenant at five times its
 * rate uses a fifth of a window's limit in 0.25 s, which is the longest that a count needs on its
 * way. */
constexpr double HOLD_FROM = 0.75;
/** Part below which it is let go again, if its callers ask for no more than that. */
constexpr double HOLD_UNTIL = 0.5;
/** Time in which the part of a limit that is still unused may be used up. */
constexpr double UNUSED_SECONDS = 1;
/** Oldest slices of the window, which leave it next: what they held may be used anew. */
constexpr std::size_t LEAVING_SLICES = 2;
/** Most that is granted, in rates: what was used in a moment would be granted in a moment again one
 * window later. */
constexpr double MOST_RATES = 2;
/** Part of a limit that a tenant is taken to have used before anything was heard of it: about what
 * tenants use of theirs. */
constexpr double PRESUMED_PART = 0.5;
/** Part of the slack that is given out: the rest is for counts that come late. */
constexpr double SLACK_PART = 0.25;
/** Time over which a daemon's demand is averaged. */
constexpr double DEMAND_SECONDS = 1;
/** Demand that every daemon is taken to have at least, operations a second: one that has none now
 * may get a session the next moment. */
constexpr double LEAST_DEMAND = 0.1;
/** Operations that may come at once at a daemon: in seconds of its grant, and at least. */
constexpr double BURST_SECONDS = 0.5;
constexpr double LEAST_BURST = 3;
/** Change of a grant, in rates, of which all hear at once; and the time between two such. */
constexpr double MUCH = 0.3;
constexpr common::Duration TELL_PAUSE{100'000};

double seconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / MICROSECONDS_IN_SECOND;
}

}  // namespace

common::Duration rate_allocator::slice() const {
  return this->policy.rate_window / static_cast<std::int64_t>(WINDOW_SLICES);
}

void rate_allocator::set_tenants(const std::map<std::string, tenant>& tenants,
                                 common::Instant now) {
  std::unordered_map<std::uint32_t, state> next;
  for (const auto& [name, each] : tenants) {
    const std::uint32_t id = id_of(name);
    const auto known = this->states.find(id);
    state& made = next[id];
    const bool is_new = known == this->states.end();
    if (!is_new) {
      made = std::move(known->second);
    }
    const double before = made.allowed;
    made.name = name;
    made.rate = each.rate;
    made.allowed = allowed_in_window(each, this->policy) + SLACK_PART * this->policy.rate_slack;
    if (is_new) {
      made.slices.fill(PRESUMED_PART * made.allowed / static_cast<double>(WINDOW_SLICES));
    } else if (made.allowed < before) {
      // A lower limit counts from one window after it is in force: what was used before is forgiven
      // as far as it is above the new rate.
      const double most = made.rate * seconds(this->slice());
      for (double& each_slice : made.slices) {
        each_slice = std::min(each_slice, most);
      }
    }
  }
  this->states = std::move(next);
  this->advance(now);
}

void rate_allocator::note_usage(const std::string& daemon, std::uint64_t incarnation,
                                const std::vector<usage_count>& counts, common::Instant now) {
  this->advance(now);
  const auto life = this->lives.find(daemon);
  const bool first = life == this->lives.end();
  const bool new_life = !first && life->second.incarnation != incarnation;
  const common::Instant since = first ? now : life->second.heard;
  const bool from_start = new_life || (!first && life->second.heard_from_start);
  this->lives[daemon] = {incarnation, now, from_start};
  for (const usage_count& each : counts) {
    const auto found = this->states.find(each.tenant);
    if (found == this->states.end()) {
      continue;
    }
    state& of = found->second;
    part& told = of.parts[daemon];
    const bool known = told.incarnation == incarnation;
    // The first count of a life that began unheard says nothing of when it was made.
    const usage_count before = known ? told.last : (from_start ? usage_count{} : each);
    told.incarnation = incarnation;
    if (each.offered < before.offered || each.admitted < before.admitted) {
      continue;  // an older message
    }
    this->spread(of, static_cast<double>(each.admitted - before.admitted), since, now);
    const double kept = std::exp(-seconds(now - told.demand_at) / DEMAND_SECONDS);
    told.demand =
        told.demand * kept + static_cast<double>(each.offered - before.offered) / DEMAND_SECONDS;
    told.demand_at = now;
    told.last = each;
    if (!of.is_held_back) {
      this->judge(of, now);
    }
  }
}

void rate_allocator::spread(state& of, double operations, common::Instant since,
                            common::Instant now) {
  const auto passed = static_cast<std::size_t>(
      std::max<std::int64_t>(1, (now - since + this->slice() / 2) / this->slice()));
  // What lies before the window counts no more.
  for (std::size_t back = 0; back < std::min(passed, SLICES); ++back) {
    of.slices[(this->current + SLICES - back) % SLICES] += operations / static_cast<double>(passed);
  }
}

void rate_allocator::advance(common::Instant now) {
  if (!this->slice_began) {
    this->slice_began = now;
  }
  while (now >= *this->slice_began + this->slice()) {
    *this->slice_began += this->slice();
    this->current = (this->current + 1) % SLICES;
    for (auto& [id, of] : this->states) {
      of.slices[this->current] = 0;
    }
  }
}

double rate_allocator::used(const state& of) const {
  return std::accumulate(of.slices.begin(), of.slices.end(), 0.0);
}

double rate_allocator::used(const std::string& tenant) const {
  const auto found = this->states.find(id_of(tenant));
  return found == this->states.end() ? 0 : this->used(found->second);
}

double rate_allocator::demand(const state& of, common::Instant now) const {
  double total = 0;
  for (const auto& [daemon, each] : of.parts) {
    total += each.demand * std::exp(-seconds(now - each.demand_at) / DEMAND_SECONDS);
  }
  return total;
}

double rate_allocator::rate_for(const state& of) const {
  const double unused = of.allowed - this->used(of);
  double leaving = 0;
  for (std::size_t next = 1; next <= LEAVING_SLICES; ++next) {
    leaving += of.slices[(this->current + next) % SLICES];
  }
  const double leaving_rate = leaving / (LEAVING_SLICES * seconds(this->slice()));
  return std::clamp(leaving_rate + unused / UNUSED_SECONDS, 0.0, MOST_RATES * of.rate);
}

void rate_allocator::judge(state& of, common::Instant now) {
  const double used_now = this->used(of);
  const double window = seconds(this->policy.rate_window);
  const bool asks_little = this->demand(of, now) * window < HOLD_UNTIL * of.allowed;
  const bool before = of.is_held_back;
  const bool near_limit = of.rate > 0 && used_now >= HOLD_FROM * of.allowed;
  const bool far_from_limit = used_now < HOLD_UNTIL * of.allowed && asks_little;
  of.is_held_back = near_limit || (before && !far_from_limit);
  const double granted = of.is_held_back ? this->rate_for(of) : 0;
  const bool much = std::abs(granted - of.granted) > MUCH * std::max(1.0, of.rate);
  const bool tells = now >= of.told_at + TELL_PAUSE;
  if (of.is_held_back != before || (of.is_held_back && much && tells)) {
    of.told_at = now;
    this->changed = true;
    of.granted = granted;
  }
}

bool rate_allocator::tick(common::Instant now) {
  this->now = now;
  this->advance(now);
  for (auto& [id, of] : this->states) {
    this->judge(of, now);
  }
  const bool had = this->changed;
  this->changed = false;
  return had;
}

std::vector<rate_grant> rate_allocator::grants_for(const std::string& daemon) const {
  std::vector<rate_grant> grants;
  for (const auto& [id, of] : this->states) {
    if (!of.is_held_back) {
      continue;
    }
    double own = LEAST_DEMAND;
    double total = LEAST_DEMAND;
    for (const auto& [name, each] : of.parts) {
      const double asked =
          each.demand * std::exp(-seconds(this->now - each.demand_at) / DEMAND_SECONDS);
      total += asked + LEAST_DEMAND;
      own += name == daemon ? asked : 0;
    }
    const double rate = this->rate_for(of) * own / total;
    const double unused = std::max(0.0, of.allowed - this->used(of));
    const double first = unused / static_cast<double>(std::max<std::size_t>(1, of.parts.size()));
    grants.push_back({id, rate, std::max(LEAST_BURST, rate * BURST_SECONDS), std::min(1.0, first)});
  }
  return grants;
}

}  // namespace valvekeel::tenants
