#include "standin/database_group.h"

#include <algorithm>
#include <utility>

namespace valvekeel::standin {
namespace {

constexpr common::Lsn kFirstLsn = 0x1000000;
constexpr common::Lsn kRecordBytes = 48;
constexpr common::Lsn kChangeBytes = 32;

}  // namespace

std::optional<std::size_t> TableDefinition::Find(const std::string& name) const {
  for (std::size_t i = 0; i < columns.size(); ++i) {
    if (columns[i].name == name) {
      return i;
    }
  }
  return std::nullopt;
}

std::string KeyText(const TableDefinition& definition, const Row& row) {
  return ToText(row[*definition.primary_key]).value_or("");
}

void ApplyChange(const Change& change, TableSet& tables) {
  if (change.created) {
    tables.tables[change.table].definition = *change.created;
    return;
  }
  if (change.dropped) {
    tables.tables.erase(change.table);
    return;
  }
  const auto found = tables.tables.find(change.table);
  if (found == tables.tables.end()) {
    return;
  }
  Table& table = found->second;
  const auto old_row = table.rows.find(change.row);
  const bool keyed = table.definition.primary_key.has_value();
  if (old_row != table.rows.end()) {
    if (keyed) {
      table.by_key.erase(KeyText(table.definition, old_row->second));
    }
    table.rows.erase(old_row);
  }
  if (!change.content) {
    return;
  }
  if (keyed) {
    table.by_key[KeyText(table.definition, *change.content)] = change.row;
  }
  table.rows.emplace(change.row, *change.content);
  tables.next_row = std::max(tables.next_row, change.row + 1);
}

DatabaseGroup::DatabaseGroup(std::size_t instances, GroupTiming timing)
    : timing_(std::move(timing)), instances_(instances), in_flight_(instances) {
  timing_.replay_lag.resize(instances, timing_.network);
  for (Instance& instance : instances_) {
    instance.state.received = kFirstLsn;
    instance.state.replayed = kFirstLsn;
  }
  instances_[primary_].state.in_recovery = false;
}

bool DatabaseGroup::Connected(std::size_t instance) const {
  return instances_[instance].up && !instances_[instance].isolated;
}

common::Position DatabaseGroup::Commit(std::size_t instance, std::vector<Change> changes,
                                       common::Instant now) {
  Instance& target = instances_[instance];
  const auto length = kRecordBytes + kChangeBytes * static_cast<common::Lsn>(changes.size());
  auto record = std::make_shared<LogRecord>();
  record->end = {target.state.term, target.state.received + length};
  record->changes = std::move(changes);
  record->committed_at = now;
  for (const Change& change : record->changes) {
    ApplyChange(change, target.tables);
  }
  target.state.received = record->end.lsn;
  target.state.replayed = record->end.lsn;
  if (instance == primary_ && Connected(instance)) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i != primary_ && Connected(i)) {
        in_flight_[i].push_back(record);
      }
    }
  }
  return record->end;
}

void DatabaseGroup::Replicate(std::size_t instance, common::Instant now) {
  auto& arriving = in_flight_[instance];
  Instance& replica = instances_[instance];
  while (!arriving.empty() && arriving.front()->committed_at + timing_.network <= now) {
    replica.state.received = arriving.front()->end.lsn;
    replica.unreplayed.push_back(std::move(arriving.front()));
    arriving.pop_front();
  }
}

void DatabaseGroup::Replay(std::size_t instance, common::Instant now) {
  Instance& replica = instances_[instance];
  const common::Duration lag = std::max(timing_.replay_lag[instance], timing_.network);
  while (!replica.unreplayed.empty() && replica.unreplayed.front()->committed_at + lag <= now) {
    for (const Change& change : replica.unreplayed.front()->changes) {
      ApplyChange(change, replica.tables);
    }
    replica.state.replayed = replica.unreplayed.front()->end.lsn;
    replica.unreplayed.pop_front();
  }
}

