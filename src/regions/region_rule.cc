#include "regions/region_rule.h"

namespace valvekeel::regions {

access::decision region_rule::evaluate(const model::InstanceEntry& instance,
                                       const access::work& requested,
                                       common::Instant /*now*/) const {
  if (this->policy.allows(requested.route.database, requested.tenant, instance.zone)) {
    return {};
  }
  return {access::access_level::closed, OUTSIDE_REGIONS, RETRY_AFTER};
}

access::leader_evaluation region_rule::evaluate_leader(const model::InstanceEntry& instance,
                                                       common::Instant /*now*/) const {
  if (this->policy.allows_leader(instance.service, instance.zone)) {
    return {};
  }
  return {model::LeaderFitness::kUnfit, OUTSIDE_REGIONS};
}

void region_rule::on_sent(const model::InstanceEntry& /*instance*/, std::size_t /*requests*/,
                          common::Instant /*now*/) {}

}  // namespace valvekeel::regions
