// Figures of a history: outcomes, latency, gaps between acknowledged writes.
//
// Owns: nothing; works on events. Invariant: counts every request exactly once. Pure. Thread: any.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "history/event.h"

namespace valvekeel::check {

/// Longest time without an acknowledged write around a mark.
struct WriteGap {
  std::string mark;
  std::int64_t marked_us = 0;
  std::int64_t gap_us = 0;  // last acknowledged before to first acknowledged after
};

struct Summary {
  std::uint64_t requests = 0;
  std::uint64_t acknowledged = 0;
  std::map<std::string, std::uint64_t> errors;  // by SQLSTATE
  std::int64_t median_read_us = 0;
  std::int64_t high_read_us = 0;  // 99th percentile
  std::int64_t median_write_us = 0;
  std::int64_t high_write_us = 0;
  std::vector<WriteGap> gaps;  // one for each mark
};

/// @param window_us how long after a mark a gap is looked for, microseconds.
Summary Summarize(const std::vector<history::Event>& events, std::int64_t window_us);

}  // namespace valvekeel::check
