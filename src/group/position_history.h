// When the primary's log had reached which position.
//
// Owns: recent samples of one group's primary. Invariant: a sample (instant, position) says that
// every commit acknowledged before the instant is at or before the position. Pure. Thread: its
// host's.
#pragma once

#include <deque>
#include <optional>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::group {

struct PositionSample {
  common::Instant instant{0};
  common::Position position;
};

class PositionHistory {
 public:
  /// Adds what the primary reported to a request sent at the instant, while the lease held.
  void Add(const PositionSample& sample);

  /// @return the lowest known position that covers every commit acknowledged before the instant.
  std::optional<common::Position> Covering(common::Instant instant) const;

  const std::optional<PositionSample>& Newest() const { return newest_; }

 private:
  std::deque<PositionSample> samples_;  // grows in both fields
  std::optional<PositionSample> newest_;
};

}  // namespace valvekeel::group
