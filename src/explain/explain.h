// Accounts for one request from the logs of all daemons.
//
// Owns: nothing between calls. Invariant: lines of one process are ordered by their sequence
// numbers, never by time of day; lines that can't be read are counted, not guessed at. Thread: any.
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
  std::uint64_t life = 0;  // of the process; sequence numbers begin anew with each
  std::uint64_t sequence = 0;
  std::int64_t monotonic_ms = 0;  // of the process's own clock
  std::string event;
  nlohmann::json fields;
};

/// All lines of some logs.
struct LogSet {
  std::vector<LogLine> lines;
  std::size_t unreadable = 0;
};

/// Adds the lines of a log. Text before a line's first brace is passed over.
void ReadLog(const std::string& text, LogSet& logs);

/// What is known of a request.
struct Account {
  std::string request;
  std::vector<LogLine> own;      // lines that name the request
  std::vector<LogLine> context;  // what the process learned of its service or instance before
  std::string cause;             // in one sentence; empty if no line names the request
};

Account Explain(const LogSet& logs, const std::string& request);

std::string FormatText(const Account& account, std::size_t unreadable);
std::string FormatJson(const Account& account, std::size_t unreadable);

}  // namespace valvekeel::explain
