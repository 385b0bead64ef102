// Collects the actions that result from an event until the host takes them.
//
// Owns: the actions that the host has not taken yet, and the counter of call numbers. Invariant: no
// number is used twice in one incarnation. No I/O and no clock; not thread-safe.
#pragma once

#include <utility>
#include <vector>

#include "proxy/actions.h"

namespace valvekeel::proxy {

/// Queue of actions, with the counter of call numbers.
class Outbox {
 public:
  void Emit(Action action) { actions_.push_back(std::move(action)); }

  void Log(const char* event, std::vector<std::pair<const char*, std::string>> fields,
           LogLevel level = LogLevel::kInfo) {
    actions_.emplace_back(LogEvent{level, event, std::move(fields)});
  }

  /// @return a new number for a call, connection or control request.
  std::uint64_t NextNumber() { return next_number_++; }

  std::vector<Action> Take() { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
  std::uint64_t next_number_ = 1;
};

/// @return the duration in whole milliseconds, for logs.
inline std::string MillisecondsText(common::Duration duration) {
  return std::to_string(duration.count() / 1000);
}

/// @return "TERM.NUMBER", for logs.
inline std::string PositionText(const common::Position& position) {
  return std::to_string(position.term) + "." + std::to_string(position.lsn);
}

}  // namespace valvekeel::proxy
