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
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "proxy/session_relay.h"
#include "proxy/store_lease.h"
#include "regions/region_policy.h"
#include "regions/region_rule.h"
#include "relay/role_map.h"
#include "tenants/admission.h"
#include "tenants/rate_allocator.h"
#include "warm_up/warm_up_rule.h"

namespace valvekeel::proxy {

/// Time without a daemon that reaches the store after which each asks by itself. The coordinators
/// and their deputies look all the while, so this is for a store that turns just these away; calls
/// of all in an outage of 7 s cost a fifth of the prices of a day.
inline constexpr common::Duration kUninformedLimit{10'000'000};

class Proxy : private RestartObserver {
 public:
  /// @param seed of the random numbers that spread repeated calls.
  Proxy(ProxySettings settings, std::uint64_t seed);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Callers.
  void SessionStarted(SessionNumber session, const std::string& database,
                      const tenants::key_digest& key, const SessionOrigin& origin,
                      common::Instant now);
  void CommandReceived(SessionNumber session, const CallerCommand& command, common::Instant now);
  void SessionClosed(SessionNumber session, common::Instant now);

  // Sessions handed to another daemon.
  void RelayAccepted(SessionNumber session, common::Instant now);
  void RelayDeclined(SessionNumber session, common::Instant now);
  void RelayAnswered(SessionNumber session, model::TransactionState state, common::Instant now);
  void RelayAskedToEnd(SessionNumber session);
  /// @param between_messages what the caller has of the owner now ends with a whole message.
  void RelayHeard(SessionNumber session, bool between_messages, common::Instant now);
  void RelayEnded(SessionNumber session, const relay::link_end& end, common::Instant now);

  /// @return true if another daemon serves the session.
  bool Relays(SessionNumber session) const { return relay_.Relays(session); }

  // Connections to instances.
  void ConnectionOpened(ConnectionNumber connection, common::Instant now);
  void ConnectionFailed(ConnectionNumber connection, OpenFailure failure, model::ErrorCode error,
                        common::Instant now);
  void Answered(ConnectionNumber connection, const model::Reply& reply, common::Instant now);
  void ConnectionClosed(ConnectionNumber connection, common::Instant now);

