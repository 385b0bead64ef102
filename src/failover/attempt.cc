#include "failover/attempt.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "group/read_lease.h"

namespace valvekeel::failover {
namespace {

constexpr common::Duration kControlTimeout{300'000};
constexpr common::Duration kControlRepeatInterval{40'000};
constexpr common::Duration kStragglerWait{60'000};    // for replicas beyond the required number
constexpr common::Duration kFenceTimeout{2'500'000};  // after it replication is resumed
constexpr common::Duration kClaimTimeout{3'000'000};
constexpr common::Duration kRecordTimeout{3'000'000};
constexpr common::Duration kPromotionTimeout{500'000};
constexpr common::Duration kPromotionRetryInterval{100'000};
constexpr common::Duration kVerifyTimeout{1'500'000};
constexpr common::Duration kReleaseRequestInterval{50'000};
constexpr common::Duration kListRequestInterval{50'000};
/// Time for other candidates before the old primary, which was demoted, is promoted again.
constexpr common::Duration kOldPrimaryWait{300'000};
/// For the choice of a candidate, from the time at which enough replicas are fenced.
constexpr common::Duration kChoiceTimeout{4'000'000};
/// Time after the release in which an instance that holds commits of the old primary may still be
/// missing in the store's list, because it has just started or the store was away.
constexpr common::Duration kUnlistedTime{2'000'000};
/// Least remainder of the action window in which a promotion may still be sent.
constexpr common::Duration kActionReserve{100'000};

}  // namespace

const char* PromotionStatusName(PromotionStatus status) {
  switch (status) {
    case PromotionStatus::kAccepted:
      return "accepted";
    case PromotionStatus::kNotRunning:
      return "not_running";
    case PromotionStatus::kRefused:
      return "refused";
    case PromotionStatus::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

const char* StepName(Step step) {
  switch (step) {
    case Step::kClaim:
      return "claim";
    case Step::kFence:
      return "fence";
    case Step::kRelease:
      return "release";
    case Step::kRecord:
      return "record";
    case Step::kPromote:
      return "promote";
    case Step::kVerify:
      return "verify";
    case Step::kFinished:
      return "finished";
    case Step::kGivenUp:
      return "given_up";
  }
  return "unknown";
}

Attempt::Attempt(std::string service, Leadership& leadership, common::Instant now)
    : service_(std::move(service)),
      leadership_(leadership),
      step_entered_at_(now),
      created_at_(now) {}

std::vector<AttemptAction> Attempt::Advance(const GroupView& view, common::Instant now) {
  Actions actions;
  if (fence_term_ == 0) {
    old_term_ = std::max<common::Term>(1, view.term);
    // The promoted instance gets exactly this term, so its replicas lift their fences themselves.
    fence_term_ = old_term_ + 1;
  }
  const bool another_primary_known =
      (view.term > old_term_ || another_primary_leads_) && step_ != Step::kVerify && !Ended();
  if (another_primary_known) {
    Enter(Step::kFinished, now);
    return actions;
  }
  if (ClaimIsLost()) {
    RestartClaim(now, actions);
  }
  const bool chosen = step_ == Step::kRecord || step_ == Step::kPromote;
  if (chosen && !promotion_was_sent_ && !candidate_holds_all_ && candidate_ != view.primary &&
      FencedReplicas(view) < RequiredFences(view)) {
    // A replica has become known that may hold more than the candidate.
    actions.emplace_back(AttemptLogEntry{"replica_learned", UnfencedReplicas(view)});
    fenced_at_ = common::Instant(0);
    Enter(Step::kFence, now);
  }
  // When a step completes, the next one starts at once.
  Step before = Step::kGivenUp;
  while (before != step_ && !Ended()) {
    before = step_;
    switch (step_) {
      case Step::kClaim:
        Claim(now, actions);
        break;
      case Step::kFence:
        Fence(view, now, actions);
        break;
      case Step::kRelease:
        AwaitRelease(view, now, actions);
        break;
      case Step::kRecord:
        Record(view, now, actions);
        break;
      case Step::kPromote:
        Promote(now, actions);
        break;
      case Step::kVerify:
        Verify(view, now, actions);
        break;
      case Step::kFinished:
      case Step::kGivenUp:
        break;
    }
    if (step_ != before) {
      actions.emplace_back(AttemptLogEntry{StepName(step_), candidate_});
    }
  }
  return actions;
}

void Attempt::Enter(Step step, common::Instant now) {
  step_ = step;
  step_entered_at_ = now;
  write_failed_ = false;
  write_done_ = false;
  requests_.clear();
}

bool Attempt::ClaimIsLost() const {
  const bool claimed = step_ == Step::kFence || step_ == Step::kRelease || step_ == Step::kRecord ||
                       step_ == Step::kPromote;
  return claimed && !promotion_outstanding_ && claimed_era_ != leadership_.Era();
}

void Attempt::RestartClaim(common::Instant now, Actions& actions) {
  actions.emplace_back(AttemptLogEntry{"claim_gone", "the store returned from an older copy"});
  // Until the claim is written again, another daemon may replace the primary and lift these fences.
  fenced_.clear();
  fenced_at_ = common::Instant(0);
  Enter(Step::kClaim, now);
}

void Attempt::GiveUp(const GroupView& view, const std::string& reason, common::Instant now,
                     Actions& actions) {
  actions.emplace_back(AttemptLogEntry{"giving_up", reason});
  if (!promotion_was_sent_) {
    // Another coordinator may have promoted a primary that this daemon can't reach. The fences and
    // the record's entry keep the old primary from being taken for the newest, so they must stay.
    const bool promoted = EarlierReplacementStarted() && !earlier_attempt_.candidate.empty();
    // Another holder may rely on the fences.
    if (!promoted && leadership_.IsHolder()) {
      ResumeOtherReplicas(view, actions);
    }
    if (leadership_.MayWrite(now) && leadership_.IsHolder()) {
      actions.emplace_back(
          WriteRecord{leadership_.PrepareWrite(service_, RecordAfterGiveUp(), now)});
    }
  }
  Enter(Step::kGivenUp, now);
}

void Attempt::SaveEarlierAttempt() {
  const auto found = leadership_.Record().attempts.find(service_);
  if (found == leadership_.Record().attempts.end()) {
    return;
  }
  const auto rank = [](const model::AttemptRecord& entry) {
    return std::pair(entry.replaced_term, !entry.candidate.empty());
  };
  if (rank(earlier_attempt_) < rank(found->second)) {
    earlier_attempt_ = found->second;
  }
}

model::AttemptRecord Attempt::RecordAfterGiveUp() const {
  // Every primary before the present one has been replaced. Daemons that were cut off since must
  // still find that in the record, or they may renew the lease of an earlier term.
  const common::Term replaced = old_term_ - 1;
  return earlier_attempt_.replaced_term >= replaced ? earlier_attempt_
                                                    : model::AttemptRecord{replaced, ""};
}

void Attempt::Claim(common::Instant now, Actions& actions) {
  if (write_done_) {
    claimed_era_ = leadership_.Era();
    Enter(Step::kFence, now);
    return;
  }
  if (write_failed_ && now >= step_entered_at_ + kClaimTimeout) {
    Enter(Step::kGivenUp, now);
    return;
  }
  if (!leadership_.MayWrite(now)) {
    if (now >= step_entered_at_ + kClaimTimeout) {
      Enter(Step::kGivenUp, now);
    }
    return;
  }
  SaveEarlierAttempt();
  // Keep an entry that an earlier attempt to replace this or a later primary has written: its
  // candidate may be the primary, and the next attempt needs the entry if this one ends without
  // another write.
  const model::AttemptRecord claim =
      EarlierReplacementStarted() ? earlier_attempt_ : model::AttemptRecord{old_term_, ""};
  actions.emplace_back(WriteRecord{leadership_.PrepareWrite(service_, claim, now)});
}

void Attempt::OnMemberRestarted(const std::string& instance, common::Instant now) {
  const bool promotion_requested = promotion_was_sent_ && instance == candidate_;
  if (fenced_.erase(instance) == 0 && !promotion_requested) {
    return;
  }
  requests_.erase(instance);
  primaries_of_old_term_.erase(instance);
  primaries_of_earlier_terms_.erase(instance);
  // The restarted replica is not fenced and may have acknowledged commits of the replaced primary,
  // so the candidate is chosen again. A promotion that was sent can't be withdrawn, but is not
  // requested a second time.
  const bool chosen = step_ == Step::kRelease || step_ == Step::kRecord || step_ == Step::kPromote;
  if (promotion_requested) {
    excluded_candidates_.insert(instance);
  }
  if ((chosen && !promotion_was_sent_) || (promotion_requested && !Ended())) {
    promotion_.reset();
    promotion_outstanding_ = false;
    fenced_at_ = common::Instant(0);
    Enter(Step::kFence, now);
  }
}

void Attempt::BeginRelease(const GroupView& view, common::Instant now, Actions& actions) {
  actions.emplace_back(RequestLeaseRelease{old_term_});
  release_requested_at_ = now;
  released_at_ = common::Instant(0);
  Enter(Step::kRelease, now);
  DemoteOldPrimary(view, now, actions);
}

void Attempt::Fence(const GroupView& view, common::Instant now, Actions& actions) {
  FenceMembers(view, now, actions);
  const std::size_t replicas = ReplicaCount(view);
  const std::size_t fenced = FencedReplicas(view);
  const bool holders_known = view.holders_as_of && *view.holders_as_of >= created_at_;
  const bool one_may_do = view.acknowledged_complete && fenced > 0;
  const bool enough = holders_known && (one_may_do || fenced >= RequiredFences(view));
  const bool all = fenced >= replicas;
  if (enough && fenced_at_ == common::Instant(0)) {
    fenced_at_ = now;
  }
  if (enough && (all || now >= fenced_at_ + kStragglerWait)) {
    // Leases once released can't be taken back, so a choice that rests on what daemons have
    // acknowledged must hold already.
    const bool eligible = ChooseCandidate(view);
    const bool all_known =
        fenced >= RequiredFences(view) ||
        (eligible && fenced_.at(candidate_).received >= view.acknowledged.at_most);
    if (eligible && all_known) {
      BeginRelease(view, now, actions);
      return;
    }
    // Fenced replicas receive nothing, so none of them can become eligible later; one that has
    // just joined may be.
    if (all && IsListedSince(fenced_at_, view) && !MayNeedOldPrimary(view)) {
      GiveUp(view,
             "no eligible replica holds every commit that may have been acknowledged: " +
                 PositionsText(view),
             now, actions);
      return;
    }
    RequestList(now, actions);
  }
  // The log of the old primary is complete, so with it no fence is needed.
  if (MayNeedOldPrimary(view) && holders_known && !EarlierPromotionMayStand(view) &&
      now >= step_entered_at_ + kOldPrimaryWait) {
    fenced_at_ = now;
    BeginRelease(view, now, actions);
    return;
  }
  if (now >= step_entered_at_ + kFenceTimeout) {
    const std::string reason = holders_known ? "too few replicas fenced: " + UnfencedReplicas(view)
                                             : "the record of commit holders could not be read";
    GiveUp(view, enough ? "no eligible candidate: " + PositionsText(view) : reason, now, actions);
  }
}

void Attempt::DemoteOldPrimary(const GroupView& view, common::Instant now, Actions& actions) {
  // The fences alone keep it from committing. Once demoted, it also rejects its open requests at
  // once, and a replica that returns without a fence can't acknowledge its commits.
  for (const MemberView& member : view.members) {
    if (member.id == view.primary && member.reachable && !old_primary_demoted_) {
      SendIfDue(member.id, {model::ControlKind::kDemote, fence_term_}, kControlRepeatInterval, now,
                actions);
    }
  }
}

void Attempt::FenceMembers(const GroupView& view, common::Instant now, Actions& actions) {
  const model::ControlRequest pause{model::ControlKind::kPauseReplication, fence_term_};
  const model::ControlRequest demote{model::ControlKind::kDemote, fence_term_};
  for (const MemberView& member : view.members) {
    const bool leading = member.id == view.primary && !old_primary_demoted_;
    if (leading || fenced_.contains(member.id)) {
      continue;
    }
    const bool leads = primaries_of_old_term_.contains(member.id) ||
                       primaries_of_earlier_terms_.contains(member.id);
    SendIfDue(member.id, leads ? demote : pause, kControlRepeatInterval, now, actions);
  }
}

bool Attempt::LeasesReleased(const GroupView& view, common::Instant now) const {
  return view.unreleased_daemons.empty() || now >= fenced_at_ + group::kLeaseTime;
}

std::string Attempt::PendingCondition(const GroupView& view, common::Instant now) const {
  if (!LeasesReleased(view, now)) {
    std::string names;
    for (const std::string& name : view.unreleased_daemons) {
      names += " " + name;
    }
    return "leases of" + names;
  }
  // Until now an instance that joined may have received commits that a daemon acknowledged.
  if (!IsListedSince(released_at_, view)) {
    return "the list of instances";
  }
  if (FencedReplicas(view) < RequiredFences(view)) {
    return "fences at " + UnfencedReplicas(view);
  }
  return "";
}

void Attempt::RepeatRequests(const GroupView& view, common::Instant now, Actions& actions) {
  if (released_at_ == common::Instant(0)) {
    if (now >= release_requested_at_ + kReleaseRequestInterval) {
      actions.emplace_back(RequestLeaseRelease{old_term_});
      release_requested_at_ = now;
    }
  } else if (!IsListedSince(released_at_, view)) {
    RequestList(now, actions);
  }
}

bool Attempt::IsListedSince(common::Instant instant, const GroupView& view) {
  return view.members_as_of && *view.members_as_of >= instant;
}

void Attempt::RequestList(common::Instant now, Actions& actions) {
  if (now >= list_requested_at_ + kListRequestInterval) {
    actions.emplace_back(RequestInstanceList{});
    list_requested_at_ = now;
  }
}

void Attempt::LogWait(const std::string& reason, Actions& actions) {
  if (std::exchange(waits_for_, reason) != reason && !reason.empty()) {
    actions.emplace_back(AttemptLogEntry{"waits", reason});
  }
}

void Attempt::AwaitRelease(const GroupView& view, common::Instant now, Actions& actions) {
  DemoteOldPrimary(view, now, actions);
  FenceMembers(view, now, actions);
  if (released_at_ == common::Instant(0) && LeasesReleased(view, now)) {
    released_at_ = now;
  }
  const bool eligible = ChooseCandidate(view);
  candidate_holds_all_ = eligible && HoldsAllAcknowledged(view);
  if (candidate_holds_all_) {
    Enter(Step::kRecord, now);
    return;
  }
  RepeatRequests(view, now, actions);
  std::string pending = PendingCondition(view, now);
  if (pending.empty() && !eligible) {
    pending = "an instance that holds every acknowledged commit: " + PositionsText(view);
  }
  // The answer that showed `at_most` may have shown commits that were not acknowledged. An instance
  // that holds more would be listed by the end of this time.
  const bool may_be_unlisted = pending.empty() &&
                               fenced_.at(candidate_).received < view.acknowledged.at_most &&
                               *view.members_as_of < released_at_ + kUnlistedTime;
  if (may_be_unlisted) {
    pending = "an instance that is not listed yet";
    RequestList(now, actions);
  }
  // Once demoted, the old primary's log is final, and nobody can hold more of its commits.
  if (!pending.empty() && LeasesReleased(view, now) && now >= fenced_at_ + kOldPrimaryWait &&
      OldPrimaryMayLead(view)) {
    candidate_ = view.primary;
    pending.clear();
  }
  LogWait(pending, actions);
  if (pending.empty()) {
    Enter(Step::kRecord, now);
  } else if (now >= fenced_at_ + kChoiceTimeout) {
    GiveUp(view, "waited for " + pending, now, actions);
  }
}

void Attempt::Record(const GroupView& view, common::Instant now, Actions& actions) {
  if (write_done_) {
    Enter(Step::kPromote, now);
    return;
  }
  if (now >= step_entered_at_ + kRecordTimeout) {
    GiveUp(view, "the leadership record could not be written", now, actions);
    return;
  }
  if (!leadership_.MayWrite(now) || !leadership_.IsHolder()) {
    return;
  }
  actions.emplace_back(
      WriteRecord{leadership_.PrepareWrite(service_, {old_term_, candidate_}, now)});
}

void Attempt::Promote(common::Instant now, Actions& actions) {
  if (promotion_) {
    const PromotionStatus status = *promotion_;
    promotion_.reset();
    promotion_outstanding_ = false;
    if (status == PromotionStatus::kAccepted) {
      Enter(Step::kVerify, now);
      return;
    }
    if (status == PromotionStatus::kNotRunning) {
      excluded_candidates_.insert(candidate_);
      fenced_.erase(candidate_);
      Enter(Step::kFence, now);
      return;
    }
  }
  const bool unanswered = promotion_outstanding_ && now >= promotion_sent_at_ + kPromotionTimeout;
  if (unanswered) {
    // The promotion may have been done: check before requesting it once more.
    promotion_outstanding_ = false;
    Enter(Step::kVerify, now);
    return;
  }
  if (promotion_outstanding_) {
    return;
  }
  if (now + kActionReserve >= leadership_.MayActUntil()) {
    Enter(Step::kRecord, now);
    return;
  }
  if (promotion_was_sent_ && now < promotion_sent_at_ + kPromotionRetryInterval) {
    return;
  }
  promotion_outstanding_ = true;
  promotion_was_sent_ = true;
  promotion_sent_at_ = now;
  actions.emplace_back(RequestPromotion{candidate_, leadership_.OwnName(),
                                        leadership_.Record().token, leadership_.MayActUntil()});
}

void Attempt::Verify(const GroupView& view, common::Instant now, Actions& actions) {
  if (candidate_leads_ || view.term > old_term_) {
    // Replicas lift their fences when they learn of the new primary. Until then none of them may
    // receive from the old one again, unless it can't commit any more.
    if (old_primary_demoted_) {
      ResumeOtherReplicas(view, actions);
    }
    Enter(Step::kFinished, now);
    return;
  }
  if (now >= step_entered_at_ + kVerifyTimeout) {
    Enter(Step::kRecord, now);
    return;
  }
  SendIfDue(candidate_, {model::ControlKind::kStatus, 0}, kControlRepeatInterval, now, actions);
}

void Attempt::SendIfDue(const std::string& instance, const model::ControlRequest& request,
                        common::Duration interval, common::Instant now, Actions& actions) {
  SentRequest& outstanding = requests_[instance];
  const bool timed_out = outstanding.waiting && now >= outstanding.sent + kControlTimeout;
  const bool too_soon = now < outstanding.sent + interval;
  if ((outstanding.waiting && !timed_out) || too_soon) {
    return;
  }
  outstanding = {now, true};
  actions.emplace_back(SendControl{instance, request});
}

void Attempt::ResumeOtherReplicas(const GroupView& view, Actions& actions) {
  for (const MemberView& member : view.members) {
    const bool other = member.id != candidate_ || step_ != Step::kVerify;
    if (other && member.id != view.primary) {
      actions.emplace_back(SendControl{member.id, {model::ControlKind::kResumeReplication, 0}});
    }
  }
}

void Attempt::OnControlAnswer(const std::string& instance, const model::ControlRequest& request,
                              const std::optional<model::InstanceStatus>& status,
                              common::Instant now) {
  const auto asked = requests_.find(instance);
  if (asked != requests_.end()) {
    asked->second.waiting = false;
  }
  if (!status) {
    return;
  }
  if (request.kind == model::ControlKind::kDemote &&
      primaries_of_earlier_terms_.contains(instance)) {
    if (!status->primary) {
      primaries_of_earlier_terms_.erase(instance);
    }
    return;
  }
  if (request.kind == model::ControlKind::kDemote) {
    old_primary_demoted_ = !status->primary;
    if (old_primary_demoted_) {
      primaries_of_old_term_.erase(instance);
    }
    return;
  }
  const bool fencing = step_ == Step::kFence || step_ == Step::kRelease;
  if (request.kind == model::ControlKind::kPauseReplication && fencing) {
    ApplyFenceAnswer(instance, request, *status, now);
    return;
  }
  const bool leads = status->primary && status->term > old_term_ && instance == candidate_;
  if (request.kind == model::ControlKind::kStatus && step_ == Step::kVerify && leads) {
    candidate_leads_ = true;
  }
}

void Attempt::ApplyFenceAnswer(const std::string& instance, const model::ControlRequest& request,
                               const model::InstanceStatus& status, common::Instant now) {
  if (status.primary) {
    another_primary_leads_ = status.term > old_term_;
    if (status.term == old_term_) {
      primaries_of_old_term_.insert(instance);
    } else if (status.term < old_term_) {
      primaries_of_earlier_terms_.insert(instance);
    }
    return;
  }
  if (status.term > old_term_) {
    // The replica reports a later primary. That one is to be replaced instead, and the record must
    // say so before any replica is fenced.
    old_term_ = status.term;
    fence_term_ = old_term_ + 1;
    fenced_.clear();
    fenced_at_ = common::Instant(0);
    Enter(Step::kClaim, now);
    return;
  }
  // A fence left by an earlier attempt counts as well.
  if (status.fenced_term >= fence_term_ && request.term == fence_term_) {
    fenced_[instance] = {status.received, status.term};
  }
}

void Attempt::OnRecordWritten(bool is_holder) {
  write_done_ = is_holder;
  write_failed_ = !is_holder;
}

void Attempt::OnPromotionAnswer(PromotionStatus status) {
  if (promotion_outstanding_) {
    promotion_ = status;
  }
}

}  // namespace valvekeel::failover
