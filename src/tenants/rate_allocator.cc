#include "tenants/rate_allocator.h"

#include <algorithm>
#include <cmath>

namespace valvekeel::tenants {
namespace {

/** Filling of a bucket below which a tenant is held back, and from which on it is let go. A tenant
 * at five times its rate empties half of a bucket of one second in an eighth of a second; the
 * counts of 0.25 s are on their way then, which the slack and the overage of the users' limit
 * contain. */
constexpr double HOLD_BELOW = 0.5;
constexpr double RELEASE_FROM = 0.9;
/** Filling that is presumed before anything was heard: all daemons may have come back together. */
constexpr double PRESUMED = 0.6;
/** Part of the policy's slack by which a bucket is larger than the tenant's burst: tenants with few
 * operations a second have them in lumps. */
constexpr double SLACK_PART = 0.5;
/** Time in which what a bucket holds is given out, and what it lacks is made up for. */
constexpr double TOKEN_SECONDS = 1;
/** Longest time that a daemon's counts are taken to stand for: what is older was paid for by what
 * flowed into the bucket meanwhile. */
constexpr common::Duration LONGEST_COUNTED{1'000'000};
/** Time over which a daemon's demand is averaged. */
constexpr double DEMAND_SECONDS = 1;
/** Demand that every daemon is taken to have at least, operations a second: one that has none now
 * may get a session the next moment. */
constexpr double LEAST_DEMAND = 0.1;
/** Change of a grant, in rates, of which all hear at once; and the time between two such. */
constexpr double MUCH = 0.3;
constexpr common::Duration TELL_PAUSE{100'000};

}  // namespace

void rate_allocator::set_tenants(const std::map<std::string, tenant>& tenants,
                                 common::Instant now) {
  this->advance(now);
  std::unordered_map<std::uint32_t, state> next;
  for (const auto& [name, each] : tenants) {
    const std::uint32_t id = id_of(name);
    const auto known = this->states.find(id);
    state& made = next[id];
    const bool is_new = known == this->states.end();
    if (!is_new) {
      made = std::move(known->second);
    }
    made.rate = each.rate;
    made.size = each.burst + SLACK_PART * this->policy.rate_slack;
    made.tokens = is_new ? PRESUMED * made.size : std::min(made.tokens, made.size);
  }
  this->states = std::move(next);
}

double rate_allocator::demand(const part& of, common::Instant now) {
  return of.demand * std::exp(-in_seconds(now - of.demand_at) / DEMAND_SECONDS);
}

void rate_allocator::note_usage(const std::string& daemon, std::uint64_t incarnation,
                                const std::vector<usage_count>& counts, common::Instant now) {
  this->advance(now);
  const auto life = this->lives.find(daemon);
  const bool first = life == this->lives.end();
  const bool new_life = !first && life->second.incarnation != incarnation;
  const bool from_start = new_life || (!first && life->second.heard_from_start);
  const common::Duration silent = first ? common::Duration(0) : now - life->second.heard;
  const double counted =
      std::min(1.0, in_seconds(LONGEST_COUNTED) / std::max(in_seconds(silent), 1e-3));
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
    of.tokens -= counted * static_cast<double>(each.admitted - before.admitted);
    told.demand = rate_allocator::demand(told, now) +
                  counted * static_cast<double>(each.offered - before.offered) / DEMAND_SECONDS;
    told.demand_at = now;
    told.last = each;
    this->judge(of, now);
  }
}

void rate_allocator::advance(common::Instant now) {
  const double passed = in_seconds(now - this->filled_at);
  if (passed <= 0) {
    return;
  }
  this->filled_at = now;
  for (auto& [id, of] : this->states) {
    of.tokens = std::min(of.size, of.tokens + of.rate * passed);
  }
}

double rate_allocator::left(const std::string& tenant) const {
  const auto found = this->states.find(id_of(tenant));
  return found == this->states.end() ? 0 : found->second.tokens;
}

double rate_allocator::rate_for(const state& of) {
  return std::max(0.0, of.rate + of.tokens / TOKEN_SECONDS);
}

void rate_allocator::judge(state& of, common::Instant now) {
  const bool before = of.is_held_back;
  const bool low = of.rate > 0 && of.tokens < HOLD_BELOW * of.size;
  const bool filled = of.tokens >= RELEASE_FROM * of.size;
  of.is_held_back = low || (before && !filled);
  const double granted = of.is_held_back ? rate_allocator::rate_for(of) : 0;
  const bool much = std::abs(granted - of.granted) > MUCH * std::max(1.0, of.rate);
  const bool tells = now >= of.told_at + TELL_PAUSE;
  if (of.is_held_back != before || (of.is_held_back && much && tells)) {
    of.told_at = now;
    this->changed = true;
    of.granted = granted;
  }
}

bool rate_allocator::tick(common::Instant now) {
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
      const double asked = rate_allocator::demand(each, this->filled_at);
      total += asked + LEAST_DEMAND;
      own += name == daemon ? asked : 0;
    }
    const double share = own / total;
    const double first =
        std::max(0.0, of.tokens) / static_cast<double>(std::max<std::size_t>(1, of.parts.size()));
    grants.push_back({id, rate_for(of) * share, of.rate * share, std::min(1.0, first)});
  }
  return grants;
}

}  // namespace valvekeel::tenants
