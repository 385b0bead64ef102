#include "daemon/daemon.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "common/time.h"
#include "crash_report/loaded_modules.h"
#include "runtime/announce.h"
#include "runtime/logging.h"

namespace valvekeel::daemon {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using common::Duration;
using common::Instant;
using common::IsOk;
using common::SteadyNow;
using common::ValueOf;
using nlohmann::json;
using replicated::Entry;
using replicated::EntryKind;
using runtime::Log;
using runtime::LogLevel;

constexpr Duration kTickInterval{20'000};
constexpr Duration kAvoidMember{1'000'000};
constexpr Duration kAvoidInstance{500'000};
constexpr Duration kUnownedPoolIdle{10'000'000};
constexpr std::size_t kDatabasesPerTick = 50;
constexpr Duration kFarewellWait{2'000'000};
constexpr const char* kDatabases = "databases";
constexpr const char* kShareGroups = "sharegroups";

std::uint64_t IncarnationNow() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

cluster::Member SelfMember(const DaemonSettings& settings) {
  cluster::Member member;
  member.id = settings.id;
  member.zone = settings.zone;
  member.incarnation = IncarnationNow();
  return member;
}

pool::BatchReply Unreachable(std::string reason) {
  pool::BatchReply reply;
  reply.outcome = pool::Outcome::kRefused;
  reply.refusal = pool::Refusal::kUnreachable;
  reply.reason = std::move(reason);
  return reply;
}

}  // namespace

Daemon::Daemon(asio::io_context& loop, DaemonSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      self_(SelfMember(settings_)),
      network_(loop, {self_.id, self_.incarnation}),
      client_(loop, network_),
      http_(loop),
      ticker_(loop) {}

Daemon::~Daemon() {
  http_.Stop();
  for (auto& [key, owned] : pools_) {
    owned.pool->Stop();
  }
}

std::optional<StartError> Daemon::Start() {
  network_.OnMessage([this](const std::shared_ptr<peer::Link>& link, peer::Channel channel,
                            const json& body) { OnPeerMessage(link, channel, body); });
  network_.OnOutgoingLost([this](const cluster::MemberId& member, bool connected) {
    OnOutgoingLost(member, connected);
  });
  network_.OnIncomingLost([this](const cluster::MemberId& member) {
    for (auto& [key, owned] : pools_) {
      owned.pool->ReleaseGateway(member);
    }
  });
  const auto peer_port = network_.Listen(settings_.host, settings_.peer_port);
  if (!IsOk(peer_port)) {
    return StartError{common::ErrorOf(peer_port).reason};
  }
  self_.peer = {settings_.host, ValueOf(peer_port)};
  node_.emplace(self_, settings_.seeds, settings_.node);
  directory_.emplace(*node_);
  gateway_.emplace(loop_, *this, settings_.routing, settings_.sessions);
  const auto caller_port = gateway_->Listen(settings_.host, settings_.caller_port);
  if (!IsOk(caller_port)) {
    return StartError{common::ErrorOf(caller_port).reason};
  }
  RouteHttp();
  const auto http_port = http_.Start(settings_.host, settings_.http_port);
  if (!IsOk(http_port)) {
    return StartError{common::ErrorOf(http_port).reason};
  }
  RunActions(node_->Start(SteadyNow()));
  Tick();
  const json addresses = {{"host", settings_.host},
                          {"caller_port", ValueOf(caller_port)},
                          {"peer_port", ValueOf(peer_port)},
                          {"http_port", ValueOf(http_port)}};
  if (!runtime::AnnounceAddresses(settings_.announce, addresses)) {
    return StartError{absl::StrCat("cannot write ", settings_.announce)};
  }
  json started = addresses;
  started["build"] = crash_report::build_id();
  Log(LogLevel::kInfo, "started", started);
  return std::nullopt;
}

// --- Events and actions -----------------------------------------------------------------------

void Daemon::Tick() {
  RunActions(node_->Tick(SteadyNow()));
  ReconcileRelay();
  ReconcilePools();
  if (stopping_) {
    CheckStopped();
  }
  ticker_.expires_after(kTickInterval);
  ticker_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void Daemon::RunActions(const cluster::Actions& actions) {
  for (const cluster::Action& action : actions) {
    if (const auto* send = std::get_if<cluster::SendAction>(&action)) {
      network_.Send(send->to, send->address, peer::Channel::kCluster,
                    cluster::ToJson(send->message));
    } else {
      OnChanged(std::get<cluster::ChangedAction>(action).entry);
    }
  }
}

void Daemon::OnChanged(const Entry& entry) {
  const std::set<std::string> databases = directory_->Apply(entry);
  adoption_restarts_ = pools_stale_ && !adopted_up_to_.empty();
  pools_stale_ = true;
  if (entry.id.kind == EntryKind::kMember) {
    const cluster::Member member = cluster::FromEntry(entry);
    if (member.id != self_.id) {
      Log(LogLevel::kInfo, "member_changed",
          {{"member", member.id}, {"state", cluster::StateName(member.state)}});
    }
    if (member.state >= cluster::MemberState::kFailed && member.id != self_.id) {
      network_.Drop(member.id);
    }
    if (member.state == cluster::MemberState::kAlive) {
      directory_->AvoidMember(member.id, Instant{0});
    }
  }
  if (entry.id.kind == EntryKind::kTopology) {
    Log(LogLevel::kInfo, "primary_changed",
        {{"database", entry.id.name},
         {"term", entry.version.major},
         {"primary", entry.value.value("primary", "")}});
  }
  for (auto& [key, owned] : pools_) {
    if (!databases.contains(key.first)) {
      continue;
    }
    if (const auto* spec = directory_->Database(key.first)) {
      owned.pool->Configure(*spec);
    }
    const auto topology = directory_->Topologies().find(key.first);
    if (topology != directory_->Topologies().end()) {
      owned.pool->SetKnownTerm(topology->second.term);
    }
    for (const auto& [name, group] : directory_->ShareGroups()) {
      owned.pool->SetShare(group);
    }
  }
  WakeChangeWaiters(databases);
}

void Daemon::OnPeerMessage(const std::shared_ptr<peer::Link>& link, peer::Channel channel,
                           const json& body) {
  if (channel == peer::Channel::kCluster) {
    const auto message = cluster::FromJson(body);
    if (!IsOk(message)) {
      Log(LogLevel::kWarning, "message_refused", {{"reason", common::ErrorOf(message).reason}});
      link->Close();
      return;
    }
    RunActions(node_->Receive(link->identity.id, ValueOf(message), SteadyNow()));
    return;
  }
  auto message = pool::FromJson(body);
  if (!IsOk(message)) {
    Log(LogLevel::kWarning, "message_refused", {{"reason", common::ErrorOf(message).reason}});
    link->Close();
    return;
  }
  OnPoolMessage(link, std::move(ValueOf(message)));
}

void Daemon::OnPoolMessage(const std::shared_ptr<peer::Link>& link, pool::PoolMessage message) {
  if (auto* reply = std::get_if<pool::BatchReply>(&message)) {
    client_.OnReply(std::move(*reply));
    return;
  }
  if (auto* reply = std::get_if<pool::BarrierReply>(&message)) {
    client_.OnReply(std::move(*reply));
    return;
  }
  const peer::PeerIdentity from = link->identity;
  if (auto* request = std::get_if<pool::BatchRequest>(&message)) {
    const pool::SessionKey session{from.id, from.incarnation, request->session};
    const auto pool = PoolFor(request->database, request->instance);
    asio::co_spawn(
        loop_,
        [link, pool, session, batch = std::move(*request)]() -> awaitable<void> {
          pool::BatchReply reply = Unreachable("the instance is not declared");
          if (pool != nullptr) {
            reply = co_await pool->Execute(session, batch);
          }
          reply.number = batch.number;
          peer::Network::Reply(link, peer::Channel::kPool,
                               pool::ToJson(pool::PoolMessage{std::move(reply)}));
        },
        asio::detached);
    return;
  }
  if (auto* request = std::get_if<pool::BarrierRequest>(&message)) {
    const auto pool = PoolFor(request->database, request->instance);
    asio::co_spawn(
        loop_,
        [link, pool, barrier = std::move(*request)]() -> awaitable<void> {
          pool::BarrierReply reply;
          reply.reason = "the instance is not declared";
          if (pool != nullptr) {
            reply = co_await pool->Barrier(barrier);
          }
          reply.number = barrier.number;
          peer::Network::Reply(link, peer::Channel::kPool,
                               pool::ToJson(pool::PoolMessage{std::move(reply)}));
        },
        asio::detached);
    return;
  }
  if (const auto* release = std::get_if<pool::ReleaseRequest>(&message)) {
    if (const auto pool = FindPool(release->database, release->instance)) {
      pool->Release({from.id, from.incarnation, release->session});
    }
    return;
  }
  const auto& cancel = std::get<pool::CancelStatementRequest>(message);
  if (const auto pool = FindPool(cancel.database, cancel.instance)) {
    pool->Cancel({from.id, from.incarnation, cancel.session});
  }
}

void Daemon::OnOutgoingLost(const cluster::MemberId& member, bool connected) {
  directory_->AvoidMember(member, SteadyNow() + kAvoidMember);
  client_.OnLost(member, connected);
}

void Daemon::OnTopology(const std::string& database, const std::string& instance,
                        const monitor::Observation& observation) {
  if (observation.in_recovery) {
    return;
  }
  RunActions(node_->Publish(TopologyEntry(database, {observation.term, instance}), SteadyNow()));
}

// --- Pools ------------------------------------------------------------------------------------

std::optional<cluster::Member> Daemon::OwnerOf(const std::string& database,
                                               const std::string& instance) const {
  const configuration::DatabaseSpec* spec = directory_->Database(database);
  if (spec == nullptr) {
    return std::nullopt;
  }
  for (const configuration::InstanceSpec& entry : spec->instances) {
    if (entry.id == instance) {
      return directory_->OwnerOf(database, entry, SteadyNow());
    }
  }
  return std::nullopt;
}

std::shared_ptr<pool::InstancePool> Daemon::FindPool(const std::string& database,
                                                     const std::string& instance) const {
  const auto found = pools_.find({database, instance});
  return found == pools_.end() ? nullptr : found->second.pool;
}

std::shared_ptr<pool::InstancePool> Daemon::PoolFor(const std::string& database,
                                                    const std::string& instance) {
  const auto found = pools_.find({database, instance});
  if (found != pools_.end()) {
    found->second.last_used = SteadyNow();
    return found->second.pool;
  }
  // A sender with another view of the members is served too: two owners are tolerated, and the
  // database's own connection limit decides between them.
  const configuration::DatabaseSpec* spec = directory_->Database(database);
  const bool declared =
      spec != nullptr && std::any_of(spec->instances.begin(), spec->instances.end(),
                                     [&](const auto& entry) { return entry.id == instance; });
  if (!declared) {
    return nullptr;
  }
  auto pool = std::make_shared<pool::InstancePool>(
      loop_, settings_.pool,
      [this](const std::string& name, const std::string& id, const monitor::Observation& seen) {
        OnTopology(name, id, seen);
      });
  const auto topology = directory_->Topologies().find(database);
  if (topology != directory_->Topologies().end()) {
    pool->SetKnownTerm(topology->second.term);
  }
  for (const auto& [name, group] : directory_->ShareGroups()) {
    pool->SetShare(group);
  }
  pool->Start(*spec, instance);
  if (stopping_) {
    pool->Drain();
  }
  pools_[{database, instance}] = {pool, SteadyNow()};
  return pool;
}

void Daemon::AdoptPools(Instant now) {
  // A part of the instances at a time: at 3,600 of them a whole pass would hold up the callers.
  const auto& databases = directory_->Databases();
  for (std::size_t looked_at = 0; looked_at < kDatabasesPerTick && pools_stale_; ++looked_at) {
    const auto next = databases.upper_bound(adopted_up_to_);
    if (next == databases.end()) {
      pools_stale_ = adoption_restarts_;
      adoption_restarts_ = false;
      adopted_up_to_.clear();
      return;
    }
    adopted_up_to_ = next->first;
    for (const configuration::InstanceSpec& instance : next->second.instances) {
      const auto owner = directory_->OwnerOf(next->first, instance, now);
      if (owner && owner->id == self_.id) {
        PoolFor(next->first, instance.id);
      }
    }
  }
}

void Daemon::ReconcilePools() {
  const Instant now = SteadyNow();
  if (pools_stale_ && !stopping_) {
    AdoptPools(now);
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    const auto owner = OwnerOf(it->first.first, it->first.second);
    const bool owned = owner && owner->id == self_.id;
    const bool idle =
        it->second.pool->InFlight() == 0 && now - it->second.last_used > kUnownedPoolIdle;
    if (!owned && idle && !stopping_) {
      it->second.pool->Stop();
      it = pools_.erase(it);
    } else {
      ++it;
    }
  }
}

pool::SessionKey Daemon::LocalKey(pool::SessionNumber session) const {
  return {self_.id, self_.incarnation, session};
}

// --- gateway::Backends ------------------------------------------------------------------------

std::optional<routing::DatabaseView> Daemon::View(const std::string& database) const {
  return directory_->View(database);
}

std::optional<configuration::ShareGroupSpec> Daemon::ShareGroup(const std::string& name) const {
  const auto* group = directory_->ShareGroup(name);
  return group == nullptr ? std::nullopt : std::make_optional(*group);
}

std::optional<cluster::Member> Daemon::HolderOf(const std::string& database,
                                                const std::string& instance,
                                                pool::SessionNumber session) const {
  // An open transaction stays with the owner that holds it, also after ownership has moved.
  const auto held = transaction_owners_.find(session);
  return held == transaction_owners_.end() ? OwnerOf(database, instance) : held->second;
}

awaitable<pool::BatchReply> Daemon::Execute(pool::BatchRequest request) {
  const pool::SessionNumber session = request.session;
  const auto owner = request.continues ? HolderOf(request.database, request.instance, session)
                                       : OwnerOf(request.database, request.instance);
  if (!owner) {
    co_return Unreachable("no daemon owns the instance");
  }
  pool::BatchReply reply = Unreachable("the instance is not declared");
  if (owner->id != self_.id) {
    reply = co_await client_.Execute(*owner, std::move(request));
  } else if (const auto pool = PoolFor(request.database, request.instance)) {
    reply = co_await pool->Execute(LocalKey(session), std::move(request));
  }
  const bool open =
      reply.outcome == pool::Outcome::kDone && reply.status != wire::TransactionStatus::kIdle;
  if (open) {
    transaction_owners_[session] = *owner;
  } else {
    transaction_owners_.erase(session);
  }
  co_return reply;
}

awaitable<pool::BarrierReply> Daemon::Barrier(pool::BarrierRequest request) {
  const auto owner = OwnerOf(request.database, request.instance);
  if (!owner) {
    pool::BarrierReply reply;
    reply.reason = "no daemon owns the instance";
    co_return reply;
  }
  if (owner->id != self_.id) {
    co_return co_await client_.Barrier(*owner, std::move(request));
  }
  const auto pool = PoolFor(request.database, request.instance);
  if (pool == nullptr) {
    co_return pool::BarrierReply{};
  }
  co_return co_await pool->Barrier(std::move(request));
}

void Daemon::Release(const pool::ReleaseRequest& request) {
  const auto owner = HolderOf(request.database, request.instance, request.session);
  transaction_owners_.erase(request.session);
  if (const auto pool = FindPool(request.database, request.instance)) {
    pool->Release(LocalKey(request.session));
  }
  if (owner && owner->id != self_.id) {
    client_.Send(*owner, request);
  }
}

void Daemon::Cancel(const pool::CancelStatementRequest& request) {
  if (const auto pool = FindPool(request.database, request.instance)) {
    pool->Cancel(LocalKey(request.session));
  }
  const auto owner = HolderOf(request.database, request.instance, request.session);
  if (owner && owner->id != self_.id) {
    client_.Send(*owner, request);
  }
}

awaitable<void> Daemon::WaitForChange(std::string database, Duration limit) {
  auto waiter = std::make_shared<ChangeWaiter>(loop_);
  waiter->database = std::move(database);
  waiter->timer.expires_after(limit);
  change_waiters_.push_back(waiter);
  asio::error_code error;
  co_await waiter->timer.async_wait(redirect_error(use_awaitable, error));
  change_waiters_.remove(waiter);
}

void Daemon::WakeChangeWaiters(const std::set<std::string>& databases) {
  for (const auto& waiter : change_waiters_) {
    if (databases.contains(waiter->database)) {
      waiter->timer.cancel();
    }
  }
}

void Daemon::RecordReplayed(const std::string& database, const std::string& instance,
                            common::Position replayed) {
  directory_->NoteReplayed(database, instance, replayed);
}

void Daemon::RecordUnreachable(const std::string& database, const std::string& instance) {
  directory_->AvoidInstance(database, instance, SteadyNow() + kAvoidInstance);
}

// --- Platform ---------------------------------------------------------------------------------

void Daemon::ReconcileRelay() {
  const bool relay = node_->IsRelay() && node_->Joined() && !stopping_;
  if (relay == !watchers_.empty()) {
    return;
  }
  Log(LogLevel::kInfo, relay ? "relay_started" : "relay_stopped");
  if (!relay) {
    watchers_.clear();
    return;
  }
  object_store::WatchHandlers handlers;
  handlers.on_list = [this](const std::string& kind, const object_store::ObjectList& list) {
    ApplyList(kind, list);
  };
  handlers.on_event = [this](const object_store::WatchEvent& event) {
    ApplyObject(event.object, event.deleted);
  };
  handlers.on_reachable = [this](bool reachable) {
    if (reachable != platform_reachable_) {
      platform_reachable_ = reachable;
      Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
          reachable ? "platform_reachable" : "platform_unreachable");
    }
  };
  for (const char* kind : {kDatabases, kShareGroups}) {
    watchers_[kind] =
        std::make_unique<object_store::Watcher>(loop_, settings_.platform, kind, handlers);
  }
}

void Daemon::ApplyObject(const object_store::Object& object, bool deleted) {
  Entry entry;
  entry.id.kind = object.kind == kDatabases ? EntryKind::kDatabase : EntryKind::kShareGroup;
  entry.id.name = object.name;
  entry.version = {object.version, 0};
  entry.deleted = deleted;
  entry.value = deleted ? json::object() : object.spec;
  RunActions(node_->Publish(entry, SteadyNow()));
}

void Daemon::ApplyList(const std::string& kind, const object_store::ObjectList& list) {
  if (list.unreadable > 0) {
    Log(LogLevel::kWarning, "platform_objects_unreadable",
        {{"kind", kind}, {"count", list.unreadable}});
  }
  std::set<std::string> listed;
  for (const object_store::Object& object : list.items) {
    listed.insert(object.name);
    ApplyObject(object, false);
  }
  const EntryKind entry_kind = kind == kDatabases ? EntryKind::kDatabase : EntryKind::kShareGroup;
  std::vector<object_store::Object> gone;
  for (const Entry* entry : node_->Table().OfKind(entry_kind)) {
    // An entry newer than the list was created after it.
    if (!listed.contains(entry->id.name) && entry->version.major < list.version) {
      object_store::Object object;
      object.kind = kind;
      object.name = entry->id.name;
      object.version = list.version;
      gone.push_back(std::move(object));
    }
  }
  for (const object_store::Object& object : gone) {
    ApplyObject(object, true);
  }
}

// --- Planned stop -----------------------------------------------------------------------------

void Daemon::Stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  Log(LogLevel::kInfo, "stopping");
  stopping_ = true;
  stopped_ = std::move(done);
  stop_deadline_ = SteadyNow() + settings_.stop_grace;
  RunActions(node_->Leave(SteadyNow()));
  for (auto& [key, owned] : pools_) {
    owned.pool->Drain();
  }
  gateway_->Drain();
}

void Daemon::CheckStopped() {
  std::size_t in_flight = gateway_->BusySessions();
  for (const auto& [key, owned] : pools_) {
    in_flight += owned.pool->InFlight();
  }
  const Instant now = SteadyNow();
  const bool late = now >= stop_deadline_;
  if ((in_flight > 0 && !late) || !stopped_) {
    return;
  }
  // Callers that have read the farewell close; the others get a moment to.
  if (farewell_deadline_ == Instant{0}) {
    farewell_deadline_ = now + kFarewellWait;
  }
  if (gateway_->SessionCount() > 0 && now < farewell_deadline_ && !late) {
    return;
  }
  Log(late ? LogLevel::kWarning : LogLevel::kInfo, "stopped", {{"cut_off", in_flight}});
  RunActions(node_->Finish(SteadyNow()));
  const std::function<void()> done = std::exchange(stopped_, nullptr);
  gateway_->Close();
  // The farewell to the other daemons needs a moment to leave the sockets.
  auto timer = std::make_shared<asio::steady_timer>(loop_, kTickInterval);
  timer->async_wait([timer, done](const asio::error_code&) { done(); });
}

}  // namespace valvekeel::daemon
