#include "access/rule_set.h"

#include <algorithm>

namespace valvekeel::access {

answer rule_set::judge(const model::InstanceEntry& instance, const work& asked,
                       common::Instant now) const {
  answer strictest;
  for (const rule* each : this->rules) {
    const answer found = each->judge(instance, asked, now);
    if (found.outcome > strictest.outcome) {
      strictest = found;
    } else if (found.outcome == strictest.outcome) {
      strictest.come_back = std::max(strictest.come_back, found.come_back);
    }
  }
  return strictest;
}

leader_answer rule_set::judge_leader(const model::InstanceEntry& instance,
                                     common::Instant now) const {
  leader_answer worst;
  for (const rule* each : this->rules) {
    const leader_answer found = each->judge_leader(instance, now);
    if (found.fitness < worst.fitness) {
      worst = found;
    }
  }
  return worst;
}

void rule_set::note_sent(const model::InstanceEntry& instance, std::size_t requests,
                         common::Instant now) {
  for (rule* each : this->rules) {
    each->note_sent(instance, requests, now);
  }
}

}  // namespace valvekeel::access
