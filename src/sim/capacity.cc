#include "sim/capacity.h"

#include <malloc.h>

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "cluster/placement.h"

namespace valvekeel::sim {
namespace {

using common::Duration;
using nlohmann::json;

constexpr Duration kSettle{5'000'000};
constexpr Duration kLimit{60'000'000};
constexpr Duration kPhaseGap{3'000'000};
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kNanosPerMicro = 1e3;
constexpr double kBytesPerKilobyte = 1024.0;

/// Median and highest of one figure over all daemons.
std::pair<double, double> MedianAndWorst(const std::vector<NodeUsage>& usage,
                                         const std::function<double(const NodeUsage&)>& figure) {
  std::vector<double> values;
  values.reserve(usage.size());
  for (const NodeUsage& entry : usage) {
    values.push_back(figure(entry));
  }
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.back()};
}

/// @param parts the phase's length in seconds, or number of its events.
PhaseCost CostOf(const std::vector<NodeUsage>& usage, double parts) {
  PhaseCost cost;
  const auto messages = MedianAndWorst(usage, [](const NodeUsage& entry) {
    return static_cast<double>(entry.messages_sent + entry.messages_received);
  });
  const auto bytes = MedianAndWorst(usage, [](const NodeUsage& entry) {
    return static_cast<double>(entry.bytes_sent + entry.bytes_received);
  });
  const auto cpu = MedianAndWorst(usage, [](const NodeUsage& entry) {
    return static_cast<double>(entry.cpu_ns) / kNanosPerMicro;
  });
  cost.median_messages = messages.first / parts;
  cost.worst_messages = messages.second / parts;
  cost.median_bytes = bytes.first / parts;
  cost.worst_bytes = bytes.second / parts;
  cost.median_cpu_us = cpu.first / parts;
  cost.worst_cpu_us = cpu.second / parts;
  return cost;
}

/// Takes from a phase with events what rest costs in the same time.
PhaseCost Beyond(const PhaseCost& phase, const PhaseCost& quiet, double seconds_each) {
  PhaseCost cost;
  const auto beyond = [seconds_each](double with, double rest) {
    return std::max(0.0, with - rest * seconds_each);
  };
  cost.median_messages = beyond(phase.median_messages, quiet.median_messages);
  cost.worst_messages = beyond(phase.worst_messages, quiet.worst_messages);
  cost.median_bytes = beyond(phase.median_bytes, quiet.median_bytes);
  cost.worst_bytes = beyond(phase.worst_bytes, quiet.worst_bytes);
  cost.median_cpu_us = beyond(phase.median_cpu_us, quiet.median_cpu_us);
  cost.worst_cpu_us = beyond(phase.worst_cpu_us, quiet.worst_cpu_us);
  return cost;
}

double Milliseconds(std::optional<Duration> duration) {
  return duration ? static_cast<double>(duration->count()) / kMicrosPerMilli : -1;
}

Spread SpreadOf(std::vector<double> times) {
  Spread spread;
  if (times.empty()) {
    return spread;
  }
  std::sort(times.begin(), times.end());
  spread.median_ms = times[times.size() / 2];
  // One that was not seen in time makes the worst case open.
  spread.worst_ms = times.front() < 0 ? -1 : times.back();
  return spread;
}

double AllocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

void MeasureChanges(ClusterSim& sim, const CapacityPlan& plan, CapacityResult& result) {
  std::vector<double> times;
  sim.ResetUsage();
  const common::Instant start = sim.Queue().Now();
  for (std::size_t i = 0; i < plan.changes; ++i) {
    const std::size_t database = i % plan.shape.databases;
    const std::uint64_t version = sim.ChangeDatabase(database);
    times.push_back(Milliseconds(
        sim.RunUntil([&] { return sim.InForceEverywhere(database, version); }, kLimit)));
    sim.Run(kPhaseGap);
  }
  const double seconds =
      static_cast<double>((sim.Queue().Now() - start).count()) / kMicrosPerSecond;
  const auto changes = static_cast<double>(plan.changes);
  result.change = Beyond(CostOf(sim.Usage(), changes), result.quiet, seconds / changes);
  result.change_in_force = SpreadOf(times);
}

void MeasureRestarts(ClusterSim& sim, const CapacityPlan& plan, CapacityResult& result) {
  sim.ResetUsage();
  const common::Instant start = sim.Queue().Now();
  for (std::size_t i = 0; i < plan.restarts; ++i) {
    const std::size_t daemon = (i * 7 + 1) % sim.Size();
    sim.StopPlanned(daemon);
    sim.Run(kPhaseGap);
    sim.Restart(daemon);
    sim.Run(kPhaseGap);
  }
  const double seconds =
      static_cast<double>((sim.Queue().Now() - start).count()) / kMicrosPerSecond;
  const auto restarts = static_cast<double>(plan.restarts);
  result.restart = Beyond(CostOf(sim.Usage(), restarts), result.quiet, seconds / restarts);
}

void MeasureCrashes(ClusterSim& sim, const CapacityPlan& plan, CapacityResult& result) {
  std::vector<double> times;
  for (std::size_t i = 0; i < plan.crashes; ++i) {
    const std::size_t daemon = (i * 11 + 2) % sim.Size();
    sim.Kill(daemon);
    times.push_back(Milliseconds(sim.RunUntil([&] { return sim.ViewsAgree(); }, kLimit)));
    sim.Restart(daemon);
    sim.RunUntil([&] { return sim.ViewsAgree(); }, kLimit);
  }
  result.crash_seen = SpreadOf(times);
}

/// Kills daemons together. @return milliseconds until no view has them any more.
double MeasureLoss(ClusterSim& sim, const std::vector<std::size_t>& daemons) {
  for (const std::size_t daemon : daemons) {
    sim.Kill(daemon);
  }
  const double took = Milliseconds(sim.RunUntil([&] { return sim.ViewsAgree(); }, kLimit));
  for (const std::size_t daemon : daemons) {
    sim.Restart(daemon);
  }
  sim.RunUntil([&] { return sim.ViewsAgree(); }, kLimit);
  return took;
}

std::vector<std::size_t> DaemonsOfZone(const ClusterSim& sim, const std::string& zone,
                                       std::size_t most) {
  std::vector<std::size_t> daemons;
  for (std::size_t i = 0; i < sim.Size() && daemons.size() < most; ++i) {
    if (sim.ZoneOf(i) == zone) {
      daemons.push_back(i);
    }
  }
  return daemons;
}

double MeasureRegionCut(ClusterSim& sim, const CapacityPlan& plan) {
  sim.CutRegions(true);
  sim.Run(plan.region_cut / 2);
  // What changes meanwhile, in each region, must be known everywhere after the cut.
  const std::uint64_t version = sim.ChangeDatabase(0, true);
  const std::size_t last = sim.Size() - 1;
  sim.Kill(last);
  sim.Run(plan.region_cut / 2);
  sim.CutRegions(false);
  return Milliseconds(
      sim.RunUntil([&] { return sim.InForceEverywhere(0, version) && sim.ViewsAgree(); }, kLimit));
}

json CostJson(const PhaseCost& cost) {
  return {{"messages", {{"median", cost.median_messages}, {"worst", cost.worst_messages}}},
          {"bytes", {{"median", cost.median_bytes}, {"worst", cost.worst_bytes}}},
          {"cpu_us", {{"median", cost.median_cpu_us}, {"worst", cost.worst_cpu_us}}}};
}

json SpreadJson(const Spread& spread) {
  return {{"median_ms", spread.median_ms}, {"worst_ms", spread.worst_ms}};
}

}  // namespace

