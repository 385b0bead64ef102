#include "confirmation/majority_confirmation.h"

#include <algorithm>

namespace valvekeel::confirmation {

bool MajorityConfirmation::HasMajority(const Pending& pending) const {
  const std::size_t votes = pending.votes.size() + 1;  // plus the primary's own
  return 2 * votes > instances_;
}

std::vector<Resolution> MajorityConfirmation::Add(PendingNumber number, common::Position position,
                                                  bool position_needed, common::Instant deadline) {
  const Pending pending{position, position_needed, deadline, {}};
  if (HasMajority(pending)) {
    return {{number, ConfirmationResult::kConfirmed}};
  }
  pending_[number] = pending;
  last_added_ = std::max(last_added_, number);
  return {};
}

bool MajorityConfirmation::NeedsProbe(const std::string& instance) const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [&](const auto& entry) { return !entry.second.votes.contains(instance); });
}

ProbeNumber MajorityConfirmation::StartProbe(const std::string& instance) {
  const ProbeNumber probe = next_probe_++;
  probes_[probe] = {instance, last_added_};
  return probe;
}

std::vector<Resolution> MajorityConfirmation::OnProbeAnswer(ProbeNumber probe,
                                                            const ProbeAnswer& answer) {
  const auto found = probes_.find(probe);
  if (found == probes_.end()) {
    return {};
  }
  const Probe sent = found->second;
  probes_.erase(found);
  std::vector<Resolution> resolved;
  for (auto& [number, pending] : pending_) {
    if (number > sent.last_covered) {
      break;  // added after the probe was sent: the answer may be older than the commit
    }
    if (answer.term > pending.position.term) {
      resolved.push_back({number, ConfirmationResult::kSuperseded});
      continue;
    }
    const bool holds = !pending.position_needed || answer.received >= pending.position.lsn;
    if (answer.term == pending.position.term && holds) {
      pending.votes.insert(sent.instance);
    }
    if (HasMajority(pending)) {
      resolved.push_back({number, ConfirmationResult::kConfirmed});
    }
  }
  for (const Resolution& resolution : resolved) {
    pending_.erase(resolution.number);
  }
  return resolved;
}

std::vector<Resolution> MajorityConfirmation::Expire(common::Instant now) {
  std::vector<Resolution> resolved;
  for (const auto& [number, pending] : pending_) {
    if (pending.deadline <= now) {
      resolved.push_back({number, ConfirmationResult::kTimedOut});
    }
  }
  for (const Resolution& resolution : resolved) {
    pending_.erase(resolution.number);
  }
  return resolved;
}

}  // namespace valvekeel::confirmation
