// Commands of the operators' command line.
//
// Owns: nothing. Invariant: exit status 0 for success, 1 for a finding, 2 for input that cannot be
// read. Thread: main.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace valvekeel::operator_tools {

enum class OutputFormat { kTable, kJson };

/// Checks a history file.
int RunCheck(const std::string& path, OutputFormat format);

/// Prints the figures of a history file.
int RunReport(const std::string& path, OutputFormat format);

/// Prints the state of the daemon whose HTTP port is given as host:port.
int RunStatus(const std::string& address, OutputFormat format);

/// Accounts for one request from the logs of the daemons.
/// @param paths of log files; "-" is standard input.
int RunExplain(const std::string& request, const std::vector<std::string>& paths,
               OutputFormat format);

/// Sums up the logs of the daemons.
/// @param window length of the time windows in which failures are counted.
int RunSummary(const std::vector<std::string>& paths, std::chrono::seconds window,
               OutputFormat format);

/// Plays a trace of load through the decisions on waiting, and through the earlier ones. A finding
/// is an outcome that the trace expects and the decisions do not bring about.
int RunReplayWaiting(const std::string& path, OutputFormat format);

}  // namespace valvekeel::operator_tools
