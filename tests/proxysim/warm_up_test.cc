// Tests of a primary that has just started, on simulated time.

#include <catch2/catch.hpp>

#include "proxysim/callers.h"
#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

constexpr std::size_t kSessions = 40;

ClusterShape ColdShape() {
  ClusterShape shape;
  shape.groups = 1;
  shape.group.warm_up = {std::chrono::seconds(6), 8};
  shape.group.tolerance = {1.5, 5};
  return shape;
}

/// A deployment with callers that records the reasons for replacing primaries.
struct ColdCluster {
  explicit ColdCluster(const ClusterShape& shape) : cluster(1, shape) {
    cluster.on_log = [this](const std::string&, const proxy::LogEvent& event) {
      for (const auto& [name, value] : event.fields) {
        if (std::string(event.event) == "failover_started" && std::string(name) == "reason") {
          ++reasons[value];
        }
      }
    };
    Run(std::chrono::seconds(2));
    callers = std::make_unique<Callers>(cluster, kSessions);
    callers->StopAt(std::chrono::seconds(60));
    Run(std::chrono::seconds(4));
  }

  void Run(common::Duration time) {
    World& world = cluster.SimWorld();
    world.RunUntil(world.Now() + time);
  }

  DatabaseGroup& Group() { return *cluster.Groups().begin()->second; }

  Cluster cluster;
  std::unique_ptr<Callers> callers;
  std::map<std::string, int> reasons;
};

}  // namespace

TEST_CASE("A cold primary is replaced once by a warm replica", "[proxysim][warm_up]") {
  ColdCluster cold(ColdShape());
  const std::string primary = cold.Group().Primary()->id;
  const common::Term term = cold.Group().Primary()->term;
  cold.Group().Crash(primary, false);
  cold.Group().Restart(primary);  // at once, before it can be replaced as lost
  cold.Run(std::chrono::seconds(4));
  CHECK(cold.Group().Primary()->id != primary);
  CHECK(cold.Group().Primary()->term == term + 1);
  CHECK(cold.reasons["cold"] > 0);
  // The replica stays primary when the former primary is warm.
  cold.Run(std::chrono::seconds(12));
  CHECK(cold.Group().Primary()->term == term + 1);
  CHECK(cold.cluster.SimWorld().Violations().empty());
}

TEST_CASE("A cold primary is not replaced if all replicas are cold", "[proxysim][warm_up]") {
  ColdCluster cold(ColdShape());
  const std::string primary = cold.Group().Primary()->id;
  const common::Term term = cold.Group().Primary()->term;
  std::vector<std::string> all;
  for (const auto& [id, instance] : cold.Group().Instances()) {
    all.push_back(id);
  }
  for (const std::string& id : all) {
    cold.Group().Crash(id, false);
    cold.Group().Restart(id);
  }
  cold.Run(std::chrono::seconds(15));
  CHECK(cold.Group().Primary()->term == term);
  CHECK(cold.Group().Primary()->id == primary);
  CHECK(cold.reasons.empty());
  CHECK(cold.cluster.SimWorld().Violations().empty());
  const SecondSummary& last = cold.callers->Seconds().at(18);
  CHECK(last.succeeded * 10 >= last.begun * 9);
}

}  // namespace valvekeel::proxysim
