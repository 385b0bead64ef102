/**
 * @file Decides which operations of a tenant this daemon admits under the tenant's rate limit.
 *
 * Each daemon that serves sessions counts the operations that it admits and reports the counts to
 * the allocator (rate_allocator.h), which computes the sum over all daemons. A tenant far from its
 * limit is admitted by a local decision. A tenant near its limit is throttled to the rate that the
 * allocator grants to this daemon. While the allocator is unresponsive, each daemon admits slightly
 * more than its recent rate, so that the loss of the allocator neither stops a tenant nor removes
 * its limit.
 *
 * Owns: counts, grants and token buckets by tenant. Invariant: a tenant without a limit is never
 * refused. No I/O and no clock; not thread-safe.
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

/** The rate limits of all tenants at one daemon. */
class rate_limiter {
 public:
  explicit rate_limiter(const tenant_policy& policy) : policy(policy) {}

  /** Applies the tenants of a new configuration; known tenants keep counts, grants and tokens. */
  void set_tenants(const std::map<std::string, tenant>& tenants);

  /** @param daemons  number that share a tenant's rate equally while their demand is unknown */
  void set_sharing_daemons(std::size_t daemons) { this->sharing_daemons = daemons; }

  /**
   * Counts an operation of a tenant.
   *
   * @return nothing if it may run, else the time after which the caller may retry
   */
  std::optional<common::Duration> admit(const std::string& tenant, common::Instant now);

  /** Counts an operation that is sent to an instance again. */
  void record_resent(const std::string& tenant, common::Instant now);

  /** Applies the allocator's grants; tenants that are not among them are not throttled. */
  void apply_grants(const std::vector<rate_grant>& grants, common::Instant now);

  /** @return the counts that changed at the given time or later. */
  std::vector<usage_count> usage_since(common::Instant since) const;

  /** @return true if a tenant's operations arrive much faster than before, so that the counts
   * should be reported to the allocator at once. Clears the flag. */
  bool consume_surge();

  /** @return the number of refused operations by tenant; tenants without any are left out. */
  std::map<std::string, std::uint64_t> refused() const;

 private:
  struct tenant_state {
    std::string name;
    double rate_limit = 0;  // operations a second over all daemons; 0: none
    usage_count count;
    common::Instant changed_at{0};
    double recent_rate = 0;  // operations a second, averaged over the last admitted ones
    common::Instant recent_rate_at{0};
    std::uint32_t offered_in_slice = 0;  // operations in the current time slice
    common::Instant slice_start{0};
    std::optional<rate_grant> grant;
    double tokens = 0;
    common::Instant refilled_at{0};
  };

  tenant_state* find(const std::string& tenant);
  bool allocator_unresponsive(common::Instant now) const;
  /** Refill rate and size of a token bucket. */
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
