// What control costs a deployment of a size: messages, bytes and calls to the store, with no
// caller.
//
// Owns: nothing between runs. Invariant: the same size gives the same counts. Thread: one.
#pragma once

#include <cstddef>

#include "common/time.h"

namespace valvekeel::proxysim {

/// What was counted in one phase.
struct PhaseCost {
  common::Duration length{0};
  std::size_t messages = 0;               // of all daemons
  std::size_t bytes = 0;                  // of these messages, encoded
  std::size_t max_roleless_messages = 0;  // sent by the plain daemon that sent the most
  std::size_t max_messages = 0;           // sent by the daemon that sent the most
  std::size_t max_roleless_bytes = 0;     // sent by the plain daemon that sent the most
  std::size_t max_bytes = 0;              // sent by the daemon that sent the most
  std::size_t largest_message = 0;        // bytes of the largest message up to its end
  std::size_t store_calls = 0;            // of all daemons
  double processor_seconds = 0;  // of the whole simulation: an upper bound for the decision code
};

struct ControlCost {
  std::size_t daemons = 0;
  std::size_t services = 0;
  PhaseCost start;
  PhaseCost idle;
  PhaseCost mass_restart;         // all are killed and return within 0.3 s
  bool agreed_when_idle = false;  // all daemons name the same coordinators
  bool agreed_at_end = false;
};

/// Services of a deployment for which nothing else is said.
inline constexpr std::size_t kDefaultServices = 20;

/// Plays a start, a while at rest, and the return of all, in five zones.
ControlCost MeasureControlCost(std::size_t daemons, std::size_t services = kDefaultServices);

}  // namespace valvekeel::proxysim
