#include "proxy/group_set.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::proxy {
namespace {

/// Age of the lease at which its prober asks: the store should have renewed it by then.
constexpr common::Duration kProberRoundAge{550'000};
/// Age of the lease's round after which a daemon that is not the prober asks by itself.
constexpr common::Duration kOwnRoundAge{780'000};
/// Age after which all members are asked, not just a majority.
constexpr common::Duration kAskAllAge{450'000};
constexpr common::Duration kOwnRoundPause{200'000};
/// Time without a lease after which the primary counts as lost.
constexpr common::Duration kLeaselessLimit{500'000};
/// Time for a new primary, unreachable before it led, to be reached.
constexpr common::Duration kNewPrimaryGrace{1'200'000};
/// Time after the group was first seen in which it is not judged.
constexpr common::Duration kSettling{1'500'000};
/// An unlisted member that can't be reached is left out of the count after this time.
constexpr common::Duration kDepartedLimit{1'500'000};
/// Time for which a write may stay unanswered before no more are sent with it.
constexpr common::Duration kStallSuspicion{300'000};
/// Time for which a write may stay unanswered at a primary that answers else.
constexpr common::Duration kStallLimit{700'000};

}  // namespace

GroupState& GroupSet::Get(const std::string& service, common::Instant now) {
  const auto [found, added] = groups_.try_emplace(service);
  if (added) {
    found->second.service = service;
    found->second.known_since = now;
    found->second.lease_held_at = now;
    watched_.push_back(&found->second);  // until the next look
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
    if (!backends_.IsSucceeded(backends_.All().at(id))) {
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

void GroupSet::NotePosition(const std::string& service, const std::string& instance,
                            const common::Position& position, common::Instant sent) {
  GroupState* state = Find(service);
  if (state == nullptr) {
    return;
  }
  const group::Confirmation& newest = state->lease.Newest();
  // A primary that has started again under its id, with nothing, says less than it said before.
  const std::optional<common::Position> known = state->KnownOfPrimary();
  const bool believed = !settings_.mechanisms.instance_lives || !known || *known <= position;
  if (believed && instance == newest.primary && state->lease.HeldAt(sent, newest.term)) {
    state->history.Add({sent, position});
    state->sampled_term = newest.term;
  }
}

bool GroupSet::HasEnded(const Backend& backend, common::Instant now) {
  return backend.gone_since && backend.Unreachable() && now >= *backend.gone_since + kDepartedLimit;
}

std::vector<std::string> GroupSet::Present(const std::string& service, common::Instant now) const {
  std::vector<std::string> present;
  for (const std::string& id : Members(service)) {
    if (!HasEnded(backends_.All().at(id), now)) {
      present.push_back(id);
    }
  }
  return present;
}

std::vector<std::string> GroupSet::Replicas(const std::string& service, common::Instant now) const {
  std::vector<std::string> replicas;
  const auto group = groups_.find(service);
  for (const std::string& id : Members(service)) {
    const Backend& backend = backends_.All().at(id);
    // A replica whose end is not covered yet may hold a commit that nobody else has.
    const bool covered = group != groups_.end() && group->second.departed.contains(id);
    const bool departed = covered && HasEnded(backend, now);
    const bool leads = group != groups_.end() && id == PrimaryHint(group->second);
    if (!departed && !leads) {
      replicas.push_back(id);
    }
  }
  return replicas;
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

void GroupSet::AskNow(const std::string& service, common::Instant now) {
  if (GroupState* state = Find(service)) {
    StartRound(*state, now);
  }
}

bool GroupSet::TakeReports(const PeerMessage& message,
                           std::optional<common::Instant> counted_from) {
  bool released = false;
  for (const GroupReport& report : message.groups) {
    GroupState* state = Find(report.service);
    if (state == nullptr) {
      continue;
    }
    state->floor = std::max(state->floor, report.floor);
    state->observed_fence = std::max(state->observed_fence, report.fence_below);
    released = ReleaseBelow(*state, report.fence_below) || released;
    if (!counted_from || !report.confirmation_age) {
      continue;
    }
    const common::Term before = state->lease.Newest().term;
    state->lease.Renew({report.term, report.primary, *counted_from - *report.confirmation_age});
    if (state->lease.Newest().term > before) {
      state->writes_stalled.reset();
      state->led_since = *counted_from;
      outbox_.Log("primary_learned", {{"service", report.service},
                                      {"primary", report.primary},
                                      {"term", std::to_string(report.term)},
                                      {"from", message.name}});
    }
    if (report.sample_age) {
      NotePosition(report.service, report.primary, report.sample,
                   *counted_from - *report.sample_age);
    }
  }
  return released;
}

void GroupSet::RenewFromRecord(const model::LeadershipRecord& record, common::Instant asked) {
  for (auto& [service, state] : groups_) {
    const group::Confirmation newest = state.lease.Newest();
    const auto attempt = record.attempts.find(service);
    const bool begun =
        attempt != record.attempts.end() && attempt->second.replaced_term >= newest.term;
    // The record may have lost a replacement. A round of the group that began when nobody could act
    // on a lost claim any more has asked the instances themselves.
    const bool asked_since = newest.started >= record_complete_from_;
    if (newest.term != 0 && !begun && asked_since) {
      state.lease.Renew({newest.term, newest.primary, asked});
      confirmed_ = true;
    }
  }
}

common::Duration GroupSet::OldestConfirmation(common::Instant now) const {
  common::Duration oldest{0};
  for (const GroupState* state : watched_) {
    if (state->lease.Newest().term != 0) {
      oldest = std::max(oldest, now - state->lease.Newest().started);
    }
  }
  return oldest;
}

void GroupSet::NoteWriteAnswered(const std::string& service, const std::string& instance) {
  GroupState* state = Find(service);
  if (state != nullptr && instance == state->lease.Newest().primary) {
    state->writes_stalled.reset();
  }
}

bool GroupSet::WritesStalled(const std::string& service, common::Instant now) const {
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return false;
  }
  const GroupState& state = found->second;
  const bool waiting = state.write_sent && now >= *state.write_sent + kStallSuspicion;
  return waiting || (state.writes_stalled && state.write_sent);
}

std::vector<GroupReport> GroupSet::Reports(bool all, common::Instant now) const {
  std::vector<GroupReport> reports;
  for (const auto& [service, state] : groups_) {
    const bool troubled = Troubled(state, now);
    if (!all && !troubled) {
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
    report.floor = state.floor;
    report.replicas = Replicas(service, now).size();
    report.primary_lost = state.lost;
    report.troubled = troubled;
    report.fence_below = state.fence_below;
    report.released_below = state.lease.ReleasedTerm() + 1;
    reports.push_back(std::move(report));
  }
  return reports;
}

bool GroupSet::Troubled(const GroupState& state, common::Instant now) {
  const bool released = state.lease.ReleasedTerm() >= state.lease.Newest().term;
  if (state.lost || state.fence_below > 0 || state.floor.lsn > 0) {
    return true;
  }
  // Who doesn't watch the group is not told of its lease, and misses nothing.
  const bool had_a_lease = state.lease.ReleasedTerm() > 0;
  return state.watched ? released || !state.lease.Holds(now) : released && had_a_lease;
}

bool GroupSet::ReleaseBelow(GroupState& state, common::Term term) {
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
  const std::vector<std::string> members = Present(state.service, now);
  if (all || state.lease.Newest().term == 0) {
    return members;
  }
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const std::string& id : members) {
    const Backend* backend = backends_.Find(id);
    const bool usable = !backend->Unreachable() && !backend->Silent(now) && !backend->gone_since;
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

void GroupSet::NoteMembersKnown(common::Instant as_of) {
  for (GroupState* state : watched_) {
    state->members_known = state->members_known || as_of >= state->watched_since;
  }
}

bool GroupSet::LacksMembers() const {
  return std::any_of(watched_.begin(), watched_.end(),
                     [](const GroupState* state) { return !state->members_known; });
}

void GroupSet::StartRound(GroupState& state, common::Instant now) {
  if (!state.members_known) {
    return;
  }
  state.round_at = now;
  const bool old = now >= state.lease.Newest().started + kAskAllAge;
  const std::vector<std::string> targets = RoundTargets(state, old, now);
  const group::RoundNumber round = state.lease.StartRound(Present(state.service, now).size(), now);
  const std::string service = state.service;
  for (const std::string& id : targets) {
    const auto answered = [this, service, id, round, now](
                              const std::optional<model::InstanceStatus>& status, common::Instant) {
      GroupState* group = Find(service);
      if (group == nullptr || !status) {
        return;
      }
      const group::Confirmation before = group->lease.Newest();
      if (group->lease.Answer(round, id, *status)) {
        confirmed_ = true;
        if (group->lease.Newest().term > before.term) {
          news_ = true;
          group->writes_stalled.reset();
          group->led_since = now;
          outbox_.Log("primary_confirmed", {{"service", service},
                                            {"primary", group->lease.Newest().primary},
                                            {"term", std::to_string(group->lease.Newest().term)}});
        }
      }
      if (status->primary) {
        NotePosition(service, id, status->received, now);
      }
    };
    backends_.Control(id, {model::ControlKind::kStatus, 0}, answered, now);
  }
}

std::string GroupSet::Suspicion(const GroupState& state, common::Instant now) const {
  if (now < state.known_since + kSettling) {
    return "";
  }
  const Backend* primary = backends_.All().contains(state.lease.Newest().primary)
                               ? &backends_.All().at(state.lease.Newest().primary)
                               : nullptr;
  // Who has just learned of a primary that it could not reach before looks once more: the cut that
  // hid it may be over.
  const bool known_before = primary != nullptr && primary->Unreachable() &&
                            *primary->UnreachableSince() < state.led_since;
  const bool looks_again = known_before && now < state.led_since + kNewPrimaryGrace;
  if (primary != nullptr && primary->Unreachable() && !looks_again) {
    return "unreachable";
  }
  // Who does not know all members asks for no lease, so the want of one says nothing.
  const bool leaseless = state.members_known && !state.lease.Holds(now);
  if (leaseless && now >= state.lease_held_at + kLeaselessLimit) {
    return "no lease";
  }
  if (state.writes_stalled) {
    return "writes unanswered";
  }
  if (state.lost_term != 0 && state.lost_term >= state.lease.Newest().term) {
    return "restarted";
  }
  return "";
}

void GroupSet::NoteDepartures(GroupState& state, common::Instant now) {
  for (const std::string& id : backends_.IdsOf(state.service)) {
    const Backend& backend = backends_.All().at(id);
    if (backends_.IsSucceeded(backend)) {
      continue;
    }
    const bool ended = backend.gone_since && backend.Unreachable();
    if (!ended) {
      state.departures.erase(id);
      state.departed.erase(id);
    } else if (!state.departed.contains(id)) {
      state.departures.try_emplace(id, now);
    }
  }
  for (auto departure = state.departures.begin(); departure != state.departures.end();) {
    const auto covering = state.history.Covering(departure->second);
    if (!covering) {
      ++departure;
      continue;
    }
    state.floor = std::max(state.floor, *covering);
    state.departed.insert(departure->first);
    departure = state.departures.erase(departure);
  }
}

void GroupSet::CoverLostLogs(GroupState& state) {
  std::erase_if(state.lost_logs, [&](common::Instant noticed) {
    const auto covering = state.history.Covering(noticed);
    if (covering) {
      state.floor = std::max(state.floor, *covering);
    }
    return covering.has_value();
  });
}

std::size_t GroupSet::LostLogs(const std::string& service) const {
  const auto found = groups_.find(service);
  return found == groups_.end() ? 0 : found->second.lost_logs.size();
}

void GroupSet::MemberRestarted(const model::InstanceEntry& entry, common::Instant now) {
  GroupState* state = Find(entry.service);
  if (state == nullptr) {
    return;
  }
  state->departures.erase(entry.id);
  state->departed.erase(entry.id);
  const group::Confirmation newest = state->lease.Newest();
  if (entry.id != newest.primary) {
    state->lost_logs.push_back(now);
    return;
  }
  // It may say that it leads still, with less than was confirmed: nothing of its term is believed.
  ReleaseBelow(*state, newest.term + 1);
  state->lost_term = newest.term;
  outbox_.Log(
      "primary_restarted",
      {{"service", entry.service}, {"primary", entry.id}, {"term", std::to_string(newest.term)}},
      LogLevel::kWarning);
}

bool GroupSet::ReachesMajority(const GroupState& state, common::Instant now) const {
  const std::vector<std::string> members = Present(state.service, now);
  const auto reached = std::count_if(members.begin(), members.end(), [&](const std::string& id) {
    const auto& connections = backends_.All().at(id).Connections();
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto& each) { return each.second.open; });
  });
  return static_cast<std::size_t>(reached) >= members.size() / 2 + 1;
}

void GroupSet::Judge(GroupState& state, common::Instant now) {
  // Who has yet to connect can't get a lease, so the want of one says nothing of the primary: at a
  // first start before 1,000 groups 41 primaries were replaced for it.
  if (state.lease.Holds(now) || !ReachesMajority(state, now)) {
    state.lease_held_at = now;
  }
  if (state.write_sent && now >= *state.write_sent + kStallLimit && !state.writes_stalled) {
    state.writes_stalled = now;
  }
  const std::string suspicion = Suspicion(state, now);
  const bool lost = !suspicion.empty();
  if (lost == state.lost) {
    return;
  }
  state.lost = lost;
  opinion_changed_ = true;
  if (lost) {
    outbox_.Log("primary_lost",
                {{"service", state.service},
                 {"primary", state.lease.Newest().primary},
                 {"term", std::to_string(state.lease.Newest().term)},
                 {"reason", suspicion},
                 {"confirmed_ms_ago", MillisecondsText(now - state.lease.Newest().started)}},
                LogLevel::kWarning);
  } else {
    outbox_.Log("primary_regained", {{"service", state.service},
                                     {"primary", state.lease.Newest().primary},
                                     {"term", std::to_string(state.lease.Newest().term)}});
  }
}

void GroupSet::Thawed(common::Instant now) {
  for (auto& [service, state] : groups_) {
    state.lease_held_at = now;
    state.known_since = now;
    state.writes_stalled.reset();
  }
}

void GroupSet::Watch(GroupState& state, common::Instant now) {
  const bool watched = backends_.Watched(state.service);
  if (watched == std::exchange(state.watched, watched)) {
    return;
  }
  state.watched_since = now;
  state.members_known = false;
  // An opinion needs a while of looking.
  state.lost = false;
  state.known_since = now;
  state.lease_held_at = now;
  state.writes_stalled.reset();
  // Groups begin as watched; that one was never asked about says nothing.
  if (watched || state.round_at.count() > 0) {
    outbox_.Log("group_watched",
                {{"service", state.service}, {"watched", watched ? "true" : "false"}});
  }
}

void GroupSet::ChooseWatched(common::Instant now) {
  if (watch_changes_ == backends_.WatchChanges() && known_groups_ == groups_.size()) {
    return;
  }
  watch_changes_ = backends_.WatchChanges();
  known_groups_ = groups_.size();
  watched_.clear();
  for (auto& [service, state] : groups_) {
    Watch(state, now);
    if (state.watched) {
      watched_.push_back(&state);
    }
  }
}

void GroupSet::Tick(common::Instant now) {
  ChooseWatched(now);
  for (GroupState* each : watched_) {
    GroupState& state = *each;
    const common::Duration age = now - state.lease.Newest().started;
    const bool as_prober = age >= kProberRoundAge &&
                           now >= state.round_at + settings_.lease_round_interval &&
                           IsProber(state.service);
    const bool by_itself = age >= kOwnRoundAge && now >= state.round_at + kOwnRoundPause;
    if (as_prober || by_itself) {
      StartRound(state, now);
    }
    NoteDepartures(state, now);
    CoverLostLogs(state);
    Judge(state, now);
  }
}

}  // namespace valvekeel::proxy
