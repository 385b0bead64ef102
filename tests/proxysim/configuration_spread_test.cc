// Tests that a configuration reaches all daemons of a large deployment through the hubs of their
// zones: only a few daemons read it from the store, whatever the number of daemons.

#include <algorithm>
#include <catch2/catch.hpp>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 5;

ClusterShape ShapeOf(std::size_t daemons) {
  ClusterShape shape;
  shape.daemons = daemons;
  shape.zones = kZones;
  shape.groups = 6;
  shape.first_start = true;
  return shape;
}

std::size_t CountOutdated(Cluster& cluster) {
  const std::uint64_t newest = cluster.CurrentConfiguration().version;
  return static_cast<std::size_t>(
      std::count_if(cluster.Daemons().begin(), cluster.Daemons().end(), [&](const auto& daemon) {
        return daemon->Proxy()->CatalogView().Configuration().version < newest;
      }));
}

/// @return the number of times the store sent the configuration while a change was distributed.
std::size_t ConfigurationReadsPerChange(Cluster& cluster) {
  World& world = cluster.SimWorld();
  world.RunUntil(world.Now() + seconds(8));
  const std::size_t before = cluster.Store().ConfigurationsSent();
  cluster.ChangeConfiguration();
  world.RunUntil(world.Now() + seconds(1));
  CHECK(CountOutdated(cluster) == 0);
  return cluster.Store().ConfigurationsSent() - before;
}

}  // namespace

TEST_CASE("Few daemons read a configuration change from the store, and all apply it within 1 s",
          "[proxysim]") {
  Cluster small(1, ShapeOf(40));
  Cluster larger(1, ShapeOf(160));
  const std::size_t by_few = ConfigurationReadsPerChange(small);
  CHECK(by_few < 40);
  CHECK(ConfigurationReadsPerChange(larger) <= by_few + kZones);
}

TEST_CASE("At the first start of many daemons only few read the configuration from the store",
          "[proxysim]") {
  Cluster cluster(1, ShapeOf(160));
  cluster.SimWorld().RunUntil(seconds(6));
  CHECK(CountOutdated(cluster) == 0);
  CHECK(cluster.Store().ConfigurationsSent() < 60);
}

TEST_CASE("Daemons read the configuration from the store themselves if no hub can", "[proxysim]") {
  Cluster cluster(1, ShapeOf(40));
  World& world = cluster.SimWorld();
  world.RunUntil(seconds(8));
  for (const auto& daemon : cluster.Daemons()) {
    const auto& roles = daemon->Proxy()->Roles();
    const bool reads_store = roles.coordinates() || roles.is_deputy();
    if (reads_store || daemon->Proxy()->Membership().is_hub()) {
      world.CutBoth(daemon->Name(), kStore);
    }
  }
  cluster.ChangeConfiguration();
  world.RunUntil(world.Now() + seconds(30));
  const std::uint64_t newest = cluster.CurrentConfiguration().version;
  CHECK(std::any_of(cluster.Daemons().begin(), cluster.Daemons().end(), [&](const auto& daemon) {
    return daemon->Proxy()->CatalogView().Configuration().version == newest;
  }));
}

TEST_CASE("An owner that restarts while the store is down gets the instances from other daemons",
          "[proxysim]") {
  Cluster cluster(1, ShapeOf(40));
  World& world = cluster.SimWorld();
  world.RunUntil(seconds(8));
  cluster.Store().faults.unresponsive = true;
  const auto owner =
      std::find_if(cluster.Daemons().begin(), cluster.Daemons().end(), [](const auto& daemon) {
        return daemon->Proxy()->Roles().watches_any() && !daemon->Proxy()->Membership().is_hub();
      });
  REQUIRE(owner != cluster.Daemons().end());
  (*owner)->Kill();
  world.RunUntil(world.Now() + milliseconds(200));
  (*owner)->Start();
  world.RunUntil(world.Now() + seconds(6));
  CHECK(CountOutdated(cluster) == 0);
  CHECK_FALSE((*owner)->Proxy()->CatalogView().Instances().empty());
}

}  // namespace valvekeel::proxysim
