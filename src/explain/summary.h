// Sums up whole logs of all daemons: refusals and failures, replacements of primaries.
//
// Owns: nothing between calls. Invariant: lines that a daemon's log left out are counted apart,
// never attributed to a reason. Windows go by each daemon's time of day, so daemons whose clocks
// differ or jump fall into neighbouring windows. Thread: any.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "explain/explain.h"

namespace valvekeel::explain {

/// Failures that have everything but their number in common.
struct FailureGroup {
  std::chrono::seconds window{0};  // start of the window, from the first line of all logs
  std::string service;
  std::string process;
  std::string error;
  std::string reason;  // without the time to come back

  auto operator<=>(const FailureGroup&) const = default;
};

/// One step of a replacement.
struct ReplacementStep {
  std::string name;
  std::chrono::milliseconds after{0};  // the start of the replacement
};

/// One attempt to replace a primary, as its daemon logged it.
struct Replacement {
  std::string process;
  std::string service;
  std::string reason;
  std::string former;
  std::string candidate;
  std::string outcome;                   // empty if the log ends before
  std::chrono::milliseconds started{0};  // from the first line of all logs
  std::chrono::milliseconds took{0};
  /// From the loss as this daemon judged it to the end; nothing for a planned replacement.
  std::optional<std::chrono::milliseconds> gap;
  std::vector<ReplacementStep> steps;
};

struct LogSummary {
  std::map<FailureGroup, std::uint64_t> failures;
  std::map<std::string, std::uint64_t> left_out;  // lines of failures that a process did not write
  std::vector<Replacement> replacements;
  std::size_t lines = 0;
  std::size_t unreadable = 0;
};

/// @param window length of the windows, at least one second.
LogSummary Summarize(const LogSet& logs, std::chrono::seconds window);

std::string FormatText(const LogSummary& summary);
std::string FormatJson(const LogSummary& summary);

}  // namespace valvekeel::explain
