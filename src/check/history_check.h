// Checks a history against what must always hold.
//
// Owns: nothing; works on events. Invariant: reports a violation only with the operations that show
// it; an invariant without checked operations is reported as such. Pure. Thread: any.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "history/event.h"

namespace valvekeel::check {

/// Limits that the history is held against.
struct CheckLimits {
  std::int64_t leaving_us = 5'000'000;         // after which a leaving instance gets nothing new
  std::int64_t configuration_us = 12'000'000;  // within which a version is in force everywhere
  std::int64_t planned_stop_us = 60'000'000;   // how long after a planned stop cut-offs count
};

/// One broken promise, with the events that show it.
struct Violation {
  std::string what;
  std::vector<history::Event> events;
};

/// Result for one invariant.
struct InvariantReport {
  std::string name;
  std::uint64_t checked = 0;  // operations held against it
  std::vector<Violation> violations;
};

/// @return a report for each invariant, in a fixed order.
std::vector<InvariantReport> CheckHistory(const std::vector<history::Event>& events,
                                          const CheckLimits& limits);

/// @return true if no invariant has a violation.
bool AllHold(const std::vector<InvariantReport>& reports);

}  // namespace valvekeel::check
