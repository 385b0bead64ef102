// Tests that with planned stops as the only disturbance each command that a daemon has read is
// answered or refused.
//
// Guards against commands that arrive between a decision to end and its effect, and whose
// connection is closed without an answer or a refusal: a process that has decided to exit
// ("stopped" with sessions_left 0) and reads sessions and commands for 150 ms more, or an owner
// that ends a session as idle while its next command is on the link. For this the simulated process
// ends some time after its decision, callers connect through a load balancer that detects stops
// late, and AnswerChecker checks every closed session.

#include <catch2/catch.hpp>

#include "proxysim/answer_checker.h"
#include "proxysim/scenario.h"

namespace valvekeel::proxysim {
namespace {

/// Runs a scenario of planned stops. @return its violations as text.
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

TEST_CASE("An unanswered command is reported only if planned stops are the only disturbance",
          "[proxysim][planned]") {
  World world(1);
  AnswerChecker checker(world);
  const UnansweredCommand cut{"a command", {"daemon", "owner"}};
  checker.OnUnanswered(cut);
  CHECK(world.Violations().empty());  // no stop
  world.RecordFault("owner");
  world.RunUntil(std::chrono::seconds(4));
  checker.OnPlannedStop();
  checker.OnUnanswered(cut);
  CHECK(world.Violations().empty());  // its owner has just had a fault
  world.RunUntil(std::chrono::seconds(6));
  checker.OnUnanswered(cut);
  REQUIRE(world.Violations().size() == 1);
  CHECK(world.Violations().front().rule == "UNANSWERED");
  world.CutBoth("daemon", "another");
  world.RunUntil(std::chrono::seconds(10));
  checker.OnPlannedStop();
  world.RunUntil(std::chrono::seconds(16));
  checker.OnUnanswered(cut);
  CHECK(world.Violations().size() == 1);  // a link of it is still cut
  world.HealBoth("daemon", "another");
  world.RunUntil(std::chrono::seconds(40));
  checker.OnUnanswered(cut);
  CHECK(world.Violations().size() == 1);  // long after the stop
}

}  // namespace valvekeel::proxysim
