#include "proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kRegisterPause{1'000'000};
constexpr common::Duration kFetchPause{300'000};
/// The same for a full catalog in a large deployment: it has 0.9 MB at 1,000 groups, and each of 50
/// owners may fetch it.
constexpr common::Duration kFullFetchPause{2'000'000};
/// Time for the store to answer before the catalog is fetched from another daemon.
constexpr common::Duration kFetchAfter{400'000};
/// The same at a first start, when no daemon has a catalog yet.
constexpr common::Duration kFirstFetchAfter{3'000'000};
/// In a large deployment, time from the start until a service may do without owners. At first only
/// some of the other daemons are known; by then all are.
constexpr common::Duration kMayServeDirectlyAfter{10'000'000};
/// Interval over which daemons spread their own reads of the configuration from the store.
constexpr common::Duration kDirectReadSpread{6'000'000};
/// At a first start, time after which it is known whether the deployment is large: all daemons
/// start within 0.3 s and send to the seeds at once.
constexpr common::Duration kDeploymentSizeKnownAfter{800'000};
/// Time between ticks of a daemon that serves no session, connects to no instance and is neither
/// hub nor coordinator. What such a daemon does, relaying sessions and sending heartbeats, has time
/// limits of 400 ms and more.
constexpr common::Duration kIdleTick{40'000};
/// Peers that sent a heartbeat within this time share an instance's connections.
constexpr common::Duration kSharingAge{8'000'000};
/// Time between two ticks after which this daemon assumes that its process was stalled.
constexpr common::Duration kStallThreshold{300'000};
/// How often the roles are recomputed.
constexpr common::Duration kRolesInterval{100'000};
/// Time after the start in which a listed daemon counts as live before its first heartbeat arrives.
constexpr common::Duration kFirstHeartbeatTime{2'000'000};
/// Connections to an instance that may be opening at once. A handshake occupies a slot for 12 to 32
/// ms. Where many daemons share an instance, waiting statements must not make each daemon open all
/// connections of its share: in a large deployment this led to 55,000 connections over the limit,
/// and no statement was served for 4 s.
constexpr std::size_t kMostOpeningMeshed = 1'000;
constexpr std::size_t kMostOpeningOwner = 1;
/// The same as relay::FORMER_OWNER_GRACE for sessions handed over by daemons that can't be asked to
/// end them. Their membership views follow within 2.5 s (if a zone's hubs become unresponsive),
/// their roles 0.1 s later, and they end the sessions 1 s after that. Ending an idle session
/// earlier can lose a command that is on the link: 58 to 103 commands per day of planned stops,
/// most of them within 4 ms.
constexpr common::Duration kHandedOverSessionGrace{5'000'000};

}  // namespace

Proxy::Proxy(ProxySettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      evacuation_reads_(settings_.evacuation_limit),
      evacuation_rule_(evacuations_,
                       {settings_.evacuation_limit, settings_.mechanisms.evacuation_bound}),
      warm_up_(settings_.name, settings_.warm_up, settings_.mechanisms.warm_up_limit),
      regions_(regions::region_directory(settings_.regions)),
      region_rule_(regions_),
      admission_(settings_.tenants),
      allocator_(settings_.tenants),
      peers_(settings_.name, settings_.incarnation),
      membership_({settings_.name, settings_.zone, settings_.peer, settings_.capacity},
                  settings_.view),
      roles_(settings_.name, settings_.roles),
      backends_(outbox_),
      groups_(settings_, backends_, roles_, outbox_),
      catalog_(settings_, outbox_),
      holder_keeper_(settings_, groups_, peers_, roles_, outbox_),
      failover_(settings_, backends_, groups_, access_, peers_, membership_, roles_, holder_keeper_,
                outbox_),
      lease_renewer_(settings_, groups_, roles_, outbox_),
      prover_(settings_, admission_, outbox_),
      dispatcher_(settings_, backends_, groups_, admission_, access_, outbox_),
      session_relay_(settings_, roles_, peers_, membership_, admission_, regions_, dispatcher_,
                     outbox_),
      random_(seed),
      direct_read_delay_(JitterUpTo(kDirectReadSpread)) {
  access_.add(region_rule_);
  backends_.SetObserver(&dispatcher_);
  if (EvacuationsEnabled()) {
    access_.add(evacuation_rule_);
  }
  backends_.SetWarmUpObserver(&warm_up_);
  backends_.SetRestartObserver(this);
  access_.add(warm_up_);
  for (const common::Endpoint& seed_peer : settings_.seed_peers) {
    if (seed_peer != settings_.peer) {
      peers_.Add(seed_peer);
    }
  }
}

common::Duration Proxy::JitterUpTo(common::Duration most) {
  return common::Duration(static_cast<std::int64_t>(Jitter() * static_cast<double>(most.count())));
}

double Proxy::Jitter() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void Proxy::SessionStarted(SessionNumber session, const std::string& database,
                           const tenants::key_digest& key, const SessionOrigin& origin,
                           common::Instant now) {
  if (IsTooLateForSessions(now)) {
    RefuseSession(session, database, origin);
    return;
  }
  if (origin.handed_over) {
    RecordNewerConfiguration(origin.daemon, origin.required_configuration, now);
  }
  session_relay_.SessionStarted(session, database, key, origin, now);
}

void Proxy::CommandReceived(SessionNumber session, const CallerCommand& command,
                            common::Instant now) {
  if (session_relay_.Relays(session)) {
    session_relay_.Sessions().on_command_sent(session, command.command.kind, now);
    return;
  }
  if (session_relay_.QueueCommand(session, command)) {
    return;
  }
  dispatcher_.CommandReceived(session, command, now);
}

void Proxy::RelayAccepted(SessionNumber session, common::Instant now) {
  session_relay_.Sessions().on_accepted(session, now);
}

void Proxy::RelayDeclined(SessionNumber session, common::Instant now) {
  session_relay_.Sessions().on_rejected(session, now);
}

void Proxy::RelayAnswered(SessionNumber session, model::TransactionState state,
                          common::Instant now) {
  session_relay_.Sessions().on_answered(session, state, now);
}

void Proxy::RelayEndRequested(SessionNumber session) {
  session_relay_.Sessions().on_end_requested(session);
}

void Proxy::RelayDataReceived(SessionNumber session, bool between_messages, common::Instant now) {
  session_relay_.Sessions().on_owner_bytes(session, between_messages, now);
}

void Proxy::RelayEnded(SessionNumber session, const relay::link_end& end, common::Instant now) {
  session_relay_.Sessions().on_link_ended(session, end, now);
}

void Proxy::CallerCongested(SessionNumber session, bool congested, common::Instant now) {
  dispatcher_.CallerCongested(session, congested, now);
}

void Proxy::SessionClosed(SessionNumber session, common::Instant now) {
  session_relay_.SessionClosed(session);
  dispatcher_.SessionClosed(session, now);
}

void Proxy::ConnectionOpened(ConnectionNumber connection, common::Instant now) {
  backends_.OnOpened(connection, now);
}

void Proxy::ConnectionFailed(ConnectionNumber connection, OpenFailure failure,
                             model::ErrorCode error, common::Instant now) {
  backends_.OnOpenFailed(connection, failure, error, now);
}

void Proxy::InstanceAnswered(ConnectionNumber connection, const model::Reply& reply,
                             common::Instant now) {
  backends_.OnAnswered(connection, reply, now);
}

void Proxy::ConnectionClosed(ConnectionNumber connection, common::Instant now) {
  backends_.OnClosed(connection, now);
}

void Proxy::CatalogRead(CallNumber call, const metadata::ReadResult& result, common::Instant now) {
  OnStoreEra(result.revision.era, now);
  if (EvacuationsRead(call, result, now)) {
    return;
  }
  ApplyCatalogUpdate(catalog_.OnAnswered(call, result, now, Jitter()), now);
  catalog_.Tick(now);
}

void Proxy::LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                           const model::Revision& revision, common::Instant now) {
  OnStoreEra(revision.era, now);
  // A record of an earlier era says nothing about failovers begun in this one.
  const bool of_present_era = record && lease_renewer_.RequestedEra() == catalog_.Era();
  lease_renewer_.OnReadAnswered(call, of_present_era ? record : std::nullopt);
  if (large_deployment_) {
    catalog_.OnProbeResult(record.has_value());
  }
  if (of_present_era) {
    failover_.OnRecordRead(*record, revision, now);
  }
}

void Proxy::OnStoreEra(std::uint64_t era, common::Instant now) {
  catalog_.ApplyEra(era, "store", now);
  if (catalog_.Era() == applied_era_) {
    return;
  }
  const bool era_changed = applied_era_ != 0;
  applied_era_ = catalog_.Era();
  failover_.BeginEra(applied_era_, now);
  if (era_changed || !settings_.first_start) {
    groups_.BeginEra(now);
  }
  if (era_changed) {
    // This daemon's entry may be missing, and a promotion waits only for the leases of listed
    // daemons.
    registered_ = false;
    registration_call_.reset();
    register_not_before_ = now;
    groups_.SetRegistered(false);
    Register(now);
  }
}

void Proxy::ConfigurationRead(CallNumber call,
                              const std::optional<model::Configuration>& configuration,
                              const model::Revision& revision, common::Instant now) {
  OnStoreEra(revision.era, now);
  const auto version =
      configuration ? std::optional(configuration->version) : std::optional<std::uint64_t>();
  if (prover_.OnReadAnswered(call, version, catalog_) && configuration) {
    ApplyCatalogUpdate(catalog_.ApplyConfigurationRead(*configuration, revision, now), now);
  }
}

void Proxy::LeadershipWritten(CallNumber call, const failover::WriteResult& result,
                              common::Instant now) {
  OnStoreEra(result.revision.era, now);
  failover_.OnRecordWritten(call, result, now);
  AdvanceFailovers(now);
}

void Proxy::Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now) {
  failover_.OnPromotionAnswered(call, status, now);
  AdvanceFailovers(now);
}

void Proxy::HoldersAnswered(CallNumber call, const HolderResult& result, common::Instant now) {
  OnStoreEra(result.revision.era, now);
  if (holder_keeper_.OnAnswered(call, result, now)) {
    AdvanceFailovers(now);
  }
}

void Proxy::AdvanceFailovers(common::Instant now) {
  failover_.Tick(catalog_.Configuration(), catalog_.Daemons(),
                 {catalog_.Connected(), catalog_.InstancesListedAsOf()}, now);
  holder_keeper_.SendRequestedReads(catalog_.Connected(), now);
  if (failover_.ConsumeListRequested()) {
    catalog_.RelistInstances();
    catalog_.Tick(now);
  }
}

void Proxy::DaemonWritten(CallNumber call, bool written, common::Instant now) {
  if (registration_call_ != call) {
    return;
  }
  registration_call_.reset();
  registered_ = written;
  groups_.SetRegistered(registered_ || catalog_.ListsDaemon(settings_.name));
  register_not_before_ = now + kRegisterPause;
  outbox_.Log("daemon_registered", {{"written", written ? "true" : "false"}});
}

void Proxy::PeerMessageReceived(const common::Endpoint& from, const PeerMessage& message,
                                common::Instant now) {
  const bool was_alive = peers_.AliveWithIncarnation(from, message.incarnation, now);
  const auto counted_from = peers_.Receive(from, message, now);
  const auto peer = peers_.All().find(from);
  if (peer == peers_.All().end()) {
    return;  // this daemon's own message
  }
  ApplyMembershipMessage(from, message, now);
  ApplyTenantState(peer->second, message, counted_from, now);
  ApplyEvacuations(message, counted_from, now);
  const bool has_updates = large_deployment_ ? membership_.is_hub() || roles_.coordinates()
                                             : roles_.meshed() || roles_.watches_any();
  const bool sends_hub_list = large_deployment_ && IsHubListDue(peer->second, now);
  if ((!was_alive && has_updates) || sends_hub_list) {
    // A daemon that has just started gets at once what it can't know yet.
    SendHeartbeat(peer->second, MakeHeartbeat(true, now), now);
  }
  if (groups_.ApplyReports(message, counted_from)) {
    // The daemon that announced the fence waits for the notification that the lease was released.
    SendHeartbeat(peer->second, MakeHeartbeat(ReportsAllGroups(), now), now);
  }
  RecordNewerConfiguration(from, message.configuration_version, now);
  catalog_.ApplyRevisions({message.configuration_revision, message.instances_revision}, now);
  OnStoreEra(catalog_.Era(), now);
}

void Proxy::CatalogFetched(CallNumber call, const std::optional<CatalogCopy>& copy,
                           common::Instant now) {
  if (fetch_call_ != call) {
    return;
  }
  fetch_call_.reset();
  fetch_not_before_ = now + kFetchPause;
  if (copy) {
    ApplyCatalogUpdate(catalog_.ApplyCopy(*copy), now);
  } else {
    outbox_.Log("catalog_fetch_failed", {}, LogLevel::kWarning);
  }
}

void Proxy::ApplyCatalogUpdate(const CatalogUpdate& update, common::Instant now) {
  RecordWarmUpEntries(update, now);
  for (const model::InstanceEntry& instance : update.instances) {
    backends_.SetEntry(instance, now, update.instances_changed_after);
    // An entry of another writer may name any service. No state is kept for one that isn't
    // configured.
    if (catalog_.Configuration().services.contains(instance.service)) {
      groups_.Get(instance.service, now);
    }
  }
  for (const std::string& id : update.removed_instances) {
    backends_.OnEntryRemoved(id, now, update.instances_changed_after);
  }
  for (const model::DaemonEntry& daemon : update.daemons) {
    if (catalog_.ListsDaemon(settings_.name)) {
      groups_.SetRegistered(true);
    }
    if (daemon.name != settings_.name) {
      peers_.Add(daemon.peer, daemon.name);
    }
  }
  if (update.leadership) {
    failover_.OnRecordRead(update.leadership->first, update.leadership->second, now);
  }
  if (update.configuration) {
    ApplyConfiguration(now);
  }
}

void Proxy::OnRestarted(const model::InstanceEntry& entry, common::Instant now) {
  if (!settings_.mechanisms.instance_incarnations) {
    return;
  }
  groups_.OnMemberRestarted(entry, now);
  failover_.OnMemberRestarted(entry, now);
}

void Proxy::ApplyConfiguration(common::Instant now) {
  for (const auto& [name, service] : catalog_.Configuration().services) {
    groups_.Get(name, now);
  }
  const model::Configuration& configuration = catalog_.Configuration();
  admission_.set_configuration(configuration.version, configuration.tenants);
  allocator_.set_tenants(configuration.tenants, now);
  ConfigureWarmUps(now);
  UpdateRoles(now);
  ApplyRegions(now);
  dispatcher_.SetConfiguration(&catalog_.Configuration(), now);
  session_relay_.SetConfiguration(&catalog_.Configuration(), now);
}

std::size_t Proxy::CountSharingDaemons(common::Instant now) const {
  const std::size_t sharing = large_deployment_ ? membership_.count_live_within(kSharingAge, now)
                                                : peers_.CountReceivedWithin(kSharingAge, now) + 1;
  const bool just_started = started_at_ && now < *started_at_ + kSharingAge;
  return std::max(sharing, just_started ? catalog_.Daemons().size() : std::size_t{1});
}

std::vector<relay::member> Proxy::LiveMembers(common::Instant now) const {
  if (!large_deployment_) {
    return ReachableMembers(now);
  }
  std::vector<relay::member> members;
  for (const membership::member& each : membership_.live_daemons()) {
    if (!each.stopping) {
      members.push_back({each.name, each.zone, each.store_connected, each.capacity});
    }
  }
  return members;
}

std::vector<relay::member> Proxy::ReachableMembers(common::Instant now) const {
  std::vector<relay::member> members;
  if (!stopping_since_) {
    members.push_back({settings_.name, settings_.zone, catalog_.Connected(), settings_.capacity});
  }
  std::set<std::string> reported;
  for (const auto& [address, peer] : peers_.All()) {
    if (peer.last_received_at) {
      reported.insert(peer.name);
    }
    if (peers_.IsAlive(peer, now) && !peer.last.stopping) {
      members.push_back({peer.name, peer.last.zone, peer.last.store_connected, peer.last.capacity});
    }
  }
  const bool awaits_first_heartbeats = started_at_ && now < *started_at_ + kFirstHeartbeatTime;
  for (const auto& [name, daemon] : catalog_.Daemons()) {
    if (awaits_first_heartbeats && name != settings_.name && !reported.contains(name)) {
      members.push_back({name, daemon.zone, false, daemon.capacity});
    }
  }
  return members;
}

void Proxy::UpdateRoles(common::Instant now) {
  roles_due_ = now + kRolesInterval;
  UpdateMembership(now);
  if (connection_limits_version_ != catalog_.Configuration().version) {
    connection_limits_version_ = catalog_.Configuration().version;
    connection_limits_.clear();
    for (const auto& [name, service] : catalog_.Configuration().services) {
      connection_limits_[name] = service.max_connections;
    }
  }
  // Before the others' heartbeats arrive this daemon would claim all connections for itself.
  const bool first_heartbeats_over = now >= *started_at_ + kFirstHeartbeatTime;
  const bool others_known =
      first_heartbeats_over || (catalog_.DaemonsKnown() && !settings_.first_start);
  if (others_known) {
    const bool may_be_direct = !large_deployment_ || now >= *started_at_ + kMayServeDirectlyAfter;
    const bool changed = roles_.update(LiveMembers(now), CountSharingDaemons(now),
                                       connection_limits_, may_be_direct);
    const std::set<std::string> in_use =
        roles_.meshed() ? std::set<std::string>() : dispatcher_.ServicesInUse();
    UpdateCatalogInterest(!in_use.empty(), now);
    backends_.SetMaxOpening(roles_.meshed() ? kMostOpeningMeshed : kMostOpeningOwner);
    if (changed || in_use != connection_limits_in_use_) {
      connection_limits_in_use_ = in_use;
      SetConnectionLimits(in_use);
    }
    EndSessionsOfUnownedServices(in_use, now);
    UpdateWarmUpRole(now);
  }
  if (large_deployment_) {
    ChoosePartners(now);
  }
}

void Proxy::SetConnectionLimits(const std::set<std::string>& in_use) {
  for (const auto& [name, most] : connection_limits_) {
    backends_.SetConnectionLimit(name, roles_.connection_limit(name, in_use.contains(name)),
                                 roles_.coordinates() || roles_.owns(name));
  }
}

void Proxy::UpdateCatalogInterest(bool serves_unowned_services, common::Instant now) {
  serves_unowned_services_ = serves_unowned_services;
  const bool connects = roles_.watches_any() || serves_unowned_services;
  catalog_.SetInterest({roles_.meshed(), roles_.coordinates(), lease_renewer_.IsReader(), connects,
                        CanSkipStoreCalls(now)});
}

bool Proxy::CanSkipStoreCalls(common::Instant now) {
  if (HasConnectedCoordinator(now)) {
    no_connected_coordinator_since_.reset();
    return true;
  }
  if (!no_connected_coordinator_since_) {
    no_connected_coordinator_since_ = now;
  }
  // While the store is unavailable, calls of all daemons would be rejected, and each call is
  // charged.
  return large_deployment_ && !roles_.is_deputy() &&
         now < *no_connected_coordinator_since_ + kNoConnectedCoordinatorLimit;
}

bool Proxy::HasConnectedCoordinator(common::Instant now) const {
  const std::vector<std::string>& coordinators = roles_.coordinators();
  return std::any_of(coordinators.begin(), coordinators.end(), [&](const std::string& name) {
    if (large_deployment_) {
      const membership::member* member = membership_.find(name);
      return member != nullptr && member->store_connected && name != settings_.name;
    }
    const Peer* peer = peers_.FindByName(name);
    return peer != nullptr && peers_.IsAlive(*peer, now) && peer->last.store_connected;
  });
}

void Proxy::EndSessionsOfUnownedServices(const std::set<std::string>& in_use, common::Instant now) {
  std::set<std::string> unowned;
  for (const std::string& service : in_use) {
    if (!roles_.owns(service)) {
      unowned.insert(service);
    }
  }
  std::erase_if(unowned_services_since_,
                [&](const auto& each) { return !unowned.contains(each.first); });
  for (const std::string& service : unowned) {
    const auto since = unowned_services_since_.try_emplace(service, now).first;
    if (now >= since->second + relay::FORMER_OWNER_GRACE) {
      dispatcher_.EndIdleSessionsOfService(service, now >= since->second + kHandedOverSessionGrace,
                                           now);
    }
  }
}

void Proxy::Register(common::Instant now) {
  if (registered_ || registration_call_ || now < register_not_before_) {
    return;
  }
  if (IsListedInStore()) {
    registered_ = true;  // in an earlier incarnation
    return;
  }
  if (!NeedsStoreEntry(now) || !(catalog_.Connected() || settings_.first_start)) {
    return;
  }
  registration_call_ = outbox_.NextNumber();
  outbox_.Emit(WriteDaemonEntry{
      *registration_call_, {settings_.name, settings_.zone, settings_.peer, settings_.capacity}});
}

bool Proxy::NeedsStoreEntry(common::Instant now) const {
  if (!large_deployment_) {
    // At a first start the others wait for this entry. Their number is known soon.
    return settings_.first_start ? now >= *started_at_ + kDeploymentSizeKnownAfter
                                 : catalog_.DaemonsListed();
  }
  // Daemons that replace primaries need to know only those that may hold a lease.
  return roles_.computed() &&
         (roles_.watches_any() || roles_.is_pool_candidate() || serves_unowned_services_);
}

bool Proxy::IsListedInStore() const {
  const auto own = catalog_.Daemons().find(settings_.name);
  return catalog_.ListsDaemon(settings_.name) && own != catalog_.Daemons().end() &&
         own->second.peer == settings_.peer && own->second.zone == settings_.zone &&
         own->second.capacity == settings_.capacity;
}

void Proxy::FetchMissingCatalog(common::Instant now) {
  const bool without_instances = catalog_.Instances().empty();
  // In a large deployment hubs distribute the configuration and few daemons need the instances.
  // Otherwise all would fetch from the seeds at once.
  const bool needed_in_large =
      without_instances && roles_.computed() && roles_.watches_any() && !catalog_.Connected();
  const bool needed = large_deployment_
                          ? needed_in_large
                          : catalog_.Configuration().version == 0 || without_instances;
  const common::Duration store_wait = settings_.first_start ? kFirstFetchAfter : kFetchAfter;
  const bool waiting = fetch_call_ || now < fetch_not_before_ || now < full_fetch_not_before_ ||
                       now < *started_at_ + store_wait;
  if (!needed || waiting || settings_.seed_catalogs.empty()) {
    return;
  }
  fetch_call_ = outbox_.NextNumber();
  full_fetch_not_before_ = now + (large_deployment_ ? kFullFetchPause : common::Duration(0));
  const std::size_t index = next_fetch_seed_++ % settings_.seed_catalogs.size();
  outbox_.Emit(FetchCatalog{*fetch_call_, settings_.seed_catalogs[index]});
}

void Proxy::EnsureMembersKnown() {
  if (const auto as_of = catalog_.InstancesCompleteAsOf()) {
    groups_.RecordMembersKnown(*as_of);
  }
  if (groups_.MembersIncomplete()) {
    catalog_.RelistInstances();
  }
}

bool Proxy::InstancesKnown() const {
  // A daemon that relays sessions needs to know only the owners.
  const bool relays = large_deployment_ && !roles_.meshed();
  if (relays && !roles_.computed()) {
    return false;
  }
  const auto& services = catalog_.Configuration().services;
  return std::all_of(services.begin(), services.end(), [&](const auto& service) {
    const bool needed = !relays || roles_.owns(service.first);
    return !needed || !groups_.Members(service.first).empty();
  });
}

void Proxy::UpdateReadiness(common::Instant now) {
  bool ready = catalog_.Configuration().version > 0 && !stopping_since_;
  if (!ready_ && ready) {
    ready = InstancesKnown();
  }
  // Once ready, a daemon stays ready until it stops: it rejects requests itself if it can't serve
  // them.
  ready = (ready || ready_) && !stopping_since_;
  if (ready != ready_ || !readiness_reported_) {
    ready_ = ready;
    readiness_reported_ = true;
    outbox_.Emit(SetReady{ready});
    outbox_.Log("readiness", {{"ready", ready ? "true" : "false"}});
  }
  static_cast<void>(now);
}

common::Duration Proxy::TickPause() const {
  const bool idle = large_deployment_ && roles_.computed() && !roles_.meshed() &&
                    !roles_.watches_any() && !membership_.is_hub() && !stopping_since_ && ready_ &&
                    dispatcher_.SessionCount() == 0;
  return idle ? kIdleTick : kTick;
}

void Proxy::Tick(common::Instant now) {
  if (!started_at_) {
    started_at_ = now;
    last_tick_ = now;
  }
  if (now >= last_tick_ + kStallThreshold) {
    outbox_.Log("thawed", {{"stood_still_ms", MillisecondsText(now - last_tick_)}},
                LogLevel::kWarning);
    groups_.OnPauseEnded(now);
  }
  last_tick_ = now;
  catalog_.Tick(now);
  FetchMissingCatalog(now);
  Register(now);
  FetchNewerConfiguration(now);
  if (now >= roles_due_) {
    UpdateRoles(now);
  }
  backends_.Tick(now);
  AdvanceWarmUps(now);
  lease_renewer_.Tick(catalog_.Connected(), catalog_.Era(), now);
  holder_keeper_.Tick(catalog_.Configuration(), catalog_.Connected(), now);
  prover_.Tick({lease_renewer_.IsReader(), Admits(), catalog_.Connected()}, now);
  AdvanceEvacuations(now);
  AdvanceRates(now);
  groups_.Tick(now);
  EnsureMembersKnown();
  AdvanceFailovers(now);
  dispatcher_.Tick(now);
  session_relay_.Tick(now);
  UpdateReadiness(now);
  const bool fence = failover_.ConsumeFenceAnnounced();
  const bool groups_changed = groups_.ConsumePrimaryChanged();
  if (groups_.ConsumeLeaseRenewed()) {
    BringHeartbeatsForward(now);
  }
  // In a large deployment most daemons know of a group only what its watchers report.
  const bool evaluation_changed = groups_.ConsumeSuspicionChanged() && !roles_.meshed();
  const bool new_configuration =
      catalog_.Revisions().configuration > sent_configuration_revision_ ||
      (membership_.is_hub() && catalog_.Configuration().version > sent_configuration_version_);
  sent_configuration_revision_ = catalog_.Revisions().configuration;
  sent_configuration_version_ = catalog_.Configuration().version;
  // A new configuration is forwarded at once: daemon to hub, hub to hubs, hub to its zone.
  const bool rates = std::exchange(rates_changed_, false);
  const bool evacuations = std::exchange(evacuations_changed_, false);
  const bool urgent = groups_changed || evaluation_changed || rates || evacuations ||
                      (new_configuration && large_deployment_);
  const Receivers receivers = fence    ? Receivers::kAll
                              : urgent ? Receivers::kPartners
                                       : Receivers::kDue;
  SendHeartbeats(receivers, ReportsAllGroups() || (groups_changed && !roles_.meshed()), now);
  AdvanceStop(now);
}

}  // namespace valvekeel::proxy
