// Random days: a deployment, callers, and faults drawn from a seed.
//
// Owns: nothing between runs. Invariant: the same seed and options give the same result. Thread:
// one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "proxysim/cluster.h"

namespace valvekeel::proxysim {

/// What a day is made of.
struct ScenarioOptions {
  std::uint64_t seed = 1;
  common::Duration time_before_faults{8'000'000};  // until the faults begin
  common::Duration fault_time{24'000'000};
  common::Duration recovery_time{14'000'000};  // everything must serve again by its end
  std::size_t faults = 6;
  std::size_t sessions = 40;
  bool draw_shape = false;      // draws numbers of daemons, zones, instances, replicas
  bool tenants = false;         // callers have keys, which are taken away and passed on
  bool key_proof = true;        // off: daemons need no proof that keys are in force
  bool evacuations = false;     // operators evacuate zones, and take that back
  bool large = false;           // many daemons before few connections: sessions are relayed
  bool warm_up = false;         // instances that start are cold for a while
  bool planned_stops = false;   // no faults: daemons are stopped in rolls, beside configurations
  bool restart_empty = false;   // instances that end start again under their id, with nothing
  bool store_restores = false;  // the store comes back from older copies
  bool regions = false;         // two regions; routes and tenants are limited to them by turns
  proxy::Mechanisms mechanisms;
  bool record_load = false;  // of the daemons, for ScenarioResult::load_trace
  bool print_log = false;    // prints the daemons' log lines
};

struct ScenarioResult {
  std::vector<Violation> violations;
  std::vector<std::string> faults;  // what was done, in order
  std::size_t attempts = 0;
  std::size_t succeeded = 0;
  std::size_t promotions = 0;
  std::size_t evacuations = 0;
  std::size_t stops = 0;     // planned, of daemons
  std::size_t relayed = 0;   // sessions handed over by daemons that live at the end
  std::string load_trace;    // of the daemon with the most operations (waiting/trace.h)
  double served_at_end = 0;  // share of the operations of the last seconds
};

ScenarioResult RunScenario(const ScenarioOptions& options);

}  // namespace valvekeel::proxysim
