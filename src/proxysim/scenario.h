// Random scenarios: a deployment, callers, and faults drawn from a seed.
//
// Keeps no state between runs. Invariant: the same seed and options give the same result. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "proxysim/cluster.h"

namespace valvekeel::proxysim {

/// Contents of a scenario.
struct ScenarioOptions {
  std::uint64_t seed = 1;
  common::Duration time_before_faults{8'000'000};  // from the first caller to the first fault
  common::Duration fault_time{24'000'000};
  common::Duration recovery_time{14'000'000};  // operations must succeed again by its end
  std::size_t faults = 6;
  std::size_t sequences = 0;          // of faults that hit one group, see FaultSequences
  std::size_t restart_sequences = 0;  // as sequences: restarts and standstills around a replacement
  bool refused_preparations = false;  // instances refuse some SET, PARSE and RESET
  std::size_t sessions = 40;
  bool draw_shape = false;      // draws numbers of daemons, zones, instances, replicas
  bool tenants = false;         // callers have keys, which are revoked and reassigned
  bool key_proof = true;        // off: daemons need no proof that keys are in force
  bool evacuations = false;     // operators evacuate zones, and end the evacuations
  bool large = false;           // many daemons, few connections: sessions are relayed
  bool warm_up = false;         // instances warm up after their start
  bool planned_stops = false;   // no faults: rolling stops of daemons and configuration changes
  bool restart_empty = false;   // instances restart under their id without their data
  bool store_restores = false;  // the store is restored from older copies
  bool regions = false;         // two regions; the limits of routes and tenants change
  proxy::Mechanisms mechanisms;
  bool record_load = false;  // of the daemons, for ScenarioResult::load_trace
  bool print_log = false;    // prints the daemons' log lines
};

struct ScenarioResult {
  std::vector<Violation> violations;
  std::vector<std::string> faults;  // the injected faults and planned events, in order
  std::size_t attempts = 0;
  std::size_t succeeded = 0;
  std::size_t promotions = 0;
  std::size_t evacuations = 0;
  std::size_t stops = 0;     // planned, of daemons
  std::size_t relayed = 0;   // sessions handed over by daemons that are alive at the end
  std::string load_trace;    // of the daemon with the most operations (waiting/trace.h)
  double served_at_end = 0;  // share of the operations in the last seconds that succeeded
};

ScenarioResult RunScenario(const ScenarioOptions& options);

}  // namespace valvekeel::proxysim
