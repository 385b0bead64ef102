// The decision code of a daemon that serves callers, as one state machine.
//
// Events and time go in through the methods, actions come out of TakeActions. The daemon, the tests
// and the simulator run this same object; see docs/design/system.md.
//
// Owns: all state of the daemon's decisions. Invariant: no clock, socket, thread or global random
// number is used inside. Pure. Thread: its host's.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "proxy/actions.h"
#include "proxy/backend_set.h"
#include "proxy/catalog_state.h"
#include "proxy/dispatcher.h"
#include "proxy/failover_driver.h"
#include "proxy/group_set.h"
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "proxy/store_lease.h"

namespace valvekeel::proxy {

class Proxy {
 public:
  /// @param seed of the random numbers that spread repeated calls.
  Proxy(ProxySettings settings, std::uint64_t seed);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Callers.
  void SessionStarted(SessionNumber session, const std::string& database, const std::string& user,
                      common::Instant now);
  void CommandReceived(SessionNumber session, const CallerCommand& command, common::Instant now);
  void SessionClosed(SessionNumber session, common::Instant now);

  // Connections to instances.
  void ConnectionOpened(ConnectionNumber connection, common::Instant now);
  void ConnectionFailed(ConnectionNumber connection, OpenFailure failure, model::ErrorCode error,
                        common::Instant now);
  void Answered(ConnectionNumber connection, const model::Reply& reply, common::Instant now);
  void ConnectionClosed(ConnectionNumber connection, common::Instant now);

  // The metadata store and the promotion service.
  void CatalogRead(CallNumber call, const metadata::ReadResult& result, common::Instant now);
  /// @param record nothing if the store did not answer; revision 0 if there is no record.
  void LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                      std::uint64_t revision, common::Instant now);
  void LeadershipWritten(CallNumber call, const failover::WriteResult& result, common::Instant now);
  void DaemonWritten(CallNumber call, bool written, common::Instant now);
  void Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now);

  // Other daemons.
  void PeerHeard(const common::Endpoint& from, const PeerMessage& message, common::Instant now);
  void CatalogFetched(CallNumber call, const std::optional<CatalogCopy>& copy, common::Instant now);

  /// A stop was asked for: sessions end, then the process does.
  void Stop(common::Instant now);

  /// To be called every kTick.
  void Tick(common::Instant now);

  std::vector<Action> TakeActions() { return outbox_.Take(); }

  bool Ready() const { return ready_; }
  CatalogCopy Catalog() const { return catalog_.Copy(); }
  const Dispatcher& Dispatch() const { return dispatcher_; }
  const BackendSet& Backends() const { return backends_; }
  GroupSet& Groups() { return groups_; }
  const CatalogState& CatalogView() const { return catalog_; }
  const PeerTable& Peers() const { return peers_; }

 private:
  void Apply(const CatalogUpdate& update, common::Instant now);
  void ApplyConfiguration(common::Instant now);
  void SetConnectionLimits(common::Instant now);
  void Register(common::Instant now);
  void Bootstrap(common::Instant now);
  void SendHeartbeats(bool urgent, common::Instant now);
  /// @return true if others rely on this daemon for the state of all groups.
  bool TellsAll(common::Instant now) const;
  void AdvanceHeartbeats(common::Instant now);
  void JudgeReadiness(common::Instant now);
  void AdvanceStop(common::Instant now);
  double Jitter();

  ProxySettings settings_;
  Outbox outbox_;
  PeerTable peers_;
  BackendSet backends_;
  GroupSet groups_;
  CatalogState catalog_;
  FailoverDriver failover_;
  StoreLease store_lease_;
  Dispatcher dispatcher_;
  std::mt19937_64 random_;
  bool ready_ = false;
  bool told_ready_ = false;
  std::optional<common::Instant> started_;
  common::Instant last_tick_{0};
  std::optional<common::Instant> stopping_since_;
  bool exited_ = false;
  bool registered_ = false;
  std::optional<CallNumber> registering_;
  common::Instant register_not_before_{0};
  std::optional<CallNumber> fetching_;
  common::Instant fetch_not_before_{0};
  std::size_t next_fetch_ = 0;
};

/// How often Tick is to be called.
inline constexpr common::Duration kTick{10'000};

}  // namespace valvekeel::proxy
