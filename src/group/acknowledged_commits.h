// Bounds the last commit of a group that this daemon has acknowledged to callers.
//
// An answer of the primary shows how far its log had reached, which may be beyond the commit that
// it answers. The commit itself came after all that was known to be in the log before it was sent.
//
// Earlier processes of this daemon have acknowledged commits too. Only a position that the primary
// reported to a request sent after this process started covers those: another daemon may pass on a
// position that is older.
//
// Owns: the bounds. Invariant: they never fall. No I/O and no clock; not thread-safe.
#pragma once

#include <algorithm>

#include "common/position.h"
#include "common/time.h"
#include "group/position_history.h"

namespace valvekeel::group {

/// Bounds of the last acknowledged commit.
struct AcknowledgedBounds {
  common::Position at_least;  // a promoted instance must hold it
  common::Position at_most;   // whoever holds it holds every such commit
  common::Position log_end;   // newest known of the primary; bounds what any daemon acknowledged

  void Include(const AcknowledgedBounds& other) {
    this->at_least = std::max(this->at_least, other.at_least);
    this->at_most = std::max(this->at_most, other.at_most);
    this->log_end = std::max(this->log_end, other.log_end);
  }

  bool operator==(const AcknowledgedBounds&) const = default;
};

class AcknowledgedCommits {
 public:
  /// @param started a time since which this process has run.
  explicit AcknowledgedCommits(common::Instant started) : started_(started) {}

  /// Handles a position that the primary is known to have reached, however old.
  void OnLogEnd(const common::Position& position) {
    bounds_.log_end = std::max(bounds_.log_end, position);
  }

  /// Handles a position of the primary, taken while its lease was held.
  /// @return true if the bounds cover the commits of earlier processes from now on.
  bool OnPrimarySample(const PositionSample& sample) {
    if (covers_earlier_processes_ || sample.instant < started_) {
      return false;
    }
    covers_earlier_processes_ = true;
    bounds_.at_most = std::max(bounds_.at_most, sample.position);
    return true;
  }

  /// Handles a commit that was acknowledged.
  /// @param before position of the primary that was known when the commit was sent.
  /// @param after position that the primary reported with the answer.
  void OnAcknowledged(const common::Position& before, const common::Position& after) {
    const bool same_term = before.term == after.term;
    const common::Position commit{after.term, same_term ? std::min(before.lsn + 1, after.lsn) : 1};
    bounds_.Include({commit, after, after});
  }

  /// @return true if the bounds cover every commit that this daemon has ever acknowledged, also in
  /// earlier processes.
  bool IsComplete() const { return covers_earlier_processes_; }

  const AcknowledgedBounds& Bounds() const { return bounds_; }

 private:
  common::Instant started_;
  bool covers_earlier_processes_ = false;
  AcknowledgedBounds bounds_;
};

}  // namespace valvekeel::group
