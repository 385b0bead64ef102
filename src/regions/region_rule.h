/**
 * @file The access rule that keeps work in its regions.
 *
 * Owns: nothing. Invariant: the newest configuration decides, also about work that began under an
 * older one. Pure. Thread: its host's.
 */
#pragma once

#include "access/rule.h"
#include "regions/region_policy.h"

namespace valvekeel::regions {

/** Why an instance is closed, and why one should not lead. */
inline constexpr const char* OUTSIDE_REGIONS = "outside its regions";

/** Time after which refused work may come back: regions change with a configuration only, and a
 * primary is replaced within about this time. */
inline constexpr common::Duration RETRY_AFTER{1'000'000};

class region_rule : public access::rule {
 public:
  /** @param policy  outlives the rule */
  explicit region_rule(const region_policy& policy) : policy(policy) {}

  access::decision evaluate(const model::InstanceEntry& instance, const access::work& requested,
                            common::Instant now) const override;

  access::leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const override;

  void on_sent(const model::InstanceEntry& instance, std::size_t requests,
               common::Instant now) override;

 private:
  const region_policy& policy;
};

}  // namespace valvekeel::regions
