#include "access/rule_set.h"

#include <algorithm>

namespace valvekeel::access {

decision rule_set::evaluate(const model::InstanceEntry& instance, const work& requested,
                            common::Instant now) const {
  decision strictest;
  for (const rule* each : this->rules) {
    const decision found = each->evaluate(instance, requested, now);
    if (found.level > strictest.level) {
      strictest = found;
    } else if (found.level == strictest.level) {
      strictest.retry_after = std::max(strictest.retry_after, found.retry_after);
    }
  }
  return strictest;
}

leader_evaluation rule_set::evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const {
  leader_evaluation worst;
  for (const rule* each : this->rules) {
    const leader_evaluation found = each->evaluate_leader(instance, now);
    if (found.fitness < worst.fitness) {
      worst = found;
    }
  }
  return worst;
}

void rule_set::on_sent(const model::InstanceEntry& instance, std::size_t requests,
                       common::Instant now) {
  for (rule* each : this->rules) {
    each->on_sent(instance, requests, now);
  }
}

}  // namespace valvekeel::access
