// Renews the read leases of all groups by one read of the leadership record.
//
// Every promotion is announced in the record before anything is fenced for it, and waits for the
// lease time or for every registered daemon. So a daemon that has read, at some instant, that no
// replacement beyond the known primary's term was begun may read at that primary for the lease time
// from then on. One daemon reads the record for all; the others hear of it in heartbeats.
//
// Owns: when the record is read. Invariant: a lease is renewed only from the instant at which the
// read was sent. Pure. Thread: its host's.
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

  /// @return true if this daemon reads the record for all.
  bool IsReader() const;

  /// Reads the record of the store's era if it is due.
  void Tick(bool store_connected, std::uint64_t era, common::Instant now);

  /// @return the era whose record was asked for last.
  std::uint64_t RequestedEra() const { return requested_era_; }

  /// Takes the record. @return true if the call was ours.
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
