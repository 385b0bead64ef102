#include "proxy/failover_driver.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valvekeel::proxy {
namespace {

/// Share of the live daemons that watch a group whose suspicions suffice to replace its primary.
constexpr double kSuspicionShare = 0.3;
/// Time for which a primary's entry is unlisted before the primary is replaced.
constexpr common::Duration kUnlistedLimit{2'000'000};
/// Pause after a failed attempt.
constexpr common::Duration kRetryPause{500'000};
/// Pause before it is checked again whether enough replicas are reachable.
constexpr common::Duration kInfeasiblePause{100'000};
/// Longest pause after a failed planned replacement; the pause doubles with each failure. The
/// primary serves in the meantime, and each attempt delays replication and costs writes to the
/// store.
constexpr common::Duration kLongestPlannedPause{8'000'000};
/// Pause after a successful attempt.
constexpr common::Duration kSettledPause{1'000'000};
/// Interval between evaluations of all groups: a coordinator of 1,000 groups must not walk them a
/// hundred times a second. Groups with a pending or running replacement are evaluated in every
/// tick.
constexpr common::Duration kEvaluationInterval{40'000};
/// Delay of each daemon relative to the one before it in the order of attempts.
constexpr common::Duration kTurnStep{700'000};
/// Time for which a daemon must have observed a group before it may replace the group's primary.
constexpr common::Duration kMinObservedTime{1'500'000};

std::string HolderName(const ProxySettings& settings) {
  return settings.name + "." + std::to_string(settings.incarnation);
}

/// @return the daemon's name, taken from a holder's name.
std::string DaemonOfHolder(const std::string& holder) {
  return holder.substr(0, holder.rfind('.'));
}

}  // namespace

FailoverDriver::FailoverDriver(const ProxySettings& settings, BackendSet& backends,
                               GroupSet& groups, const access::rule_set& access,
                               const PeerTable& peers, const membership::live_view& view,
                               const relay::role_map& roles, HolderKeeper& holders, Outbox& outbox)
    : settings_(settings),
      backends_(backends),
      groups_(groups),
      access_(access),
      peers_(peers),
      view_(view),
      roles_(roles),
      holders_(holders),
      outbox_(outbox),
      leadership_(HolderName(settings)) {}

void FailoverDriver::OnRecordRead(const model::LeadershipRecord& record,
                                  const model::Revision& revision, common::Instant now) {
  const std::string before = leadership_.Holder();
  leadership_.OnRecordRead(record, revision, now);
  if (leadership_.Holder() != before) {
    outbox_.Log("leader_changed", {{"holder", leadership_.Holder()},
                                   {"token", std::to_string(record.token)},
                                   {"revision", model::RevisionText(revision)}});
  }
}

void FailoverDriver::OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now) {
  const auto attempt = attempts_.find(entry.service);
  if (attempt != attempts_.end()) {
    attempt->second->OnMemberRestarted(entry.id, now);
  }
}

void FailoverDriver::OnRecordWritten(CallNumber call, const failover::WriteResult& result,
                                     common::Instant now) {
  const auto write = record_writes_.find(call);
  if (write == record_writes_.end()) {
    return;
  }
  const std::string service = write->second;
  record_writes_.erase(write);
  const bool held = leadership_.OnWriteResult(result, now);
  outbox_.Log("leadership_written", {{"service", service},
                                     {"held", held ? "true" : "false"},
                                     {"token", std::to_string(leadership_.Record().token)},
                                     {"status", failover::WriteStatusName(result.status)}});
  const auto attempt = attempts_.find(service);
  if (attempt != attempts_.end()) {
    attempt->second->OnRecordWritten(held);
  }
}

void FailoverDriver::OnPromotionAnswered(CallNumber call, failover::PromotionStatus status,
                                         common::Instant now) {
  const auto promotion = promotions_.find(call);
  if (promotion == promotions_.end()) {
    return;
  }
  const std::string service = promotion->second;
  promotions_.erase(promotion);
  outbox_.Log("promotion_answered",
              {{"service", service}, {"status", failover::PromotionStatusName(status)}});
  const auto attempt = attempts_.find(service);
  if (attempt != attempts_.end()) {
    attempt->second->OnPromotionAnswer(status);
  }
  static_cast<void>(now);
}

bool FailoverDriver::ShouldEvaluate(const std::string& service, bool all) const {
  return all || attempts_.contains(service) || pending_replacements_.contains(service);
}

bool FailoverDriver::IsSuspectedByEnough(const GroupState& group, common::Instant now) const {
  if (!group.primary_suspected && !any_primary_suspected_) {
    return false;
  }
  std::size_t live = group.watched ? 1 : 0;
  std::size_t suspecting = group.primary_suspected ? 1 : 0;
  for (const auto& [address, peer] : peers_.All()) {
    const bool watches = roles_.watches(group.service, peer.name);
    if (!watches || !peers_.IsAlive(peer, now) || peer.last.stopping) {
      continue;
    }
    ++live;
    const auto report =
        std::find_if(peer.last.groups.begin(), peer.last.groups.end(),
                     [&](const GroupReport& each) { return each.service == group.service; });
    if (report != peer.last.groups.end() && report->primary_suspected) {
      ++suspecting;
    }
  }
  const auto needed = static_cast<std::size_t>(
      std::max(1.0, std::ceil(kSuspicionShare * static_cast<double>(live))));
  return suspecting >= needed;
}

FailoverDriver::ReplacementCause FailoverDriver::FitnessCause(const GroupState& group,
                                                              const Backend& primary,
                                                              common::Instant now) const {
  const access::leader_evaluation current = access_.evaluate_leader(primary.Entry(), now);
  if (current.fitness == model::LeaderFitness::kFit) {
    return {};
  }
  for (const std::string& id : groups_.Members(group.service)) {
    const Backend& other = backends_.All().at(id);
    const bool usable = !other.Unreachable() && !other.IsUnresponsive(now) &&
                        !other.unlisted_since && !other.draining_since && id != primary.Entry().id;
    if (usable && access_.evaluate_leader(other.Entry(), now).fitness > current.fitness) {
      return {current.reason, current.fitness};
    }
  }
  return {};
}

FailoverDriver::ReplacementCause FailoverDriver::CauseOf(const GroupState& group,
                                                         common::Instant now) const {
  if (IsSuspectedByEnough(group, now)) {
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
      primary->second.unlisted_since && now >= *primary->second.unlisted_since + kUnlistedLimit;
  return unlisted ? ReplacementCause{"unlisted", {}} : FitnessCause(group, primary->second, now);
}

bool FailoverDriver::IsTurn(const PendingReplacement& pending, common::Instant now) const {
  if (!roles_.coordinates()) {
    return false;
  }
  std::vector<std::string> eligible = {settings_.name};
  for (const std::string& name : peers_.LiveNames(now)) {
    const Peer* peer = peers_.FindByName(name);
    if (peer != nullptr && peer->last.store_connected && roles_.coordinates(name)) {
      eligible.push_back(name);
    }
  }
  std::sort(eligible.begin(), eligible.end());
  const std::string holder = DaemonOfHolder(leadership_.Holder());
  const auto at = std::find(eligible.begin(), eligible.end(), holder);
  if (at != eligible.end()) {
    std::rotate(eligible.begin(), at, at + 1);
  }
  const auto rank = std::find(eligible.begin(), eligible.end(), settings_.name) - eligible.begin();
  return now >= pending.since + kTurnStep * rank;
}

failover::GroupView FailoverDriver::ViewOf(const GroupState& group, const model::Service& service,
                                           const RegisteredDaemons& registered,
                                           common::Term new_term, const ReplacementCause& cause,
                                           common::Instant now) const {
  failover::GroupView view;
  view.service = group.service;
  view.term = group.lease.Newest().term;
  view.primary = groups_.PrimaryHint(group);
  view.sync_replicas = service.sync_replicas;
  const std::vector<std::string> replicas = groups_.Replicas(group.service, now);
  for (const std::string& id : groups_.Members(group.service)) {
    const Backend& backend = backends_.All().at(id);
    view.term = std::max(view.term, backend.status ? backend.status->term : 0);
    const bool counted =
        id == view.primary || std::find(replicas.begin(), replicas.end(), id) != replicas.end();
    view.members.push_back({id, backend.draining_since.has_value(),
                            !backend.Unreachable() && !backend.IsUnresponsive(now), !counted,
                            backend.unlisted_since.has_value(),
                            access_.evaluate_leader(backend.Entry(), now).fitness});
  }
  view.one_fence_is_enough = !settings_.mechanisms.enough_fences;
  view.silent_holders = groups_.SilentHolders(group, now);
  view.commit_floor = group.holders.Floor();
  if (settings_.mechanisms.acknowledged_commits) {
    view.acknowledged = AcknowledgedByAll(group);
    view.acknowledged_complete = UncoveredDaemons(group, registered, now).empty();
  }
  view.primary_unusable = std::max(group.rejected_term, group.lease.ReleasedTerm()) >=
                          std::max<common::Term>(1, view.term);
  view.primary_restarted = group.restarted_primary_term >= std::max<common::Term>(1, view.term);
  view.lost_logs = group.holders.LostLogs();
  view.reported_replicas = holders_.MaxReportedReplicas(group.service, now);
  view.holders_as_of = settings_.mechanisms.recorded_holders ? group.holders.RecordedAsOf() : now;
  view.members_as_of = store_.members_as_of;
  view.unreleased_daemons = UnreleasedDaemons(group.service, registered, new_term, now);
  view.fitness_to_exceed = cause.better_than;
  return view;
}

std::set<std::string> FailoverDriver::OtherDaemons(const RegisteredDaemons& registered,
                                                   common::Instant now) const {
  std::set<std::string> daemons;
  for (const auto& [name, daemon] : registered) {
    daemons.insert(name);
  }
  // Daemons that registered a moment ago may be missing in the list that was read.
  for (const std::string& name : peers_.LiveNames(now)) {
    daemons.insert(name);
  }
  for (const membership::member& each : view_.live_daemons()) {
    daemons.insert(each.name);
  }
  daemons.erase(settings_.name);
  return daemons;
}

const GroupReport* FailoverDriver::LiveReport(const std::string& daemon, const std::string& service,
                                              common::Instant now) const {
  const Peer* peer = peers_.FindByName(daemon);
  if (peer == nullptr || !peers_.IsAlive(*peer, now)) {
    return nullptr;
  }
  const std::vector<GroupReport>& groups = peer->last.groups;
  const auto report = std::find_if(groups.begin(), groups.end(), [&](const GroupReport& each) {
    return each.service == service;
  });
  return report == groups.end() ? nullptr : &*report;
}

std::string FailoverDriver::UncoveredDaemons(const GroupState& group,
                                             const RegisteredDaemons& registered,
                                             common::Instant now) const {
  std::string names = group.acknowledged.IsComplete() ? "" : settings_.name;
  for (const std::string& name : OtherDaemons(registered, now)) {
    const GroupReport* report = LiveReport(name, group.service, now);
    if (report == nullptr || !report->acknowledged || !report->acknowledged_complete) {
      names += (names.empty() ? "" : " ") + name;
    }
  }
  return names;
}

std::set<std::string> FailoverDriver::UnreleasedDaemons(const std::string& service,
                                                        const RegisteredDaemons& registered,
                                                        common::Term new_term,
                                                        common::Instant now) const {
  std::set<std::string> daemons = OtherDaemons(registered, now);
  std::erase_if(daemons, [&](const std::string& name) {
    const GroupReport* report = LiveReport(name, service, now);
    return report != nullptr && report->released_below >= new_term;
  });
  return daemons;
}

group::AcknowledgedBounds FailoverDriver::AcknowledgedByAll(const GroupState& group) const {
  group::AcknowledgedBounds bounds = group.acknowledged.Bounds();
  for (const auto& [address, peer] : peers_.All()) {
    for (const GroupReport& report : peer.last.groups) {
      if (report.service == group.service && report.acknowledged) {
        bounds.Include(*report.acknowledged);
      }
    }
  }
  return bounds;
}

void FailoverDriver::Tick(const model::Configuration& configuration,
                          const RegisteredDaemons& registered, const StoreView& store,
                          common::Instant now) {
  store_ = store;
  if (!roles_.coordinates() && attempts_.empty()) {
    pending_replacements_.clear();
    return;
  }
  const bool all = now >= evaluation_due_;
  if (all) {
    evaluation_due_ = now + kEvaluationInterval;
    any_primary_suspected_ = peers_.AnyPrimarySuspected(now);
  } else if (attempts_.empty() && pending_replacements_.empty()) {
    return;
  }
  for (const auto& [name, service] : configuration.services) {
    GroupState* group = ShouldEvaluate(name, all) ? groups_.Find(name) : nullptr;
    if (group == nullptr) {
      continue;
    }
    if (attempts_.contains(name)) {
      AdvanceAttempt(name, configuration, registered, now);
      continue;
    }
    const ReplacementCause cause = CauseOf(*group, now);
    if (cause.reason.empty()) {
      pending_replacements_.erase(name);
      DropStaleEntry(*group, now);
      continue;
    }
    PendingReplacement& pending =
        pending_replacements_.try_emplace(name, PendingReplacement{now, cause}).first->second;
    pending.cause = cause;
    const bool allowed = store.connected && now >= not_before_[name] && IsTurn(pending, now) &&
                         now >= group->observed_since + kMinObservedTime && group->members_known &&
                         !(cause.better_than && now < planned_pauses_[name].until);
    if (!allowed) {
      continue;
    }
    const failover::GroupView view = ViewOf(*group, service, registered, 0, cause, now);
    if (!failover::Attempt::IsFeasible(view)) {
      not_before_[name] = now + kInfeasiblePause;
      LogInfeasible(view, cause.reason);
      continue;
    }
    outbox_.Log("failover_started", {{"service", name},
                                     {"reason", cause.reason},
                                     {"primary", group->lease.Newest().primary},
                                     {"term", std::to_string(group->lease.Newest().term)},
                                     {"uncovered", UncoveredDaemons(*group, registered, now)}});
    attempts_[name] = std::make_unique<failover::Attempt>(name, leadership_, now);
    holders_.RequestRead(name);
    AdvanceAttempt(name, configuration, registered, now);
  }
}

void FailoverDriver::LogInfeasible(const failover::GroupView& view, const std::string& reason) {
  const failover::FenceCount fences = failover::Attempt::CountFences(view);
  std::string unreachable;
  for (const failover::MemberView& member : view.members) {
    if (member.id != view.primary && !member.terminated && !member.reachable) {
      unreachable += (unreachable.empty() ? "" : " ") + member.id;
    }
  }
  // Replicas that only other daemons count are in no local list; `known` includes them.
  outbox_.Log("failover_infeasible",
              {{"service", view.service},
               {"reason", reason},
               {"primary", view.primary},
               {"fences_needed", std::to_string(fences.needed)},
               {"reachable", std::to_string(fences.reachable)},
               {"replicas", std::to_string(fences.replicas)},
               {"known", std::to_string(view.reported_replicas)},
               {"lost_logs", std::to_string(view.lost_logs)},
               {"away", unreachable}},
              LogLevel::kWarning);
}

void FailoverDriver::DropStaleEntry(GroupState& group, common::Instant now) {
  const auto entry = leadership_.Record().attempts.find(group.service);
  const bool stale = entry != leadership_.Record().attempts.end() &&
                     entry->second.replaced_term >= group.lease.Newest().term;
  // The lease is held by confirmation of a majority although the record does not renew it, and no
  // daemon can act on the entry any more: the replacement did not take place.
  const bool certain =
      stale && group.lease.Holds(now) && leadership_.LastWriteExpired(now) && store_.connected;
  if (certain && leadership_.MayWrite(now) && groups_.IsProber(group.service)) {
    outbox_.Log("failover_entry_dropped", {{"service", group.service}});
    // All earlier terms stay replaced: daemons that have been cut off since may still hold a lease
    // of one.
    const model::AttemptRecord earlier{group.lease.Newest().term - 1, ""};
    Execute(group, failover::WriteRecord{leadership_.PrepareWrite(group.service, earlier, now)},
            now);
  }
}

void FailoverDriver::AdvanceAttempt(const std::string& service,
                                    const model::Configuration& configuration,
                                    const RegisteredDaemons& registered, common::Instant now) {
  failover::Attempt& attempt = *attempts_.at(service);
  GroupState& group = *groups_.Find(service);
  const failover::GroupView view =
      ViewOf(group, configuration.services.at(service), registered, attempt.ReplacedTerm() + 1,
             pending_replacements_.at(service).cause, now);
  ExecuteAll(group, attempt.Advance(view, now), now);
  if (!attempt.Ended()) {
    return;
  }
  const bool finished = attempt.CurrentStep() == failover::Step::kFinished;
  outbox_.Log("failover_ended", {{"service", service},
                                 {"outcome", failover::StepName(attempt.CurrentStep())},
                                 {"candidate", attempt.Candidate()}});
  ConfirmPromoted(attempt);
  not_before_[service] = now + (finished ? kSettledPause : kRetryPause);
  RecordPlannedResult(service, finished, now);
  group.fence_below = finished ? 0 : group.fence_below;
  groups_.StartRoundNow(service, now);
  pending_replacements_.erase(service);
  attempts_.erase(service);
}

void FailoverDriver::ConfirmPromoted(const failover::Attempt& attempt) {
  const Backend* candidate = backends_.Find(attempt.Candidate());
  const bool leads = candidate != nullptr && candidate->status && candidate->status->primary &&
                     candidate->status->term > attempt.ReplacedTerm();
  if (!leads || !settings_.mechanisms.confirmed_promotions) {
    return;
  }
  const common::Term term = candidate->status->term;
  const std::optional<common::Instant> recorded = leadership_.OwnWriteSentAt();
  const auto entry = leadership_.Record().attempts.find(attempt.Service());
  // The record still names this replacement, and none of the new primary.
  const bool current = recorded && entry != leadership_.Record().attempts.end() &&
                       entry->second.candidate == attempt.Candidate() &&
                       entry->second.replaced_term < term;
  if (current) {
    groups_.ConfirmPromoted(attempt.Service(), {term, attempt.Candidate(), *recorded});
  }
}

void FailoverDriver::RecordPlannedResult(const std::string& service, bool finished,
                                         common::Instant now) {
  if (finished) {
    planned_pauses_.erase(service);
    return;
  }
  if (!pending_replacements_.at(service).cause.better_than) {
    return;
  }
  PlannedPause& pause = planned_pauses_[service];
  pause.length = std::clamp(pause.length * 2, kRetryPause, kLongestPlannedPause);
  pause.until = now + pause.length;
}

void FailoverDriver::ExecuteAll(GroupState& group,
                                const std::vector<failover::AttemptAction>& actions,
                                common::Instant now) {
  for (const failover::AttemptAction& action : actions) {
    std::visit([&](const auto& each) { Execute(group, each, now); }, action);
  }
}

void FailoverDriver::Execute(GroupState& group, const failover::SendControl& action,
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
      attempt->second->OnControlAnswer(action.instance, action.request, status, at);
    }
  };
  backends_.QueueControlRequest(action.instance, action.request, answered, now);
}

void FailoverDriver::Execute(GroupState& group, const failover::RequestLeaseRelease& action,
                             common::Instant now) {
  group.fence_below = action.replaced_term + 1;
  groups_.ReleaseTermsBelow(group, group.fence_below);
  fence_announced_ = true;
  static_cast<void>(now);
}

void FailoverDriver::Execute(GroupState& group, const failover::WriteRecord& action,
                             common::Instant now) {
  const CallNumber call = outbox_.NextNumber();
  record_writes_[call] = group.service;
  outbox_.Emit(WriteLeadership{call, action.write});
  static_cast<void>(now);
}

void FailoverDriver::Execute(GroupState& group, const failover::RequestInstanceList& action,
                             common::Instant now) {
  list_requested_ = true;
  static_cast<void>(group);
  static_cast<void>(action);
  static_cast<void>(now);
}

void FailoverDriver::Execute(GroupState& group, const failover::RequestPromotion& action,
                             common::Instant now) {
  const CallNumber call = outbox_.NextNumber();
  promotions_[call] = group.service;
  const common::Instant valid_until =
      settings_.mechanisms.promotion_deadline ? action.valid_until : common::Instant::max();
  outbox_.Emit(
      Promote{call, group.service, action.candidate, action.holder, action.token, valid_until});
  static_cast<void>(now);
}

void FailoverDriver::Execute(GroupState& group, const failover::AttemptLogEntry& action,
                             common::Instant now) {
  outbox_.Log("failover_step",
              {{"service", group.service}, {"step", action.step}, {"detail", action.detail}});
  static_cast<void>(now);
}

}  // namespace valvekeel::proxy
