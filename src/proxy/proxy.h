// The decision code of a daemon that serves callers, as a single state machine.
//
// Events and the present time come in through the methods; TakeActions returns the resulting
// actions. The daemon, the tests and the simulator run this same class; see docs/design/system.md.
//
// Owns: all state of the daemon's decisions. Invariant: it uses no clock, socket, thread or global
// random number generator. No I/O and no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "access/rule_set.h"
#include "evacuation/evacuation_rule.h"
#include "evacuation/read_schedule.h"
#include "evacuation/view_tracker.h"
#include "membership/live_view.h"
#include "proxy/actions.h"
#include "proxy/backend_set.h"
#include "proxy/catalog_state.h"
#include "proxy/configuration_prover.h"
#include "proxy/dispatcher.h"
#include "proxy/failover_driver.h"
#include "proxy/group_set.h"
#include "proxy/holder_keeper.h"
#include "proxy/lease_renewer.h"
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "proxy/session_relay.h"
#include "regions/region_policy.h"
#include "regions/region_rule.h"
#include "relay/role_map.h"
#include "tenants/admission.h"
#include "tenants/rate_allocator.h"
#include "warm_up/warm_up_rule.h"

namespace valvekeel::proxy {

/// Time without a coordinator that reaches the store after which every daemon calls the store
/// itself. Coordinators and their deputies call the store all the time, so this matters only if the
/// store rejects just those. A shorter limit is costly: if all daemons call the store during an
/// outage of 7 s, this costs a fifth of all charges of a day.
inline constexpr common::Duration kNoConnectedCoordinatorLimit{10'000'000};

/// One daemon's decisions about sessions, connections, failover and membership.
class Proxy : private RestartObserver {
 public:
  /// @param seed seed of the random numbers that spread repeated calls over time.
  Proxy(ProxySettings settings, std::uint64_t seed);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Callers.
  void SessionStarted(SessionNumber session, const std::string& database,
                      const tenants::key_digest& key, const SessionOrigin& origin,
                      common::Instant now);
  void CommandReceived(SessionNumber session, const CallerCommand& command, common::Instant now);
  /// The caller's answers cannot be sent as fast as they come, or all of them have been sent.
  void CallerCongested(SessionNumber session, bool congested, common::Instant now);
  void SessionClosed(SessionNumber session, common::Instant now);

  // Sessions handed to another daemon.
  void RelayAccepted(SessionNumber session, common::Instant now);
  void RelayDeclined(SessionNumber session, common::Instant now);
  void RelayAnswered(SessionNumber session, model::TransactionState state, common::Instant now);
  void RelayEndRequested(SessionNumber session);
  /// @param between_messages true if the data that the caller has received from the owner ends at a
  /// message boundary.
  void RelayDataReceived(SessionNumber session, bool between_messages, common::Instant now);
  void RelayEnded(SessionNumber session, const relay::link_end& end, common::Instant now);

  /// @return true if another daemon serves the session.
  bool Relays(SessionNumber session) const { return session_relay_.Relays(session); }

  // Connections to instances.
  void ConnectionOpened(ConnectionNumber connection, common::Instant now);
  void ConnectionFailed(ConnectionNumber connection, OpenFailure failure, model::ErrorCode error,
                        common::Instant now);
  void InstanceAnswered(ConnectionNumber connection, const model::Reply& reply,
                        common::Instant now);
  void ConnectionClosed(ConnectionNumber connection, common::Instant now);

