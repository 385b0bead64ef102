/**
 * @file All rules on sending work to instances, as one.
 *
 * Owns: the list of rules, not the rules. Invariant: the strictest rule decides; without rules
 * every instance is open. Pure. Thread: its host's.
 */
#pragma once

#include <vector>

#include "access/rule.h"

namespace valvekeel::access {

class rule_set {
 public:
  /** Adds a rule, which outlives the set. */
  void add(rule& added) { this->rules.push_back(&added); }

  /** @return the strictest answer; of equal ones the first rule's, with the longest time. */
  decision evaluate(const model::InstanceEntry& instance, const work& requested,
                    common::Instant now) const;

  /** @return the worst fitness that a rule sees. */
  leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                    common::Instant now) const;

  /** Tells every rule what was sent. */
  void on_sent(const model::InstanceEntry& instance, std::size_t requests, common::Instant now);

 private:
  std::vector<rule*> rules;
};

}  // namespace valvekeel::access
