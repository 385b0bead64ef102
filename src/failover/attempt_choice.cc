// Which instance an attempt may promote: how many fences are needed, what a candidate must hold,
// and when the old primary may lead again.

#include <algorithm>
#include <tuple>

#include "failover/attempt.h"

namespace valvekeel::failover {
namespace {

std::string TextOf(const common::Position& position) {
  return std::to_string(position.term) + "." + std::to_string(position.lsn);
}

}  // namespace

FenceCount Attempt::CountFences(const GroupView& view) {
  const auto reachable = static_cast<std::size_t>(
      std::count_if(view.members.begin(), view.members.end(), [&](const MemberView& member) {
        return member.id != view.primary && !member.terminated && member.reachable;
      }));
  return {RequiredFences(view), reachable, ReplicaCount(view)};
}

bool Attempt::IsFeasible(const GroupView& view) {
  const FenceCount fences = CountFences(view);
  return fences.reachable >= fences.needed || MayNeedOldPrimary(view) ||
         (view.acknowledged_complete && fences.reachable > 0);
}

bool Attempt::MayNeedOldPrimary(const GroupView& view) {
  return view.primary_unusable && !view.primary_restarted && !view.fitness_to_exceed &&
         std::any_of(view.members.begin(), view.members.end(), [&](const MemberView& member) {
           return member.id == view.primary && member.reachable;
         });
}

bool Attempt::EarlierPromotionMayStand(const GroupView& view) const {
  if (earlier_attempt_.replaced_term > old_term_) {
    return true;
  }
  return EarlierReplacementStarted() && !earlier_attempt_.candidate.empty() &&
         FencedReplicas(view) < RequiredFences(view);
}

std::size_t Attempt::FencedReplicas(const GroupView& view) const {
  return static_cast<std::size_t>(
      std::count_if(view.members.begin(), view.members.end(), [&](const MemberView& member) {
        return member.id != view.primary && !member.terminated && fenced_.contains(member.id);
      }));
}

std::size_t Attempt::ReplicaCount(const GroupView& view) {
  return static_cast<std::size_t>(std::count_if(
      view.members.begin(), view.members.end(),
      [&](const MemberView& member) { return member.id != view.primary && !member.terminated; }));
}

std::size_t Attempt::RequiredFences(const GroupView& view) {
  if (view.one_fence_is_enough) {
    return 1;
  }
  // A commit is acknowledged once `sync_replicas` of the replicas hold it. If fewer than that are
  // left unfenced, none can be. Every majority must contain a fenced instance too. A primary that
  // is unknown or no longer listed is counted all the same. The log that a restarted replica held
  // before can't be queried any more, so it counts as a replica that can't be fenced.
  const std::size_t replicas =
      std::max(ReplicaCount(view), view.reported_replicas) + view.lost_logs;
  const std::size_t members = replicas + 1;
  const std::size_t sync = view.sync_replicas;
  const std::size_t for_commits = replicas >= sync ? replicas - sync + 1 : 1;
  const std::size_t majority = members / 2 + 1;
  const std::size_t for_reads = members - majority + 1;
  return std::max<std::size_t>(1, std::max(std::min(for_commits, replicas), for_reads));
}

bool Attempt::ChooseCandidate(const GroupView& view) {
  struct Rank {
    bool usable = false;
    common::Position received;
    model::LeaderFitness fitness = model::LeaderFitness::kUnfit;
    bool stays = false;

    bool operator<(const Rank& other) const {
      return std::tie(usable, received, fitness, stays) <
             std::tie(other.usable, other.received, other.fitness, other.stays);
    }
  };
  const auto rank = [&](const MemberView& member) {
    const auto fenced = fenced_.find(member.id);
    if (fenced == fenced_.end() || excluded_candidates_.contains(member.id)) {
      return Rank{};
    }
    return Rank{true, fenced->second.received, member.fitness,
                !member.draining && !member.unlisted};
  };
  const MemberView* best = nullptr;
  for (const MemberView& member : view.members) {
    const Rank current = rank(member);
    if (!current.usable || member.id == view.primary) {
      continue;
    }
    if (best == nullptr || rank(*best) < current) {
      best = &member;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const common::Position received = rank(*best).received;
  if (received < view.commit_floor || received < view.acknowledged.at_least) {
    return false;
  }
  const common::Position& log_end = view.acknowledged.log_end;
  const bool told_all = view.acknowledged_complete && received >= view.acknowledged.at_most &&
                        (step_ == Step::kFence || view.unreleased_daemons.empty());
  const bool holds_log_end = log_end.term >= old_term_ && received >= log_end;
  if (!view.silent_holders.empty() && !told_all && !holds_log_end) {
    return false;
  }
  if (view.fitness_to_exceed && best->fitness <= *view.fitness_to_exceed) {
    return false;
  }
  candidate_ = best->id;
  return true;
}

std::string Attempt::PositionsText(const GroupView& view) const {
  std::string text = "floor " + TextOf(view.commit_floor) + ", acknowledged " +
                     TextOf(view.acknowledged.at_least) + " to " +
                     TextOf(view.acknowledged.at_most) + ", log end " +
                     TextOf(view.acknowledged.log_end);
  for (const std::string& id : view.silent_holders) {
    text += ", " + id + " is silent";
  }
  for (const auto& [id, fenced] : fenced_) {
    text += ", " + id + " holds " + TextOf(fenced.received);
  }
  return text;
}

std::string Attempt::UnfencedReplicas(const GroupView& view) const {
  std::string names;
  for (const MemberView& member : view.members) {
    if (member.id != view.primary && !member.terminated && !fenced_.contains(member.id)) {
      names += (names.empty() ? "" : " ") + member.id;
    }
  }
  return names;
}

bool Attempt::HoldsAllAcknowledged(const GroupView& view) const {
  const auto fenced = fenced_.find(candidate_);
  return view.acknowledged_complete && view.unreleased_daemons.empty() && fenced != fenced_.end() &&
         fenced->second.received >= view.acknowledged.at_most;
}

bool Attempt::OldPrimaryMayLead(const GroupView& view) const {
  const auto fenced = fenced_.find(view.primary);
  if (!old_primary_demoted_ || fenced == fenced_.end() || view.primary_restarted ||
      view.fitness_to_exceed || EarlierPromotionMayStand(view)) {
    return false;
  }
  const common::Position received = fenced->second.received;
  return fenced->second.term >= old_term_ && received >= view.commit_floor &&
         received >= view.acknowledged.log_end;
}

}  // namespace valvekeel::failover
