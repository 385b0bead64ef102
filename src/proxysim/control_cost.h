// Measures the control traffic of a deployment without callers: messages, bytes and store calls.
//
// Keeps no state between runs. Invariant: the same size gives the same counts. Not thread-safe.
#pragma once

#include <cstddef>

#include "common/time.h"

namespace valvekeel::proxysim {

/// Counts of one phase. A daemon without a role is no hub and watches no group.
struct PhaseCost {
  common::Duration length{0};
  std::size_t messages = 0;               // of all daemons
  std::size_t bytes = 0;                  // of these messages, encoded
  std::size_t max_roleless_messages = 0;  // sent by the daemon without a role that sent the most
  std::size_t max_messages = 0;           // sent by the daemon that sent the most
  std::size_t max_roleless_bytes = 0;     // sent by the daemon without a role that sent the most
  std::size_t max_bytes = 0;              // sent by the daemon that sent the most
  std::size_t largest_message = 0;        // bytes of the largest message since the start
  std::size_t store_calls = 0;            // of all daemons
  double processor_seconds = 0;  // of the whole simulation: an upper bound for the daemons' code
};

struct ControlCost {
  std::size_t daemons = 0;
  std::size_t services = 0;
  PhaseCost start;
  PhaseCost idle;
  PhaseCost mass_restart;         // all daemons are killed and restart within 0.3 s
  bool agreed_when_idle = false;  // all daemons have the same coordinators
  bool agreed_at_end = false;
};

/// Default number of services.
inline constexpr std::size_t kDefaultServices = 20;

/// Simulates a start, an idle phase and a restart of all daemons, in five zones.
ControlCost MeasureControlCost(std::size_t daemons, std::size_t services = kDefaultServices);

}  // namespace valvekeel::proxysim
