#include "proxysim/answer_checker.h"

#include <algorithm>

namespace valvekeel::proxysim {

void AnswerChecker::OnUnanswered(const UnansweredCommand& command) {
  if (world_.Now() >= last_stop_ + kStopEffectTime) {
    return;
  }
  const bool troubled = std::any_of(
      command.parties.begin(), command.parties.end(),
      [&](const std::string& party) { return world_.HadFault(party, kFaultEffectTime); });
  if (!troubled) {
    world_.Report("UNANSWERED", command.what);
  }
}

}  // namespace valvekeel::proxysim
