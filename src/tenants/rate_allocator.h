/**
 * @file Computes how much of each tenant's rate limit each daemon may use.
 *
 * One coordinator allocates for all daemons. It keeps a token bucket for each tenant and takes out
 * of it the operations that the daemons report as admitted. A tenant whose bucket is well filled is
 * not throttled. One whose bucket runs low is throttled: the rate at which the bucket is refilled,
 * and the tokens left in it, are divided among the daemons in proportion to the demand of their
 * callers. The other coordinators record the same counts, so that each of them can take over
 * without a gap.
 *
 * Owns: the buckets by tenant and the demand by daemon. Invariant: the grants of a tenant add up to
 * at most its rate and the tokens in its bucket. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "tenants/rate_messages.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

/** The token buckets of all tenants, filled from the counts of all daemons. */
class rate_allocator {
 public:
  explicit rate_allocator(const tenant_policy& policy) : policy(policy) {}

  /** Applies the tenants of a new configuration; buckets of known tenants keep their tokens. */
  void set_tenants(const std::map<std::string, tenant>& tenants, common::Instant now);

  /**
   * Records a daemon's usage counts. Counts lower than the last ones of the same incarnation come
   * from an older message and are ignored.
   *
   * @param incarnation  of the daemon; a new one counts from zero
   */
  void record_usage(const std::string& daemon, std::uint64_t incarnation,
                    const std::vector<usage_count>& counts, common::Instant now);

  /**
   * Refills the buckets and updates which tenants are throttled.
   *
   * @return true if a tenant's grants changed so much that all daemons should get them at once
   */
  bool tick(common::Instant now);

  /** @return the grants of a daemon for the tenants that are throttled. */
  std::vector<rate_grant> grants_for(const std::string& daemon) const;

  /** @return operations left in the tenant's bucket; negative if too many were admitted. */
  double remaining_tokens(const std::string& tenant) const;

 private:
  /** The latest report of a daemon. */
  struct daemon_state {
    std::uint64_t incarnation = 0;
    common::Instant last_report_at{0};
    bool counts_from_zero = false;  // an earlier incarnation reported before
  };
  /** One daemon's usage of a tenant's rate. */
  struct daemon_usage {
    usage_count last_counts;
    double demand = 0;  // operations a second, decaying since demand_at
    common::Instant demand_at{0};
    std::uint64_t incarnation = 0;
  };
  struct tenant_state {
    double rate = 0;
    double capacity = 0;  // of the bucket, operations
    double tokens = 0;
    std::unordered_map<std::string, daemon_usage> usage_by_daemon;
    bool is_throttled = false;
    double granted_rate = 0;         // operations a second, sum over all daemons
    common::Instant notified_at{0};  // when the grants last changed for all daemons
  };

  static double current_demand(const daemon_usage& usage, common::Instant now);
  static double grantable_rate(const tenant_state& entry);
  void refill(common::Instant now);
  void update_throttling(tenant_state& entry, common::Instant now);

  const tenant_policy& policy;
  std::unordered_map<std::uint32_t, tenant_state> states;  // by the tenant's id
  std::unordered_map<std::string, daemon_state> daemons;   // by daemon
  bool grants_changed = false;
  common::Instant refilled_at{0};
};

}  // namespace valvekeel::tenants
