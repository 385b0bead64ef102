#include "tenants/rate_allocator.h"

#include <algorithm>
#include <cmath>

namespace valvekeel::tenants {
namespace {

/** Filled part of a bucket below which a tenant is throttled, and from which on it no longer is. A
 * tenant at five times its rate empties half of a bucket of one second in an eighth of a second.
 * The counts of another 0.25 s are in transit then; the policy's slack and the overage that the
 * rate limit permits cover them. */
constexpr double THROTTLE_BELOW = 0.5;
constexpr double UNTHROTTLE_FROM = 0.9;
/** Filled part of the bucket of a new tenant. It is not full, since all daemons may have restarted
 * together, so that nothing is known of the operations before. */
constexpr double INITIAL_FILL = 0.6;
/** Part of the policy's slack by which a bucket exceeds the tenant's burst: the operations of
 * tenants with few operations a second arrive in groups. */
constexpr double SLACK_FACTOR = 0.5;
/** Time over which the tokens in a bucket are granted, and over which a deficit is made up. */
constexpr double REDISTRIBUTION_SECONDS = 1;
/** Longest interval before a report whose operations are taken out of the bucket. Operations before
 * it are covered by the tokens that the bucket received in the meantime. */
constexpr common::Duration MAX_COUNTED_INTERVAL{1'000'000};
/** Time over which a daemon's demand is averaged. */
constexpr double DEMAND_SECONDS = 1;
/** Minimum demand assumed for each daemon, operations a second: a daemon without demand may get a
 * session at any time. */
constexpr double MIN_DEMAND = 0.1;
/** Change of a grant, relative to the tenant's rate, of which all daemons are notified at once, and
 * the minimum time between two such notifications. */
constexpr double SIGNIFICANT_CHANGE = 0.3;
constexpr common::Duration NOTIFY_INTERVAL{100'000};

}  // namespace

void rate_allocator::set_tenants(const std::map<std::string, tenant>& tenants,
                                 common::Instant now) {
  this->refill(now);
  std::unordered_map<std::uint32_t, tenant_state> next;
  for (const auto& [name, each] : tenants) {
    const std::uint32_t id = tenant_id_of(name);
    const auto known = this->states.find(id);
    tenant_state& entry = next[id];
    const bool is_new = known == this->states.end();
    if (!is_new) {
      entry = std::move(known->second);
    }
    entry.rate = each.rate;
    entry.capacity = each.burst + SLACK_FACTOR * this->policy.rate_slack;
    entry.tokens = is_new ? INITIAL_FILL * entry.capacity : std::min(entry.tokens, entry.capacity);
  }
  this->states = std::move(next);
}

double rate_allocator::current_demand(const daemon_usage& usage, common::Instant now) {
  return usage.demand * std::exp(-in_seconds(now - usage.demand_at) / DEMAND_SECONDS);
}

void rate_allocator::record_usage(const std::string& daemon, std::uint64_t incarnation,
                                  const std::vector<usage_count>& counts, common::Instant now) {
  this->refill(now);
  const auto reporter = this->daemons.find(daemon);
  const bool is_first_report = reporter == this->daemons.end();
  const bool restarted = !is_first_report && reporter->second.incarnation != incarnation;
  const bool starts_from_zero =
      restarted || (!is_first_report && reporter->second.counts_from_zero);
  const common::Duration since_last_report =
      is_first_report ? common::Duration(0) : now - reporter->second.last_report_at;
  const double counted_fraction = std::min(
      1.0, in_seconds(MAX_COUNTED_INTERVAL) / std::max(in_seconds(since_last_report), 1e-3));
  this->daemons[daemon] = {incarnation, now, starts_from_zero};
  for (const usage_count& each : counts) {
    const auto found = this->states.find(each.tenant);
    if (found == this->states.end()) {
      continue;
    }
    tenant_state& entry = found->second;
    daemon_usage& usage = entry.usage_by_daemon[daemon];
    const bool same_incarnation = usage.incarnation == incarnation;
    // Without an earlier report of this daemon it is unknown when the operations of its first count
    // ran, so they are not counted.
    const usage_count previous =
        same_incarnation ? usage.last_counts : (starts_from_zero ? usage_count{} : each);
    usage.incarnation = incarnation;
    if (each.offered < previous.offered || each.admitted < previous.admitted) {
      continue;  // an older message
    }
    entry.tokens -= counted_fraction * static_cast<double>(each.admitted - previous.admitted);
    usage.demand =
        rate_allocator::current_demand(usage, now) +
        counted_fraction * static_cast<double>(each.offered - previous.offered) / DEMAND_SECONDS;
    usage.demand_at = now;
    usage.last_counts = each;
    this->update_throttling(entry, now);
  }
}

void rate_allocator::refill(common::Instant now) {
  const double passed = in_seconds(now - this->refilled_at);
  if (passed <= 0) {
    return;
  }
  this->refilled_at = now;
  for (auto& [id, entry] : this->states) {
    entry.tokens = std::min(entry.capacity, entry.tokens + entry.rate * passed);
  }
}

double rate_allocator::remaining_tokens(const std::string& tenant) const {
  const auto found = this->states.find(tenant_id_of(tenant));
  return found == this->states.end() ? 0 : found->second.tokens;
}

double rate_allocator::grantable_rate(const tenant_state& entry) {
  return std::max(0.0, entry.rate + entry.tokens / REDISTRIBUTION_SECONDS);
}

void rate_allocator::update_throttling(tenant_state& entry, common::Instant now) {
  const bool was_throttled = entry.is_throttled;
  const bool low = entry.rate > 0 && entry.tokens < THROTTLE_BELOW * entry.capacity;
  const bool filled = entry.tokens >= UNTHROTTLE_FROM * entry.capacity;
  entry.is_throttled = low || (was_throttled && !filled);
  const double granted = entry.is_throttled ? rate_allocator::grantable_rate(entry) : 0;
  const bool significant =
      std::abs(granted - entry.granted_rate) > SIGNIFICANT_CHANGE * std::max(1.0, entry.rate);
  const bool may_notify = now >= entry.notified_at + NOTIFY_INTERVAL;
  if (entry.is_throttled != was_throttled || (entry.is_throttled && significant && may_notify)) {
    entry.notified_at = now;
    this->grants_changed = true;
    entry.granted_rate = granted;
  }
}

bool rate_allocator::tick(common::Instant now) {
  this->refill(now);
  for (auto& [id, entry] : this->states) {
    this->update_throttling(entry, now);
  }
  const bool notify = this->grants_changed;
  this->grants_changed = false;
  return notify;
}

std::vector<rate_grant> rate_allocator::grants_for(const std::string& daemon) const {
  std::vector<rate_grant> grants;
  for (const auto& [id, entry] : this->states) {
    if (!entry.is_throttled) {
      continue;
    }
    double own_demand = MIN_DEMAND;
    double total_demand = MIN_DEMAND;
    for (const auto& [name, each] : entry.usage_by_daemon) {
      const double demand = rate_allocator::current_demand(each, this->refilled_at);
      total_demand += demand + MIN_DEMAND;
      own_demand += name == daemon ? demand : 0;
    }
    const double share = own_demand / total_demand;
    const double initial_tokens =
        std::max(0.0, entry.tokens) /
        static_cast<double>(std::max<std::size_t>(1, entry.usage_by_daemon.size()));
    grants.push_back(
        {id, grantable_rate(entry) * share, entry.rate * share, std::min(1.0, initial_tokens)});
  }
  return grants;
}

}  // namespace valvekeel::tenants
