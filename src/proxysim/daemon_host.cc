#include "proxysim/daemon_host.h"

#include <algorithm>
#include <utility>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

constexpr common::Duration kHandshakeTime{12'000};
constexpr common::Duration kConnectTimeout{500'000};
constexpr common::Duration kFetchTimeout{500'000};
constexpr common::Duration kStartTime{50'000};
/// Time to connect to the promotion service, as the real host's.
constexpr common::Duration kPromotionConnectTimeout{450'000};
/// Time after which the system sends the opening packet of a connection again.
constexpr common::Duration kOpeningRepeatTime{1'000'000};

/// Behavior of the host from the decision to exit until its process ends.
enum class ExitBehavior {
  kKeepsServing,  // it accepts and reads as before; the process end closes all of it unanswered
  kStopsReading   // it accepts and reads nothing; earlier output is still sent
};

/// Must match the real host (its Execute(Exit)).
constexpr ExitBehavior kHostExitBehavior = ExitBehavior::kStopsReading;
/// Time from the decision to exit until the process ends: less than the 600 ms that the real host
/// allows for sending answers.
constexpr common::Duration kExitDelay{150'000};

std::string Milliseconds(common::Duration time) { return std::to_string(time.count() / 1000); }

/// @return the arrival time of a message sent now, not before that of earlier messages.
common::Instant ArriveAfter(common::Instant& last, common::Instant arrival) {
  last = std::max(last, arrival);
  return last;
}

}  // namespace

DaemonHost::DaemonHost(Cluster& cluster, std::string name, std::string zone,
                       common::Endpoint address)
    : cluster_(cluster),
      name_(std::move(name)),
      zone_(std::move(zone)),
      address_(std::move(address)) {}

void DaemonHost::Start() {
  if (proxy_) {
    return;  // already started by another fault
  }
  const std::uint64_t incarnation = ++incarnation_;
  cluster_.SimWorld().After(kStartTime, [this, incarnation] {
    if (incarnation != incarnation_ || proxy_) {
      return;
    }
    proxy::ProxySettings settings;
    settings.name = name_;
    settings.zone = zone_;
    settings.regions = cluster_.Regions();
    settings.region = settings.regions.empty() ? "" : settings.regions.at(zone_);
    settings.mechanisms = cluster_.Shape().mechanisms;
    settings.incarnation = incarnation;
    settings.peer = address_;
    settings.seed_peers = {{"10.0.0.1", address_.port}, {"10.0.0.2", address_.port}};
    settings.seed_catalogs = settings.seed_peers;
    settings.admin_port = address_.port;
    settings.roles = cluster_.Shape().roles;
    settings.tenants = cluster_.Shape().tenancy;
    settings.evacuation_limit = cluster_.Shape().evacuation_limit;
    settings.warm_up = cluster_.Shape().group.tolerance;
    settings.first_start = cluster_.Shape().first_start && incarnation_ == 1;
    stopping_ = false;
    exiting_ = false;
    proxy_ = std::make_unique<proxy::Proxy>(settings, incarnation * 1000 + address_.port);
    if (cluster_.Shape().record_load) {
      proxy_->SetLoadObserver(&load_);
    }
    Tick(incarnation);
  });
}

void DaemonHost::Kill() {
  cluster_.SimWorld().RecordFault(name_);
  EndProcess();
}

void DaemonHost::EndProcess() {
  frozen_ = false;
  ready_ = false;
  pending_events_.clear();
  for (const auto& [number, instance] : std::exchange(connections_, {})) {
    if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
      group->Disconnect(instance, ConnectionKey(number));
    }
  }
  ++incarnation_;
  const auto callers = std::exchange(callers_, {});
  session_starts_.clear();
  for (const auto& [number, link] : std::exchange(relays_, {})) {
    SendToOwner(link,
                [session = link.owner_session](DaemonHost& owner) { owner.CloseSession(session); });
  }
  // The Proxy may be on the call stack: it is destroyed after the current event.
  std::shared_ptr<proxy::Proxy> ending = std::move(proxy_);
  cluster_.SimWorld().After(common::Duration(0), [ending] {});
  for (const auto& [number, caller] : callers) {
    ReportUnanswered(caller, "its process ended");
    caller.callbacks.closed();
  }
}

bool DaemonHost::AcceptsInput() const {
  return !exiting_ || kHostExitBehavior == ExitBehavior::kKeepsServing;
}

void DaemonHost::ReportUnanswered(const CallerConnection& caller, const std::string& how) {
  const common::Instant now = cluster_.SimWorld().Now();
  for (const PendingCommand& command : caller.unanswered) {
    const CallerAttempt* attempt = cluster_.CallerHistory().Find(command.id);
    UnansweredCommand cut;
    cut.what = command.id + " at " + name_ + ", taken " + Milliseconds(now - command.at) +
               " ms before: " + how;
    if (stopping_) {
      cut.what += ", " + Milliseconds(now - stop_signal_at_) + " ms after its stop signal";
    }
    if (exiting_) {
      cut.what += command.at >= exit_decided_at_ ? ", taken after the decision to end"
                                                 : ", taken before the decision to end";
    }
    cut.parties = {name_, kStore, attempt == nullptr ? "" : attempt->service};
    if (!caller.owner.empty()) {
      cut.what += ", relayed to " + caller.owner;
      cut.parties.push_back(caller.owner);
    }
    cluster_.Answers().OnUnanswered(cut);
  }
}

void DaemonHost::Stop() {
  if (proxy_) {
    if (!stopping_) {
      stop_signal_at_ = cluster_.SimWorld().Now();
      cluster_.Answers().OnPlannedStop();
    }
    stopping_ = true;
    proxy_->Stop(cluster_.SimWorld().Now());
    PerformActions();
  }
}

std::uint64_t DaemonHost::ConnectionKey(proxy::ConnectionNumber number) const {
  constexpr unsigned kIncarnationShift = 32;
  constexpr unsigned kDaemonShift = 48;
  const std::uint64_t daemon = std::hash<std::string>()(name_) & 0xffffU;
  return daemon << kDaemonShift | incarnation_ << kIncarnationShift | number;
}

void DaemonHost::Freeze() {
  frozen_ = true;
  cluster_.SimWorld().RecordFault(name_);
}

void DaemonHost::Thaw() {
  frozen_ = false;
  cluster_.SimWorld().RecordFault(name_);
  for (auto& event : std::exchange(pending_events_, {})) {
    event();
  }
}

void DaemonHost::Deliver(std::uint64_t incarnation, std::function<void()> event) {
  if (incarnation != incarnation_ || !proxy_ || !AcceptsInput()) {
    return;
  }
  if (frozen_) {
    pending_events_.push_back(
        [this, incarnation, event = std::move(event)] { Deliver(incarnation, event); });
    return;
  }
  event();
  PerformActions();
}

void DaemonHost::Tick(std::uint64_t incarnation) {
  if (incarnation != incarnation_) {
    return;
  }
  Deliver(incarnation, [this] { proxy_->Tick(cluster_.SimWorld().Now()); });
  const common::Duration pause = proxy_ ? proxy_->TickPause() : proxy::kTick;
  cluster_.SimWorld().After(pause, [this, incarnation] { Tick(incarnation); });
}

void DaemonHost::OpenSession(proxy::SessionNumber number, const SessionStart& start,
                             CallerCallbacks callbacks) {
  Accept(number, start, {}, {std::move(callbacks), true, {}, ""});
}

void DaemonHost::AcceptHandover(proxy::SessionNumber number, const SessionStart& start,
                                const proxy::SessionOrigin& origin, CallerCallbacks callbacks) {
  Accept(number, start, origin, {std::move(callbacks), false, {}, ""});
}

void DaemonHost::Accept(proxy::SessionNumber number, const SessionStart& start,
                        const proxy::SessionOrigin& origin, CallerConnection caller) {
  if (!Alive() || !AcceptsInput()) {
    caller.callbacks.closed();
    return;
  }
  callers_[number] = std::move(caller);
  session_starts_[number] = start;
  Deliver(incarnation_, [this, number, start, origin] {
    proxy_->SessionStarted(number, start.database, tenants::digest_of(start.key), origin,
                           cluster_.SimWorld().Now());
  });
}

void DaemonHost::Command(proxy::SessionNumber number, const proxy::CallerCommand& command) {
  const auto relay = relays_.find(number);
  if (relay != relays_.end()) {
    CheckOwnerRegion(*relay->second.owner, command.request_id);
    SendToOwner(relay->second, [session = relay->second.owner_session, command](DaemonHost& owner) {
      owner.Command(session, command);
    });
  }
  Deliver(incarnation_, [this, number, command] {
    const auto caller = callers_.find(number);
    if (caller != callers_.end() && caller->second.is_direct) {
      caller->second.unanswered.push_back({command.request_id, cluster_.SimWorld().Now()});
    }
    proxy_->CommandReceived(number, command, cluster_.SimWorld().Now());
  });
}

void DaemonHost::CheckOwnerRegion(const DaemonHost& owner, const std::string& request_id) {
  const CallerAttempt* attempt = cluster_.CallerHistory().Find(request_id);
  if (cluster_.Shape().regions > 0 && attempt != nullptr) {
    cluster_.CheckRegion(*attempt, owner.Zone(), "held", name_);
  }
}

void DaemonHost::CloseSession(proxy::SessionNumber number) {
  callers_.erase(number);
  session_starts_.erase(number);
  Deliver(incarnation_,
          [this, number] { proxy_->SessionClosed(number, cluster_.SimWorld().Now()); });
}

void DaemonHost::PerformActions() {
  if (performing_) {
    return;
  }
  performing_ = true;
  while (proxy_) {
    const std::vector<proxy::Action> actions = proxy_->TakeActions();
    if (actions.empty()) {
      break;
    }
    for (const proxy::Action& action : actions) {
      std::visit([this](const auto& each) { Perform(each); }, action);
    }
  }
  performing_ = false;
}

void DaemonHost::Perform(const proxy::OpenConnection& action) {
  World& world = cluster_.SimWorld();
  const std::uint64_t incarnation = incarnation_;
  const proxy::ConnectionNumber number = action.connection;
  connections_[number] = action.instance;
  const auto fail = [this, incarnation, number](proxy::OpenFailure failure,
                                                model::ErrorCode error) {
    Deliver(incarnation, [this, number, failure, error] {
      if (connections_.erase(number) > 0) {
        proxy_->ConnectionFailed(number, failure, error, cluster_.SimWorld().Now());
      }
    });
  };
  DatabaseGroup* group = cluster_.GroupOfInstance(action.instance);
  const bool there = group != nullptr && group->Instances().at(action.instance).alive;
  const bool way = world.Reaches(name_, action.instance) && world.Reaches(action.instance, name_);
  if (!way) {
    world.After(kConnectTimeout,
                [fail] { fail(proxy::OpenFailure::kTimedOut, model::ErrorCode::kFailed); });
    return;
  }
  if (!there) {
    world.After(world.NetworkDelay() * 2,
                [fail] { fail(proxy::OpenFailure::kRefused, model::ErrorCode::kFailed); });
    return;
  }
  world.After(world.NetworkDelay() * 2 + kHandshakeTime, [this, incarnation, number, action, fail] {
    DatabaseGroup* owner = cluster_.GroupOfInstance(action.instance);
    if (incarnation != incarnation_ || owner == nullptr || !connections_.contains(number)) {
      fail(proxy::OpenFailure::kRefused, model::ErrorCode::kFailed);
      return;
    }
    ServerConnection connection;
    connection.daemon = name_;
    connection.tenant = action.tenant;
    const auto last_arrival = std::make_shared<common::Instant>(0);
    connection.answer = [this, incarnation, number, last_arrival,
                         instance = action.instance](const model::Reply& reply) {
      World& sim_world = cluster_.SimWorld();
      if (!sim_world.Reaches(instance, name_)) {
        return;
      }
      const common::Instant arrival =
          ArriveAfter(*last_arrival, sim_world.Now() + sim_world.NetworkDelay());
      sim_world.After(arrival - sim_world.Now(), [this, incarnation, number, reply] {
        Deliver(incarnation, [this, number, reply] {
          if (connections_.contains(number)) {
            proxy_->InstanceAnswered(number, reply, cluster_.SimWorld().Now());
          }
        });
      });
    };
    connection.reset = [this, incarnation, number] {
      World& sim_world = cluster_.SimWorld();
      sim_world.After(sim_world.NetworkDelay(), [this, incarnation, number] {
        Deliver(incarnation, [this, number] {
          if (connections_.erase(number) > 0) {
            proxy_->ConnectionClosed(number, cluster_.SimWorld().Now());
          }
        });
      });
    };
    const auto refused =
        owner->Connect(action.instance, ConnectionKey(number), std::move(connection));
    if (refused) {
      fail(proxy::OpenFailure::kRejected, *refused);
      return;
    }
    Deliver(incarnation,
            [this, number] { proxy_->ConnectionOpened(number, cluster_.SimWorld().Now()); });
  });
}

void DaemonHost::CheckRegions(const std::string& instance,
                              const std::vector<model::InstanceRequest>& requests) {
  if (cluster_.Shape().regions == 0) {
    return;
  }
  for (const model::InstanceRequest& request : requests) {
    const auto* statement = std::get_if<model::SessionRequest>(&request);
    const bool runs = statement != nullptr && model::RunsOnInstance(statement->command.kind);
    const CallerAttempt* attempt =
        runs ? cluster_.CallerHistory().Find(statement->request_id) : nullptr;
    if (attempt != nullptr) {
      cluster_.CheckRegion(*attempt, cluster_.ZoneOfInstance(instance), "run", name_);
    }
  }
}

void DaemonHost::Perform(const proxy::SendRequests& action) {
  const auto found = connections_.find(action.connection);
  if (found == connections_.end() || !cluster_.SimWorld().Reaches(name_, found->second)) {
    return;
  }
  World& world = cluster_.SimWorld();
  const std::string instance = found->second;
  CheckRegions(instance, action.requests);
  // One delay for all requests, so that they arrive in order.
  const std::uint64_t key = ConnectionKey(action.connection);
  world.After(world.NetworkDelay(), [this, instance, action, key] {
    for (const model::InstanceRequest& request : action.requests) {
      if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
        group->Request(instance, key, request);
      }
    }
  });
}

void DaemonHost::Perform(const proxy::CloseConnection& action) {
  const auto found = connections_.find(action.connection);
  if (found == connections_.end()) {
    return;
  }
  const std::string instance = found->second;
  const std::uint64_t number = ConnectionKey(action.connection);
  connections_.erase(found);
  World& world = cluster_.SimWorld();
  world.After(world.NetworkDelay(), [this, instance, number] {
    if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
      group->Disconnect(instance, number);
    }
  });
}

void DaemonHost::Perform(const proxy::AcceptSession& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.callbacks.accepted();
  }
}

void DaemonHost::Answer(proxy::SessionNumber number, const model::Reply& reply) {
  const auto found = callers_.find(number);
  if (found == callers_.end()) {
    return;
  }
  if (!found->second.unanswered.empty()) {
    found->second.unanswered.pop_front();
  }
  const auto answer = found->second.callbacks.answer;
  answer(reply);
}

void DaemonHost::Perform(const proxy::AnswerCaller& action) {
  Answer(action.session, action.reply);
}

void DaemonHost::Perform(const proxy::CloseSession& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    const CallerConnection caller = found->second;
    callers_.erase(found);
    if (!action.with_error) {
      ReportUnanswered(caller, caller.owner.empty() ? "it closed the session" : relay_lost_reason_);
    }
    caller.callbacks.closed();
  }
}

