// Sequences of faults that hit one group, in drawn days.

#include <catch2/catch.hpp>
#include <string>

#include "proxysim/scenario.h"

namespace valvekeel::proxysim {
namespace {

constexpr std::uint64_t kSeeds = 16;
constexpr std::uint64_t kMaxSeedsWithoutMechanism = 60;

ScenarioOptions Sequences(std::uint64_t seed) {
  ScenarioOptions options;
  options.seed = seed;
  options.faults = 0;
  options.sequences = 3;
  return options;
}

std::string Violations(const ScenarioOptions& options) {
  std::string text;
  for (const Violation& violation : RunScenario(options).violations) {
    text += violation.rule + ": " + violation.detail + "\n";
  }
  return text;
}

/// @return true if the rule is broken on one of the first seeds.
bool IsBroken(const std::string& rule, const proxy::Mechanisms& mechanisms) {
  for (std::uint64_t seed = 1; seed <= kMaxSeedsWithoutMechanism; ++seed) {
    ScenarioOptions options = Sequences(seed);
    options.mechanisms = mechanisms;
    for (const Violation& violation : RunScenario(options).violations) {
      if (violation.rule == rule) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

TEST_CASE("Replicas that leave, join unseen or fall silent before a primary is lost cost no commit",
          "[proxysim]") {
  // Guards against a loss of acknowledged commits and against reads at a replaced primary: what a
  // replacement needs to know was held in memory or taken from silence.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(Violations(Sequences(seed)) == "");
  }
}

TEST_CASE("The same in drawn deployments, beside other faults", "[proxysim]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ScenarioOptions options = Sequences(seed);
    options.draw_shape = true;
    options.sequences = 2;
    options.faults = 4;
    INFO("seed " << seed);
    CHECK(Violations(options) == "");
  }
}

TEST_CASE("Without recorded holders and acknowledged positions, sequences of faults lose commits",
          "[proxysim]") {
  // Each alone protects the commits of most of these days.
  proxy::Mechanisms without;
  without.acknowledged_commits = false;
  without.recorded_holders = false;
  CHECK(IsBroken("LOST", without));
}

}  // namespace valvekeel::proxysim
