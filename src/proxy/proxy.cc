#include "proxy/proxy.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kRegisterPause{1'000'000};
constexpr common::Duration kFetchPause{300'000};
/// Time for the store to answer before another daemon is asked for the catalog.
constexpr common::Duration kFetchAfter{400'000};
constexpr common::Duration kDeadPeerPause{1'000'000};  // between messages to a silent peer
/// Peers heard within this time share an instance's connections.
constexpr common::Duration kSharingAge{8'000'000};
/// After the stop signal, time until callers are sent here no more.
constexpr common::Duration kStopNotice{2'300'000};
/// Part of the stop's time that open transactions get.
constexpr int kTransactionShare = 2;
/// Left of the stop's time when the process ends whatever is open.
constexpr common::Duration kExitReserve{900'000};
/// Time between two ticks after which this daemon takes itself to have stood still.
constexpr common::Duration kStandstill{300'000};
/// Connections of an instance that no daemon's share contains.
constexpr std::uint32_t kReservedConnections = 3;

}  // namespace

Proxy::Proxy(ProxySettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      peers_(settings_.name, settings_.incarnation),
      backends_(outbox_),
      groups_(settings_, backends_, peers_, outbox_),
      catalog_(settings_, outbox_),
      failover_(settings_, backends_, groups_, peers_, outbox_),
      store_lease_(settings_, groups_, peers_, outbox_),
      dispatcher_(settings_, backends_, groups_, outbox_),
      random_(seed) {
  backends_.SetObserver(&dispatcher_);
  for (const common::Endpoint& seed_peer : settings_.seed_peers) {
    if (seed_peer != settings_.peer) {
      peers_.Add(seed_peer);
    }
  }
}

double Proxy::Jitter() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void Proxy::SessionStarted(SessionNumber session, const std::string& database,
                           const std::string& user, common::Instant now) {
  dispatcher_.SessionStarted(session, database, user, now);
}

void Proxy::CommandReceived(SessionNumber session, const CallerCommand& command,
                            common::Instant now) {
  dispatcher_.CommandReceived(session, command, now);
}

void Proxy::SessionClosed(SessionNumber session, common::Instant now) {
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
  Apply(catalog_.Answered(call, result, now, Jitter()), now);
  catalog_.Tick(now);
}

void Proxy::LeadershipRead(CallNumber call, const std::optional<model::LeadershipRecord>& record,
                           std::uint64_t revision, common::Instant now) {
  store_lease_.Read(call, record);
  if (record) {
    failover_.RecordSeen(*record, revision, now);
  }
}

void Proxy::LeadershipWritten(CallNumber call, const failover::WriteResult& result,
                              common::Instant now) {
  failover_.RecordWritten(call, result, now);
  failover_.Tick(catalog_.Configuration(), catalog_.DaemonNames(), catalog_.Connected(), now);
}

void Proxy::Promoted(CallNumber call, failover::PromotionStatus status, common::Instant now) {
  failover_.Promoted(call, status, now);
  failover_.Tick(catalog_.Configuration(), catalog_.DaemonNames(), catalog_.Connected(), now);
}

void Proxy::DaemonWritten(CallNumber call, bool written, common::Instant now) {
  if (registering_ != call) {
    return;
  }
  registering_.reset();
  registered_ = written;
  groups_.SetRegistered(registered_ || catalog_.Daemons().contains(settings_.name));
  register_not_before_ = now + kRegisterPause;
  outbox_.Log("daemon_registered", {{"written", written ? "true" : "false"}});
}

void Proxy::PeerHeard(const common::Endpoint& from, const PeerMessage& message,
                      common::Instant now) {
  const auto counted_from = peers_.Receive(from, message, now);
  if (groups_.TakeReports(message, counted_from)) {
    SendHeartbeats(true, now);
  }
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
  }
}

void Proxy::Apply(const CatalogUpdate& update, common::Instant now) {
  for (const model::InstanceEntry& instance : update.instances) {
    backends_.SetEntry(instance, now);
    groups_.Get(instance.service, now);
  }
  for (const std::string& id : update.instances_gone) {
    backends_.EntryGone(id, now);
  }
  for (const model::DaemonEntry& daemon : update.daemons) {
    if (daemon.name == settings_.name) {
      groups_.SetRegistered(true);
    }
    if (daemon.name != settings_.name) {
      peers_.Add(daemon.peer);
    }
  }
  if (update.leadership) {
    failover_.RecordSeen(update.leadership->first, update.leadership->second, now);
  }
  if (update.configuration) {
    ApplyConfiguration(now);
  }
}

void Proxy::ApplyConfiguration(common::Instant now) {
  for (const auto& [name, service] : catalog_.Configuration().services) {
    groups_.Get(name, now);
  }
  SetConnectionLimits(now);
  dispatcher_.SetConfiguration(&catalog_.Configuration(), now);
}

void Proxy::SetConnectionLimits(common::Instant now) {
  const std::size_t heard = peers_.HeardWithin(kSharingAge, now) + 1;
  const std::size_t daemons =
      std::max(heard, started_ && now < *started_ + kSharingAge ? catalog_.Daemons().size()
                                                                : std::size_t{1});
  for (const auto& [name, service] : catalog_.Configuration().services) {
    const std::uint32_t shared = service.max_connections > kReservedConnections
                                     ? service.max_connections - kReservedConnections
                                     : 1;
    backends_.SetConnectionLimit(name, std::max<std::size_t>(1, shared / daemons));
  }
}

void Proxy::Register(common::Instant now) {
  if (registered_ || registering_ || now < register_not_before_ || !catalog_.Connected()) {
    return;
  }
  registering_ = outbox_.NextNumber();
  outbox_.Emit(WriteDaemon{*registering_, {settings_.name, settings_.zone, settings_.peer}});
}

void Proxy::Bootstrap(common::Instant now) {
  const bool needed = catalog_.Configuration().version == 0 || catalog_.Instances().empty();
  const bool waiting = fetching_ || now < fetch_not_before_ || now < *started_ + kFetchAfter;
  if (!needed || waiting || settings_.seed_catalogs.empty()) {
    return;
  }
  fetching_ = outbox_.NextNumber();
  const std::size_t index = next_fetch_++ % settings_.seed_catalogs.size();
  outbox_.Emit(FetchCatalog{*fetching_, settings_.seed_catalogs[index]});
}

void Proxy::SendHeartbeats(bool urgent, common::Instant now) {
  PeerMessage message;
  bool filled = false;
  for (auto& [address, peer] : peers_.All()) {
    const bool alive = peers_.Alive(peer, now);
    if (now < peer.next_heartbeat && !(urgent && alive)) {
      continue;
    }
    if (!filled) {
      message.zone = settings_.zone;
      message.store_connected = catalog_.Connected();
      message.stopping = stopping_since_.has_value();
      message.configuration_version = catalog_.Configuration().version;
      message.groups = groups_.Reports(TellsAll(now), now);
      filled = true;
    }
    peer.next_heartbeat = now + (alive ? settings_.heartbeat_interval : kDeadPeerPause);
    peers_.Stamp(peer, message, now);
    outbox_.Emit(SendPeer{address, message});
  }
}

bool Proxy::TellsAll(common::Instant now) const {
  if (store_lease_.IsReader(now)) {
    return true;
  }
  for (const auto& [service, group] : groups_.All()) {
    if (groups_.IsProber(service, now) && !catalog_.Connected()) {
      return true;
    }
  }
  return false;
}

void Proxy::AdvanceHeartbeats(common::Instant now) {
  // A heartbeat that is due soon carries more if it follows the confirmation at once.
  for (auto& [address, peer] : peers_.All()) {
    const bool due_soon = now + settings_.heartbeat_interval / 2 >= peer.next_heartbeat;
    if (due_soon && peers_.Alive(peer, now)) {
      peer.next_heartbeat = now;
    }
  }
}

void Proxy::JudgeReadiness(common::Instant now) {
  bool ready = catalog_.Configuration().version > 0 && !stopping_since_;
  for (const auto& [name, service] : catalog_.Configuration().services) {
    ready = ready && !groups_.Members(name).empty();
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

void Proxy::Stop(common::Instant now) {
  if (stopping_since_) {
    return;
  }
  stopping_since_ = now;
  outbox_.Log("stopping", {{"sessions", std::to_string(dispatcher_.SessionCount())}});
  JudgeReadiness(now);
  SendHeartbeats(true, now);
}

void Proxy::AdvanceStop(common::Instant now) {
  if (!stopping_since_ || exited_) {
    return;
  }
  const common::Instant transactions_until =
      *stopping_since_ + settings_.stop_grace / kTransactionShare;
  const common::Instant notice_until =
      *stopping_since_ + std::min(kStopNotice, settings_.stop_grace / kTransactionShare);
  const common::Instant exit_at = *stopping_since_ + settings_.stop_grace - kExitReserve;
  if (now >= notice_until) {
    dispatcher_.StartClosing();
    dispatcher_.CloseResting(now >= transactions_until, now);
  }
  const bool done = now >= transactions_until && dispatcher_.SessionCount() == 0;
  if (done || now >= exit_at) {
    exited_ = true;
    outbox_.Log("stopped", {{"sessions_left", std::to_string(dispatcher_.SessionCount())}});
    outbox_.Emit(Exit{});
  }
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
  SetConnectionLimits(now);
  backends_.Tick(now);
  store_lease_.Tick(catalog_.Connected(), now);
  groups_.Tick(now);
  failover_.Tick(catalog_.Configuration(), catalog_.DaemonNames(), catalog_.Connected(), now);
  dispatcher_.Tick(now);
  JudgeReadiness(now);
  const bool fence = failover_.TakeUrgent();
  const bool news = groups_.TakeNews();
  if (groups_.TakeConfirmed()) {
    AdvanceHeartbeats(now);
  }
  SendHeartbeats(fence || news, now);
  AdvanceStop(now);
}

}  // namespace valvekeel::proxy
