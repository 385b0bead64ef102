// Computes a tenant's weight from its declared rate and its priority.

#include "waiting/tenant_weights.h"

#include <algorithm>
#include <cmath>

namespace valvekeel::waiting {
namespace {

/** @return the mean of the declared rates, 1 without any. */
double mean_rate(const std::map<std::string, tenants::tenant>& tenants) {
  double sum = 0;
  std::size_t declared = 0;
  for (const auto& [name, tenant] : tenants) {
    if (tenant.rate > 0) {
      sum += tenant.rate;
      ++declared;
    }
  }
  return declared == 0 ? 1 : sum / static_cast<double>(declared);
}

}  // namespace

void tenant_weights::set_tenants(const std::map<std::string, tenants::tenant>& tenants) {
  this->weights.clear();
  this->default_weight = mean_rate(tenants);
  for (const auto& [name, tenant] : tenants) {
    const double rate = tenant.rate > 0 ? tenant.rate : this->default_weight;
    const std::uint32_t steps = std::min(tenant.priority, MAX_PRIORITY_STEPS);
    this->weights[name] = rate * std::pow(PRIORITY_FACTOR, steps);
  }
}

double tenant_weights::of(const std::string& tenant) const {
  const auto found = this->weights.find(tenant);
  return found == this->weights.end() ? this->default_weight : found->second;
}

}  // namespace valvekeel::waiting
