// Writes structured logs to standard output: one JSON object per line.
//
// Owns: the process's logger settings. Invariant: every line is one JSON object with time, level,
// event and the event's own fields. Thread-safe after StartLogging.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace valvekeel::runtime {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up the process's logger. @param process name written into each line.
/// @param min_level lines below this level are discarded.
void StartLogging(std::string_view process, LogLevel min_level);

/// Writes one line. @param event name of the event. @param fields further fields of the line.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields = {});

/// Finds the level with this name ("debug", "info", "warning", "error"). @return false if there is
/// none; `level` is unchanged then.
bool ParseLogLevel(std::string_view name, LogLevel* level);

}  // namespace valvekeel::runtime
