/**
 * @file Combines all access rules into one decision.
 *
 * Owns: the list of rules, not the rules. Invariant: the strictest rule decides; without rules
 * every instance is open. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <vector>

#include "access/rule.h"

namespace valvekeel::access {

/** The access rules of a daemon. */
class rule_set {
 public:
  /** Adds a rule, which must outlive the set. */
  void add(rule& added) { this->rules.push_back(&added); }

  /**
   * @return the strictest decision. If several rules have this level, its reason is that of the
   * first one, and retry_after is the longest.
   */
  decision evaluate(const model::InstanceEntry& instance, const work& requested,
                    common::Instant now) const;

  /** @return the lowest fitness among all rules. */
  leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                    common::Instant now) const;

  /** Notifies every rule that work is sent to the instance. */
  void on_sent(const model::InstanceEntry& instance, std::size_t requests, common::Instant now);

 private:
  std::vector<rule*> rules;
};

}  // namespace valvekeel::access
