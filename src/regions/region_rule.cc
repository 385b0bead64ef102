#include "regions/region_rule.h"

namespace valvekeel::regions {

access::answer region_rule::judge(const model::InstanceEntry& instance, const access::work& asked,
                                  common::Instant /*now*/) const {
  if (this->policy.allows(asked.route.database, asked.tenant, instance.zone)) {
    return {};
  }
  return {access::verdict::closed, OUTSIDE_REGIONS, COME_BACK};
}

access::leader_answer region_rule::judge_leader(const model::InstanceEntry& instance,
                                                common::Instant /*now*/) const {
  if (this->policy.suits_leader(instance.service, instance.zone)) {
    return {};
  }
  return {model::LeaderFitness::kUnfit, OUTSIDE_REGIONS};
}

void region_rule::note_sent(const model::InstanceEntry& /*instance*/, std::size_t /*requests*/,
                            common::Instant /*now*/) {}

}  // namespace valvekeel::regions