void DaemonHost::SendToOwner(const RelayLink& link, std::function<void(DaemonHost& owner)> event) {
  World& world = cluster_.SimWorld();
  if (!world.Reaches(name_, link.owner->Name())) {
    return;
  }
  const common::Instant arrival =
      ArriveAfter(link.last_arrivals->at_owner, world.Now() + world.NetworkDelay());
  world.After(arrival - world.Now(), [link, event = std::move(event)] {
    if (link.owner->Incarnation() == link.owner_incarnation) {
      event(*link.owner);
    }
  });
}

void DaemonHost::ReceiveFromOwner(proxy::SessionNumber number, const RelayLink& link,
                                  std::function<void()> event) {
  World& world = cluster_.SimWorld();
  if (!world.Reaches(link.owner->Name(), name_)) {
    return;
  }
  const common::Instant arrival =
      ArriveAfter(link.last_arrivals->from_owner, world.Now() + world.NetworkDelay());
  world.After(arrival - world.Now(), [this, incarnation = incarnation_, number, epoch = link.epoch,
                                      event = std::move(event)] {
    Deliver(incarnation, [this, number, epoch, event] {
      const auto relay = relays_.find(number);
      if (relay != relays_.end() && relay->second.epoch == epoch) {
        event();
      }
    });
  });
}

