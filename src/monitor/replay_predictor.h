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
  void Observe(const Observation& observation, common::Instant now);

  /// Forgets everything; for an instance that was lost.
  void Reset();

  /// @return true if the position was seen replayed.
  bool HasReplayed(common::Position required) const;

  /// @return how long until the position is replayed, 0 if it is, nothing if it cannot be said.
  std::optional<common::Duration> PredictWait(common::Position required, common::Instant now) const;

  const std::optional<Observation>& Latest() const { return latest_; }

  /// @return the time from receipt to replay seen last.
  common::Duration ReplayLag() const { return replay_lag_; }

 private:
  struct Receipt {
    common::Lsn received = 0;
    common::Instant at{0};
  };

  std::optional<Observation> latest_;
  std::deque<Receipt> receipts_;  // grows in both fields
  common::Duration replay_lag_{0};
};

}  // namespace valvekeel::monitor
