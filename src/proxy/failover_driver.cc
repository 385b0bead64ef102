#include "proxy/failover_driver.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valvekeel::proxy {
namespace {

/// Share of the live daemons whose opinion is enough to call a primary lost.
constexpr double kLostShare = 0.3;
/// Time that a primary's entry is gone before it is replaced.
constexpr common::Duration kUnlistedLimit{2'000'000};
/// Time after a failed attempt before the next.
constexpr common::Duration kRetryPause{500'000};
/// Time until it is looked again whether enough replicas answer.
constexpr common::Duration kInfeasiblePause{100'000};
/// The same after a failed replacement by plan: doubled with each until it is the longest. The
/// primary serves meanwhile, and each attempt holds up replication and costs writes to the store.
constexpr common::Duration kLongestPlannedPause{8'000'000};
/// Time after a successful one.
constexpr common::Duration kSettledPause{1'000'000};
/// Between two looks at all groups, which a coordinator of 1,000 must not walk a hundred times a
/// second. Groups that are being replaced, or are to be, are looked at each time.
constexpr common::Duration kLookInterval{40'000};
/// Advantage in time of each daemon over the next in order.
constexpr common::Duration kTurnStep{700'000};
/// Time for which a daemon must have known a group before it may replace the group's primary.
constexpr common::Duration kAcquaintance{1'500'000};

std::string HolderName(const ProxySettings& settings) {
  return settings.name + "." + std::to_string(settings.incarnation);
}

/// @return the daemon's name within a holder's.
std::string DaemonOfHolder(const std::string& holder) {
  return holder.substr(0, holder.rfind('.'));
}

}  // namespace

FailoverDriver::FailoverDriver(const ProxySettings& settings, BackendSet& backends,
                               GroupSet& groups, const access::rule_set& access,
                               const PeerTable& peers, const membership::live_view& view,
                               const relay::role_map& roles, Outbox& outbox)
    : settings_(settings),
      backends_(backends),
      groups_(groups),
      access_(access),
      peers_(peers),
      view_(view),
      roles_(roles),
      outbox_(outbox),
      leadership_(HolderName(settings)) {}

void FailoverDriver::RecordSeen(const model::LeadershipRecord& record,
                                const model::Revision& revision, common::Instant now) {
  const std::string before = leadership_.Holder();
  leadership_.Seen(record, revision, now);
  if (leadership_.Holder() != before) {
    outbox_.Log("leader_changed", {{"holder", leadership_.Holder()},
                                   {"token", std::to_string(record.token)},
                                   {"revision", model::RevisionText(revision)}});
  }
}

void FailoverDriver::MemberRestarted(const model::InstanceEntry& entry, common::Instant now) {
  const auto attempt = attempts_.find(entry.service);
  if (attempt != attempts_.end()) {
    attempt->second->MemberRestarted(entry.id, now);
  }
}

void FailoverDriver::RecordWritten(CallNumber call, const failover::WriteResult& result,
                                   common::Instant now) {
  const auto write = record_writes_.find(call);
  if (write == record_writes_.end()) {
    return;
  }
  const std::string service = write->second;
  record_writes_.erase(write);
  const bool held = leadership_.Written(result, now);
  outbox_.Log("leadership_written", {{"service", service},
                                     {"held", held ? "true" : "false"},
                                     {"token", std::to_string(leadership_.Record().token)},
                                     {"status", std::to_string(static_cast<int>(result.status))}});
  const auto attempt = attempts_.find(service);
  if (attempt != attempts_.end()) {
    attempt->second->RecordWritten(held);
  }
}

void FailoverDriver::Promoted(CallNumber call, failover::PromotionStatus status,
                              common::Instant now) {
  const auto promotion = promotions_.find(call);
  if (promotion == promotions_.end()) {
    return;
  }
  const std::string service = promotion->second;
  promotions_.erase(promotion);
  outbox_.Log("promotion_answered",
              {{"service", service}, {"status", std::to_string(static_cast<int>(status))}});
  const auto attempt = attempts_.find(service);
  if (attempt != attempts_.end()) {
    attempt->second->PromotionAnswered(status);
  }
  static_cast<void>(now);
}

bool FailoverDriver::LooksAt(const std::string& service, bool all) const {
  return all || attempts_.contains(service) || wishes_.contains(service);
}

bool FailoverDriver::LostToMany(const GroupState& group, common::Instant now) const {
  if (!group.lost && !any_primary_lost_) {
    return false;
  }
  std::size_t live = group.watched ? 1 : 0;
  std::size_t lost = group.lost ? 1 : 0;
  for (const auto& [address, peer] : peers_.All()) {
    const bool judges = roles_.watches(group.service, peer.name);
    if (!judges || !peers_.Alive(peer, now) || peer.last.stopping) {
      continue;
    }
    ++live;
    const auto report =
        std::find_if(peer.last.groups.begin(), peer.last.groups.end(),
                     [&](const GroupReport& each) { return each.service == group.service; });
    if (report != peer.last.groups.end() && report->primary_lost) {
      ++lost;
    }
  }
  const auto needed =
      static_cast<std::size_t>(std::max(1.0, std::ceil(kLostShare * static_cast<double>(live))));
  return lost >= needed;
}

FailoverDriver::Need FailoverDriver::NeedOfFitness(const GroupState& group, const Backend& primary,
                                                   common::Instant now) const {
  const access::leader_answer present = access_.judge_leader(primary.Entry(), now);
  if (present.fitness == model::LeaderFitness::kFit) {
    return {};
  }
  for (const std::string& id : groups_.Members(group.service)) {
    const Backend& other = backends_.All().at(id);
    const bool usable = !other.Unreachable() && !other.Silent(now) && !other.gone_since &&
                        !other.draining_since && id != primary.Entry().id;
    if (usable && access_.judge_leader(other.Entry(), now).fitness > present.fitness) {
      return {present.reason, present.fitness};
    }
  }
  return {};
}

FailoverDriver::Need FailoverDriver::NeedOf(const GroupState& group, common::Instant now) const {
  if (LostToMany(group, now)) {
    return {"lost", {}};
  }
  const auto primary = backends_.All().find(group.lease.Newest().primary);
  if (primary == backends_.All().end() || !group.lease.Holds(now)) {
    return {};
  }
  if (primary->second.draining_since) {
    return {"draining", {}};
  }
  const bool unlisted =
      primary->second.gone_since && now >= *primary->second.gone_since + kUnlistedLimit;
  return unlisted ? Need{"unlisted", {}} : NeedOfFitness(group, primary->second, now);
}

bool FailoverDriver::IsTurn(const Wish& wish, common::Instant now) const {
  if (!roles_.coordinates()) {
    return false;
  }
  std::vector<std::string> able = {settings_.name};
  for (const std::string& name : peers_.LiveNames(now)) {
    const Peer* peer = peers_.ByName(name);
    if (peer != nullptr && peer->last.store_connected && roles_.coordinates(name)) {
      able.push_back(name);
    }
  }
  std::sort(able.begin(), able.end());
  const std::string holder = DaemonOfHolder(leadership_.Holder());
  const auto at = std::find(able.begin(), able.end(), holder);
  if (at != able.end()) {
    std::rotate(able.begin(), at, at + 1);
  }
  const auto rank = std::find(able.begin(), able.end(), settings_.name) - able.begin();
  return now >= wish.since + kTurnStep * rank;
}

failover::GroupView FailoverDriver::ViewOf(const GroupState& group, const model::Service& service,
                                           const RegisteredDaemons& registered,
                                           common::Term new_term, const Need& need,
                                           common::Instant now) const {
  failover::GroupView view;
  view.service = group.service;
  view.term = group.lease.Newest().term;
  view.primary = groups_.PrimaryHint(group);
  view.sync_replicas = service.sync_replicas;
  const std::vector<std::string> replicas = groups_.Replicas(group.service, now);
  for (const std::string& id : groups_.Members(group.service)) {
    const Backend& backend = backends_.All().at(id);
    const bool counted =
        id == view.primary || std::find(replicas.begin(), replicas.end(), id) != replicas.end();
    view.members.push_back({id, backend.draining_since.has_value(),
                            !backend.Unreachable() && !backend.Silent(now), !counted,
                            backend.gone_since.has_value(),
                            access_.judge_leader(backend.Entry(), now).fitness});
  }
  view.one_fence_is_enough = !settings_.mechanisms.enough_fences;
  view.floor = group.floor;
  view.lost_logs = group.lost_logs.size();
  view.known_replicas = KnownReplicas(group.service, now);
  view.unreleased = Unreleased(group.service, registered, new_term, now);
  view.better_than = need.better_than;
  return view;
}

std::set<std::string> FailoverDriver::Unreleased(const std::string& service,
                                                 const RegisteredDaemons& registered,
                                                 common::Term new_term, common::Instant now) const {
  std::set<std::string> daemons;
  for (const auto& [name, daemon] : registered) {
    daemons.insert(name);
  }
  // Those that have registered a moment ago may not be read yet.
  for (const std::string& name : peers_.LiveNames(now)) {
    daemons.insert(name);
  }
  for (const membership::member& each : view_.live_daemons()) {
    daemons.insert(each.name);
  }
  daemons.erase(settings_.name);
  std::erase_if(daemons, [&](const std::string& name) {
    const Peer* peer = peers_.ByName(name);
    if (peer == nullptr || !peers_.Alive(*peer, now)) {
      return false;
    }
    const std::vector<GroupReport>& groups = peer->last.groups;
    return std::any_of(groups.begin(), groups.end(), [&](const GroupReport& report) {
      return report.service == service && report.released_below >= new_term;
    });
  });
  return daemons;
}

std::size_t FailoverDriver::KnownReplicas(const std::string& service, common::Instant now) const {
  std::size_t most = 0;
  for (const auto& [address, peer] : peers_.All()) {
    // Who does not connect to the instances does not learn that one has ended.
    if (!peers_.Alive(peer, now) || !roles_.watches(service, peer.name)) {
      continue;
    }
    for (const GroupReport& report : peer.last.groups) {
      most = report.service == service ? std::max(most, report.replicas) : most;
    }
  }
  return most;
}

void FailoverDriver::Tick(const model::Configuration& configuration,
                          const RegisteredDaemons& registered, bool store_connected,
                          common::Instant now) {
  store_connected_ = store_connected;
  if (!roles_.coordinates() && attempts_.empty()) {
    wishes_.clear();
    return;
  }
  const bool all = now >= look_due_;
  if (all) {
    look_due_ = now + kLookInterval;
    any_primary_lost_ = peers_.AnyPrimaryLost(now);
  } else if (attempts_.empty() && wishes_.empty()) {
    return;
  }
  for (const auto& [name, service] : configuration.services) {
    GroupState* group = LooksAt(name, all) ? groups_.Find(name) : nullptr;
    if (group == nullptr) {
      continue;
    }
    if (attempts_.contains(name)) {
      AdvanceAttempt(name, configuration, registered, now);
      continue;
    }
    const Need need = NeedOf(*group, now);
    if (need.reason.empty()) {
      wishes_.erase(name);
      DropStaleEntry(*group, now);
      continue;
    }
    Wish& wish = wishes_.try_emplace(name, Wish{now, need}).first->second;
    wish.need = need;
    const bool allowed = store_connected && now >= not_before_[name] && IsTurn(wish, now) &&
                         now >= group->known_since + kAcquaintance && group->members_known &&
                         !(need.better_than && now < planned_pauses_[name].until);
    if (!allowed) {
      continue;
    }
    const failover::GroupView view = ViewOf(*group, service, registered, 0, need, now);
    if (!failover::Attempt::Feasible(view)) {
      not_before_[name] = now + kInfeasiblePause;
      TellInfeasible(view, need.reason);
      continue;
    }
    outbox_.Log("failover_started", {{"service", name},
                                     {"reason", need.reason},
                                     {"primary", group->lease.Newest().primary},
                                     {"term", std::to_string(group->lease.Newest().term)}});
    attempts_[name] = std::make_unique<failover::Attempt>(name, leadership_, now);
    AdvanceAttempt(name, configuration, registered, now);
  }
}

void FailoverDriver::TellInfeasible(const failover::GroupView& view, const std::string& reason) {
  const failover::FenceCount fences = failover::Attempt::FencesOf(view);
  std::string away;
  for (const failover::MemberView& member : view.members) {
    if (member.id != view.primary && !member.departed && !member.reachable) {
      away += (away.empty() ? "" : " ") + member.id;
    }
  }
  // Replicas that only other daemons count are in no list here: `known` tells of them.
  outbox_.Log("failover_infeasible",
              {{"service", view.service},
               {"reason", reason},
               {"primary", view.primary},
               {"fences_needed", std::to_string(fences.needed)},
               {"reachable", std::to_string(fences.reachable)},
               {"replicas", std::to_string(fences.replicas)},
               {"known", std::to_string(view.known_replicas)},
               {"lost_logs", std::to_string(view.lost_logs)},
               {"away", away}},
              LogLevel::kWarning);
}

void FailoverDriver::DropStaleEntry(GroupState& group, common::Instant now) {
  const auto entry = leadership_.Record().attempts.find(group.service);
  const bool stale = entry != leadership_.Record().attempts.end() &&
                     entry->second.replaced_term >= group.lease.Newest().term;
  // The lease is held by a majority's word although the record does not renew it, and nobody can
  // act on the entry any more: the replacement never came about.
  const bool certain =
      stale && group.lease.Holds(now) && leadership_.Settled(now) && store_connected_;
  if (certain && leadership_.MayWrite(now) && groups_.IsProber(group.service)) {
    outbox_.Log("failover_entry_dropped", {{"service", group.service}});
    // All earlier terms stay replaced: daemons cut off since may still hold one.
    const model::AttemptRecord earlier{group.lease.Newest().term - 1, ""};
    Do(group, failover::WriteRecord{leadership_.Prepare(group.service, earlier, now)}, now);
  }
}

void FailoverDriver::AdvanceAttempt(const std::string& service,
                                    const model::Configuration& configuration,
                                    const RegisteredDaemons& registered, common::Instant now) {
  failover::Attempt& attempt = *attempts_.at(service);
  GroupState& group = *groups_.Find(service);
  const failover::GroupView view =
      ViewOf(group, configuration.services.at(service), registered, attempt.ReplacedTerm() + 1,
             wishes_.at(service).need, now);
  Perform(group, attempt.Advance(view, now), now);
  if (!attempt.Ended()) {
    return;
  }
  const bool finished = attempt.CurrentStep() == failover::Step::kFinished;
  outbox_.Log("failover_ended", {{"service", service},
                                 {"outcome", failover::StepName(attempt.CurrentStep())},
                                 {"candidate", attempt.Candidate()}});
  not_before_[service] = now + (finished ? kSettledPause : kRetryPause);
  NotePlanned(service, finished, now);
  group.fence_below = finished ? 0 : group.fence_below;
  groups_.AskNow(service, now);
  wishes_.erase(service);
  attempts_.erase(service);
}

void FailoverDriver::NotePlanned(const std::string& service, bool finished, common::Instant now) {
  if (finished) {
    planned_pauses_.erase(service);
    return;
  }
  if (!wishes_.at(service).need.better_than) {
    return;
  }
  PlannedPause& pause = planned_pauses_[service];
  pause.length = std::clamp(pause.length * 2, kRetryPause, kLongestPlannedPause);
  pause.until = now + pause.length;
}

void FailoverDriver::Perform(GroupState& group, const std::vector<failover::AttemptAction>& actions,
                             common::Instant now) {
  for (const failover::AttemptAction& action : actions) {
    std::visit([&](const auto& each) { Do(group, each, now); }, action);
  }
}

void FailoverDriver::Do(GroupState& group, const failover::SendControl& action,
                        common::Instant now) {
  const std::string service = group.service;
  const auto answered = [this, service, action](const std::optional<model::InstanceStatus>& status,
                                                common::Instant at) {
    if (status) {
      outbox_.Log("control_answered",
                  {{"service", service},
                   {"instance", action.instance},
                   {"request", std::to_string(static_cast<int>(action.request.kind))},
                   {"primary", status->primary ? "true" : "false"},
                   {"term", std::to_string(status->term)},
                   {"fenced_term", std::to_string(status->fenced_term)},
                   {"received", PositionText(status->received)}});
    }
    const auto attempt = attempts_.find(service);
    if (attempt != attempts_.end()) {
      attempt->second->ControlAnswered(action.instance, action.request, status, at);
    }
  };
  backends_.Control(action.instance, action.request, answered, now);
}

void FailoverDriver::Do(GroupState& group, const failover::AnnounceFence& action,
                        common::Instant now) {
  group.fence_below = action.replaced_term + 1;
  groups_.ReleaseBelow(group, group.fence_below);
  urgent_ = true;
  static_cast<void>(now);
}

void FailoverDriver::Do(GroupState& group, const failover::WriteRecord& action,
                        common::Instant now) {
  const CallNumber call = outbox_.NextNumber();
  record_writes_[call] = group.service;
  outbox_.Emit(WriteLeadership{call, action.write});
  static_cast<void>(now);
}

void FailoverDriver::Do(GroupState& group, const failover::RequestPromotion& action,
                        common::Instant now) {
  const CallNumber call = outbox_.NextNumber();
  promotions_[call] = group.service;
  outbox_.Emit(Promote{call, group.service, action.candidate, action.holder, action.token});
  static_cast<void>(now);
}

void FailoverDriver::Do(GroupState& group, const failover::AttemptNote& action,
                        common::Instant now) {
  outbox_.Log("failover_step",
              {{"service", group.service}, {"step", action.step}, {"detail", action.detail}});
  static_cast<void>(now);
}

}  // namespace valvekeel::proxy