CallerCallbacks DaemonHost::RelayCallbacks(proxy::SessionNumber number, const RelayLink& link) {
  CallerCallbacks callbacks;
  callbacks.accepted = [this, number, link] {
    ReceiveFromOwner(number, link, [this, number] {
      proxy_->RelayDataReceived(number, true, cluster_.SimWorld().Now());
      proxy_->RelayAccepted(number, cluster_.SimWorld().Now());
      const auto caller = callers_.find(number);
      if (caller != callers_.end()) {
        caller->second.callbacks.accepted();
      }
    });
  };
  callbacks.answer = [this, number, link](const model::Reply& reply) {
    ReceiveFromOwner(number, link, [this, number, reply] {
      proxy_->RelayDataReceived(number, true, cluster_.SimWorld().Now());
      Answer(number, reply);
      proxy_->RelayAnswered(number, reply.state, cluster_.SimWorld().Now());
    });
  };
  callbacks.end_requested = [this, number, link] {
    ReceiveFromOwner(number, link, [this, number] { proxy_->RelayEndRequested(number); });
  };
  callbacks.closed = [this, number, link] {
    ReceiveFromOwner(number, link, [this, number] {
      relays_.erase(number);
      proxy_->RelayEnded(number, {"closed by the other side"}, cluster_.SimWorld().Now());
    });
  };
  return callbacks;
}

