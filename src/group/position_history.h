// Records which position the primary's log had reached at which time.
//
// Owns: recent samples of one group's primary. Invariant: a sample (instant, position) means that
// every commit acknowledged before the instant is at or before the position. No I/O and no clock;
// not thread-safe.
#pragma once

#include <deque>
#include <optional>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::group {

/// A position and the time at which the request that reported it was sent.
struct PositionSample {
  common::Instant instant{0};
  common::Position position;
};

/// Samples of the last 10 s, at least 20 ms apart, and the newest one.
class PositionHistory {
 public:
  /// Adds the position that the primary reported to a request sent at the sample's instant, while
  /// the lease was held.
  void Add(const PositionSample& sample);

  /// @return the lowest known position that covers every commit acknowledged before the instant;
  /// nothing if no sample is recent enough.
  std::optional<common::Position> Covering(common::Instant instant) const;

  const std::optional<PositionSample>& Newest() const { return newest_; }

 private:
  std::deque<PositionSample> samples_;  // both fields increase
  std::optional<PositionSample> newest_;
};

}  // namespace valvekeel::group
