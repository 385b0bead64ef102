// Tests of instances that restart under their id without their data: daemons must not use what they
// observed of the former incarnation, neither for reads nor for promotions.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "proxysim/callers.h"
#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSessions = 40;
constexpr Duration kServingAt = seconds(6);

/// A deployment of one group, with callers.
struct RestartScenario {
  explicit RestartScenario(const proxy::Mechanisms& mechanisms, std::uint64_t seed)
      : cluster(seed, ShapeOf(mechanisms)),
        world(cluster.SimWorld()),
        group(*cluster.Groups().begin()->second) {
    world.RunUntil(seconds(2));
    callers = std::make_unique<Callers>(cluster, kSessions);
    world.RunUntil(kServingAt);
  }

  static ClusterShape ShapeOf(const proxy::Mechanisms& mechanisms) {
    ClusterShape shape;
    shape.groups = 1;
    shape.mechanisms = mechanisms;
    return shape;
  }

  std::vector<std::string> Replicas() {
    std::vector<std::string> ids;
    for (const auto& [id, instance] : group.Instances()) {
      if (!instance.primary) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  std::size_t CountViolations(const std::string& rule) {
    std::size_t count = 0;
    for (const Violation& violation : world.Violations()) {
      INFO(violation.rule << " " << violation.detail);
      count += violation.rule == rule ? 1 : 0;
    }
    return count;
  }

  void RunFor(Duration time) { world.RunUntil(world.Now() + time); }

  Cluster cluster;
  World& world;
  DatabaseGroup& group;
  std::unique_ptr<Callers> callers;
};

/// The only replica with the newest commits restarts without its data, and the primary crashes.
/// @return the number of commits lost by a promotion.
std::size_t CommitsLost(const proxy::Mechanisms& mechanisms) {
  RestartScenario scenario(mechanisms, 3);
  const std::vector<std::string> replicas = scenario.Replicas();
  scenario.group.Instances().at(replicas[1]).replication_blocked = true;
  scenario.RunFor(seconds(1));
  const std::string primary = scenario.group.Primary()->id;
  scenario.group.Instances().at(replicas[0]).replication_blocked = true;
  scenario.group.RestartEmpty(replicas[0], false);
  scenario.group.Crash(primary, false);
  scenario.RunFor(seconds(10));
  return scenario.CountViolations("LOST");
}

/// The primary restarts at once without its data, as the primary of its former term.
/// @return the number of reads that missed a commit.
std::size_t StaleReads(const proxy::Mechanisms& mechanisms) {
  RestartScenario scenario(mechanisms, 4);
  const std::string primary = scenario.group.Primary()->id;
  scenario.group.RestartEmpty(primary, true);
  scenario.RunFor(seconds(8));
  return scenario.CountViolations("STALE");
}

}  // namespace

TEST_CASE("Commits that only a restarted replica had are not taken for nonexistent", "[proxysim]") {
  CHECK(CommitsLost({}) == 0);
  // What the daemons have acknowledged protects the same commits.
  proxy::Mechanisms without;
  without.instance_incarnations = false;
  CHECK(CommitsLost(without) == 0);
  without.acknowledged_commits = false;
  CHECK(CommitsLost(without) > 0);
  proxy::Mechanisms incarnations_only;
  incarnations_only.acknowledged_commits = false;
  CHECK(CommitsLost(incarnations_only) == 0);
}

TEST_CASE("A primary that restarts without its data serves no reads and is replaced",
          "[proxysim]") {
  CHECK(StaleReads({}) == 0);
  proxy::Mechanisms without;
  without.instance_incarnations = false;
  without.required_positions = false;
  CHECK(StaleReads(without) > 0);

  RestartScenario scenario({}, 4);
  const std::string primary = scenario.group.Primary()->id;
  scenario.group.RestartEmpty(primary, true);
  scenario.RunFor(seconds(4));
  REQUIRE(scenario.group.Primary() != nullptr);
  CHECK(scenario.group.Primary()->id != primary);
  CHECK(scenario.CountViolations("LOST") == 0);
}

TEST_CASE("A replica that restarts without its data catches up, and the group keeps serving",
          "[proxysim]") {
  RestartScenario scenario({}, 5);
  for (const std::string& id : scenario.Replicas()) {
    scenario.group.RestartEmpty(id, false);
    scenario.RunFor(seconds(2));
  }
  scenario.group.Crash(scenario.group.Primary()->id, false);
  scenario.RunFor(seconds(6));
  REQUIRE(scenario.group.Primary() != nullptr);
  CHECK(scenario.group.Primary()->alive);
  CHECK(scenario.world.Violations().empty());
}

}  // namespace valvekeel::proxysim
