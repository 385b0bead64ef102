/**
 * @file Implements the access rule that keeps work in its allowed regions.
 *
 * Invariant: the newest configuration decides, also about transactions that began under an older
 * one. No I/O and no clock; not thread-safe.
 */
#pragma once

#include "access/rule.h"
#include "regions/region_policy.h"

namespace valvekeel::regions {

/** Reason for which an instance is closed, or is unfit to lead. */
inline constexpr const char* OUTSIDE_REGIONS = "outside its regions";

/** Retry-after time of refused work. Regions change only with a new configuration, and a primary is
 * replaced within about this time. */
inline constexpr common::Duration RETRY_AFTER{1'000'000};

/** Closes the instances outside the regions that are allowed for the work. */
class region_rule : public access::rule {
 public:
  /** @param policy  must outlive the rule */
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
