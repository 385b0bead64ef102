// Explains the outcome of one request from the logs of all daemons.
//
// Invariant: lines of one process are ordered by their sequence numbers, never by time of day.
// Unreadable lines are counted and otherwise ignored. No I/O; thread-safe.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace valvekeel::explain {

/// One line of a log.
struct LogLine {
  std::string process;
  std::uint64_t incarnation = 0;  // of the process; sequence numbers restart with each
  std::uint64_t sequence = 0;
  std::int64_t monotonic_ms = 0;  // of the process's monotonic clock
  std::string event;
  nlohmann::json fields;
};

/// The lines of one or more logs.
struct LogSet {
  std::vector<LogLine> lines;
  std::size_t unreadable = 0;
};

/// Adds the lines of a log. Text before a line's first brace is ignored.
void ReadLog(const std::string& text, LogSet& logs);

/// The log lines about a request and the cause of its outcome.
struct Explanation {
  std::string request;
  std::vector<LogLine> request_lines;  // lines that name the request
  std::vector<LogLine> context;        // earlier lines about its service or instance
  std::string cause;                   // one sentence; empty if no line names the request
};

/// Collects the lines of a request, their context, and the cause.
Explanation Explain(const LogSet& logs, const std::string& request);

std::string FormatText(const Explanation& explanation, std::size_t unreadable);
std::string FormatJson(const Explanation& explanation, std::size_t unreadable);

}  // namespace valvekeel::explain