void DaemonHost::Perform(const proxy::RelaySession& action) {
  constexpr proxy::SessionNumber kRelayed = proxy::SessionNumber{1} << 32U;
  DaemonHost* owner = cluster_.DaemonAt(action.owner);
  RelayLink link;
  link.owner = owner;
  link.owner_incarnation = owner->Incarnation();
  link.epoch = next_epoch_++;
  link.owner_session =
      kRelayed * (std::hash<std::string>()(name_) % kRelayed) + (incarnation_ << 24U) + link.epoch;
  relays_[action.session] = link;
  const auto caller = callers_.find(action.session);
  if (caller != callers_.end()) {
    caller->second.owner = owner->Name();
  }
  if (!owner->Alive()) {
    ReceiveFromOwner(action.session, link, [this, number = action.session] {
      relays_.erase(number);
      proxy_->RelayEnded(number, {"not connected: refused", false}, cluster_.SimWorld().Now());
    });
    return;
  }
  const proxy::SessionOrigin origin{true, address_, action.required_configuration, true};
  SendToOwner(link, [link, origin, start = session_starts_[action.session],
                     callbacks = RelayCallbacks(action.session, link)](DaemonHost& taker) {
    taker.AcceptHandover(link.owner_session, start, origin, callbacks);
  });
}

