#include "proxysim/control_cost.h"

#include <algorithm>
#include <ctime>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kZones = 5;
/// Connections that an instance accepts, and its slots, as in a large deployment.
constexpr std::size_t kConnections = 202;
constexpr std::size_t kSlots = 3;
constexpr common::Duration kStartTime{6'000'000};
constexpr common::Duration kSettlingTime{4'000'000};
constexpr common::Duration kIdleTime{10'000'000};
constexpr common::Duration kRestartTime{5'000'000};
constexpr common::Duration kDownTime{1'000'000};
constexpr common::Duration kStartSpread{300'000};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

/// Counts messages, bytes and store calls in one phase.
class PhaseMeter {
 public:
  explicit PhaseMeter(Cluster& cluster) : cluster_(cluster), began_(ProcessorSeconds()) {
    for (const auto& daemon : cluster_.Daemons()) {
      before_.push_back(daemon->Traffic());
    }
  }

  /// Runs the deployment for the duration. @return the counts.
  PhaseCost Run(common::Duration length) {
    cluster_.SimWorld().RunUntil(cluster_.SimWorld().Now() + length);
    PhaseCost cost;
    cost.length = length;
    cost.processor_seconds = ProcessorSeconds() - began_;
    for (std::size_t at = 0; at < before_.size(); ++at) {
      Add(*cluster_.Daemons()[at], before_[at], cost);
    }
    return cost;
  }

 private:
  static void Add(DaemonHost& daemon, const TrafficCounters& before, PhaseCost& cost) {
    const TrafficCounters& after = daemon.Traffic();
    const std::size_t sent = after.messages - before.messages;
    cost.messages += sent;
    cost.bytes += after.bytes - before.bytes;
    cost.store_calls += after.store_calls - before.store_calls;
    cost.max_messages = std::max(cost.max_messages, sent);
    const std::size_t bytes = after.bytes - before.bytes;
    cost.max_bytes = std::max(cost.max_bytes, bytes);
    cost.largest_message = std::max(cost.largest_message, after.largest_message);
    const proxy::Proxy* decisions = daemon.Proxy();
    const bool roleless = decisions != nullptr && !decisions->Roles().watches_any() &&
                          !decisions->Membership().is_hub();
    if (roleless) {
      cost.max_roleless_messages = std::max(cost.max_roleless_messages, sent);
      cost.max_roleless_bytes = std::max(cost.max_roleless_bytes, bytes);
    }
  }

  Cluster& cluster_;
  std::vector<TrafficCounters> before_;
  double began_;
};

bool AgreeOnCoordinators(Cluster& cluster) {
  const auto& expected = cluster.Daemons().front()->Proxy()->Roles().coordinators();
  return std::all_of(cluster.Daemons().begin(), cluster.Daemons().end(), [&](const auto& daemon) {
    return daemon->Alive() && daemon->Proxy()->Roles().coordinators() == expected;
  });
}

void RestartAll(Cluster& cluster) {
  World& world = cluster.SimWorld();
  for (const auto& daemon : cluster.Daemons()) {
    daemon->Kill();
  }
  world.RunUntil(world.Now() + kDownTime);
  for (const auto& daemon : cluster.Daemons()) {
    DaemonHost* returning = daemon.get();
    world.After(world.RandomBetween(common::Duration(0), kStartSpread),
                [returning] { returning->Start(); });
  }
}

}  // namespace

ControlCost MeasureControlCost(std::size_t daemons, std::size_t services) {
  ClusterShape shape;
  shape.daemons = daemons;
  shape.zones = kZones;
  shape.groups = services;
  shape.group.max_connections = kConnections;
  shape.group.slots = kSlots;
  shape.first_start = true;
  shape.encode_messages = true;
  Cluster cluster(kSeed, shape);
  ControlCost cost;
  cost.daemons = daemons;
  cost.services = services;
  cost.start = PhaseMeter(cluster).Run(kStartTime);
  cluster.SimWorld().RunUntil(cluster.SimWorld().Now() + kSettlingTime);
  cost.idle = PhaseMeter(cluster).Run(kIdleTime);
  cost.agreed_when_idle = AgreeOnCoordinators(cluster);
  PhaseMeter restart(cluster);
  RestartAll(cluster);
  cost.mass_restart = restart.Run(kRestartTime);
  cost.agreed_at_end = AgreeOnCoordinators(cluster);
  return cost;
}

}  // namespace valvekeel::proxysim
