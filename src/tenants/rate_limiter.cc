#include "tenants/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace valvekeel::tenants {
namespace {

using common::Duration;

/** Time without grants after which a daemon treats the allocator as unresponsive and limits rates
 * by itself: nearly three of the allocator's heartbeats. */
constexpr common::Duration ALLOCATOR_TIMEOUT{700'000};

/** Time over which a tenant's recent rate is averaged. It is near the 5 s window over which a rate
 * limit is checked, so that the fallback rate follows the operations in that window. */
constexpr double RECENT_RATE_SECONDS = 3;

/** Without an allocator a daemon admits this multiple of the recent rate. A tenant within its limit
 * uses at most four fifths of what the limit and its burst allow, so the sum over all daemons stays
 * within both. */
constexpr double FALLBACK_FACTOR = 1.25;

/** Burst of a throttled tenant at one daemon: the minimum in operations, and the time for which the
 * grant may be used at once. */
constexpr double MIN_GRANTED_BURST = 3;
constexpr double GRANTED_BURST_SECONDS = 0.5;

/** Minimum burst without an allocator, in operations: sessions arrive in groups. */
constexpr double MIN_FALLBACK_BURST = 3;

/** Operations that a tenant may start with at a daemon that has just started. */
constexpr double INITIAL_TOKENS = 1;

/** More operations in one time slice than MIN_SURGE, and than SURGE_FACTOR times the expected ones,
 * are a surge. */
constexpr common::Duration SURGE_SLICE{100'000};
constexpr double SURGE_FACTOR = 2;
constexpr double MIN_SURGE = 8;

/** Longest retry-after time returned to a caller: grants change every few hundred ms. */
constexpr common::Duration MAX_RETRY_AFTER{1'000'000};

}  // namespace

void rate_limiter::set_tenants(const std::map<std::string, tenant>& tenants) {
  std::unordered_map<std::string, tenant_state> next;
  this->names_by_id.clear();
  for (const auto& [name, each] : tenants) {
    const auto known = this->states.find(name);
    tenant_state& entry = next[name];
    if (known != this->states.end()) {
      entry = std::move(known->second);
    }
    if (entry.name.empty()) {
      entry.tokens = INITIAL_TOKENS;
    }
    entry.name = name;
    entry.rate_limit = each.rate;
    entry.count.tenant = tenant_id_of(name);
    this->names_by_id[entry.count.tenant] = name;
  }
  this->states = std::move(next);
}

rate_limiter::tenant_state* rate_limiter::find(const std::string& tenant) {
  const auto found = this->states.find(tenant);
  return found == this->states.end() ? nullptr : &found->second;
}

bool rate_limiter::allocator_unresponsive(common::Instant now) const {
  return !this->last_grants_at || now >= *this->last_grants_at + ALLOCATOR_TIMEOUT;
}

rate_limiter::bucket_parameters rate_limiter::bucket_of(const tenant_state& entry,
                                                        common::Instant now) const {
  if (entry.grant && !this->allocator_unresponsive(now)) {
    return {entry.grant->rate,
            std::max(MIN_GRANTED_BURST, entry.grant->rate * GRANTED_BURST_SECONDS)};
  }
  // The rate as of the last grants: operations that are admitted without the allocator must not
  // raise the rate at which further ones are admitted.
  const Duration idle =
      std::max(Duration(0), this->last_grants_at.value_or(now) - entry.recent_rate_at);
  const double decayed_rate = entry.recent_rate * std::exp(-in_seconds(idle) / RECENT_RATE_SECONDS);
  const double share =
      entry.rate_limit / static_cast<double>(std::max<std::size_t>(1, this->sharing_daemons));
  // A grant means that the tenant was near its limit when the allocator was last reachable.
  const double rate =
      entry.grant ? entry.grant->fallback_rate : std::max(FALLBACK_FACTOR * decayed_rate, share);
  return {rate, std::max(MIN_FALLBACK_BURST, rate)};
}

void rate_limiter::record_offered(tenant_state& entry, common::Instant now) {
  ++entry.count.offered;
  entry.changed_at = now;
  if (now >= entry.slice_start + SURGE_SLICE) {
    entry.slice_start = now;
    entry.offered_in_slice = 0;
  }
  ++entry.offered_in_slice;
  const double expected = entry.recent_rate * in_seconds(SURGE_SLICE);
  if (entry.offered_in_slice > std::max(MIN_SURGE, SURGE_FACTOR * expected)) {
    this->surge = true;
    entry.offered_in_slice = 0;
  }
}

void rate_limiter::record_admitted(tenant_state& entry, common::Instant now) {
  ++entry.count.admitted;
  entry.changed_at = now;
  if (this->allocator_unresponsive(now)) {
    return;
  }
  const double decay = std::exp(-in_seconds(now - entry.recent_rate_at) / RECENT_RATE_SECONDS);
  entry.recent_rate = entry.recent_rate * decay + 1 / RECENT_RATE_SECONDS;
  entry.recent_rate_at = now;
}

std::optional<common::Duration> rate_limiter::admit(const std::string& tenant,
                                                    common::Instant now) {
  tenant_state* entry = this->find(tenant);
  if (entry == nullptr || !this->policy.rates_limited || entry->rate_limit <= 0) {
    return std::nullopt;
  }
  this->record_offered(*entry, now);
  const bool throttled = entry->grant || this->allocator_unresponsive(now);
  if (throttled) {
    const bucket_parameters parameters = this->bucket_of(*entry, now);
    const double filled = entry->tokens + parameters.rate * in_seconds(now - entry->refilled_at);
    entry->tokens = std::min(filled, parameters.capacity);
    entry->refilled_at = now;
    if (entry->tokens < 1) {
      const double missing = (1 - entry->tokens) / std::max(parameters.rate, 1e-3);
      const double wait = std::min(missing, in_seconds(MAX_RETRY_AFTER));
      return common::Duration(static_cast<std::int64_t>(wait * MICROSECONDS_PER_SECOND));
    }
    entry->tokens -= 1;
  }
  this->record_admitted(*entry, now);
  return std::nullopt;
}

void rate_limiter::record_resent(const std::string& tenant, common::Instant now) {
  tenant_state* entry = this->find(tenant);
  if (entry != nullptr) {
    this->record_admitted(*entry, now);
  }
}

void rate_limiter::apply_grants(const std::vector<rate_grant>& grants, common::Instant now) {
  this->last_grants_at = now;
  std::unordered_map<std::string, rate_grant> by_name;
  for (const rate_grant& each : grants) {
    const auto name = this->names_by_id.find(each.tenant);
    if (name != this->names_by_id.end()) {
      by_name[name->second] = each;
    }
  }
  for (auto& [name, entry] : this->states) {
    const auto granted = by_name.find(name);
    if (granted == by_name.end()) {
      entry.grant.reset();
      entry.refilled_at = now;
      entry.tokens = MIN_FALLBACK_BURST;  // for when the allocator becomes unresponsive
      continue;
    }
    if (!entry.grant) {
      entry.tokens = granted->second.initial_tokens;
      entry.refilled_at = now;
    }
    entry.grant = granted->second;
  }
}

std::vector<usage_count> rate_limiter::usage_since(common::Instant since) const {
  std::vector<usage_count> counts;
  for (const auto& [name, entry] : this->states) {
    if (entry.count.offered > 0 && entry.changed_at >= since) {
      counts.push_back(entry.count);
    }
  }
  return counts;
}

bool rate_limiter::consume_surge() {
  const bool surged = this->surge;
  this->surge = false;
  return surged;
}

std::map<std::string, std::uint64_t> rate_limiter::refused() const {
  std::map<std::string, std::uint64_t> by_tenant;
  for (const auto& [name, entry] : this->states) {
    if (entry.count.offered > entry.count.admitted) {
      by_tenant[name] = entry.count.offered - entry.count.admitted;
    }
  }
  return by_tenant;
}

}  // namespace valvekeel::tenants
