// Tracks which instances of a group may hold a commit that no other instance holds.
//
// A commit is acknowledged once a number of replicas hold it. An instance that is gone may have
// been one of them, so it counts until the primary has reported a position since: what the instance
// held is at or before that position, which then becomes the floor for every candidate. The record
// in the store keeps this across restarts of all daemons.
//
// Owns: the record as last read, the absences of instances and the losses of logs. Invariant: the
// floor never falls. No I/O and no clock; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/position.h"
#include "common/time.h"
#include "group/position_history.h"
#include "model/catalog.h"
#include "model/revision.h"

namespace valvekeel::group {

class CommitHolders {
 public:
  /// Handles an instance that is listed or answers.
  void OnPresent(const std::string& id);

  /// Handles an instance that is neither listed nor reachable. The first call after OnPresent sets
  /// the time that a position of the primary must cover.
  void OnAbsent(const std::string& id, common::Instant now);

  /// Handles an instance that lost its log and answers again under its id.
  void OnLogLost(const std::string& id, common::Instant now);

  /// Raises the floor for absences and lost logs that the primary's positions cover.
  void Cover(const PositionHistory& history);

  /// @return true if the floor covers what the absent instance may have held.
  bool IsCovered(const std::string& id) const { return covered_.contains(id); }

  /// Raises the floor to a position that another daemon reports.
  void RaiseFloor(const common::Position& floor) { floor_ = std::max(floor_, floor); }

  /// @return the position that a promoted instance must hold.
  const common::Position& Floor() const { return floor_; }

  /// @return the number of lost logs that the floor does not cover.
  std::size_t LostLogs() const;

  /// Applies the store's record, or its absence (revision number 0).
  /// @param asked when the call was sent that returned it.
  void ApplyRecord(const model::HolderRecord& record, const model::Revision& revision,
                   common::Instant asked);

  /// Discards the record's revision, as a new era of the store began. Its contents stay in force.
  void BeginEra();

  /// @return the store's record, if it was read in the present era.
  const std::optional<model::HolderRecord>& Recorded() const { return recorded_; }
  const model::Revision& Revision() const { return revision_; }

  /// @return when the newest answer on the record was asked for, if any was received.
  std::optional<common::Instant> RecordedAsOf() const { return recorded_as_of_; }

 private:
  std::optional<model::HolderRecord> recorded_;
  model::Revision revision_;
  std::optional<common::Instant> recorded_as_of_;
  std::map<std::string, common::Instant> absent_since_;  // not covered yet
  std::set<std::string> covered_;
  std::map<common::Instant, std::size_t> log_losses_;  // not covered yet, by when noticed
  common::Position floor_;
};

}  // namespace valvekeel::group