  // The metadata store and the promotion service.
  void CatalogRead(CallNumber call, const metadata::ReadResult& result, common::Instant now);
  /// @param record nothing if the store did not answer. @param revision has number 0 if there is no
  /// record of the requested era.
  void LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                      const model::Revision& revision, common::Instant now);
  /// @param configuration nothing if the store did not answer.
  void ConfigurationRead(CallNumber call, const std::optional<model::Configuration>& configuration,
                         const model::Revision& revision, common::Instant now);
  void LeadershipWritten(CallNumber call, const failover::WriteResult& result, common::Instant now);
  void HoldersAnswered(CallNumber call, const HolderResult& result, common::Instant now);
  void DaemonWritten(CallNumber call, bool written, common::Instant now);
  void Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now);

  // Other daemons.
  void PeerMessageReceived(const common::Endpoint& from, const PeerMessage& message,
                           common::Instant now);
  void CatalogFetched(CallNumber call, const std::optional<CatalogCopy>& copy, common::Instant now);

  /// Begins a planned stop: sessions end first, then the process exits.
  void Stop(common::Instant now);

  /// Must be called each time TickPause has passed.
  void Tick(common::Instant now);

  /// @return time until the next tick: kTick, or longer for an idle daemon.
  common::Duration TickPause() const;

  /// Sets the observer that is notified of the load. It must outlive this object.
  void SetLoadObserver(waiting::load_observer* observer) { dispatcher_.SetLoadObserver(observer); }

  std::vector<Action> TakeActions() { return outbox_.Take(); }

  bool Ready() const { return ready_; }
  CatalogCopy CopyCatalog() const { return catalog_.Copy(); }
  const tenants::admission& Admission() const { return admission_; }
  const Dispatcher& Dispatch() const { return dispatcher_; }
  const BackendSet& Backends() const { return backends_; }
  GroupSet& Groups() { return groups_; }
  const CatalogState& CatalogView() const { return catalog_; }
  const PeerTable& Peers() const { return peers_; }
  const relay::role_map& Roles() const { return roles_; }
  const SessionRelay& Relay() const { return session_relay_; }
  /// @return true if this daemon was the last one known to hold the right to promote instances.
  bool HoldsLeadership() const { return failover_.HoldsLeadership(); }
  const membership::live_view& Membership() const { return membership_; }
  const evacuation::view_tracker& Evacuations() const { return evacuations_; }
  const warm_up::warm_up_rule& WarmUps() const { return warm_up_; }
  /// @return how many instances count as cold according to the local view.
  std::size_t ColdInstances() const { return cold_since_.size(); }

  /// @return how many other daemons are live according to the local view.
  std::size_t CountOtherLiveDaemons(common::Instant now) const {
    return large_deployment_ ? membership_.live_daemons().size() - 1 : peers_.LiveNames(now).size();
  }

 private:
  /// The daemons that heartbeats are sent to.
  enum class Receivers : std::uint8_t {
    kDue,       // daemons whose heartbeat is due
    kPartners,  // also all live daemons that this one exchanges heartbeats with
    kAll,       // also all daemons that may hold a lease
  };
  void OnRestarted(const model::InstanceEntry& entry, common::Instant now) override;
  void ApplyCatalogUpdate(const CatalogUpdate& update, common::Instant now);
  /// Handles the era of the store's history. If the era is later than before, all state that
  /// depends on the former history is dropped.
  void OnStoreEra(std::uint64_t era, common::Instant now);
  void ApplyConfiguration(common::Instant now);
  /// Applies the regions of a new configuration's routes and tenants.
  void ApplyRegions(common::Instant now);
  void UpdateRoles(common::Instant now);
  /// @return true if this daemon need not call the store itself: either a coordinator that reaches
  /// the store is reachable, or other daemons check first whether the store is back.
  bool CanSkipStoreCalls(common::Instant now);
  bool HasConnectedCoordinator(common::Instant now) const;
  /// @return true if this daemon serves sessions, or sessions may be handed over to it.
  bool Admits() const;
  /// @return true if this daemon computes the tenants' rates for all daemons.
  bool AllocatesRates() const;
  void AdvanceRates(common::Instant now);
  void ApplyTenantState(const Peer& peer, const PeerMessage& message,
                        const std::optional<common::Instant>& counted_from, common::Instant now);
  /// Adds proofs, usage counts and grants of tenants to a heartbeat for the peer.
  void AddTenantState(Peer& peer, PeerMessage& message, common::Instant now) const;
  // Evacuated zones (proxy_evacuation.cc).
  /// @return true if evacuation of zones is enabled for the deployment.
  bool EvacuationsEnabled() const { return settings_.evacuation_limit.count() > 0; }
  /// Reads the evacuated zones from the store if that is due.
  void AdvanceEvacuations(common::Instant now);
  /// Handles the store's answer. @return true if the call was a read of the evacuated zones.
  bool EvacuationsRead(CallNumber call, const metadata::ReadResult& result, common::Instant now);
  void ApplyEvacuations(const PeerMessage& message,
                        const std::optional<common::Instant>& counted_from, common::Instant now);
  void ApplyEvacuations(const evacuation::zone_view& view, const std::string& source,
                        common::Instant now);
  void AddEvacuations(PeerMessage& message, common::Instant now) const;
  /// Sets this daemon's share of the connections to each service's instances, according to the
  /// roles.
  void SetConnectionLimits(const std::set<std::string>& in_use);
  void EndSessionsOfUnownedServices(const std::set<std::string>& in_use, common::Instant now);
  std::size_t CountSharingDaemons(common::Instant now) const;
  std::vector<relay::member> LiveMembers(common::Instant now) const;
  std::vector<relay::member> ReachableMembers(common::Instant now) const;
  /// Updates the membership view and the size class of the deployment.
  void UpdateMembership(common::Instant now);
  void LogMembershipChange();
  void ChoosePartners(common::Instant now);
  void AddPartner(const common::Endpoint& address, const std::string& name, common::Duration pace);
  void ApplyMembershipMessage(const common::Endpoint& from, const PeerMessage& message,
                              common::Instant now);
  /// @return true if the peer requested the list of hubs and has not just received it.
  static bool IsHubListDue(const Peer& peer, common::Instant now);
  void UpdateCatalogInterest(bool serves_unowned_services, common::Instant now);
  void Register(common::Instant now);
  /// @return true if this daemon should have an entry in the store.
  bool NeedsStoreEntry(common::Instant now) const;
  /// @return true if the store lists this daemon with its present zone, address and capacity.
  bool IsListedInStore() const;
  void FetchMissingCatalog(common::Instant now);
  /// Sends heartbeats. @param all_groups true to report the state of all groups, not only of those
  /// in trouble.
  void SendHeartbeats(Receivers receivers, bool all_groups, common::Instant now);
  bool IsReceiver(const Peer& peer, Receivers receivers, common::Instant now) const;
  /// @return the peers that may receive a heartbeat.
  std::vector<Peer*> ReceiversOf(Receivers receivers);
  /// @return true if the peer needs the group's report.
  bool NeedsReport(const GroupReport& report, const Peer& peer) const;
  /// @return true if this daemon is known to reach the store, as reported to others.
  bool ReachesStore(common::Instant now) const;
  void AddRevisions(PeerMessage& message) const;
  PeerMessage MakeHeartbeat(bool all_groups, common::Instant now) const;
  /// Sends the peer a heartbeat with the reports that it needs: those of groups in trouble and of
  /// groups that it watches.
  void SendHeartbeat(Peer& peer, const PeerMessage& whole, common::Instant now);
  /// Sends the reports that the peer needs in messages of bounded size. @param message everything
  /// but the reports.
  void SendInParts(Peer& peer, PeerMessage message, const std::vector<GroupReport>& groups,
                   common::Instant now);
  common::Duration RoleHeartbeatInterval(const std::string& peer) const;
  /// Records that a daemon has a newer configuration in force.
  void RecordNewerConfiguration(const common::Endpoint& peer, std::uint64_t version,
                                common::Instant now);
  void FetchNewerConfiguration(common::Instant now);
  /// @return true if this daemon reads the configuration from the store itself.
  bool ReadsConfiguration(common::Instant now) const;
  void ChooseConfigurationSource(common::Instant now);
  /// @return true if other daemons rely on this one for the state of all groups.
  bool ReportsAllGroups() const;
  void BringHeartbeatsForward(common::Instant now);
  // Instances that have just started: proxy_warm_up.cc.
  void ConfigureWarmUps(common::Instant now);
  void RecordWarmUpEntries(const CatalogUpdate& update, common::Instant now);
  void UpdateWarmUpRole(common::Instant now);
  void AdvanceWarmUps(common::Instant now);
  void LogWarmUps(common::Instant now);
  warm_up::reachability CountReachableDaemons(common::Instant now) const;
  void UpdateReadiness(common::Instant now);
  /// Advances the replacements of primaries.
  void AdvanceFailovers(common::Instant now);
  /// Requests a new list of instances if members of watched groups are unknown.
  void EnsureMembersKnown();
  /// @return true if an instance of each service that this daemon connects to is known.
  bool InstancesKnown() const;
  void AdvanceStop(common::Instant now);
  /// @return the time until which open transactions may continue. Requires a stop in progress.
  common::Instant TransactionsUntil() const;
  /// @return true if a session that begins now could no longer be served.
  bool IsTooLateForSessions(common::Instant now) const;
  /// Rejects a new session, so that its caller connects to another daemon.
  void RefuseSession(SessionNumber session, const std::string& database,
                     const SessionOrigin& origin);
  double Jitter();
  common::Duration JitterUpTo(common::Duration most);

  ProxySettings settings_;
  Outbox outbox_;
  access::rule_set access_;
  evacuation::view_tracker evacuations_;
  evacuation::read_schedule evacuation_reads_;
  evacuation::evacuation_rule evacuation_rule_;
  std::optional<CallNumber> evacuation_call_;
  bool evacuations_changed_ = false;      // sent to all partners at once
  std::size_t unusable_evacuations_ = 0;  // in the store's last answer
  warm_up::warm_up_rule warm_up_;
  std::map<std::string, common::Instant> cold_since_;  // by instance
  regions::region_policy regions_;
  regions::region_rule region_rule_;
  tenants::admission admission_;
  tenants::rate_allocator allocator_;
  PeerTable peers_;
  membership::live_view membership_;
  relay::role_map roles_;
  BackendSet backends_;
  GroupSet groups_;
  CatalogState catalog_;
  HolderKeeper holder_keeper_;
  FailoverDriver failover_;
  LeaseRenewer lease_renewer_;
  ConfigurationProver prover_;
  Dispatcher dispatcher_;
  SessionRelay session_relay_;
  std::mt19937_64 random_;
  common::Duration direct_read_delay_;  // spreads the reads of daemons that fall back to the store
  bool ready_ = false;
  bool readiness_reported_ = false;
  std::optional<common::Instant> started_at_;
  common::Instant last_tick_{0};
  std::optional<common::Instant> stopping_since_;
  bool exited_ = false;
  bool registered_ = false;
  std::optional<CallNumber> registration_call_;
  std::uint64_t applied_era_ = 0;  // the store's era that all components have been given
  common::Instant register_not_before_{0};
  std::optional<CallNumber> fetch_call_;
  common::Instant fetch_not_before_{0};
  common::Instant full_fetch_not_before_{0};
  std::size_t next_fetch_seed_ = 0;
  common::Instant roles_due_{0};
  bool serves_unowned_services_ = false;
  std::optional<common::Instant> no_connected_coordinator_since_;
  bool large_deployment_ = false;  // too many daemons for all to exchange heartbeats
  std::vector<Peer*> partners_;
  bool rates_changed_ = false;  // grants are sent to all partners at once
  std::size_t registered_count_ = 0;
  std::map<std::string, std::uint32_t> connection_limits_;  // per instance, by service
  std::uint64_t connection_limits_version_ = 0;     // version of the configuration they come from
  std::set<std::string> connection_limits_in_use_;  // services in use when the limits were set
  model::Revision sent_configuration_revision_;
  std::uint64_t sent_configuration_version_ = 0;
  std::map<std::string, common::Instant> unowned_services_since_;  // by service
  /// A newer configuration that another daemon has in force.
  struct NewerConfiguration {
    common::Endpoint peer;
    std::uint64_t version = 0;
    common::Instant recorded_at{0};
    common::Duration fetch_delay{0};  // delay before the fetch where many daemons fetch
  };
  std::optional<NewerConfiguration> newer_configuration_;
  std::uint64_t newest_reported_version_ = 0;
  std::optional<common::Instant> missing_configuration_since_;
};

}  // namespace valvekeel::proxy
