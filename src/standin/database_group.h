// Model of one database group: a primary and its replicas, replication with lag, elections.
//
// Owns: the tables and logs of all instances of the group. Invariant: an elected primary holds
// every record that a majority of instances had received in an earlier term. Pure: time is passed
// in, so the stand-in server and the simulator run the same code. Thread: its host's.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/position.h"
#include "common/time.h"
#include "standin/value.h"

namespace valvekeel::standin {

using RowId = std::uint64_t;
using Row = std::vector<Value>;

struct Column {
  std::string name;
  ColumnType type = ColumnType::kText;
  bool not_null = false;
};

struct TableDefinition {
  std::vector<Column> columns;
  std::optional<std::size_t> primary_key;  // index of its only column

  /// @return the column's index, or nothing.
  std::optional<std::size_t> Find(const std::string& name) const;
};

struct Table {
  TableDefinition definition;
  std::map<RowId, Row> rows;
  std::unordered_map<std::string, RowId> by_key;
};

/// Tables of one instance as of its replayed position.
struct TableSet {
  std::map<std::string, Table> tables;
  RowId next_row = 1;
};

/// A change to one row (no row: deleted) or the creation or removal of a table.
struct Change {
  std::string table;
  RowId row = 0;
  std::optional<Row> content;
  std::optional<TableDefinition> created;
  bool dropped = false;
};

/// One committed transaction in the write-ahead log.
struct LogRecord {
  common::Position end;
  std::vector<Change> changes;
  common::Instant committed_at{0};
};

/// Timing of a database group.
struct GroupTiming {
  common::Duration network{1500};            // one way, primary to replica
  common::Duration election{500'000};        // loss of the primary to the new primary
  std::vector<common::Duration> replay_lag;  // per instance, from commit to replay
};

/// What an instance answers about itself.
struct InstanceState {
  bool in_recovery = true;
  common::Term term = 1;
  common::Lsn received = 0;
  common::Lsn replayed = 0;
};

/// One instance of the group.
struct Instance {
  InstanceState state;
  TableSet tables;
  std::deque<std::shared_ptr<const LogRecord>> unreplayed;
  bool up = true;
  bool isolated = false;         // cut off from its peers; callers still reach it
  std::uint64_t generation = 1;  // counts restarts; sessions of an earlier one are gone
};

/// A database group of several instances.
class DatabaseGroup {
 public:
  DatabaseGroup(std::size_t instances, GroupTiming timing);

  /// Moves replication, replay and elections on to the given time.
  void Tick(common::Instant now);

  /// Commits changes on an instance that believes to be the primary.
  /// @return the position of the commit record.
  common::Position Commit(std::size_t instance, std::vector<Change> changes, common::Instant now);

  // Faults.
  void Isolate(std::size_t instance, common::Instant now);
  void Heal(std::size_t instance, common::Instant now);
  void Stop(std::size_t instance, common::Instant now);
  void Start(std::size_t instance, common::Instant now);
  void SetReplayLag(std::size_t instance, common::Duration lag);

  const Instance& At(std::size_t instance) const { return instances_[instance]; }
  Instance& At(std::size_t instance) { return instances_[instance]; }
  std::size_t Size() const { return instances_.size(); }

  /// @return the instance elected last.
  std::size_t Primary() const { return primary_; }

  /// @return when the primary elected last was elected.
  common::Instant ElectedAt() const { return elected_at_; }

 private:
  bool Connected(std::size_t instance) const;
  void Replicate(std::size_t instance, common::Instant now);
  void Replay(std::size_t instance, common::Instant now);
  void ElectIfNeeded(common::Instant now);
  void Promote(std::size_t instance, common::Instant now);
  void Rebuild(std::size_t instance);
  void RejoinStale();
  void CatchUpAfterReturn(std::size_t instance);

  GroupTiming timing_;
  std::vector<Instance> instances_;
  std::vector<std::deque<std::shared_ptr<const LogRecord>>> in_flight_;  // per instance
  std::size_t primary_ = 0;
  std::optional<common::Instant> primary_lost_at_;
  common::Instant elected_at_{0};
};

/// Applies one change to a set of tables.
void ApplyChange(const Change& change, TableSet& tables);

/// @return the primary key of a row as text.
std::string KeyText(const TableDefinition& definition, const Row& row);

}  // namespace valvekeel::standin
