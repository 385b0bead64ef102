/**
 * @file Defines tenants and the deployment's policy for them.
 *
 * Invariant: none beyond the types; the code that decodes the values validates them. Values only;
 * safe in any thread.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "tenants/key_digest.h"

namespace valvekeel::tenants {

/** Rates are given per second, durations in microseconds. */
inline constexpr double MICROSECONDS_PER_SECOND = 1e6;

inline double in_seconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / MICROSECONDS_PER_SECOND;
}

/** A customer whose callers share one rate limit and use no connection of another customer. */
struct tenant {
  std::string name;
  std::vector<key_digest> keys;
  std::uint32_t priority = 0;                // 0 is the highest
  double rate = 0;                           // operations a second over all daemons; 0: no limit
  double burst = 0;                          // operations that may come at once beyond the rate
  std::vector<std::string> allowed_regions;  // where its operations may run; empty: everywhere
};

/** The deployment's policy for tenants; an operator sets it. */
struct tenant_policy {
  /** Callers of routes that are not public must present a key. */
  bool keys_required = false;
  /** Longest time from a key's removal in the store until no daemon admits it; 0: no bound. */
  common::Duration revocation_limit{0};
  /** The rate limits of tenants are enforced. */
  bool rates_limited = false;
  /** Operations that may exceed a limit at once, because usage counts arrive with a delay. */
  double rate_slack = 0;
};

/** @return the number that identifies a tenant in messages between daemons, from its name. */
std::uint32_t tenant_id_of(const std::string& tenant);

}  // namespace valvekeel::tenants
