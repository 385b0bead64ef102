// Predicts when a replica will have replayed a position of the write-ahead log.
//
// Owns: recent observations of one instance. Invariant: a position counts as replayed only if an
// observation showed it as replayed. No I/O and no clock; not thread-safe.
#pragma once

#include <deque>
#include <optional>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::monitor {

/// Result of a probe of an instance.
struct Observation {
  bool in_recovery = true;
  common::Term term = 0;
  common::Lsn received = 0;
  common::Lsn replayed = 0;
};

/// Keeps the latest observation and estimates the lag of replay behind receipt.
class ReplayPredictor {
 public:
  /// Records the result of a probe. A change of the term discards earlier observations.
  void RecordObservation(const Observation& observation, common::Instant now);

  /// Discards all observations, for use when the instance became unreachable.
  void Reset();

  /// @return true if an observation showed the position as replayed.
  bool HasReplayed(common::Position required) const;

  /// @return the expected time until the position is replayed: 0 if it already is, nothing if there
  /// is no observation or the position is of a later term.
  std::optional<common::Duration> PredictWait(common::Position required, common::Instant now) const;

  const std::optional<Observation>& Latest() const { return latest_; }

  /// @return the minimum time from receipt to replay that is consistent with the observations.
  common::Duration ReplayLag() const { return replay_lag_; }

  /// @return the maximum time for which data read now may have been out of date.
  common::Duration Staleness(common::Instant now) const;

 private:
  /// Position that was received, and the time of the observation that first showed it.
  struct Receipt {
    common::Lsn received = 0;
    common::Instant received_at{0};
  };

  std::optional<Observation> latest_;
  std::deque<Receipt> receipts_;  // both fields increase from front to back
  common::Duration replay_lag_{0};
  common::Instant observed_at_{0};
  // Latest known time at which the position replayed now was the newest received one.
  common::Instant up_to_date_at_{0};
};

}  // namespace valvekeel::monitor
