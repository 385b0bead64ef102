// The commit holders of the groups, and the commits that this daemon acknowledges.

#include <algorithm>

#include "proxy/group_set.h"

namespace valvekeel::proxy {

std::vector<std::string> GroupSet::CommitHolders(const std::string& service,
                                                 common::Instant now) const {
  std::vector<std::string> holders;
  const auto group = groups_.find(service);
  for (const std::string& id : Members(service)) {
    const bool covered = group != groups_.end() && group->second.holders.IsCovered(id);
    if (!covered || !HasTerminated(backends_.All().at(id), now)) {
      holders.push_back(id);
    }
  }
  return holders;
}

std::vector<std::string> GroupSet::Replicas(const std::string& service, common::Instant now) const {
  std::vector<std::string> replicas = CommitHolders(service, now);
  const auto group = groups_.find(service);
  if (group != groups_.end()) {
    std::erase(replicas, PrimaryHint(group->second));
  }
  return replicas;
}

std::vector<std::string> GroupSet::SilentHolders(const GroupState& state,
                                                 common::Instant now) const {
  std::vector<std::string> silent;
  for (const std::string& id : Members(state.service)) {
    const Backend& backend = backends_.All().at(id);
    if (state.holders.IsCovered(id) && HasTerminated(backend, now) && !backend.HasRefused()) {
      silent.push_back(id);
    }
  }
  return silent;
}

std::vector<std::string> GroupSet::PresentReplicas(const GroupState& state) const {
  std::vector<std::string> present;
  for (const std::string& id : Members(state.service)) {
    const Backend& backend = backends_.All().at(id);
    const bool absent = backend.unlisted_since && backend.Unreachable();
    if (!absent && id != PrimaryHint(state)) {
      present.push_back(id);
    }
  }
  return present;
}

bool GroupSet::MayAcknowledge(const std::string& service, common::Term term,
                              common::Instant now) const {
  const auto group = groups_.find(service);
  return !settings_.mechanisms.read_lease ||
         (group != groups_.end() && group->second.lease.HeldAt(now, term));
}

void GroupSet::RecordAcknowledged(const std::string& service, const common::Position& before,
                                  const common::Position& after) {
  if (GroupState* state = Find(service)) {
    state->acknowledged.OnAcknowledged(before, after);
  }
}

void GroupSet::ApplyHolderRecord(const std::string& service, const model::HolderRecord& record,
                                 const model::Revision& revision, common::Instant asked,
                                 common::Instant now) {
  GroupState* state = Find(service);
  if (state == nullptr) {
    return;
  }
  state->holders.ApplyRecord(record, revision, asked);
  for (const auto& [id, holder] : record.holders) {
    if (backends_.Find(id) == nullptr && !state->forgotten_holders.contains(id)) {
      backends_.AddUnlisted(service, id, holder, now);
    }
  }
}

model::HolderRecord GroupSet::WantedHolderRecord(const GroupState& state,
                                                 common::Instant now) const {
  model::HolderRecord record;
  std::vector<std::string> holders = CommitHolders(state.service, now);
  const std::vector<std::string> silent = SilentHolders(state, now);
  holders.insert(holders.end(), silent.begin(), silent.end());
  for (const std::string& id : holders) {
    const model::InstanceEntry& entry = backends_.All().at(id).Entry();
    record.holders[id] = {entry.address, entry.zone};
  }
  record.floor = state.holders.Floor();
  record.lost_logs = state.holders.LostLogs();
  return record;
}

void GroupSet::UpdateHolders(GroupState& state, common::Instant now) {
  for (const std::string& id : backends_.IdsOf(state.service)) {
    const Backend& backend = backends_.All().at(id);
    if (backends_.HasSuccessor(backend)) {
      continue;
    }
    if (backend.unlisted_since && backend.Unreachable()) {
      state.holders.OnAbsent(id, now);
    } else {
      state.holders.OnPresent(id);
      state.forgotten_holders.erase(id);
    }
  }
  state.holders.Cover(state.history);
  if (!state.holders.Recorded()) {
    return;
  }
  for (const auto& [id, holder] : state.holders.Recorded()->holders) {
    if (backends_.Find(id) == nullptr && state.forgotten_holders.insert(id).second) {
      outbox_.Log("holder_forgotten", {{"service", state.service}, {"instance", id}},
                  LogLevel::kWarning);
    }
  }
}

}  // namespace valvekeel::proxy