CapacityResult MeasureCapacity(const CapacityPlan& plan) {
  CapacityResult result;
  result.daemons = plan.shape.daemons;
  result.databases = plan.shape.databases;
  const double before = AllocatedBytes();
  ClusterSim sim(plan.shape);
  sim.StartAll();
  sim.Run(kSettle);
  result.memory_kb =
      (AllocatedBytes() - before) / static_cast<double>(plan.shape.daemons) / kBytesPerKilobyte;
  result.relays = sim.Relays();
  sim.ResetUsage();
  sim.Run(plan.quiet);
  result.quiet = CostOf(sim.Usage(), static_cast<double>(plan.quiet.count()) / kMicrosPerSecond);
  MeasureChanges(sim, plan, result);
  MeasureRestarts(sim, plan, result);
  MeasureCrashes(sim, plan, result);
  result.rack_loss_ms = MeasureLoss(sim, DaemonsOfZone(sim, "zone-1", plan.rack));
  result.zone_loss_ms = MeasureLoss(sim, DaemonsOfZone(sim, "zone-2", sim.Size()));
  result.region_heal_ms = MeasureRegionCut(sim, plan);
  return result;
}

PlacementResult MeasurePlacement(const ClusterShape& shape) {
  ClusterSim sim(shape);
  sim.StartAll();
  sim.Run(kSettle);
  const cluster::Node& node = sim.NodeAt(0);
  std::map<cluster::MemberId, std::size_t> owned;
  for (std::size_t database = 0; database < shape.databases; ++database) {
    const replicated::Entry entry = ClusterSim::DatabaseEntry(database, 1);
    for (const json& instance : entry.value.at("instances")) {
      const std::string object =
          "pool/" + entry.id.name + "/" + instance.at("id").get<std::string>();
      ++owned[cluster::OwnerOf(object, node.ServingIn(instance.at("zone").get<std::string>()))];
    }
  }
  std::vector<std::size_t> counts;
  for (std::size_t daemon = 0; daemon < sim.Size(); ++daemon) {
    counts.push_back(owned[sim.NodeAt(daemon).Self().id]);
  }
  std::sort(counts.begin(), counts.end());
  return {counts[counts.size() / 2], counts.back()};
}

std::string FormatCapacity(const CapacityResult& result) {
  const json line = {{"daemons", result.daemons},
                     {"databases", result.databases},
                     {"quiet_per_second", CostJson(result.quiet)},
                     {"per_change", CostJson(result.change)},
                     {"per_restart", CostJson(result.restart)},
                     {"memory_kb", result.memory_kb},
                     {"relays", result.relays},
                     {"change_in_force", SpreadJson(result.change_in_force)},
                     {"crash_seen", SpreadJson(result.crash_seen)},
                     {"rack_loss_ms", result.rack_loss_ms},
                     {"zone_loss_ms", result.zone_loss_ms},
                     {"region_heal_ms", result.region_heal_ms}};
  return line.dump();
}

}  // namespace valvekeel::sim
