// Predicts when a replica will have replayed a position.
//
// Owns: recent observations of one instance. Invariant: a prediction never claims a position to be
// replayed that was not observed so. Pure. Thread: its host's.
#pragma once

#include <deque>
#include <optional>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::monitor {

/// What a probe of an instance returned.
struct Observation {
  bool in_recovery = true;
  common::Term term = 0;
  common::Lsn received = 0;
  common::Lsn replayed = 0;
};

/// Keeps the newest observation and how long replay takes after receipt.
class ReplayPredictor {
 public:
  void RecordObservation(const Observation& observation, common::Instant now);

  /// Forgets everything; for an instance that was lost.
  void Reset();

  /// @return true if the position was seen replayed.
  bool HasReplayed(common::Position required) const;

  /// @return how long until the position is replayed, 0 if it is, nothing if it cannot be said.
  std::optional<common::Duration> PredictWait(common::Position required, common::Instant now) const;

  const std::optional<Observation>& Latest() const { return latest_; }

  /// @return the shortest time from receipt to replay that the observations allow.
  common::Duration ReplayLag() const { return replay_lag_; }

  /// @return the longest time for which data read now may have been out of date.
  common::Duration Staleness(common::Instant now) const;

 private:
  struct Receipt {
    common::Lsn received = 0;
    common::Instant at{0};
  };

  std::optional<Observation> latest_;
  std::deque<Receipt> receipts_;  // grows in both fields
  common::Duration replay_lag_{0};
  common::Instant observed_at_{0};
  common::Instant current_at_{0};  // when all that is replayed now was the newest received
};

}  // namespace valvekeel::monitor
