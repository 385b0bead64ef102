/**
 * @file Computes the weights by which tenants share a queue.
 *
 * Owns: the weights by tenant. Invariant: every weight is above 0. No I/O and no clock; not
 * thread-safe.
 */
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "tenants/tenant.h"

namespace valvekeel::waiting {

/** Factor on a tenant's weight for each step of its priority below the highest. */
inline constexpr double PRIORITY_FACTOR = 0.5;

/** Number of priority steps that lower the weight. The lowest priority keeps a sixteenth of its
 * weight, so it is not starved. */
inline constexpr std::uint32_t MAX_PRIORITY_STEPS = 4;

class tenant_weights {
 public:
  /** Replaces the tenants by those of a new configuration. */
  void set_tenants(const std::map<std::string, tenants::tenant>& tenants);

  /**
   * @param tenant  empty for operations without a tenant
   * @return its weight. A tenant without a declared rate counts with the mean rate; an unknown one
   *     has the weight of a tenant of the highest priority at the mean rate.
   */
  double of(const std::string& tenant) const;

 private:
  std::unordered_map<std::string, double> weights;
  double default_weight = 1;  // mean of the declared rates, 1 without any
};

}  // namespace valvekeel::waiting
