#include "proxy/lease_renewer.h"

namespace valvekeel::proxy {
namespace {

/// Age of a lease at which a daemon reads the record itself: heartbeats should have renewed the
/// lease by then.
constexpr common::Duration kOwnReadAge{700'000};
constexpr common::Duration kOwnReadPause{200'000};
/// Pause between reads for primaries that rounds have proposed.
constexpr common::Duration kProposalReadPause{40'000};

}  // namespace

bool LeaseRenewer::IsReader() const {
  // Without known roles, each daemon would consider itself the reader.
  return roles_.computed() &&
         (roles_.coordinators().empty() || roles_.coordinators().front() == settings_.name);
}

void LeaseRenewer::Tick(bool store_connected, std::uint64_t era, common::Instant now) {
  if (call_ || !store_connected) {
    return;
  }
  const bool as_reader = now >= asked_at_ + settings_.lease_round_interval && IsReader();
  const bool by_itself =
      now >= asked_at_ + kOwnReadPause && groups_.OldestLeaseAge(now) >= kOwnReadAge;
  const bool for_proposal = groups_.NeedsRecord(now) && now >= asked_at_ + kProposalReadPause;
  if (!as_reader && !by_itself && !for_proposal) {
    return;
  }
  call_ = outbox_.NextNumber();
  asked_at_ = now;
  requested_era_ = era;
  outbox_.Emit(ReadLeadership{*call_, era});
}

bool LeaseRenewer::OnReadAnswered(CallNumber call,
                                  const std::optional<model::LeadershipRecord>& record) {
  if (call_ != call) {
    return false;
  }
  call_.reset();
  if (record) {
    groups_.RenewFromRecord(*record, asked_at_);
  }
  return true;
}

}  // namespace valvekeel::proxy
