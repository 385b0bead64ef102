#include "proxysim/control_cost.h"

#include <algorithm>
#include <ctime>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kZones = 5;
/// Connections an instance takes and its slots, as on the users' large site.
constexpr std::size_t kConnections = 202;
constexpr std::size_t kSlots = 3;
constexpr common::Duration kStart{6'000'000};
constexpr common::Duration kSettling{4'000'000};
constexpr common::Duration kRest{10'000'000};
constexpr common::Duration kReturn{5'000'000};
constexpr common::Duration kDark{1'000'000};
constexpr common::Duration kSpread{300'000};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

/// Counts what happens in one phase.
class PhaseMeter {
 public:
  explicit PhaseMeter(Cluster& cluster) : cluster_(cluster), began_(ProcessorSeconds()) {
    for (const auto& daemon : cluster_.Daemons()) {
      before_.push_back(daemon->Traffic());
    }
  }

  /// Lets the deployment run. @return what was counted.
  PhaseCost Run(common::Duration length) {
    cluster_.Surroundings().RunUntil(cluster_.Surroundings().Now() + length);
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
    cost.most_messages = std::max(cost.most_messages, sent);
    const std::size_t bytes = after.bytes - before.bytes;
    cost.most_bytes = std::max(cost.most_bytes, bytes);
    cost.largest = std::max(cost.largest, after.largest);
    const proxy::Proxy* decisions = daemon.Decisions();
    const bool plain = decisions != nullptr && !decisions->Roles().watches_any() &&
                       !decisions->Membership().is_hub();
    if (plain) {
      cost.plain_messages = std::max(cost.plain_messages, sent);
      cost.plain_bytes = std::max(cost.plain_bytes, bytes);
    }
  }

  Cluster& cluster_;
  std::vector<TrafficCounters> before_;
  double began_;
};

bool Agreed(Cluster& cluster) {
  const auto& expected = cluster.Daemons().front()->Decisions()->Roles().coordinators();
  return std::all_of(cluster.Daemons().begin(), cluster.Daemons().end(), [&](const auto& daemon) {
    return daemon->Alive() && daemon->Decisions()->Roles().coordinators() == expected;
  });
}

void RestartAll(Cluster& cluster) {
  World& world = cluster.Surroundings();
  for (const auto& daemon : cluster.Daemons()) {
    daemon->Kill();
  }
  world.RunUntil(world.Now() + kDark);
  for (const auto& daemon : cluster.Daemons()) {
    DaemonHost* returning = daemon.get();
    world.After(world.Between(common::Duration(0), kSpread), [returning] { returning->Start(); });
  }
}

}  // namespace

ControlCost MeasureControlCost(std::size_t daemons, std::size_t services) {
  ClusterShape shape;
  shape.daemons = daemons;
  shape.zones = kZones;
  shape.groups = services;
  shape.group.most_connections = kConnections;
  shape.group.slots = kSlots;
  shape.first_start = true;
  shape.encode_messages = true;
  Cluster cluster(kSeed, shape);
  ControlCost cost;
  cost.daemons = daemons;
  cost.services = services;
  cost.start = PhaseMeter(cluster).Run(kStart);
  cluster.Surroundings().RunUntil(cluster.Surroundings().Now() + kSettling);
  cost.rest = PhaseMeter(cluster).Run(kRest);
  cost.agreed_at_rest = Agreed(cluster);
  PhaseMeter herd(cluster);
  RestartAll(cluster);
  cost.herd_return = herd.Run(kReturn);
  cost.agreed_at_end = Agreed(cluster);
  return cost;
}

}  // namespace valvekeel::proxysim
