#include "proxy/group_set.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::proxy {
namespace {

/// Age of the lease at which its prober starts a round: the leadership record should have renewed
/// it by then.
constexpr common::Duration kProberRoundAge{550'000};
/// Age of the lease at which a daemon that is not the prober starts a round itself.
constexpr common::Duration kOwnRoundAge{780'000};
/// Age of the lease at which a round queries all members, not just a majority.
constexpr common::Duration kAskAllAge{450'000};
constexpr common::Duration kOwnRoundPause{200'000};
/// Time for the prober to read the leadership record and to report the new primary.
constexpr common::Duration kProposalReportTime{150'000};
/// Time without a lease after which the primary is suspected.
constexpr common::Duration kLeaselessLimit{500'000};
/// Time for connecting to a new primary that was unreachable before it became primary.
constexpr common::Duration kNewPrimaryGrace{1'200'000};
/// Time from the start of the observation of a group in which its primary is not evaluated.
constexpr common::Duration kEvaluationDelay{1'500'000};
/// Time after which an unlisted, unreachable member is no longer counted.
constexpr common::Duration kTerminationLimit{1'500'000};
/// Time for which a write may stay unanswered before further writes are held back.
constexpr common::Duration kStallSuspicion{300'000};
/// Time for which a write may stay unanswered at a primary that answers other requests.
constexpr common::Duration kStallLimit{700'000};

}  // namespace

GroupState& GroupSet::Get(const std::string& service, common::Instant now) {
  const auto [found, added] = groups_.try_emplace(service, service, now);
  if (added) {
    watched_.push_back(&found->second);  // until the next UpdateWatchedGroups
  }
  return found->second;
}

GroupState* GroupSet::Find(const std::string& service) {
  const auto found = groups_.find(service);
  return found == groups_.end() ? nullptr : &found->second;
}

std::vector<std::string> GroupSet::Members(const std::string& service) const {
  std::vector<std::string> members;
  for (const std::string& id : backends_.IdsOf(service)) {
    if (!backends_.HasSuccessor(backends_.All().at(id))) {
      members.push_back(id);
    }
  }
  return members;
}

std::string GroupSet::UsablePrimary(const std::string& service, common::Instant now) {
  const GroupState* state = Find(service);
  const bool unchecked = state != nullptr && !settings_.mechanisms.read_lease;
  if (unchecked) {
    return state->lease.Newest().primary;
  }
  if (state == nullptr || !registered_ || !state->lease.Holds(now)) {
    return "";
  }
  return state->lease.Newest().primary;
}

void GroupSet::RecordPosition(const std::string& service, const std::string& instance,
                              const common::Position& position, common::Instant sent) {
  GroupState* state = Find(service);
  if (state == nullptr) {
    return;
  }
  const group::Confirmation& newest = state->lease.Newest();
  if (instance == newest.primary && position.term == newest.term) {
    state->acknowledged.OnLogEnd(position);
  }
  // A primary that restarted under its id with an empty log reports a lower position than before,
  // or than it must hold.
  const std::optional<common::Position> known = state->PrimaryPosition();
  const common::Position& least =
      std::max(state->acknowledged.Bounds().at_least, state->holders.Floor());
  const bool plausible = !settings_.mechanisms.instance_incarnations ||
                         (least <= position && (!known || *known <= position));
  if (plausible && instance == newest.primary && state->lease.HeldAt(sent, newest.term)) {
    RecordSample(*state, {sent, position});
  }
}

void GroupSet::RecordSample(GroupState& state, const group::PositionSample& sample) {
  const common::Term term = state.lease.Newest().term;
  state.history.Add(sample);
  state.sampled_term = term;
  group::PositionSample covering = sample;
  if (!settings_.mechanisms.covered_restarts) {
    covering.instant = common::Instant::max();
  }
  if (sample.position.term == term && state.acknowledged.OnPrimarySample(covering)) {
    outbox_.Log("earlier_commits_covered", {{"service", state.service},
                                            {"primary", state.lease.Newest().primary},
                                            {"position", PositionText(sample.position)}});
  }
}

bool GroupSet::HasTerminated(const Backend& backend, common::Instant now) {
  return backend.unlisted_since && backend.Unreachable() &&
         now >= *backend.unlisted_since + kTerminationLimit;
}

std::vector<std::string> GroupSet::QuorumMembers(const std::string& service,
                                                 common::Instant now) const {
  std::vector<std::string> present;
  for (const std::string& id : Members(service)) {
    if (!HasTerminated(backends_.All().at(id), now)) {
      present.push_back(id);
    }
  }
  return present;
}

std::string GroupSet::PrimaryHint(const GroupState& state) const {
  if (state.lease.Newest().term != 0) {
    return state.lease.Newest().primary;
  }
  for (const std::string& id : Members(state.service)) {
    if (backends_.All().at(id).Entry().primary) {
      return id;
    }
  }
  return "";
}

void GroupSet::StartRoundNow(const std::string& service, common::Instant now) {
  if (GroupState* state = Find(service)) {
    state->reads_record_at_once = true;
    StartRound(*state, now);
  }
}

bool GroupSet::ApplyReports(const PeerMessage& message,
                            std::optional<common::Instant> counted_from) {
  bool released = false;
  for (const GroupReport& report : message.groups) {
    GroupState* state = Find(report.service);
    if (state == nullptr) {
      continue;
    }
    state->holders.RaiseFloor(report.commit_floor);
    state->observed_fence = std::max(state->observed_fence, report.fence_below);
    released = ReleaseTermsBelow(*state, report.fence_below) || released;
    if (!counted_from || !report.confirmation_age) {
      continue;
    }
    const common::Term before = state->lease.Newest().term;
    state->lease.Renew({report.term, report.primary, *counted_from - *report.confirmation_age});
    if (state->lease.Newest().term > before) {
      state->writes_stalled_since.reset();
      state->term_learned_at = *counted_from;
      outbox_.Log("primary_learned", {{"service", report.service},
                                      {"primary", report.primary},
                                      {"term", std::to_string(report.term)},
                                      {"from", message.name}});
    }
    if (report.sample_age) {
      RecordPosition(report.service, report.primary, report.sample,
                     *counted_from - *report.sample_age);
    }
  }
  return released;
}

void GroupSet::RenewFromRecord(const model::LeadershipRecord& record, common::Instant asked) {
  for (auto& [service, state] : groups_) {
    const group::Confirmation before = state.lease.Newest();
    const std::optional<group::Confirmation> proposed = state.lease.Proposed();
    const auto attempt = record.attempts.find(service);
    const common::Term replaced =
        attempt == record.attempts.end() ? 0 : attempt->second.replaced_term;
    // The record may have lost a replacement in a restore of the store. Only a round that began
    // after a lost claim could no longer be acted on is reliable, because it queried the instances
    // themselves.
    const bool asked_since = before.started >= record_complete_from_;
    const bool just_proposed = proposed && asked < proposed->started + group::kLeaseTime;
    if (!asked_since && !just_proposed) {
      continue;
    }
    state.reads_record_at_once = false;
    if (proposed && proposed->term <= replaced) {
      state.rejected_term = std::max(state.rejected_term, proposed->term);
      outbox_.Log("primary_rejected", {{"service", service},
                                       {"primary", proposed->primary},
                                       {"term", std::to_string(proposed->term)},
                                       {"replaced_term", std::to_string(replaced)}});
    }
    if (!state.lease.ConfirmByRecord(replaced, asked)) {
      continue;
    }
    lease_renewed_ = true;
    if (state.lease.Newest().term > before.term) {
      primary_changed_ = true;
      state.writes_stalled_since.reset();
      state.term_learned_at = proposed->started;
      outbox_.Log("primary_confirmed", {{"service", service},
                                        {"primary", state.lease.Newest().primary},
                                        {"term", std::to_string(state.lease.Newest().term)}});
    }
  }
}

void GroupSet::ConfirmPromoted(const std::string& service, const group::Confirmation& promoted) {
  GroupState* state = Find(service);
  if (state == nullptr || promoted.term <= state->lease.Newest().term ||
      promoted.started < record_complete_from_) {
    return;
  }
  state->lease.Renew(promoted);
  if (state->lease.Newest().term != promoted.term) {
    return;
  }
  primary_changed_ = true;
  lease_renewed_ = true;
  state->writes_stalled_since.reset();
  state->term_learned_at = promoted.started;
  outbox_.Log("primary_confirmed", {{"service", service},
                                    {"primary", promoted.primary},
                                    {"term", std::to_string(promoted.term)},
                                    {"by", "its promotion"}});
}

bool GroupSet::AwaitsRecord(const GroupState& state) {
  const std::optional<group::Confirmation>& proposed = state.lease.Proposed();
  return proposed && proposed->term > state.rejected_term;
}

bool GroupSet::NeedsRecord(common::Instant now) const {
  return std::any_of(watched_.begin(), watched_.end(), [&](const GroupState* state) {
    if (!AwaitsRecord(*state)) {
      return false;
    }
    const bool at_once = state->reads_record_at_once || IsProber(state->service);
    return at_once || now >= state->lease.Proposed()->started + kProposalReportTime;
  });
}

common::Duration GroupSet::OldestLeaseAge(common::Instant now) const {
  common::Duration oldest{0};
  for (const GroupState* state : watched_) {
    if (state->lease.Newest().term != 0) {
      oldest = std::max(oldest, now - state->lease.Newest().started);
    }
  }
  return oldest;
}

void GroupSet::OnWriteAnswered(const std::string& service, const std::string& instance) {
  GroupState* state = Find(service);
  if (state != nullptr && instance == state->lease.Newest().primary) {
    state->writes_stalled_since.reset();
  }
}

bool GroupSet::WritesStalled(const std::string& service, common::Instant now) const {
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return false;
  }
  const GroupState& state = found->second;
  const bool waiting =
      state.oldest_unanswered_write && now >= *state.oldest_unanswered_write + kStallSuspicion;
  return waiting || (state.writes_stalled_since && state.oldest_unanswered_write);
}

std::vector<GroupReport> GroupSet::Reports(bool all, common::Instant now) const {
  std::vector<GroupReport> reports;
  for (const auto& [service, state] : groups_) {
    const bool degraded = IsDegraded(state, now);
    if (!all && !degraded) {
      continue;
    }
    GroupReport report;
    report.service = service;
    const group::Confirmation& newest = state.lease.Newest();
    report.term = newest.term;
    report.primary = newest.primary;
    if (newest.term != 0 && state.lease.Holds(now)) {
      report.confirmation_age = now - newest.started;
      const auto& sample = state.history.Newest();
      if (sample) {
        report.sample_age = now - sample->instant;
        report.sample = sample->position;
      }
    }
    report.commit_floor = state.holders.Floor();
    report.replica_count = PresentReplicas(state).size();
    report.primary_suspected = state.primary_suspected;
    report.degraded = degraded;
    report.fence_below = state.fence_below;
    report.released_below = state.lease.ReleasedTerm() + 1;
    if (state.primary_suspected || state.lease.ReleasedTerm() >= newest.term) {
      report.acknowledged = state.acknowledged.Bounds();
      report.acknowledged_complete = state.acknowledged.IsComplete();
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

bool GroupSet::IsDegraded(const GroupState& state, common::Instant now) {
  const bool released = state.lease.ReleasedTerm() >= state.lease.Newest().term;
  if (state.primary_suspected || state.fence_below > 0 || state.holders.Floor().lsn > 0) {
    return true;
  }
  // A daemon that does not watch the group receives no renewals of its lease and does not need
  // them.
  const bool had_a_lease = state.lease.ReleasedTerm() > 0;
  return state.watched ? released || !state.lease.Holds(now) : released && had_a_lease;
}

bool GroupSet::ReleaseTermsBelow(GroupState& state, common::Term term) {
  if (term == 0 || state.lease.ReleasedTerm() + 1 >= term) {
    return false;
  }
  state.lease.Release(term - 1);
  outbox_.Log("lease_released", {{"service", state.service}, {"below_term", std::to_string(term)}});
  return true;
}

bool GroupSet::IsProber(const std::string& service) const {
  const std::vector<std::string>& coordinators = roles_.coordinators();
  const auto first = std::min_element(
      coordinators.begin(), coordinators.end(), [&](const std::string& a, const std::string& b) {
        return common::StableHash(service, a) < common::StableHash(service, b);
      });
  return first != coordinators.end() && *first == settings_.name;
}

std::vector<std::string> GroupSet::RoundTargets(GroupState& state, bool all, common::Instant now) {
  const std::vector<std::string> members = QuorumMembers(state.service, now);
  if (all || state.lease.Newest().term == 0) {
    return members;
  }
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const std::string& id : members) {
    const Backend* backend = backends_.Find(id);
    const bool usable =
        !backend->Unreachable() && !backend->IsUnresponsive(now) && !backend->unlisted_since;
    if (id == state.lease.Newest().primary || !usable) {
      continue;
    }
    (backend->Entry().zone == settings_.zone ? near : far).push_back(id);
  }
  std::vector<std::string> targets = {state.lease.Newest().primary};
  const std::size_t majority = members.size() / 2 + 1;
  near.insert(near.end(), far.begin(), far.end());
  for (const std::string& id : near) {
    if (targets.size() < majority) {
      targets.push_back(id);
    }
  }
  return targets;
}

void GroupSet::RecordMembersKnown(common::Instant as_of) {
  for (GroupState* state : watched_) {
    state->members_known = state->members_known || as_of >= state->watched_since;
  }
}

bool GroupSet::MembersIncomplete() const {
  return std::any_of(watched_.begin(), watched_.end(),
                     [](const GroupState* state) { return !state->members_known; });
}

void GroupSet::StartRound(GroupState& state, common::Instant now) {
  if (!state.members_known) {
    return;
  }
  state.last_round_at = now;
  const bool old = now >= state.lease.Newest().started + kAskAllAge;
  const std::vector<std::string> targets = RoundTargets(state, old, now);
  const group::RoundNumber round =
      state.lease.StartRound(QuorumMembers(state.service, now).size(), now);
  const std::string service = state.service;
  for (const std::string& id : targets) {
    const auto answered = [this, service, id, round, now](
                              const std::optional<model::InstanceStatus>& status, common::Instant) {
      if (status) {
        OnRoundAnswer(service, id, round, *status, now);
      }
    };
    backends_.QueueControlRequest(id, {model::ControlKind::kStatus, 0}, answered, now);
  }
}

void GroupSet::OnRoundAnswer(const std::string& service, const std::string& instance,
                             group::RoundNumber round, const model::InstanceStatus& status,
                             common::Instant started) {
  GroupState* group = Find(service);
  if (group == nullptr) {
    return;
  }
  if (group->lease.OnAnswer(round, instance, status)) {
    lease_renewed_ = true;
  }
  if (status.primary) {
    RecordPosition(service, instance, status.received, started);
  }
}

std::string GroupSet::SuspicionReason(const GroupState& state, common::Instant now) const {
  if (now < state.observed_since + kEvaluationDelay) {
    return "";
  }
  const Backend* primary = backends_.All().contains(state.lease.Newest().primary)
                               ? &backends_.All().at(state.lease.Newest().primary)
                               : nullptr;
  // A primary that this daemon could not reach before it became primary gets a grace period: the
  // partition may be over.
  const bool unreachable_before = primary != nullptr && primary->Unreachable() &&
                                  *primary->UnreachableSince() < state.term_learned_at;
  const bool in_grace_period = unreachable_before && now < state.term_learned_at + kNewPrimaryGrace;
  if (primary != nullptr && primary->Unreachable() && !in_grace_period) {
    return "unreachable";
  }
  // A daemon that does not know all members starts no rounds, so a missing lease is no sign of a
  // failure.
  const bool leaseless = state.members_known && !state.lease.Holds(now);
  if (leaseless && now >= state.lease_last_held_at + kLeaselessLimit) {
    return "no lease";
  }
  if (state.writes_stalled_since) {
    return "writes unanswered";
  }
  if (state.restarted_primary_term != 0 &&
      state.restarted_primary_term >= state.lease.Newest().term) {
    return "restarted";
  }
  return "";
}

void GroupSet::OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now) {
  GroupState* state = Find(entry.service);
  if (state == nullptr) {
    return;
  }
  const group::Confirmation newest = state->lease.Newest();
  if (entry.id != newest.primary) {
    state->holders.OnLogLost(entry.id, now);
    return;
  }
  state->holders.OnPresent(entry.id);
  // The restarted instance may still claim to be primary without the confirmed commits, so its term
  // is released.
  ReleaseTermsBelow(*state, newest.term + 1);
  state->restarted_primary_term = newest.term;
  outbox_.Log(
      "primary_restarted",
      {{"service", entry.service}, {"primary", entry.id}, {"term", std::to_string(newest.term)}},
      LogLevel::kWarning);
}

bool GroupSet::ReachesMajority(const GroupState& state, common::Instant now) const {
  const std::vector<std::string> members = QuorumMembers(state.service, now);
  const auto reached = std::count_if(members.begin(), members.end(), [&](const std::string& id) {
    const auto& connections = backends_.All().at(id).Connections();
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto& each) { return each.second.open; });
  });
  return static_cast<std::size_t>(reached) >= members.size() / 2 + 1;
}

void GroupSet::EvaluatePrimary(GroupState& state, common::Instant now) {
  // A daemon without connections to a majority cannot renew a lease, so a missing lease is no sign
  // of a failed primary. Without this rule, a first start with 1,000 groups replaced 41 primaries.
  // A majority that follows the primary clears it too; only the store's word is missing then.
  const bool followed =
      AwaitsRecord(state) && now < state.lease.Proposed()->started + group::kLeaseTime;
  if (state.lease.Holds(now) || followed || !ReachesMajority(state, now)) {
    state.lease_last_held_at = now;
  }
  if (state.oldest_unanswered_write && now >= *state.oldest_unanswered_write + kStallLimit &&
      !state.writes_stalled_since) {
    state.writes_stalled_since = now;
  }
  const std::string reason = SuspicionReason(state, now);
  const bool suspected = !reason.empty();
  if (suspected == state.primary_suspected) {
    return;
  }
  state.primary_suspected = suspected;
  suspicion_changed_ = true;
  if (suspected) {
    outbox_.Log("primary_lost",
                {{"service", state.service},
                 {"primary", state.lease.Newest().primary},
                 {"term", std::to_string(state.lease.Newest().term)},
                 {"reason", reason},
                 {"confirmed_ms_ago", MillisecondsText(now - state.lease.Newest().started)}},
                LogLevel::kWarning);
  } else {
    outbox_.Log("primary_regained", {{"service", state.service},
                                     {"primary", state.lease.Newest().primary},
                                     {"term", std::to_string(state.lease.Newest().term)}});
  }
}

void GroupSet::BeginEra(common::Instant now) {
  record_complete_from_ = now + failover::kTakeoverTime;
  for (auto& [service, state] : groups_) {
    state.holders.BeginEra();
  }
}

void GroupSet::OnPauseEnded(common::Instant now) {
  for (auto& [service, state] : groups_) {
    state.lease_last_held_at = now;
    state.observed_since = now;
    state.writes_stalled_since.reset();
  }
}

void GroupSet::UpdateWatched(GroupState& state, common::Instant now) {
  const bool watched = backends_.IsWatched(state.service);
  if (watched == std::exchange(state.watched, watched)) {
    return;
  }
  state.watched_since = now;
  state.members_known = false;
  // The evaluation restarts with a new observation period.
  state.primary_suspected = false;
  state.observed_since = now;
  state.lease_last_held_at = now;
  state.writes_stalled_since.reset();
  // Groups start as watched; a change before the first round is not logged.
  if (watched || state.last_round_at.count() > 0) {
    outbox_.Log("group_watched",
                {{"service", state.service}, {"watched", watched ? "true" : "false"}});
  }
}

void GroupSet::UpdateWatchedGroups(common::Instant now) {
  if (seen_watch_changes_ == backends_.WatchChanges() && seen_group_count_ == groups_.size()) {
    return;
  }
  seen_watch_changes_ = backends_.WatchChanges();
  seen_group_count_ = groups_.size();
  watched_.clear();
  for (auto& [service, state] : groups_) {
    UpdateWatched(state, now);
    if (state.watched) {
      watched_.push_back(&state);
    }
  }
}

void GroupSet::Tick(common::Instant now) {
  UpdateWatchedGroups(now);
  for (GroupState* each : watched_) {
    GroupState& state = *each;
    const common::Duration age = now - state.lease.Newest().started;
    const bool as_prober = age >= kProberRoundAge &&
                           now >= state.last_round_at + settings_.lease_round_interval &&
                           IsProber(state.service);
    const bool by_itself = age >= kOwnRoundAge && now >= state.last_round_at + kOwnRoundPause;
    if (as_prober || by_itself) {
      StartRound(state, now);
    }
    UpdateHolders(state, now);
    EvaluatePrimary(state, now);
  }
}

}  // namespace valvekeel::proxy
