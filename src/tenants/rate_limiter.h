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
  void set_sharing(std::size_t daemons) { this->sharing = daemons; }

  /**
   * Counts an operation of a tenant.
   *
   * @return nothing if it may run, else the time until there is room
   */
  std::optional<common::Duration> admit(const std::string& tenant, common::Instant now);

  /** Counts an operation that is sent to an instance once more. */
  void note_resent(const std::string& tenant, common::Instant now);

  /** Takes what the allocator grants: all tenants that are to be held back. */
  void take_grants(const std::vector<rate_grant>& grants, common::Instant now);

  /** @return the counts that have changed since an instant. */
  std::vector<usage_count> usage_since(common::Instant since) const;

  /** @return true if some tenant's operations come much faster than they did: the allocator should
   * hear of it now. Asking resets it. */
  bool take_surge();

  /** @return how many operations were refused, by tenant. */
  std::map<std::string, std::uint64_t> refused() const;

 private:
  struct state {
    std::string name;
    double rate_limit = 0;  // operations a second over all daemons; 0: none
    usage_count count;
    common::Instant changed{0};
    double usual = 0;  // operations a second let through lately
    common::Instant usual_at{0};
    std::uint32_t in_slice = 0;  // operations offered in the present slice of time
    common::Instant slice_began{0};
    std::optional<rate_grant> grant;
    double tokens = 0;
    common::Instant filled_at{0};
  };

  state* find(const std::string& tenant);
  bool allocator_silent(common::Instant now) const;
  /** What flows into a token bucket, and how much it holds at most. */
  struct bucket {
    double rate = 0;  // operations a second
    double size = 0;
  };
  bucket bucket_of(const state& of, common::Instant now) const;
  void note_offered(state& of, common::Instant now);
  void note_admitted(state& of, common::Instant now);

  const tenant_policy& policy;
  std::size_t sharing = 1;
  std::unordered_map<std::string, state> states;
  std::unordered_map<std::uint32_t, std::string> names;
  std::optional<common::Instant> allocator_heard;
  bool surge = false;
};

}  // namespace valvekeel::tenants
