// Measures what control costs a daemon at a given size of the cluster.
//
// Owns: nothing. Invariant: every figure comes from the run it reports. Thread: main.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sim/cluster_sim.h"

namespace valvekeel::sim {

/// Cost of one phase, per daemon.
struct PhaseCost {
  double median_messages = 0;  // sent and received
  double worst_messages = 0;
  double median_bytes = 0;  // sent and received
  double worst_bytes = 0;
  double median_cpu_us = 0;
  double worst_cpu_us = 0;
};

/// Times until something was seen by every daemon; negative if it was not within the limit.
struct Spread {
  double median_ms = -1;
  double worst_ms = -1;
};

/// Result for one size.
struct CapacityResult {
  std::size_t daemons = 0;
  std::size_t databases = 0;
  PhaseCost quiet;       // per second of rest
  PhaseCost change;      // of one change of configuration, beyond rest
  PhaseCost restart;     // of one planned stop and start, beyond rest
  double memory_kb = 0;  // of one daemon's control state
  std::size_t relays = 0;
  Spread change_in_force;
  Spread crash_seen;  // loss of one daemon until no view has it
  double rack_loss_ms = -1;
  double zone_loss_ms = -1;
  double region_heal_ms = -1;  // from the end of a cut until all tables agree again
};

struct CapacityPlan {
  ClusterShape shape;
  std::size_t changes = 20;
  std::size_t restarts = 10;
  std::size_t crashes = 5;
  std::size_t rack = 20;  // daemons of one rack, all in one zone
  common::Duration quiet{30'000'000};
  common::Duration region_cut{60'000'000};
};

/// Runs all phases at one size.
CapacityResult MeasureCapacity(const CapacityPlan& plan);

/// Instances that a daemon owns, over all daemons.
struct PlacementResult {
  std::size_t median = 0;
  std::size_t worst = 0;
};

/// Places the instances of all database groups as the daemons would.
PlacementResult MeasurePlacement(const ClusterShape& shape);

/// @return the result as one line of JSON.
std::string FormatCapacity(const CapacityResult& result);

}  // namespace valvekeel::sim
