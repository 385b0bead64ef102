// Renews the read leases of all groups with one read of the leadership record.
//
// Every promotion is announced in the record before anything is fenced for it, and waits for the
// lease time or for every registered daemon to release its lease. If a read of the record shows no
// replacement of the known primary's term or a later one, a daemon may therefore read at that
// primary for the lease time, counted from when it sent that read. One daemon reads the record for
// all; the others receive the result in heartbeats. A primary that a round has proposed is
// confirmed by a read at once.
//
// Owns: the schedule of these reads. Invariant: a lease is renewed only from the time at which the
// read was sent. No I/O and no clock; not thread-safe.
#pragma once

#include <optional>

#include "proxy/group_set.h"
#include "proxy/outbox.h"
#include "proxy/proxy_settings.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

class LeaseRenewer {
 public:
  LeaseRenewer(const ProxySettings& settings, GroupSet& groups, const relay::role_map& roles,
               Outbox& outbox)
      : settings_(settings), groups_(groups), roles_(roles), outbox_(outbox) {}

  /// @return true if this daemon reads the record for all daemons.
  bool IsReader() const;

  /// Starts a read of the record of the store's era if one is due.
  void Tick(bool store_connected, std::uint64_t era, common::Instant now);

  /// @return the era whose record was requested last.
  std::uint64_t RequestedEra() const { return requested_era_; }

  /// Handles the answer to a read.
  /// @param record nothing if the read failed.
  /// @return true if this object made the call.
  bool OnReadAnswered(CallNumber call, const std::optional<model::LeadershipRecord>& record);

 private:
  const ProxySettings& settings_;
  GroupSet& groups_;
  const relay::role_map& roles_;
  Outbox& outbox_;
  std::optional<CallNumber> call_;
  common::Instant asked_at_{0};
  std::uint64_t requested_era_ = 0;
};

}  // namespace valvekeel::proxy
