// Time as the decision code sees it.
//
// Owns: the alias for instants. Invariant: decision code never reads a clock; its host passes the
// time in. Thread: any.
#pragma once

#include <chrono>

namespace valvekeel::common {

/// Length of time.
using Duration = std::chrono::microseconds;

/// Microseconds on the host's monotonic clock; only differences have a meaning.
using Instant = std::chrono::microseconds;

/// @return the steady clock's reading. For hosts only.
inline Instant SteadyNow() {
  return std::chrono::duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace valvekeel::common
