// Checks that beside planned stops alone each command that a daemon has taken is answered or
// refused before its session is closed (UNANSWERED).
//
// A command counts as taken once the daemon to which the caller is connected has read it, whichever
// daemon serves its session. Nothing is said of commands whose daemons, instances or store were in
// trouble that was not planned.
//
// Owns: when a daemon was last told to stop. Invariant: reports no command twice. Thread: one.
#pragma once

#include <string>
#include <vector>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// A command whose session was closed before its answer.
struct UnansweredCommand {
  std::string what;                  // the command, and who cut it off
  std::vector<std::string> parties;  // on whom its answer depended
};

class AnswerChecker {
 public:
  explicit AnswerChecker(World& world) : world_(world) {}

  /// Some daemon was told to stop.
  void OnPlannedStop() { last_stop_ = world_.Now(); }

  /// A session was closed with a command unanswered.
  void OnUnanswered(const UnansweredCommand& command);

 private:
  /// The time of a stop, and then a while in which callers and other daemons notice it.
  static constexpr common::Duration kStopEffectTime{7'000'000};
  /// Within which trouble that was not planned may still be felt.
  static constexpr common::Duration kFaultEffectTime{5'000'000};

  World& world_;
  common::Instant last_stop_ = -kStopEffectTime;
};

}  // namespace valvekeel::proxysim
