#include "proxysim/answer_checker.h"

#include <algorithm>

namespace valvekeel::proxysim {

void AnswerChecker::Cut(const CutCommand& command) {
  if (world_.Now() >= last_stop_ + kBesideStop) {
    return;
  }
  const bool troubled =
      std::any_of(command.parties.begin(), command.parties.end(),
                  [&](const std::string& party) { return world_.InTrouble(party, kAfterTrouble); });
  if (!troubled) {
    world_.Report("UNANSWERED", command.what);
  }
}

}  // namespace valvekeel::proxysim
