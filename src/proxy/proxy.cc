#include "proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kRegisterPause{1'000'000};
constexpr common::Duration kFetchPause{300'000};
/// The same in a large deployment of a whole catalog, 0.9 MB at 1,000 groups: each of 50 owners may
/// ask.
constexpr common::Duration kWholeFetchPause{2'000'000};
/// Time for the store to answer before another daemon is asked for the catalog.
constexpr common::Duration kFetchAfter{400'000};
/// The same at a first start, when no daemon has anything yet.
constexpr common::Duration kFirstFetchAfter{3'000'000};
/// In a large deployment, time from the start until a service may do without owners: by then all
/// others are known, of whom only some are at first.
constexpr common::Duration kDirectAfter{10'000'000};
/// Over which daemons spread that read the configuration from the store by themselves.
constexpr common::Duration kOwnReadSpread{6'000'000};
/// At a first start, time after which it is known whether the deployment is large: all daemons
/// start within 0.3 s and write to the seeds at once.
constexpr common::Duration kSizeKnown{800'000};
/// Time between ticks of a daemon that serves no session, connects to no instance and heads
/// nothing. What it does then, relaying sessions and telling of itself, has limits of 400 ms and
/// more.
constexpr common::Duration kQuietTick{40'000};
/// Peers heard within this time share an instance's connections.
constexpr common::Duration kSharingAge{8'000'000};
/// Time between two ticks after which this daemon takes itself to have stood still.
constexpr common::Duration kStandstill{300'000};
/// How often the roles are worked out again.
constexpr common::Duration kRolesInterval{100'000};
/// After the start, time in which a daemon that is listed counts as live although it was not heard.
constexpr common::Duration kGreetingTime{2'000'000};
/// Connections to an instance that may be opening at once. A handshake holds a slot for 12 to 32
/// ms: where many daemons share an instance, statements that wait must not make each open all that
/// it may. Seen on the large site: 55,000 connections over the limit, and nothing served for 4 s.
constexpr std::size_t kOpeningMeshed = 1'000;
constexpr std::size_t kOpeningOwner = 1;
/// The same as relay::GUEST_TIME for sessions that daemons handed over which can't be asked to end
/// them: their views of who lives follow within 2.5 s (a zone whose hubs fall silent), their roles
/// 0.1 s later, and they end the sessions 1 s after that. A command may be on the link to a session
/// that rests here: 58 to 103 a day of planned stops were cut off so, most within 4 ms.
constexpr common::Duration kHandedOverGuestTime{5'000'000};

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
      view_({settings_.name, settings_.zone, settings_.peer, settings_.capacity}, settings_.view),
      roles_(settings_.name, settings_.roles),
      backends_(outbox_),
      groups_(settings_, backends_, roles_, outbox_),
      catalog_(settings_, outbox_),
      failover_(settings_, backends_, groups_, access_, peers_, view_, roles_, outbox_),
      store_lease_(settings_, groups_, roles_, outbox_),
      prover_(settings_, admission_, outbox_),
      dispatcher_(settings_, backends_, groups_, admission_, access_, outbox_),
      relay_(settings_, roles_, peers_, view_, admission_, regions_, dispatcher_, outbox_),
      random_(seed),
      own_read_delay_(JitterUpTo(kOwnReadSpread)) {
  access_.add(region_rule_);
  backends_.SetObserver(&dispatcher_);
  if (FollowsEvacuations()) {
    access_.add(evacuation_rule_);
  }
  backends_.SetLifeObserver(&warm_up_);
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
  if (TooLateForSessions(now)) {
    RefuseSession(session, database, origin);
    return;
  }
  if (origin.handed_over) {
    NoteConfigurationAhead(origin.daemon, origin.least_configuration, now);
  }
  relay_.SessionStarted(session, database, key, origin, now);
}

void Proxy::CommandReceived(SessionNumber session, const CallerCommand& command,
                            common::Instant now) {
  if (relay_.Relays(session)) {
    relay_.Sessions().on_command_sent(session, command.command.kind, now);
    return;
  }
  if (relay_.KeepCommand(session, command)) {
    return;
  }
  dispatcher_.CommandReceived(session, command, now);
}

void Proxy::RelayAccepted(SessionNumber session, common::Instant now) {
  relay_.Sessions().on_accepted(session, now);
}

void Proxy::RelayDeclined(SessionNumber session, common::Instant now) {
  relay_.Sessions().on_rejected(session, now);
}

void Proxy::RelayAnswered(SessionNumber session, model::TransactionState state,
                          common::Instant now) {
  relay_.Sessions().on_answered(session, state, now);
}

void Proxy::RelayAskedToEnd(SessionNumber session) { relay_.Sessions().on_end_requested(session); }

void Proxy::RelayHeard(SessionNumber session, bool between_messages, common::Instant now) {
  relay_.Sessions().on_owner_bytes(session, between_messages, now);
}

void Proxy::RelayEnded(SessionNumber session, const relay::link_end& end, common::Instant now) {
  relay_.Sessions().on_link_ended(session, end, now);
}

void Proxy::SessionClosed(SessionNumber session, common::Instant now) {
  relay_.SessionClosed(session);
  dispatcher_.SessionClosed(session, now);
}

void Proxy::ConnectionOpened(ConnectionNumber connection, common::Instant now) {
  backends_.Opened(connection, now);
}

void Proxy::ConnectionFailed(ConnectionNumber connection, OpenFailure failure,
                             model::ErrorCode error, common::Instant now) {
  backends_.OpenFailed(connection, failure, error, now);
}

void Proxy::Answered(ConnectionNumber connection, const model::Reply& reply, common::Instant now) {
  backends_.Answered(connection, reply, now);
}

void Proxy::ConnectionClosed(ConnectionNumber connection, common::Instant now) {
  backends_.Closed(connection, now);
}

void Proxy::CatalogRead(CallNumber call, const metadata::ReadResult& result, common::Instant now) {
  NoteEra(result.revision.era, now);
  if (EvacuationsRead(call, result, now)) {
    return;
  }
  Apply(catalog_.Answered(call, result, now, Jitter()), now);
  catalog_.Tick(now);
}

void Proxy::LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                           const model::Revision& revision, common::Instant now) {
  NoteEra(revision.era, now);
  // A record of an earlier era says nothing of what was begun in this one.
  const bool of_present_era = record && store_lease_.AskedEra() == catalog_.Era();
  store_lease_.Read(call, of_present_era ? record : std::nullopt);
  if (large_) {
    catalog_.NoteProbe(record.has_value());
  }
  if (of_present_era) {
    failover_.RecordSeen(*record, revision, now);
  }
}

void Proxy::NoteEra(std::uint64_t era, common::Instant now) {
  catalog_.NoteEra(era, "store", now);
  if (catalog_.Era() == followed_era_) {
    return;
  }
  const bool returned = followed_era_ != 0;
  followed_era_ = catalog_.Era();
  failover_.BeginEra(followed_era_, now);
  if (returned || !settings_.first_start) {
    groups_.BeginEra(now);
  }
  if (returned) {
    // This daemon's entry may be gone, and a promoter waits only for the leases of who is listed.
    registered_ = false;
    registering_.reset();
    register_not_before_ = now;
    groups_.SetRegistered(false);
    Register(now);
  }
}

void Proxy::ConfigurationRead(CallNumber call,
                              const std::optional<model::Configuration>& configuration,
                              const model::Revision& revision, common::Instant now) {
  NoteEra(revision.era, now);
  const auto version =
      configuration ? std::optional(configuration->version) : std::optional<std::uint64_t>();
  if (prover_.Read(call, version, catalog_) && configuration) {
    Apply(catalog_.TakeRead(*configuration, revision, now), now);
  }
}

void Proxy::LeadershipWritten(CallNumber call, const failover::WriteResult& result,
                              common::Instant now) {
  NoteEra(result.revision.era, now);
  failover_.RecordWritten(call, result, now);
  failover_.Tick(catalog_.Configuration(), catalog_.Daemons(), catalog_.Connected(), now);
}

void Proxy::Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now) {
  failover_.Promoted(call, status, now);
  failover_.Tick(catalog_.Configuration(), catalog_.Daemons(), catalog_.Connected(), now);
}

void Proxy::DaemonWritten(CallNumber call, bool written, common::Instant now) {
  if (registering_ != call) {
    return;
  }
  registering_.reset();
  registered_ = written;
  groups_.SetRegistered(registered_ || catalog_.ListsDaemon(settings_.name));
  register_not_before_ = now + kRegisterPause;
  outbox_.Log("daemon_registered", {{"written", written ? "true" : "false"}});
}

void Proxy::PeerHeard(const common::Endpoint& from, const PeerMessage& message,
                      common::Instant now) {
  const bool was_alive = peers_.AliveInLife(from, message.incarnation, now);
  const auto counted_from = peers_.Receive(from, message, now);
  const auto peer = peers_.All().find(from);
  if (peer == peers_.All().end()) {
    return;  // our own
  }
  TakeView(from, message, now);
  TakeTenants(peer->second, message, counted_from, now);
  TakeEvacuations(message, counted_from, now);
  const bool has_news =
      large_ ? view_.is_hub() || roles_.coordinates() : roles_.meshed() || roles_.watches_any();
  const bool introduces = large_ && OwesIntroduction(peer->second, now);
  if ((!was_alive && has_news) || introduces) {
    // A daemon that has just come learns at once what it can't know by itself yet.
    SendHeartbeat(peer->second, MakeHeartbeat(true, now), now);
  }
  if (groups_.TakeReports(message, counted_from)) {
    // Who announced the fence waits for the word that the lease was let go.
    SendHeartbeat(peer->second, MakeHeartbeat(TellsAll(), now), now);
  }
  NoteConfigurationAhead(from, message.configuration_version, now);
  catalog_.NoteRevisions({message.configuration_revision, message.instances_revision}, now);
  NoteEra(catalog_.Era(), now);
}

void Proxy::CatalogFetched(CallNumber call, const std::optional<CatalogCopy>& copy,
                           common::Instant now) {
  if (fetching_ != call) {
    return;
  }
  fetching_.reset();
  fetch_not_before_ = now + kFetchPause;
  if (copy) {
    Apply(catalog_.TakeCopy(*copy), now);
  } else {
    outbox_.Log("catalog_fetch_failed", {}, LogLevel::kWarning);
  }
}

void Proxy::Apply(const CatalogUpdate& update, common::Instant now) {
  NoteWarmUps(update, now);
  for (const model::InstanceEntry& instance : update.instances) {
    backends_.SetEntry(instance, now);
    // Another writer's entry may name any service: no state is kept of one that isn't configured.
    if (catalog_.Configuration().services.contains(instance.service)) {
      groups_.Get(instance.service, now);
    }
  }
  for (const std::string& id : update.instances_gone) {
    backends_.EntryGone(id, now);
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
    failover_.RecordSeen(update.leadership->first, update.leadership->second, now);
  }
  if (update.configuration) {
    ApplyConfiguration(now);
  }
}

void Proxy::OnRestarted(const model::InstanceEntry& entry, common::Instant now) {
  if (!settings_.mechanisms.instance_lives) {
    return;
  }
  groups_.MemberRestarted(entry, now);
  failover_.MemberRestarted(entry, now);
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
  relay_.SetConfiguration(&catalog_.Configuration(), now);
}

std::size_t Proxy::SharingDaemons(common::Instant now) const {
  const std::size_t heard =
      large_ ? view_.count_live_within(kSharingAge, now) : peers_.HeardWithin(kSharingAge, now) + 1;
  const bool new_here = started_ && now < *started_ + kSharingAge;
  return std::max(heard, new_here ? catalog_.Daemons().size() : std::size_t{1});
}

std::vector<relay::member> Proxy::LiveMembers(common::Instant now) const {
  if (!large_) {
    return MembersHeard(now);
  }
  std::vector<relay::member> members;
  for (const membership::member& each : view_.live_daemons()) {
    if (!each.stopping) {
      members.push_back({each.name, each.zone, each.store_connected, each.capacity});
    }
  }
  return members;
}

std::vector<relay::member> Proxy::MembersHeard(common::Instant now) const {
  std::vector<relay::member> members;
  if (!stopping_since_) {
    members.push_back({settings_.name, settings_.zone, catalog_.Connected(), settings_.capacity});
  }
  std::set<std::string> heard;
  for (const auto& [address, peer] : peers_.All()) {
    if (peer.heard) {
      heard.insert(peer.name);
    }
    if (peers_.Alive(peer, now) && !peer.last.stopping) {
      members.push_back({peer.name, peer.last.zone, peer.last.store_connected, peer.last.capacity});
    }
  }
  const bool greeting = started_ && now < *started_ + kGreetingTime;
  for (const auto& [name, daemon] : catalog_.Daemons()) {
    if (greeting && name != settings_.name && !heard.contains(name)) {
      members.push_back({name, daemon.zone, false, daemon.capacity});
    }
  }
  return members;
}

void Proxy::UpdateRoles(common::Instant now) {
  roles_due_ = now + kRolesInterval;
  UpdateView(now);
  if (limits_version_ != catalog_.Configuration().version) {
    limits_version_ = catalog_.Configuration().version;
    connection_limits_.clear();
    for (const auto& [name, service] : catalog_.Configuration().services) {
      connection_limits_[name] = service.max_connections;
    }
  }
  // Without a word of the others this daemon would take all connections for its own.
  const bool greeted = now >= *started_ + kGreetingTime;
  const bool others_known = greeted || (catalog_.DaemonsKnown() && !settings_.first_start);
  if (others_known) {
    const bool may_be_direct = !large_ || now >= *started_ + kDirectAfter;
    const bool changed =
        roles_.update(LiveMembers(now), SharingDaemons(now), connection_limits_, may_be_direct);
    const std::set<std::string> in_use =
        roles_.meshed() ? std::set<std::string>() : dispatcher_.ServicesInUse();
    SetInterest(!in_use.empty(), now);
    backends_.SetMostOpening(roles_.meshed() ? kOpeningMeshed : kOpeningOwner);
    if (changed || in_use != limited_in_use_) {
      limited_in_use_ = in_use;
      LimitConnections(in_use);
    }
    EndGuests(in_use, now);
    UpdateWarmUpRole(now);
  }
  if (large_) {
    ChoosePartners(now);
  }
}

void Proxy::LimitConnections(const std::set<std::string>& in_use) {
  for (const auto& [name, most] : connection_limits_) {
    backends_.SetConnectionLimit(name, roles_.connection_limit(name, in_use.contains(name)),
                                 roles_.coordinates() || roles_.owns(name));
  }
}

void Proxy::SetInterest(bool serves_guests, common::Instant now) {
  serves_guests_ = serves_guests;
  const bool connects = roles_.watches_any() || serves_guests;
  catalog_.SetInterest(
      {roles_.meshed(), roles_.coordinates(), store_lease_.IsReader(), connects, IsInformed(now)});
}

bool Proxy::IsInformed(common::Instant now) {
  if (HearsFollower(now)) {
    uninformed_since_.reset();
    return true;
  }
  if (!uninformed_since_) {
    uninformed_since_ = now;
  }
  // While the store is away, calls of all daemons would be refused, and are paid for.
  return large_ && !roles_.is_deputy() && now < *uninformed_since_ + kUninformedLimit;
}

bool Proxy::HearsFollower(common::Instant now) const {
  const std::vector<std::string>& coordinators = roles_.coordinators();
  return std::any_of(coordinators.begin(), coordinators.end(), [&](const std::string& name) {
    if (large_) {
      const membership::member* member = view_.find(name);
      return member != nullptr && member->store_connected && name != settings_.name;
    }
    const Peer* peer = peers_.ByName(name);
    return peer != nullptr && peers_.Alive(*peer, now) && peer->last.store_connected;
  });
}

void Proxy::EndGuests(const std::set<std::string>& in_use, common::Instant now) {
  std::set<std::string> foreign;
  for (const std::string& service : in_use) {
    if (!roles_.owns(service)) {
      foreign.insert(service);
    }
  }
  std::erase_if(guests_since_, [&](const auto& each) { return !foreign.contains(each.first); });
  for (const std::string& service : foreign) {
    const auto since = guests_since_.try_emplace(service, now).first;
    if (now >= since->second + relay::FORMER_OWNER_GRACE) {
      dispatcher_.EndResting(service, now >= since->second + kHandedOverGuestTime, now);
    }
  }
}

void Proxy::Register(common::Instant now) {
  if (registered_ || registering_ || now < register_not_before_) {
    return;
  }
  if (IsListed()) {
    registered_ = true;  // in an earlier life
    return;
  }
  if (!NeedsEntry(now) || !(catalog_.Connected() || settings_.first_start)) {
    return;
  }
  registering_ = outbox_.NextNumber();
  outbox_.Emit(WriteDaemon{*registering_,
                           {settings_.name, settings_.zone, settings_.peer, settings_.capacity}});
}

bool Proxy::NeedsEntry(common::Instant now) const {
  if (!large_) {
    // At a first start the others wait for this entry; it shows soon whether they are many.
    return settings_.first_start ? now >= *started_ + kSizeKnown : catalog_.DaemonsListed();
  }
  // Only who may hold a lease must be known to those who replace primaries.
  return roles_.computed() &&
         (roles_.watches_any() || roles_.is_pool_candidate() || serves_guests_);
}

bool Proxy::IsListed() const {
  const auto own = catalog_.Daemons().find(settings_.name);
  return catalog_.ListsDaemon(settings_.name) && own != catalog_.Daemons().end() &&
         own->second.peer == settings_.peer && own->second.zone == settings_.zone &&
         own->second.capacity == settings_.capacity;
}

void Proxy::Bootstrap(common::Instant now) {
  const bool without_instances = catalog_.Instances().empty();
  // In a large deployment a hub hands the configuration out, and few need the instances: all would
  // ask the seeds at once.
  const bool needed_in_large =
      without_instances && roles_.computed() && roles_.watches_any() && !catalog_.Connected();
  const bool needed =
      large_ ? needed_in_large : catalog_.Configuration().version == 0 || without_instances;
  const common::Duration patience = settings_.first_start ? kFirstFetchAfter : kFetchAfter;
  const bool waiting = fetching_ || now < fetch_not_before_ || now < whole_fetch_not_before_ ||
                       now < *started_ + patience;
  if (!needed || waiting || settings_.seed_catalogs.empty()) {
    return;
  }
  fetching_ = outbox_.NextNumber();
  whole_fetch_not_before_ = now + (large_ ? kWholeFetchPause : common::Duration(0));
  const std::size_t index = next_fetch_++ % settings_.seed_catalogs.size();
  outbox_.Emit(FetchCatalog{*fetching_, settings_.seed_catalogs[index]});
}

void Proxy::LearnMembers() {
  if (const auto as_of = catalog_.InstancesShownAsOf()) {
    groups_.NoteMembersKnown(*as_of);
  }
  if (groups_.LacksMembers()) {
    catalog_.RelistInstances();
  }
}

bool Proxy::InstancesKnown() const {
  // Who hands sessions to owners needs to know these alone.
  const bool relays = large_ && !roles_.meshed();
  if (relays && !roles_.computed()) {
    return false;
  }
  const auto& services = catalog_.Configuration().services;
  return std::all_of(services.begin(), services.end(), [&](const auto& service) {
    const bool needed = !relays || roles_.owns(service.first);
    return !needed || !groups_.Members(service.first).empty();
  });
}

void Proxy::JudgeReadiness(common::Instant now) {
  bool ready = catalog_.Configuration().version > 0 && !stopping_since_;
  if (!ready_ && ready) {
    ready = InstancesKnown();
  }
  // Once ready, a daemon stays so until it stops: it answers refusals itself.
  ready = (ready || ready_) && !stopping_since_;
  if (ready != ready_ || !told_ready_) {
    ready_ = ready;
    told_ready_ = true;
    outbox_.Emit(SetReady{ready});
    outbox_.Log("readiness", {{"ready", ready ? "true" : "false"}});
  }
  static_cast<void>(now);
}

common::Duration Proxy::TickPause() const {
  const bool quiet = large_ && roles_.computed() && !roles_.meshed() && !roles_.watches_any() &&
                     !view_.is_hub() && !stopping_since_ && ready_ &&
                     dispatcher_.SessionCount() == 0;
  return quiet ? kQuietTick : kTick;
}

void Proxy::Tick(common::Instant now) {
  if (!started_) {
    started_ = now;
    last_tick_ = now;
  }
  if (now >= last_tick_ + kStandstill) {
    outbox_.Log("thawed", {{"stood_still_ms", Milliseconds(now - last_tick_)}}, LogLevel::kWarning);
    groups_.Thawed(now);
  }
  last_tick_ = now;
  catalog_.Tick(now);
  Bootstrap(now);
  Register(now);
  FetchConfigurationAhead(now);
  if (now >= roles_due_) {
    UpdateRoles(now);
  }
  backends_.Tick(now);
  AdvanceWarmUps(now);
  store_lease_.Tick(catalog_.Connected(), catalog_.Era(), now);
  prover_.Tick({store_lease_.IsReader(), Admits(), catalog_.Connected()}, now);
  AdvanceEvacuations(now);
  AdvanceRates(now);
  groups_.Tick(now);
  LearnMembers();
  failover_.Tick(catalog_.Configuration(), catalog_.Daemons(), catalog_.Connected(), now);
  dispatcher_.Tick(now);
  relay_.Tick(now);
  JudgeReadiness(now);
  const bool fence = failover_.TakeUrgent();
  const bool news = groups_.TakeNews();
  if (groups_.TakeConfirmed()) {
    AdvanceHeartbeats(now);
  }
  // In a large deployment most daemons know of a group only what its watchers tell.
  const bool opinion = groups_.TakeOpinionChanged() && !roles_.meshed();
  const bool revision =
      catalog_.Revisions().configuration > told_configuration_revision_ ||
      (view_.is_hub() && catalog_.Configuration().version > told_configuration_version_);
  told_configuration_revision_ = catalog_.Revisions().configuration;
  told_configuration_version_ = catalog_.Configuration().version;
  // A new configuration is passed on at once: daemon to hub, hub to hubs, hub to its zone.
  const bool rates = std::exchange(rates_changed_, false);
  const bool evacuations = std::exchange(evacuations_changed_, false);
  const bool urgent = news || opinion || rates || evacuations || (revision && large_);
  const Receivers receivers = fence    ? Receivers::kAll
                              : urgent ? Receivers::kPartners
                                       : Receivers::kDue;
  SendHeartbeats(receivers, TellsAll() || (news && !roles_.meshed()), now);
  AdvanceStop(now);
}

}  // namespace valvekeel::proxy
