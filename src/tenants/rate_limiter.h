/**
 * @file Which operations of a tenant this daemon lets through.
 *
 * Each daemon that serves sessions counts what it lets through and tells the allocator
 * (rate_allocator.h), which sees the sum over all daemons. A tenant far from its limit is let
 * through without asking anybody. One that comes near it is held back to what the allocator grants
 * to this daemon. Without a word of the allocator each daemon goes on with a little more than what
 * it let through lately, so a lost allocator neither stops tenants nor lets one rush.
 *
 * Owns: counts, grants and token buckets by tenant. Invariant: a tenant without a limit is never
 * refused. Pure. Thread: its host's.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "tenants/rate_messages.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

class rate_limiter {
 public:
  explicit rate_limiter(const tenant_policy& policy) : policy(policy) {}

  /** Takes the tenants of a new configuration. */
  void set_tenants(const std::map<std::string, tenant>& tenants);

  /** @param daemons  that share a tenant's operations while nothing is known of their demand */
  void set_sharing_daemons(std::size_t daemons) { this->sharing_daemons = daemons; }

  /**
   * Counts an operation of a tenant.
   *
   * @return nothing if it may run, else the time until there is room
   */
  std::optional<common::Duration> admit(const std::string& tenant, common::Instant now);

  /** Counts an operation that is sent to an instance once more. */
  void record_resent(const std::string& tenant, common::Instant now);

  /** Takes what the allocator grants: all tenants that are to be held back. */
  void apply_grants(const std::vector<rate_grant>& grants, common::Instant now);

  /** @return the counts that have changed since an instant. */
  std::vector<usage_count> usage_since(common::Instant since) const;

  /** @return true if some tenant's operations come much faster than they did: the allocator should
   * hear of it now. Asking resets it. */
  bool consume_surge();

  /** @return how many operations were refused, by tenant. */
  std::map<std::string, std::uint64_t> refused() const;

 private:
  struct tenant_state {
    std::string name;
    double rate_limit = 0;  // operations a second over all daemons; 0: none
    usage_count count;
    common::Instant changed_at{0};
    double recent_rate = 0;  // operations a second let through lately
    common::Instant recent_rate_at{0};
    std::uint32_t offered_in_slice = 0;  // operations offered in the present slice of time
    common::Instant slice_start{0};
    std::optional<rate_grant> grant;
    double tokens = 0;
    common::Instant refilled_at{0};
  };

  tenant_state* find(const std::string& tenant);
  bool allocator_unresponsive(common::Instant now) const;
  /** What flows into a token bucket, and how much it holds at most. */
  struct bucket_parameters {
    double rate = 0;  // operations a second
    double capacity = 0;
  };
  bucket_parameters bucket_of(const tenant_state& entry, common::Instant now) const;
  void record_offered(tenant_state& entry, common::Instant now);
  void record_admitted(tenant_state& entry, common::Instant now);

  const tenant_policy& policy;
  std::size_t sharing_daemons = 1;
  std::unordered_map<std::string, tenant_state> states;
  std::unordered_map<std::uint32_t, std::string> names_by_id;
  std::optional<common::Instant> last_grants_at;
  bool surge = false;
};

}  // namespace valvekeel::tenants
