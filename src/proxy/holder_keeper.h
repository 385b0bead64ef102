// Keeps the store's records of commit holders, one for each group.
//
// The group's prober writes the record when an instance joins, and when the floor covers one that
// has ended. A daemon that replaces a primary reads the record first.
//
// Owns: the schedule of these calls. Invariant: an instance is taken out of a record only in the
// write that raises the floor, and only while no other daemon counts it. No I/O and no clock; not
// thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>

#include "proxy/group_set.h"
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

class HolderKeeper {
 public:
  HolderKeeper(const ProxySettings& settings, GroupSet& groups, const PeerTable& peers,
               const relay::role_map& roles, Outbox& outbox)
      : settings_(settings), groups_(groups), peers_(peers), roles_(roles), outbox_(outbox) {}

  /// Makes the calls that are due.
  /// @param configuration in force; records are kept for its services.
  void Tick(const model::Configuration& configuration, bool store_connected, common::Instant now);

  /// Sends the reads that were requested.
  void SendRequestedReads(bool store_connected, common::Instant now);

  /// Requests a read of a group's record, even if it is known.
  void RequestRead(const std::string& service) { requested_reads_.insert(service); }

  /// Handles the store's answer. @return true if this object made the call.
  bool OnAnswered(CallNumber call, const HolderResult& result, common::Instant now);

  /// @return the highest number of replicas that a live daemon which watches the group reports.
  std::size_t MaxReportedReplicas(const std::string& service, common::Instant now) const;

 private:
  struct Call {
    std::string service;
    common::Instant sent{0};
    bool write = false;
  };
  struct State {
    bool in_progress = false;
    common::Instant not_before{0};
  };

  void Keep(const GroupState& group, common::Instant now);
  void Read(const std::string& service, common::Instant now);
  /// @return true if another daemon still counts an instance that the wanted record lacks.
  bool IsCountedElsewhere(const GroupState& group, const model::HolderRecord& wanted,
                          common::Instant now) const;

  const ProxySettings& settings_;
  GroupSet& groups_;
  const PeerTable& peers_;
  const relay::role_map& roles_;
  Outbox& outbox_;
  std::map<CallNumber, Call> calls_;
  std::map<std::string, State> states_;  // by service
  std::set<std::string> requested_reads_;
  common::Instant check_due_{0};  // of all groups
};

}  // namespace valvekeel::proxy
