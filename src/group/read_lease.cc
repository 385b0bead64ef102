#include "group/read_lease.h"

#include <algorithm>
#include <utility>

namespace valvekeel::group {
namespace {

/// Rounds kept while answers are missing.
constexpr std::size_t kMaxOpenRounds = 8;
/// A primary that votes for itself alone doesn't show that it is still followed.
constexpr std::size_t kMinVotes = 2;

}  // namespace

RoundNumber ReadLease::StartRound(std::size_t members, common::Instant now) {
  const RoundNumber number = next_round_++;
  rounds_[number] = {members, now, {}, highest_received_};
  if (rounds_.size() > kMaxOpenRounds) {
    rounds_.erase(rounds_.begin());
  }
  return number;
}

bool ReadLease::OnAnswer(RoundNumber round, const std::string& instance,
                         const model::InstanceStatus& status) {
  if (status.term > newest_.term) {
    Release(status.term - 1);
  }
  const auto found = rounds_.find(round);
  if (found == rounds_.end()) {
    return false;
  }
  found->second.answers[instance] = status;
  if (status.received.term == status.term) {
    highest_received_ = std::max(highest_received_, status.received);
  }
  const std::optional<Confirmation> primary = MajorityPrimary(found->second);
  if (!primary || primary->term < newest_.term) {
    return false;
  }
  const bool extends = HeldAt(primary->started, primary->term) &&
                       CountVotes(found->second, primary->term) >= kMinVotes;
  if (extends) {
    Renew(*primary);
  } else if (!HeldAt(primary->started, primary->term)) {
    proposed_ = primary;
  } else {
    return false;  // more votes may arrive
  }
  rounds_.erase(found);
  return extends;
}

bool ReadLease::HasCompleteLog(const Round& round, const std::string& primary) const {
  const model::InstanceStatus& leader = round.answers.at(primary);
  if (leader.term == round.required_position.term && leader.received < round.required_position) {
    return false;
  }
  // Without an earlier confirmation in this term only this round counts. A replica that was queried
  // a moment later may be slightly ahead; the next round settles that.
  const bool first = newest_.term < leader.term;
  return std::none_of(round.answers.begin(), round.answers.end(), [&](const auto& each) {
    const model::InstanceStatus& other = each.second;
    const bool of_same_term = other.term == leader.term && other.received.term == leader.term;
    const bool lost_its_log = leader.received.lsn == 0 && other.received.lsn > 0;
    return lost_its_log || (first && of_same_term && leader.received < other.received);
  });
}

std::size_t ReadLease::CountVotes(const Round& round, common::Term term) {
  return static_cast<std::size_t>(
      std::count_if(round.answers.begin(), round.answers.end(), [term](const auto& entry) {
        return entry.second.term <= term && entry.second.fenced_term <= term;
      }));
}

std::optional<Confirmation> ReadLease::MajorityPrimary(const Round& round) const {
  const auto primary = std::max_element(
      round.answers.begin(), round.answers.end(), [](const auto& a, const auto& b) {
        const common::Term a_term = a.second.primary ? a.second.term : 0;
        const common::Term b_term = b.second.primary ? b.second.term : 0;
        return a_term < b_term;
      });
  if (primary == round.answers.end() || !primary->second.primary) {
    return std::nullopt;
  }
  const common::Term term = primary->second.term;
  const std::size_t majority = round.members / 2 + 1;
  const bool followed = CountVotes(round, term) >= majority && term > released_term_;
  if (!followed || !HasCompleteLog(round, primary->first)) {
    return std::nullopt;
  }
  return Confirmation{term, primary->first, round.started};
}

bool ReadLease::ConfirmByRecord(common::Term replaced_term, common::Instant asked) {
  const std::optional<Confirmation> proposed = std::exchange(proposed_, std::nullopt);
  if (proposed && proposed->term > replaced_term) {
    Renew({proposed->term, proposed->primary, asked});
  }
  if (newest_.term > replaced_term) {
    Renew({newest_.term, newest_.primary, asked});
  }
  return newest_.term > replaced_term && HeldAt(asked, newest_.term);
}

void ReadLease::Renew(const Confirmation& confirmation) {
  if (confirmation.term <= released_term_ || confirmation.term < newest_.term) {
    return;
  }
  if (confirmation.term > newest_.term || confirmation.started > newest_.started) {
    newest_ = confirmation;
  }
  if (proposed_ && proposed_->term <= newest_.term && HeldAt(proposed_->started, newest_.term)) {
    proposed_.reset();
  }
}

void ReadLease::Release(common::Term term) { released_term_ = std::max(released_term_, term); }

bool ReadLease::Holds(common::Instant now) const { return HeldAt(now, newest_.term); }

bool ReadLease::HeldAt(common::Instant instant, common::Term term) const {
  return term != 0 && newest_.term == term && term > released_term_ &&
         instant < newest_.started + kLeaseTime;
}

}  // namespace valvekeel::group
