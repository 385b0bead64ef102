// Days of planned stops alone: each command that a daemon has taken is answered or refused.
//
// On a day with no fault, callers found their connections closed with a command read and neither
// an answer nor a refusal. Each time a decision to end had been made on what was known at one
// moment, and the command came between the decision and its effect: a process had decided to end
// ("stopped" with sessions_left 0) and took sessions and commands for 150 ms more, or an owner
// ended a session as resting while its next command was on the link. The days of faults showed
// none of it: the simulated process ended in the instant of its decision, callers knew at once who
// was not ready, and nothing held what they saw at a planned stop.

#include <catch2/catch.hpp>

#include "proxysim/answer_checker.h"
#include "proxysim/scenario.h"

namespace valvekeel::proxysim {
namespace {

/// Plays one day of planned stops. @return its violations as text.
std::string Violations(ScenarioOptions options) {
  options.planned_stops = true;
  const ScenarioResult result = RunScenario(options);
  CHECK(result.stops > 0);
  CHECK((result.relayed > 0) == options.large);
  std::string text;
  for (const Violation& violation : result.violations) {
    text += violation.rule + ": " + violation.detail + "\n";
  }
  return text;
}

}  // namespace

TEST_CASE("Planned stops leave no command without an answer", "[proxysim][planned]") {
  constexpr std::uint64_t kDrawnSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kDrawnSeeds; ++seed) {
    ScenarioOptions options;
    options.seed = seed;
    options.draw_shape = true;
    INFO("drawn, seed " << seed);
    CHECK(Violations(options) == "");
  }
  constexpr std::uint64_t kLargeSeeds = 4;
  for (std::uint64_t seed = 1; seed <= kLargeSeeds; ++seed) {
    ScenarioOptions options;
    options.seed = seed;
    options.large = true;
    options.sessions = 120;
    INFO("large, seed " << seed);
    CHECK(Violations(options) == "");
  }
}

TEST_CASE("A command without an answer counts beside planned stops alone", "[proxysim][planned]") {
  World world(1);
  AnswerChecker checker(world);
  const UnansweredCommand cut{"a command", {"daemon", "owner"}};
  checker.OnUnanswered(cut);
  CHECK(world.Violations().empty());  // no stop
  world.RecordFault("owner");
  world.RunUntil(std::chrono::seconds(4));
  checker.OnPlannedStop();
  checker.OnUnanswered(cut);
  CHECK(world.Violations().empty());  // its owner was in trouble
  world.RunUntil(std::chrono::seconds(6));
  checker.OnUnanswered(cut);
  REQUIRE(world.Violations().size() == 1);
  CHECK(world.Violations().front().rule == "UNANSWERED");
  world.CutBoth("daemon", "another");
  world.RunUntil(std::chrono::seconds(10));
  checker.OnPlannedStop();
  world.RunUntil(std::chrono::seconds(16));
  checker.OnUnanswered(cut);
  CHECK(world.Violations().size() == 1);  // a way to it is still cut
  world.HealBoth("daemon", "another");
  world.RunUntil(std::chrono::seconds(40));
  checker.OnUnanswered(cut);
  CHECK(world.Violations().size() == 1);  // long after the stop
}

}  // namespace valvekeel::proxysim
