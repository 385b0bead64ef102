// Summarizes the logs of all daemons: refusals, failures and replacements of primaries.
//
// Invariant: lines that a daemon's log suppressed are counted separately, never attributed to a
// reason. Windows are based on each daemon's time of day, so lines of daemons whose clocks differ
// or jump can fall into neighbouring windows. No I/O; thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "explain/explain.h"

namespace valvekeel::explain {

/// Key by which equal failures are counted.
struct FailureGroup {
  std::chrono::seconds window{0};  // start of the window, since the first line of all logs
  std::string service;
  std::string process;
  std::string error;
  std::string reason;  // without the retry-after time

  auto operator<=>(const FailureGroup&) const = default;
};

/// One step of a replacement.
struct ReplacementStep {
  std::string name;
  std::chrono::milliseconds after{0};  // since the start of the replacement
};

/// One attempt to replace a primary, as logged by its daemon.
struct Replacement {
  std::string process;
  std::string service;
  std::string reason;
  std::string former_primary;
  std::string candidate;
  std::string outcome;                   // empty if the log ends first
  std::chrono::milliseconds started{0};  // since the first line of all logs
  std::chrono::milliseconds duration{0};
  /// From the time at which this daemon lost the primary to the end of the replacement; nothing if
  /// the replacement is planned.
  std::optional<std::chrono::milliseconds> gap;
  std::vector<ReplacementStep> steps;
};

struct LogSummary {
  std::map<FailureGroup, std::uint64_t> failures;
  std::map<std::string, std::uint64_t>
      suppressed;  // failure lines that a process did not write, by process
  std::vector<Replacement> replacements;
  std::size_t lines = 0;
  std::size_t unreadable = 0;
};

/// @param window length of the windows; less than one second counts as one second.
LogSummary Summarize(const LogSet& logs, std::chrono::seconds window);

std::string FormatText(const LogSummary& summary);
std::string FormatJson(const LogSummary& summary);

}  // namespace valvekeel::explain
