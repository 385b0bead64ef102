// Events of a history of concurrent runs, one JSON object a line; see docs/history-format.md.
//
// Owns: the typed event and its text form. Invariant: an event that was read has every field that
// its operation needs. Thread: any (values only).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/result.h"

namespace valvekeel::history {

/// What was done or seen.
enum class Operation : std::uint8_t {
  kWrite,           // set a register to a value
  kRead,            // read a register
  kInsert,          // add an entry that must be there at most once
  kPairWrite,       // set both halves of a pair in one transaction
  kPairRead,        // read both halves in one statement
  kFinalRegister,   // value of a register after the run
  kFinalEntry,      // number of entries of this name after the run
  kLeaving,         // an instance was declared as leaving
  kServed,          // an instance started new work
  kPlannedStop,     // a planned stop of a daemon began
  kConfigAccepted,  // the platform accepted a version of an object
  kConfigInForce,   // a daemon reports the version it has in force
  kMark,            // a fault or other event, for reports
};

/// How an operation ended for its caller.
enum class Outcome : std::uint8_t {
  kOk,       // acknowledged
  kNotRun,   // refused, with the promise that it did not run
  kFailed,   // the database rejected it; it had no effect
  kUnknown,  // may have run
};

struct Event {
  Operation operation = Operation::kMark;
  Outcome outcome = Outcome::kOk;
  std::uint64_t process = 0;  // the caller, over all its sessions
  std::uint64_t session = 0;
  std::string key;          // register, entry, pair, instance, daemon or object
  std::string target;       // daemon that was asked
  std::int64_t value = 0;   // written or read; count of entries; version
  std::int64_t second = 0;  // second half of a pair
  std::int64_t rows = 1;    // rows received
  std::string tag_sent;     // text that the answer must carry
  std::string tag_received;
  std::string sqlstate;
  std::int64_t start_us = 0;  // steady clock, microseconds
  std::int64_t end_us = 0;
};

/// Why a history cannot be read.
struct HistoryError {
  std::size_t line = 0;  // 1-based, 0 if the file itself cannot be read
  std::string reason;
};

/// @return the event as one line of JSON, without the line's end.
std::string FormatEvent(const Event& event);

/// @return the event in the line or the reason it cannot be read.
common::Result<Event, std::string> ParseEvent(const std::string& line);

/// Reads a whole file.
common::Result<std::vector<Event>, HistoryError> ReadHistory(const std::string& path);

/// @return true if a caller waited for the operation.
bool IsRequest(Operation operation);

}  // namespace valvekeel::history
