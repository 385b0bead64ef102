// Bounds the last commit of a group that this daemon has acknowledged to callers.
//
// An answer of the primary shows how far its log had reached, which may be beyond the commit that
// it answers. The commit itself came after all that was known to be in the log before it was sent.
//
// Owns: the bounds. Invariant: they never fall. No I/O and no clock; not thread-safe.
#pragma once

#include <algorithm>

#include "common/position.h"

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
  /// Handles a position that the primary reported. The first one covers what earlier processes of
  /// this daemon have acknowledged.
  void OnPrimaryPosition(const common::Position& position) {
    if (!IsComplete()) {
      bounds_.at_most = position;
    }
    bounds_.log_end = std::max(bounds_.log_end, position);
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
  bool IsComplete() const { return bounds_.at_most.term != 0; }

  const AcknowledgedBounds& Bounds() const { return bounds_; }

 private:
  AcknowledgedBounds bounds_;
};

}  // namespace valvekeel::group
