// Log lines on a descriptor that are bounded in number and never block the writer.
//
// Owns: lines not yet written. Invariant: a line is written whole or counted as dropped; writing
// never waits for the reader. Thread: the event loop's.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.h"

namespace valvekeel::runtime {

/// Limits of a log.
struct LogLimits {
  std::uint32_t lines_per_event = 40;  // of one event in one period
  common::Duration period{1'000'000};
  std::size_t buffered_bytes = std::size_t{256} << 10U;
};

class BoundedLog {
 public:
  using Fields = std::vector<std::pair<const char*, std::string>>;

  /// @param descriptor to write to. @param process, life written into each line: the name and a
  /// number that tells this life of the process from its others.
  BoundedLog(int descriptor, std::string process, std::uint64_t life, LogLimits limits);

  /// Adds a line: a JSON object with time, level, process, event and the fields.
  void Write(std::string_view level, const char* event, const Fields& fields, common::Instant now);

  /// Writes what the reader takes at once. @return true if nothing is left.
  bool Flush();

  std::uint64_t Dropped() const { return dropped_; }
  std::uint64_t Suppressed() const { return suppressed_; }

 private:
  struct Rate {
    common::Instant period_start{0};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;  // since the last line of the event
  };

  int descriptor_;
  std::string process_;
  std::uint64_t life_;
  LogLimits limits_;
  std::map<std::string, Rate> rates_;  // by event
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t suppressed_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace valvekeel::runtime
