// Structured logs: one JSON object a line on standard error.
//
// Owns: the process's logger settings. Invariant: every line is one JSON object with time, level,
// event and the event's own fields. Thread: any.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace valvekeel::runtime {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up the process's logger. @param process name written into each line.
void StartLogging(std::string_view process, LogLevel lowest);

/// Writes one line. @param event short name of what happened. @param fields its particulars.
void Log(LogLevel level, std::string_view event, const nlohmann::json& fields = {});

/// @return the level with this name ("debug", "info", "warning", "error"), or false.
bool ParseLogLevel(std::string_view name, LogLevel* level);

}  // namespace valvekeel::runtime
