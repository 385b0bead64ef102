// Writes log lines to a file descriptor, limited in rate and without ever blocking.
//
// Owns: lines not yet written. Invariant: a line is written completely, or counted as dropped or
// suppressed. Writing never waits for the reader. Not thread-safe: used on the event loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.h"
#include "crash_report/pending_lines.h"

namespace valvekeel::runtime {

/// Limits on the rate and the buffered size of a log.
struct LogLimits {
  std::uint32_t lines_per_event = 40;  // of one event in one period
  common::Duration period{1'000'000};
  std::size_t buffered_bytes = std::size_t{256} << 10U;
};

class BoundedLog {
 public:
  using Fields = std::vector<std::pair<const char*, std::string>>;

  /// @param descriptor to write to. @param process, incarnation written into each line: the name of
  /// the process and a number that differs between its incarnations.
  BoundedLog(int descriptor, std::string process, std::uint64_t incarnation, LogLimits limits);

  ~BoundedLog();
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  /// Has the buffered lines written at a fatal signal, until the log is destroyed.
  void WriteAtFatalSignal();

  /// Buffers a line: a JSON object with time, level, process, event and the fields. Suppresses it
  /// if its event is over the rate limit and drops it if the buffer is full.
  void Write(std::string_view level, const char* event, const Fields& fields, common::Instant now);

  /// Writes as much as possible without blocking. @return true if the buffer is empty.
  bool Flush();

  std::uint64_t Dropped() const { return dropped_; }
  std::uint64_t Suppressed() const { return suppressed_; }

 private:
  struct Rate {
    common::Instant period_start{0};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;  // since the event's last written line
  };

  /// Makes the buffer readable for a signal handler after a change.
  void PublishBuffer();

  int descriptor_;
  std::string process_;
  std::uint64_t incarnation_;
  LogLimits limits_;
  std::map<std::string, Rate> rates_;  // by event
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t suppressed_ = 0;
  std::uint64_t sequence_ = 0;
  const char* last_event_ = "";  // a key of rates_
  crash_report::pending_lines pending_;
};

}  // namespace valvekeel::runtime
