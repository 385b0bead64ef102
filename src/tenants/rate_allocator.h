/**
 * @file How much of each tenant's rate each daemon may use, worked out by one daemon for all.
 *
 * The coordinator that acts for all keeps a token bucket for each tenant, and takes out of it what
 * the daemons tell that they let through. A tenant whose bucket is well filled is left alone. One
 * whose bucket runs low is held back: what flows into the bucket, and what is left in it, is shared
 * among the daemons by what their callers ask for. The other coordinators hear the counts as well,
 * so that one of them knows the past when it takes over.
 *
 * Owns: the buckets by tenant and the demand by daemon. Invariant: the grants of a tenant add up to
 * its rate and what its bucket holds, no more. Pure. Thread: its host's.
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

class rate_allocator {
 public:
  explicit rate_allocator(const tenant_policy& policy) : policy(policy) {}

  /** Takes the tenants of a new configuration. */
  void set_tenants(const std::map<std::string, tenant>& tenants, common::Instant now);

  /**
   * Takes a daemon's counts.
   *
   * @param incarnation  of the daemon: another life counts from zero
   */
  void record_usage(const std::string& daemon, std::uint64_t incarnation,
                    const std::vector<usage_count>& counts, common::Instant now);

  /** Moves on in time. @return true if the grants of some tenant changed by much: all daemons
   * should hear of it now. */
  bool tick(common::Instant now);

  /** @return what a daemon may let through of the tenants that are held back. */
  std::vector<rate_grant> grants_for(const std::string& daemon) const;

  /** @return operations that the tenant's bucket holds; below zero, what was let through too much.
   */
  double remaining_tokens(const std::string& tenant) const;

 private:
  /** The life of a daemon whose counts come. */
  struct daemon_state {
    std::uint64_t incarnation = 0;
    common::Instant last_report_at{0};
    bool counts_from_zero = false;  // an earlier life was heard: this one counts from zero
  };
  /** One daemon's part in a tenant. */
  struct daemon_usage {
    usage_count last_counts;
    double demand = 0;  // operations a second, lately
    common::Instant demand_at{0};
    std::uint64_t incarnation = 0;
  };
  struct tenant_state {
    double rate = 0;
    double capacity = 0;  // of the bucket
    double tokens = 0;
    std::unordered_map<std::string, daemon_usage> usage_by_daemon;
    bool is_throttled = false;
    double granted_rate = 0;         // operations a second, to all daemons
    common::Instant notified_at{0};  // when all were to hear of it at once
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
