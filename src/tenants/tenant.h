/**
 * @file What a deployment says of its tenants.
 *
 * Owns: the typed values. Invariant: none beyond the types; who decodes them has checked them.
 * Thread: any (values only).
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "tenants/key_digest.h"

namespace valvekeel::tenants {

/** Microseconds of a second: rates are told by the second, durations in microseconds. */
inline constexpr double MICROSECONDS_PER_SECOND = 1e6;

inline double in_seconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / MICROSECONDS_PER_SECOND;
}

/** A customer whose callers share one limit and whose connections are not mixed with others'. */
struct tenant {
  std::string name;
  std::vector<key_digest> keys;
  std::uint32_t priority = 0;                // 0 is the highest
  double rate = 0;                           // operations a second over all daemons; 0: no limit
  double burst = 0;                          // operations that may come at once besides
  std::vector<std::string> allowed_regions;  // where its work may run; empty: everywhere
};

/** What a deployment asks for around tenants; an operator sets it. */
struct tenant_policy {
  /** Callers of routes that are not public are known by their keys. */
  bool keys_required = false;
  /** Time from a key's removal in the store until no daemon serves it; 0: no bound. */
  common::Duration revocation_limit{0};
  /** Tenants' rates are limited. */
  bool rates_limited = false;
  /** Operations that may pass beyond a limit at once: what counts that come late may cost. */
  double rate_slack = 0;
};

/** @return a number that stands for a tenant in messages between daemons. */
std::uint32_t tenant_id_of(const std::string& tenant);

}  // namespace valvekeel::tenants
