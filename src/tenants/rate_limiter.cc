#include "tenants/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace valvekeel::tenants {
namespace {

using common::Duration;

/** Silence of the allocator after which a daemon goes by itself: nearly three of its
 * heartbeats. */
constexpr common::Duration ALLOCATOR_SILENCE{700'000};

/** Time over which a tenant's usual rate is averaged: near the users' window of 5 s, so that what a
 * daemon lets through by itself follows what the window has seen. */
constexpr double USUAL_SECONDS = 3;

/** Without an allocator a daemon lets through this much of the usual rate. A tenant within its
 * limit uses at most four fifths of what the limit and its burst allow, so the sum stays within
 * both. */
constexpr double ALONE_FACTOR = 1.25;

/** Operations that may come at once at a daemon that holds a tenant back: at least, and in seconds
 * of its grant. */
constexpr double HELD_BURST = 3;
constexpr double HELD_BURST_SECONDS = 0.5;

/** Operations that may come at once without an allocator, at least: sessions come in lumps. */
constexpr double ALONE_BURST = 3;

/** Operations that a tenant may begin with at a daemon that has just come. */
constexpr double NEW_TOKENS = 1;

/** A slice of time, and how many operations in one, beyond the usual, are a surge. */
constexpr common::Duration SLICE{100'000};
constexpr double SURGE_FACTOR = 2;
constexpr double SURGE_LEAST = 8;

/** Longest time to come back that a caller is told: grants change every few hundred ms. */
constexpr common::Duration LONGEST_WAIT{1'000'000};

}  // namespace

void rate_limiter::set_tenants(const std::map<std::string, tenant>& tenants) {
  std::unordered_map<std::string, state> next;
  this->names.clear();
  for (const auto& [name, each] : tenants) {
    const auto known = this->states.find(name);
    state& made = next[name];
    if (known != this->states.end()) {
      made = std::move(known->second);
    }
    if (made.name.empty()) {
      made.tokens = NEW_TOKENS;
    }
    made.name = name;
    made.rate_limit = each.rate;
    made.count.tenant = id_of(name);
    this->names[made.count.tenant] = name;
  }
  this->states = std::move(next);
}

rate_limiter::state* rate_limiter::find(const std::string& tenant) {
  const auto found = this->states.find(tenant);
  return found == this->states.end() ? nullptr : &found->second;
}

bool rate_limiter::allocator_silent(common::Instant now) const {
  return !this->allocator_heard || now >= *this->allocator_heard + ALLOCATOR_SILENCE;
}

rate_limiter::bucket rate_limiter::bucket_of(const state& of, common::Instant now) const {
  if (of.grant && !this->allocator_silent(now)) {
    return {of.grant->rate, std::max(HELD_BURST, of.grant->rate * HELD_BURST_SECONDS)};
  }
  // As it was when the allocator was last heard: what a daemon lets through by itself must not
  // raise what it lets through next.
  const Duration idle = std::max(Duration(0), this->allocator_heard.value_or(now) - of.usual_at);
  const double usual = of.usual * std::exp(-in_seconds(idle) / USUAL_SECONDS);
  const double share = of.rate_limit / static_cast<double>(std::max<std::size_t>(1, this->sharing));
  // With a grant the last word was that the tenant is near its limit.
  const double rate = of.grant ? of.grant->sustained : std::max(ALONE_FACTOR * usual, share);
  return {rate, std::max(ALONE_BURST, rate)};
}

void rate_limiter::note_offered(state& of, common::Instant now) {
  ++of.count.offered;
  of.changed = now;
  if (now >= of.slice_began + SLICE) {
    of.slice_began = now;
    of.in_slice = 0;
  }
  ++of.in_slice;
  const double expected = of.usual * in_seconds(SLICE);
  if (of.in_slice > std::max(SURGE_LEAST, SURGE_FACTOR * expected)) {
    this->surge = true;
    of.in_slice = 0;
  }
}

void rate_limiter::note_admitted(state& of, common::Instant now) {
  ++of.count.admitted;
  of.changed = now;
  if (this->allocator_silent(now)) {
    return;
  }
  const double kept = std::exp(-in_seconds(now - of.usual_at) / USUAL_SECONDS);
  of.usual = of.usual * kept + 1 / USUAL_SECONDS;
  of.usual_at = now;
}

std::optional<common::Duration> rate_limiter::admit(const std::string& tenant,
                                                    common::Instant now) {
  state* of = this->find(tenant);
  if (of == nullptr || !this->policy.rates_limited || of->rate_limit <= 0) {
    return std::nullopt;
  }
  this->note_offered(*of, now);
  const bool held_back = of->grant || this->allocator_silent(now);
  if (held_back) {
    const bucket filling = this->bucket_of(*of, now);
    const double filled = of->tokens + filling.rate * in_seconds(now - of->filled_at);
    of->tokens = std::min(filled, filling.size);
    of->filled_at = now;
    if (of->tokens < 1) {
      const double missing = (1 - of->tokens) / std::max(filling.rate, 1e-3);
      const double wait = std::min(missing, in_seconds(LONGEST_WAIT));
      return common::Duration(static_cast<std::int64_t>(wait * MICROSECONDS_IN_SECOND));
    }
    of->tokens -= 1;
  }
  this->note_admitted(*of, now);
  return std::nullopt;
}

void rate_limiter::note_resent(const std::string& tenant, common::Instant now) {
  state* of = this->find(tenant);
  if (of != nullptr) {
    this->note_admitted(*of, now);
  }
}

void rate_limiter::take_grants(const std::vector<rate_grant>& grants, common::Instant now) {
  this->allocator_heard = now;
  std::unordered_map<std::string, rate_grant> by_name;
  for (const rate_grant& each : grants) {
    const auto name = this->names.find(each.tenant);
    if (name != this->names.end()) {
      by_name[name->second] = each;
    }
  }
  for (auto& [name, of] : this->states) {
    const auto granted = by_name.find(name);
    if (granted == by_name.end()) {
      of.grant.reset();
      of.filled_at = now;
      of.tokens = ALONE_BURST;  // for the time when the allocator falls silent
      continue;
    }
    if (!of.grant) {
      of.tokens = granted->second.first;
      of.filled_at = now;
    }
    of.grant = granted->second;
  }
}

std::vector<usage_count> rate_limiter::usage_since(common::Instant since) const {
  std::vector<usage_count> counts;
  for (const auto& [name, of] : this->states) {
    if (of.count.offered > 0 && of.changed >= since) {
      counts.push_back(of.count);
    }
  }
  return counts;
}

bool rate_limiter::take_surge() {
  const bool had = this->surge;
  this->surge = false;
  return had;
}

std::map<std::string, std::uint64_t> rate_limiter::refused() const {
  std::map<std::string, std::uint64_t> by_tenant;
  for (const auto& [name, of] : this->states) {
    if (of.count.offered > of.count.admitted) {
      by_tenant[name] = of.count.offered - of.count.admitted;
    }
  }
  return by_tenant;
}

}  // namespace valvekeel::tenants
