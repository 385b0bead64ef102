#include "proxy/holder_keeper.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxy {
namespace {

/// Calls in progress at once: a coordinator of 1,000 groups must not send as many calls together.
constexpr std::size_t kMaxCalls = 8;
/// Interval between checks of all groups, which also batches changes.
constexpr common::Duration kCheckInterval{500'000};
/// Pause after a call that was not answered.
constexpr common::Duration kFailurePause{500'000};

std::string NamesOf(const model::HolderRecord& record) {
  std::string names;
  for (const auto& [id, holder] : record.holders) {
    names += (names.empty() ? "" : " ") + id;
  }
  return names;
}

}  // namespace

std::size_t HolderKeeper::MaxReportedReplicas(const std::string& service,
                                              common::Instant now) const {
  std::size_t most = 0;
  for (const auto& [address, peer] : peers_.All()) {
    // A daemon that does not connect to the instances does not detect terminations.
    if (!peers_.IsAlive(peer, now) || !roles_.watches(service, peer.name)) {
      continue;
    }
    for (const GroupReport& report : peer.last.groups) {
      most = report.service == service ? std::max(most, report.replica_count) : most;
    }
  }
  return most;
}

bool HolderKeeper::IsCountedElsewhere(const GroupState& group, const model::HolderRecord& wanted,
                                      common::Instant now) const {
  const auto& recorded = group.holders.Recorded()->holders;
  const bool removes = std::any_of(recorded.begin(), recorded.end(), [&](const auto& each) {
    return !wanted.holders.contains(each.first);
  });
  return removes &&
         MaxReportedReplicas(group.service, now) > groups_.Replicas(group.service, now).size();
}

void HolderKeeper::SendRequestedReads(bool store_connected, common::Instant now) {
  if (!store_connected || !settings_.mechanisms.recorded_holders) {
    return;
  }
  for (const std::string& service : std::exchange(requested_reads_, {})) {
    if (states_[service].in_progress) {
      requested_reads_.insert(service);
    } else {
      Read(service, now);
    }
  }
}

void HolderKeeper::Tick(const model::Configuration& configuration, bool store_connected,
                        common::Instant now) {
  SendRequestedReads(store_connected, now);
  if (!store_connected || !settings_.mechanisms.recorded_holders || now < check_due_) {
    return;
  }
  check_due_ = now + kCheckInterval;
  for (const auto& [name, service] : configuration.services) {
    const GroupState* group = groups_.Find(name);
    const bool kept = group != nullptr && group->watched && group->members_known &&
                      groups_.IsProber(name) && calls_.size() < kMaxCalls;
    const State& state = states_[name];
    if (kept && !state.in_progress && now >= state.not_before) {
      Keep(*group, now);
    }
  }
}

void HolderKeeper::Read(const std::string& service, common::Instant now) {
  states_[service].in_progress = true;
  const CallNumber call = outbox_.NextNumber();
  calls_[call] = {service, now, false};
  outbox_.Emit(ReadHolders{call, service});
}

void HolderKeeper::Keep(const GroupState& group, common::Instant now) {
  const bool known = group.holders.Recorded().has_value();
  if (!known && !settings_.first_start) {
    Read(group.service, now);
    return;
  }
  model::HolderRecord wanted = groups_.WantedHolderRecord(group, now);
  const bool unchanged = known && wanted == *group.holders.Recorded();
  if (unchanged || wanted.holders.empty() || (known && IsCountedElsewhere(group, wanted, now))) {
    return;
  }
  outbox_.Log("holders_written", {{"service", group.service},
                                  {"holders", NamesOf(wanted)},
                                  {"floor", PositionText(wanted.floor)},
                                  {"lost_logs", std::to_string(wanted.lost_logs)}});
  states_[group.service].in_progress = true;
  const CallNumber call = outbox_.NextNumber();
  calls_[call] = {group.service, now, true};
  outbox_.Emit(WriteHolders{call, group.service, std::move(wanted), group.holders.Revision()});
}

bool HolderKeeper::OnAnswered(CallNumber call, const HolderResult& result, common::Instant now) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return false;
  }
  const Call answered = found->second;
  calls_.erase(found);
  State& state = states_[answered.service];
  state.in_progress = false;
  const bool known = result.status == failover::WriteStatus::kWritten ||
                     result.status == failover::WriteStatus::kConflict;
  if (known) {
    groups_.ApplyHolderRecord(answered.service, result.record, result.revision, answered.sent, now);
  }
  if (!known || (answered.write && result.status == failover::WriteStatus::kConflict)) {
    outbox_.Log("holders_call_failed",
                {{"service", answered.service},
                 {"call", answered.write ? "write" : "read"},
                 {"status", failover::WriteStatusName(result.status)},
                 {"after_ms", MillisecondsText(now - answered.sent)}},
                LogLevel::kWarning);
    state.not_before = now + kFailurePause;
  }
  return true;
}

}  // namespace valvekeel::proxy