void DaemonHost::Perform(const proxy::CloseRelay& action) {
  const auto relay = relays_.find(action.session);
  if (relay == relays_.end()) {
    return;
  }
  const RelayLink link = relay->second;
  relays_.erase(relay);
  SendToOwner(link,
              [session = link.owner_session](DaemonHost& owner) { owner.CloseSession(session); });
}

void DaemonHost::Perform(const proxy::RequestSessionEnd& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.callbacks.end_requested();
  }
}

void DaemonHost::Perform(const proxy::ReadCatalog& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().Read(
      name_, action.read,
      [this, incarnation, call = action.call](const metadata::ReadResult& result) {
        Deliver(incarnation, [this, call, result] {
          proxy_->CatalogRead(call, result, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::ReadLeadership& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().ReadLeadership(
      name_, action.era,
      [this, incarnation, call = action.call](const failover::WriteResult& result) {
        Deliver(incarnation, [this, call, result] {
          const bool answered = result.status == failover::WriteStatus::kWritten;
          const auto record =
              answered ? std::optional<model::LeadershipRecord>(result.record) : std::nullopt;
          proxy_->LeadershipRead(call, record, result.revision, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::ReadConfiguration& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().ReadConfiguration(
      name_, [this, incarnation, call = action.call](
                 const std::optional<model::Configuration>& configuration,
                 const model::Revision& revision) {
        Deliver(incarnation, [this, call, configuration, revision] {
          proxy_->ConfigurationRead(call, configuration, revision, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::WriteLeadership& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().WriteLeadership(
      name_, action.write,
      [this, incarnation, call = action.call](const failover::WriteResult& result) {
        Deliver(incarnation, [this, call, result] {
          proxy_->LeadershipWritten(call, result, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::ReadHolders& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().ReadHolders(
      name_, action.service,
      [this, incarnation, call = action.call](const proxy::HolderResult& result) {
        Deliver(incarnation, [this, call, result] {
          proxy_->HoldersAnswered(call, result, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::WriteHolders& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().WriteHolders(
      name_, action, [this, incarnation, call = action.call](const proxy::HolderResult& result) {
        Deliver(incarnation, [this, call, result] {
          proxy_->HoldersAnswered(call, result, cluster_.SimWorld().Now());
        });
      });
}

void DaemonHost::Perform(const proxy::WriteDaemonEntry& action) {
  ++traffic_.store_calls;
  const std::uint64_t incarnation = incarnation_;
  cluster_.Store().WriteDaemon(name_, action.entry,
                               [this, incarnation, call = action.call](bool written) {
                                 Deliver(incarnation, [this, call, written] {
                                   proxy_->DaemonWritten(call, written, cluster_.SimWorld().Now());
                                 });
                               });
}

void DaemonHost::Perform(const proxy::Promote& action) {
  if (!cluster_.Shape().models_promotion_calls) {
    RequestPromotion(action);
    return;
  }
  // The system opens the connection also while the process stands still; the process sends the
  // request once it runs again, before its own timers.
  World& world = cluster_.SimWorld();
  const common::Instant gives_up_at = world.Now() + kPromotionConnectTimeout;
  const common::Duration opening =
      world.NetworkDelay() * 2 +
      (cluster_.drops_openings ? kOpeningRepeatTime : common::Duration(0));
  world.After(opening, [this, incarnation = incarnation_, gives_up_at, action] {
    const bool stood_still = frozen_;
    Deliver(incarnation, [this, stood_still, gives_up_at, action] {
      const common::Instant now = cluster_.SimWorld().Now();
      if ((!stood_still && now >= gives_up_at) || now >= action.valid_until) {
        proxy_->Promoted(action.call, failover::PromotionStatus::kRefused, now);
        return;
      }
      RequestPromotion(action);
    });
  });
}

void DaemonHost::RequestPromotion(const proxy::Promote& action) {
  const std::uint64_t incarnation = incarnation_;
  cluster_.Promote(name_, action,
                   [this, incarnation, call = action.call](failover::PromotionStatus status) {
                     Deliver(incarnation, [this, call, status] {
                       proxy_->Promoted(call, status, cluster_.SimWorld().Now());
                     });
                   });
}

void DaemonHost::Perform(const proxy::SendPeerMessage& action) {
  ++traffic_.messages;
  if (cluster_.Shape().encode_messages) {
    const std::size_t bytes = proxy::EncodePeerMessage(action.message).size();
    traffic_.bytes += bytes;
    traffic_.largest_message = std::max(traffic_.largest_message, bytes);
  }
  DaemonHost* peer = cluster_.DaemonAt(action.address);
  World& world = cluster_.SimWorld();
  if (peer == nullptr || !world.Reaches(name_, peer->Name())) {
    return;
  }
  world.After(world.NetworkDelay(), [this, peer, action] {
    const common::Endpoint from = address_;
    peer->Deliver(peer->Incarnation(), [this, peer, from, action] {
      peer->Proxy()->PeerMessageReceived(from, action.message, cluster_.SimWorld().Now());
    });
  });
}

void DaemonHost::Perform(const proxy::FetchCatalog& action) {
  const std::uint64_t incarnation = incarnation_;
  World& world = cluster_.SimWorld();
  DaemonHost* peer = cluster_.DaemonAt(action.address);
  auto ended = std::make_shared<bool>(false);
  const auto finish = [this, incarnation, ended,
                       call = action.call](const std::optional<proxy::CatalogCopy>& copy) {
    if (std::exchange(*ended, true)) {
      return;
    }
    Deliver(incarnation,
            [this, call, copy] { proxy_->CatalogFetched(call, copy, cluster_.SimWorld().Now()); });
  };
  world.After(kFetchTimeout, [finish] { finish(std::nullopt); });
  const bool reachable = peer != nullptr && peer->Alive() && world.Reaches(name_, peer->Name()) &&
                         world.Reaches(peer->Name(), name_);
  if (reachable) {
    const bool configuration_only = action.configuration_only;
    world.After(world.NetworkDelay() * 2, [peer, finish, configuration_only] {
      if (!peer->Alive()) {
        return;
      }
      if (configuration_only) {
        finish(proxy::CatalogCopy{peer->Proxy()->CatalogView().Configuration(), {}, {}});
      } else {
        finish(peer->Proxy()->CopyCatalog());
      }
    });
  }
}

void DaemonHost::Perform(const proxy::SetReady& action) { ready_ = action.ready; }

void DaemonHost::Perform(const proxy::Exit& action) {
  static_cast<void>(action);
  exiting_ = true;
  exit_decided_at_ = cluster_.SimWorld().Now();
  cluster_.SimWorld().After(kExitDelay, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) {
      EndProcess();
      Start();
    }
  });
}

void DaemonHost::Perform(const proxy::LogEvent& action) {
  if (std::string(action.event) == "relay_lost") {
    const auto reason =
        std::find_if(action.fields.begin(), action.fields.end(),
                     [](const auto& field) { return std::string(field.first) == "reason"; });
    relay_lost_reason_ = reason == action.fields.end() ? "" : reason->second;
  }
  if (cluster_.on_log) {
    cluster_.on_log(name_, action);
  }
}

}  // namespace valvekeel::proxysim
