/**
 * @file How much of a queue each tenant gets.
 *
 * Owns: the weights by tenant. Invariant: every weight is above 0. Pure. Thread: its host's.
 */
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "tenants/tenant.h"

namespace valvekeel::waiting {

/** Part of its weight that a tenant keeps for each step of its priority below the highest. */
inline constexpr double PRIORITY_FACTOR = 0.5;

/** Steps of priority that count: a sixteenth of the weight is left, so the lowest still moves. */
inline constexpr std::uint32_t MAX_PRIORITY_STEPS = 4;

class tenant_weights {
 public:
  /** Takes the tenants of a new configuration. */
  void set_tenants(const std::map<std::string, tenants::tenant>& tenants);

  /**
   * @param tenant  empty for work that runs for none
   * @return its weight; that of a tenant at the mean rate if it is not known or declares no rate
   */
  double of(const std::string& tenant) const;

 private:
  std::unordered_map<std::string, double> weights;
  double default_weight = 1;  // the mean of the declared rates, 1 without any
};

}  // namespace valvekeel::waiting