void DatabaseGroup::Tick(common::Instant now) {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (i != primary_ && Connected(i)) {
      Replicate(i, now);
    }
    if (instances_[i].up && instances_[i].state.in_recovery) {
      Replay(i, now);
    }
  }
  ElectIfNeeded(now);
  RejoinStale();
}

void DatabaseGroup::ElectIfNeeded(common::Instant now) {
  if (Connected(primary_)) {
    primary_lost_at_.reset();
    return;
  }
  if (!primary_lost_at_) {
    primary_lost_at_ = now;
  }
  if (now - *primary_lost_at_ < timing_.election) {
    return;
  }
  std::size_t reachable = 0;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!Connected(i)) {
      continue;
    }
    ++reachable;
    const bool better = !best || instances_[i].state.received > instances_[*best].state.received;
    if (better) {
      best = i;
    }
  }
  if (best && 2 * reachable > instances_.size()) {
    Promote(*best, now);
  }
}

void DatabaseGroup::Promote(std::size_t instance, common::Instant now) {
  Instance& elected = instances_[instance];
  while (!elected.unreplayed.empty()) {
    for (const Change& change : elected.unreplayed.front()->changes) {
      ApplyChange(change, elected.tables);
    }
    elected.state.replayed = elected.unreplayed.front()->end.lsn;
    elected.unreplayed.pop_front();
  }
  elected.state.in_recovery = false;
  ++elected.state.term;
  primary_ = instance;
  primary_lost_at_.reset();
  elected_at_ = now;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    in_flight_[i].clear();
    if (i == instance || !Connected(i)) {
      continue;
    }
    // A follower that missed the last records gets them from the new primary at once.
    if (instances_[i].state.received < elected.state.received) {
      Rebuild(i);
    }
    instances_[i].state.term = elected.state.term;
  }
}

void DatabaseGroup::Rebuild(std::size_t instance) {
  Instance& rebuilt = instances_[instance];
  const Instance& source = instances_[primary_];
  rebuilt.tables = source.tables;
  rebuilt.state = source.state;
  rebuilt.state.in_recovery = true;
  rebuilt.unreplayed.clear();
  in_flight_[instance].clear();
  ++rebuilt.generation;
}

void DatabaseGroup::RejoinStale() {
  if (!Connected(primary_)) {
    return;
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool stale = instances_[i].state.term != instances_[primary_].state.term;
    if (i != primary_ && Connected(i) && stale) {
      Rebuild(i);
    }
  }
}

void DatabaseGroup::CatchUpAfterReturn(std::size_t instance) {
  if (instance != primary_) {
    Rebuild(instance);
    return;
  }
  // Still the primary: what it committed while cut off was sent to nobody.
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool behind = instances_[i].state.received < instances_[primary_].state.received;
    if (i != primary_ && Connected(i) && behind) {
      Rebuild(i);
    }
  }
}

void DatabaseGroup::Isolate(std::size_t instance, common::Instant now) {
  Tick(now);
  instances_[instance].isolated = true;
  in_flight_[instance].clear();
  Tick(now);
}

void DatabaseGroup::Heal(std::size_t instance, common::Instant now) {
  if (instances_[instance].isolated) {
    instances_[instance].isolated = false;
    CatchUpAfterReturn(instance);
  }
  Tick(now);
}

void DatabaseGroup::Stop(std::size_t instance, common::Instant now) {
  Tick(now);
  instances_[instance].up = false;
  ++instances_[instance].generation;
  in_flight_[instance].clear();
  Tick(now);
}

void DatabaseGroup::Start(std::size_t instance, common::Instant now) {
  if (!instances_[instance].up) {
    instances_[instance].up = true;
    CatchUpAfterReturn(instance);
  }
  Tick(now);
}

void DatabaseGroup::SetReplayLag(std::size_t instance, common::Duration lag) {
  timing_.replay_lag[instance] = lag;
}

}  // namespace valvekeel::standin
