// Restarts and standstills of daemons around a replacement, and instances that refuse to prepare a
// connection, in drawn scenarios.

#include <catch2/catch.hpp>
#include <string>

#include "proxysim/scenario.h"

namespace valvekeel::proxysim {
namespace {

constexpr std::uint64_t kSeeds = 16;
constexpr std::uint64_t kMaxSeedsWithoutMechanism = 60;

ScenarioOptions Restarts(std::uint64_t seed) {
  ScenarioOptions options;
  options.seed = seed;
  options.faults = 0;
  options.restart_sequences = 3;
  return options;
}

ScenarioOptions RefusedPreparations(std::uint64_t seed) {
  ScenarioOptions options;
  options.seed = seed;
  options.faults = 4;
  options.refused_preparations = true;
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
bool IsBroken(const std::string& rule, ScenarioOptions (*draw)(std::uint64_t),
              const proxy::Mechanisms& mechanisms) {
  for (std::uint64_t seed = 1; seed <= kMaxSeedsWithoutMechanism; ++seed) {
    ScenarioOptions options = draw(seed);
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

TEST_CASE("Daemons that restart or stand still around a replacement cost no commit", "[proxysim]") {
  // Guards against a loss of commits that only an earlier process of a daemon has acknowledged, and
  // against promotions that are sent after the right to them has ended.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(Violations(Restarts(seed)) == "");
  }
}

TEST_CASE("Without a position asked for since its start, a restarted daemon loses commits",
          "[proxysim]") {
  proxy::Mechanisms without;
  without.covered_restarts = false;
  CHECK(IsBroken("LOST", Restarts, without));
}

TEST_CASE("Without a deadline, a holder that stood still promotes with a lower token",
          "[proxysim]") {
  proxy::Mechanisms without;
  without.promotion_deadline = false;
  CHECK(IsBroken("ONE", Restarts, without));
}

TEST_CASE("Refused preparations leave no session with values or names of another", "[proxysim]") {
  // Guards against reads with values that were not acknowledged, and unknown prepared names.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(Violations(RefusedPreparations(seed)) == "");
  }
}

TEST_CASE("Session state that is noted when it is sent differs from the instance's", "[proxysim]") {
  proxy::Mechanisms without;
  without.confirmed_session_state = false;
  CHECK(IsBroken("PINNED", RefusedPreparations, without));
}

}  // namespace valvekeel::proxysim
