#include "group/read_lease.h"

#include <algorithm>

namespace valvekeel::group {
namespace {

/// Rounds kept while answers are missing.
constexpr std::size_t kMaxOpenRounds = 8;

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
  const auto found = rounds_.find(round);
  if (found == rounds_.end()) {
    return false;
  }
  found->second.answers[instance] = status;
  if (status.received.term == status.term) {
    highest_received_ = std::max(highest_received_, status.received);
  }
  if (!TryConfirm(found->second)) {
    return false;
  }
  rounds_.erase(found);
  return true;
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

bool ReadLease::TryConfirm(const Round& round) {
  const auto primary = std::max_element(
      round.answers.begin(), round.answers.end(), [](const auto& a, const auto& b) {
        const common::Term a_term = a.second.primary ? a.second.term : 0;
        const common::Term b_term = b.second.primary ? b.second.term : 0;
        return a_term < b_term;
      });
  if (primary == round.answers.end() || !primary->second.primary) {
    return false;
  }
  const common::Term term = primary->second.term;
  const auto agrees = [term](const auto& entry) {
    return entry.second.term <= term && entry.second.fenced_term <= term;
  };
  const auto votes = std::count_if(round.answers.begin(), round.answers.end(), agrees);
  const std::size_t majority = round.members / 2 + 1;
  if (static_cast<std::size_t>(votes) < majority || term <= released_term_) {
    return false;
  }
  if (!HasCompleteLog(round, primary->first)) {
    return false;
  }
  Renew({term, primary->first, round.started});
  return true;
}

void ReadLease::Renew(const Confirmation& confirmation) {
  if (confirmation.term <= released_term_ || confirmation.term < newest_.term) {
    return;
  }
  if (confirmation.term > newest_.term || confirmation.started > newest_.started) {
    newest_ = confirmation;
  }
}

void ReadLease::Release(common::Term term) { released_term_ = std::max(released_term_, term); }

bool ReadLease::Holds(common::Instant now) const { return HeldAt(now, newest_.term); }

bool ReadLease::HeldAt(common::Instant instant, common::Term term) const {
  return term != 0 && newest_.term == term && term > released_term_ &&
         instant < newest_.started + kLeaseTime;
}

}  // namespace valvekeel::group