  // The metadata store and the promotion service.
  void CatalogRead(CallNumber call, const metadata::ReadResult& result, common::Instant now);
  /// @param record nothing if the store did not answer. @param revision of number 0 if there is no
  /// record of the era that was asked for.
  void LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                      const model::Revision& revision, common::Instant now);
  /// @param configuration nothing if the store did not answer.
  void ConfigurationRead(CallNumber call, const std::optional<model::Configuration>& configuration,
                         const model::Revision& revision, common::Instant now);
  void LeadershipWritten(CallNumber call, const failover::WriteResult& result, common::Instant now);
  void DaemonWritten(CallNumber call, bool written, common::Instant now);
  void Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now);

  // Other daemons.
  void PeerHeard(const common::Endpoint& from, const PeerMessage& message, common::Instant now);
  void CatalogFetched(CallNumber call, const std::optional<CatalogCopy>& copy, common::Instant now);

  /// A stop was asked for: sessions end, then the process does.
  void Stop(common::Instant now);

  /// To be called after every TickPause.
  void Tick(common::Instant now);

  /// @return time until the next tick: kTick, or longer for a daemon with nothing at hand.
  common::Duration TickPause() const;

  /// Tells an observer of the load from now on; it outlives this object.
  void SetLoadObserver(waiting::load_observer* observer) { dispatcher_.SetLoadObserver(observer); }

  std::vector<Action> TakeActions() { return outbox_.Take(); }

  bool Ready() const { return ready_; }
  CatalogCopy Catalog() const { return catalog_.Copy(); }
  const tenants::admission& Admission() const { return admission_; }
  const Dispatcher& Dispatch() const { return dispatcher_; }
  const BackendSet& Backends() const { return backends_; }
  GroupSet& Groups() { return groups_; }
  const CatalogState& CatalogView() const { return catalog_; }
  const PeerTable& Peers() const { return peers_; }
  const relay::role_map& Roles() const { return roles_; }
  const SessionRelay& Relay() const { return relay_; }
  const membership::live_view& View() const { return view_; }
  const evacuation::view_tracker& Evacuations() const { return evacuations_; }
  const warm_up::warm_up_rule& WarmUps() const { return warm_up_; }
  /// @return how many instances count as cold here.
  std::size_t ColdInstances() const { return cold_since_.size(); }

  /// @return how many other daemons are taken to be alive.
  std::size_t LiveDaemons(common::Instant now) const {
    return large_ ? view_.live_daemons().size() - 1 : peers_.LiveNames(now).size();
  }

 private:
  /// Whom a heartbeat is for.
  enum class Receivers : std::uint8_t {
    kDue,       // those whose heartbeat is due
    kPartners,  // all live daemons that this one exchanges heartbeats with
    kAll,       // all daemons that may hold a lease
  };
  void OnRestarted(const model::InstanceEntry& entry, common::Instant now) override;
  void Apply(const CatalogUpdate& update, common::Instant now);
  /// The store's history is of this era: a later one than before ends what rests on the former.
  void NoteEra(std::uint64_t era, common::Instant now);
  void ApplyConfiguration(common::Instant now);
  /// Takes the regions of a new configuration's routes and tenants.
  void ApplyRegions(common::Instant now);
  void UpdateRoles(common::Instant now);
  /// Ends sessions of services that this daemon has not owned for a while.
  /// @return true if this daemon needs not ask the store by itself: one that follows the store
  /// closely, and reaches it, is heard, or others look first whether the store is there.
  bool IsInformed(common::Instant now);
  bool HearsFollower(common::Instant now) const;
  /// @return true if this daemon serves sessions, or may be handed some.
  bool Admits() const;
  /// @return true if this daemon works out the tenants' rates for all.
  bool AllocatesRates() const;
  void AdvanceRates(common::Instant now);
  void TakeTenants(const Peer& peer, const PeerMessage& message,
                   const std::optional<common::Instant>& counted_from, common::Instant now);
  /// Completes a heartbeat by what the peer should know around tenants.
  void TellTenants(Peer& peer, PeerMessage& message, common::Instant now) const;
  // Evacuated zones (proxy_evacuation.cc).
  /// @return true if the deployment's operators evacuate zones.
  bool FollowsEvacuations() const { return settings_.evacuation_limit.count() > 0; }
  /// Asks the store which zones are evacuated, if that is due.
  void AdvanceEvacuations(common::Instant now);
  /// Takes the store's answer. @return true if the call was that question.
  bool EvacuationsRead(CallNumber call, const metadata::ReadResult& result, common::Instant now);
  void TakeEvacuations(const PeerMessage& message,
                       const std::optional<common::Instant>& counted_from, common::Instant now);
  void TakeEvacuations(const evacuation::zone_view& view, const std::string& source,
                       common::Instant now);
  void TellEvacuations(PeerMessage& message, common::Instant now) const;
  /// Shares the instances' connections out, as the roles tell.
  void LimitConnections(const std::set<std::string>& in_use);
  void EndGuests(const std::set<std::string>& in_use, common::Instant now);
  std::size_t SharingDaemons(common::Instant now) const;
  std::vector<relay::member> LiveMembers(common::Instant now) const;
  std::vector<relay::member> MembersHeard(common::Instant now) const;
  /// Works out who lives. @return true if that changed.
  void UpdateView(common::Instant now);
  void LogViewChange();
  void ChoosePartners(common::Instant now);
  void AddPartner(const common::Endpoint& address, const std::string& name, common::Duration pace);
  void TakeView(const common::Endpoint& from, const PeerMessage& message, common::Instant now);
  /// @return true if the peer asks who the hubs are, and was not told a moment ago.
  static bool OwesIntroduction(const Peer& peer, common::Instant now);
  void SetInterest(bool serves_guests, common::Instant now);
  void Register(common::Instant now);
  /// @return true if this daemon should be listed in the store.
  bool NeedsEntry(common::Instant now) const;
  /// @return true if the store lists this daemon as it is.
  bool IsListed() const;
  void Bootstrap(common::Instant now);
  /// Sends heartbeats. @param all_groups tells the state of all groups, not only of those in
  /// trouble.
  void SendHeartbeats(Receivers receivers, bool all_groups, common::Instant now);
  bool IsReceiver(const Peer& peer, Receivers receivers, common::Instant now) const;
  /// @return the peers that heartbeats may go to.
  std::vector<Peer*> ReceiversOf(Receivers receivers);
  /// @return true if the receiver of a heartbeat needs the group's report.
  bool Concerns(const GroupReport& report, const Peer& peer) const;
  /// @return true if this daemon is known to reach the store.
  bool HasStore(common::Instant now) const;
  void TellRevisions(PeerMessage& message) const;
  PeerMessage MakeHeartbeat(bool all_groups, common::Instant now) const;
  /// Sends what concerns the peer: groups in trouble, and those that it watches.
  void SendHeartbeat(Peer& peer, const PeerMessage& whole, common::Instant now);
  /// Sends the groups that concern the peer in messages of bounded size. @param message the rest.
  void SendInParts(Peer& peer, PeerMessage message, const std::vector<GroupReport>& groups,
                   common::Instant now);
  common::Duration DutyInterval(const std::string& peer) const;
  /// Notes that a daemon has a newer configuration in force.
  void NoteConfigurationAhead(const common::Endpoint& peer, std::uint64_t version,
                              common::Instant now);
  void FetchConfigurationAhead(common::Instant now);
  /// @return true if this daemon reads the configuration from the store, for others too.
  bool ReadsConfiguration(common::Instant now) const;
  void ChooseConfigurationSource(common::Instant now);
  /// @return true if others rely on this daemon for the state of all groups.
  bool TellsAll() const;
  void AdvanceHeartbeats(common::Instant now);
  // Instances that have just started: proxy_warm_up.cc.
  void ConfigureWarmUps(common::Instant now);
  void NoteWarmUps(const CatalogUpdate& update, common::Instant now);
  void UpdateWarmUpRole(common::Instant now);
  void AdvanceWarmUps(common::Instant now);
  void LogWarmUps(common::Instant now);
  warm_up::hearing HeardDaemons(common::Instant now) const;
  void JudgeReadiness(common::Instant now);
  /// Sees to it that all members of the watched groups are known.
  void LearnMembers();
  /// @return true if instances of all services that this daemon connects to are known.
  bool InstancesKnown() const;
  void AdvanceStop(common::Instant now);
  /// @return the end of the time that open transactions get; a stop must have been asked for.
  common::Instant TransactionsUntil() const;
  /// @return true if a session that begins now could not be served.
  bool TooLateForSessions(common::Instant now) const;
  /// Turns a new session away, so that its caller goes elsewhere.
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
  bool evacuations_changed_ = false;  // all should hear of it now
  warm_up::warm_up_rule warm_up_;
  std::map<std::string, common::Instant> cold_since_;  // by instance
  regions::region_policy regions_;
  regions::region_rule region_rule_;
  tenants::admission admission_;
  tenants::rate_allocator allocator_;
  PeerTable peers_;
  membership::live_view view_;
  relay::role_map roles_;
  BackendSet backends_;
  GroupSet groups_;
  CatalogState catalog_;
  FailoverDriver failover_;
  StoreLease store_lease_;
  ConfigurationProver prover_;
  Dispatcher dispatcher_;
  SessionRelay relay_;
  std::mt19937_64 random_;
  common::Duration own_read_delay_;  // spreads the reads of daemons that fall back on the store
  bool ready_ = false;
  bool told_ready_ = false;
  std::optional<common::Instant> started_;
  common::Instant last_tick_{0};
  std::optional<common::Instant> stopping_since_;
  bool exited_ = false;
  bool registered_ = false;
  std::optional<CallNumber> registering_;
  std::uint64_t followed_era_ = 0;  // of the store, that all parts know of
  common::Instant register_not_before_{0};
  std::optional<CallNumber> fetching_;
  common::Instant fetch_not_before_{0};
  common::Instant whole_fetch_not_before_{0};
  std::size_t next_fetch_ = 0;
  common::Instant roles_due_{0};
  bool serves_guests_ = false;
  std::optional<common::Instant> uninformed_since_;
  bool large_ = false;  // too many daemons for all to hear each other
  std::vector<Peer*> partners_;
  bool rates_changed_ = false;  // all should hear of the grants now
  std::size_t registered_known_ = 0;
  std::map<std::string, std::uint32_t> connection_limits_;  // of an instance, by service
  std::uint64_t limits_version_ = 0;                        // of the configuration they are of
  std::set<std::string> limited_in_use_;                    // when the limits were set
  model::Revision told_configuration_revision_;
  std::uint64_t told_configuration_version_ = 0;
  std::map<std::string, common::Instant> guests_since_;  // by service
  /// A daemon that has a newer configuration in force.
  struct ConfigurationAhead {
    common::Endpoint peer;
    std::uint64_t version = 0;
    common::Instant noted{0};
    common::Duration spread{0};  // after which it is fetched, where many daemons do so
  };
  std::optional<ConfigurationAhead> ahead_;
  std::uint64_t newest_version_heard_ = 0;
  std::optional<common::Instant> lacks_configuration_since_;
};

}  // namespace valvekeel::proxy
