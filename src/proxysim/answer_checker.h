// Checks that every command read by a daemon is answered or refused before its session is closed,
// if planned stops are the only disturbance (rule UNANSWERED).
//
// A command counts as read once the daemon to which the caller is connected has read it, whichever
// daemon serves its session. Commands whose daemons, instances or store have had an unplanned fault
// are exempt.
//
// Owns: the time of the last planned stop. Invariant: no command is reported twice. Not
// thread-safe.
#pragma once

#include <string>
#include <vector>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// A command whose session was closed before it was answered.
struct UnansweredCommand {
  std::string what;                  // the command, and why its session was closed
  std::vector<std::string> parties;  // daemons, groups and store on which the answer depended
};

class AnswerChecker {
 public:
  explicit AnswerChecker(World& world) : world_(world) {}

  /// A daemon received a stop signal.
  void OnPlannedStop() { last_stop_ = world_.Now(); }

  /// A session was closed with an unanswered command. Reports it unless it is exempt.
  void OnUnanswered(const UnansweredCommand& command);

 private:
  /// Duration of a stop, and of the time until callers and other daemons notice it.
  static constexpr common::Duration kStopEffectTime{7'000'000};
  /// Time after an unplanned fault during which it may still have effects.
  static constexpr common::Duration kFaultEffectTime{5'000'000};

  World& world_;
  common::Instant last_stop_ = -kStopEffectTime;
};

}  // namespace valvekeel::proxysim
