#include "proxysim/daemon_host.h"

#include <algorithm>
#include <utility>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {
namespace {

constexpr common::Duration kHandshake{12'000};
constexpr common::Duration kConnectTimeout{500'000};
constexpr common::Duration kFetchTimeout{500'000};
constexpr common::Duration kStartTime{50'000};

/// What the host does from the decision to end until its process ends.
enum class AtExit {
  kGoesOn,      // it accepts and reads as before, all of which the end cuts off
  kReadsNoMore  // it accepts and reads nothing; what was sent before leaves
};

/// As the host does (its Do(Exit)): the one place to change with it.
constexpr AtExit kHostAtExit = AtExit::kReadsNoMore;
/// From the decision to end until the process ends: within the 600 ms that the host gives answers.
constexpr common::Duration kExitPause{150'000};

std::string Milliseconds(common::Duration time) { return std::to_string(time.count() / 1000); }

/// @return the time of the arrival of something sent now, after what was sent before.
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
    return;  // another fault has started it already
  }
  const std::uint64_t life = ++life_;
  cluster_.Surroundings().After(kStartTime, [this, life] {
    if (life != life_ || proxy_) {
      return;
    }
    proxy::ProxySettings settings;
    settings.name = name_;
    settings.zone = zone_;
    settings.regions = cluster_.Regions();
    settings.region = settings.regions.empty() ? "" : settings.regions.at(zone_);
    settings.mechanisms = cluster_.Shape().mechanisms;
    settings.incarnation = life;
    settings.peer = address_;
    settings.seed_peers = {{"10.0.0.1", address_.port}, {"10.0.0.2", address_.port}};
    settings.seed_catalogs = settings.seed_peers;
    settings.admin_port = address_.port;
    settings.roles = cluster_.Shape().roles;
    settings.tenants = cluster_.Shape().tenancy;
    settings.evacuation_limit = cluster_.Shape().evacuation_limit;
    settings.warm_up = cluster_.Shape().group.tolerated;
    settings.first_start = cluster_.Shape().first_start && life_ == 1;
    stopping_ = false;
    exiting_ = false;
    proxy_ = std::make_unique<proxy::Proxy>(settings, life * 1000 + address_.port);
    if (cluster_.Shape().record_load) {
      proxy_->SetLoadObserver(&load_);
    }
    Tick(life);
  });
}

void DaemonHost::Kill() {
  cluster_.Surroundings().NoteTrouble(name_);
  End();
}

void DaemonHost::End() {
  frozen_ = false;
  ready_ = false;
  held_.clear();
  for (const auto& [number, instance] : std::exchange(connections_, {})) {
    if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
      group->Disconnect(instance, KeyOf(number));
    }
  }
  ++life_;
  const auto callers = std::exchange(callers_, {});
  starts_.clear();
  for (const auto& [number, link] : std::exchange(relays_, {})) {
    ToOwner(link,
            [session = link.owner_session](DaemonHost& owner) { owner.CloseSession(session); });
  }
  // The decision code may be running: it ends with the event that killed it.
  std::shared_ptr<proxy::Proxy> ending = std::move(proxy_);
  cluster_.Surroundings().After(common::Duration(0), [ending] {});
  for (const auto& [number, caller] : callers) {
    CheckAnswered(caller, "its process ended");
    caller.port.closed();
  }
}

bool DaemonHost::Reads() const { return !exiting_ || kHostAtExit == AtExit::kGoesOn; }

void DaemonHost::CheckAnswered(const AcceptedCaller& caller, const std::string& how) {
  const common::Instant now = cluster_.Surroundings().Now();
  for (const TakenCommand& command : caller.unanswered) {
    const CallerAttempt* attempt = cluster_.Record().Find(command.id);
    CutCommand cut;
    cut.what = command.id + " at " + name_ + ", taken " + Milliseconds(now - command.at) +
               " ms before: " + how;
    if (stopping_) {
      cut.what += ", " + Milliseconds(now - told_to_stop_) + " ms after its stop signal";
    }
    if (exiting_) {
      cut.what += command.at >= decided_to_end_ ? ", taken after the decision to end"
                                                : ", taken before the decision to end";
    }
    cut.parties = {name_, kStore, attempt == nullptr ? "" : attempt->service};
    if (!caller.owner.empty()) {
      cut.what += ", relayed to " + caller.owner;
      cut.parties.push_back(caller.owner);
    }
    cluster_.Answers().Cut(cut);
  }
}

void DaemonHost::Stop() {
  if (proxy_) {
    if (!stopping_) {
      told_to_stop_ = cluster_.Surroundings().Now();
      cluster_.Answers().StopPlanned();
    }
    stopping_ = true;
    proxy_->Stop(cluster_.Surroundings().Now());
    Drain();
  }
}

std::uint64_t DaemonHost::KeyOf(proxy::ConnectionNumber number) const {
  constexpr unsigned kLifeShift = 32;
  constexpr unsigned kDaemonShift = 48;
  const std::uint64_t daemon = std::hash<std::string>()(name_) & 0xffffU;
  return daemon << kDaemonShift | life_ << kLifeShift | number;
}

void DaemonHost::Freeze() {
  frozen_ = true;
  cluster_.Surroundings().NoteTrouble(name_);
}

void DaemonHost::Thaw() {
  frozen_ = false;
  cluster_.Surroundings().NoteTrouble(name_);
  for (auto& event : std::exchange(held_, {})) {
    event();
  }
}

void DaemonHost::Deliver(std::uint64_t life, std::function<void()> event) {
  if (life != life_ || !proxy_ || !Reads()) {
    return;
  }
  if (frozen_) {
    held_.push_back([this, life, event = std::move(event)] { Deliver(life, event); });
    return;
  }
  event();
  Drain();
}

void DaemonHost::Tick(std::uint64_t life) {
  if (life != life_) {
    return;
  }
  Deliver(life, [this] { proxy_->Tick(cluster_.Surroundings().Now()); });
  const common::Duration pause = proxy_ ? proxy_->TickPause() : proxy::kTick;
  cluster_.Surroundings().After(pause, [this, life] { Tick(life); });
}

void DaemonHost::OpenSession(proxy::SessionNumber number, const SessionStart& start,
                             CallerPort port) {
  Accept(number, start, {}, {std::move(port), true, {}, ""});
}

void DaemonHost::TakeHandover(proxy::SessionNumber number, const SessionStart& start,
                              const proxy::SessionOrigin& origin, CallerPort port) {
  Accept(number, start, origin, {std::move(port), false, {}, ""});
}

void DaemonHost::Accept(proxy::SessionNumber number, const SessionStart& start,
                        const proxy::SessionOrigin& origin, AcceptedCaller caller) {
  if (!Alive() || !Reads()) {
    caller.port.closed();
    return;
  }
  callers_[number] = std::move(caller);
  starts_[number] = start;
  Deliver(life_, [this, number, start, origin] {
    proxy_->SessionStarted(number, start.database, tenants::digest_of(start.key), origin,
                           cluster_.Surroundings().Now());
  });
}

void DaemonHost::Command(proxy::SessionNumber number, const proxy::CallerCommand& command) {
  const auto relay = relays_.find(number);
  if (relay != relays_.end()) {
    CheckHolder(*relay->second.owner, command.request_id);
    ToOwner(relay->second, [session = relay->second.owner_session, command](DaemonHost& owner) {
      owner.Command(session, command);
    });
  }
  Deliver(life_, [this, number, command] {
    const auto caller = callers_.find(number);
    if (caller != callers_.end() && caller->second.is_direct) {
      caller->second.unanswered.push_back({command.request_id, cluster_.Surroundings().Now()});
    }
    proxy_->CommandReceived(number, command, cluster_.Surroundings().Now());
  });
}

void DaemonHost::CheckHolder(const DaemonHost& owner, const std::string& request_id) {
  const CallerAttempt* attempt = cluster_.Record().Find(request_id);
  if (cluster_.Shape().regions > 0 && attempt != nullptr) {
    cluster_.CheckRegion(*attempt, owner.Zone(), "held", name_);
  }
}

void DaemonHost::CloseSession(proxy::SessionNumber number) {
  callers_.erase(number);
  starts_.erase(number);
  Deliver(life_, [this, number] { proxy_->SessionClosed(number, cluster_.Surroundings().Now()); });
}

void DaemonHost::Drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  while (proxy_) {
    const std::vector<proxy::Action> actions = proxy_->TakeActions();
    if (actions.empty()) {
      break;
    }
    for (const proxy::Action& action : actions) {
      std::visit([this](const auto& each) { Do(each); }, action);
    }
  }
  draining_ = false;
}

void DaemonHost::Do(const proxy::OpenConnection& action) {
  World& world = cluster_.Surroundings();
  const std::uint64_t life = life_;
  const proxy::ConnectionNumber number = action.connection;
  connections_[number] = action.instance;
  const auto fail = [this, life, number](proxy::OpenFailure failure, model::ErrorCode error) {
    Deliver(life, [this, number, failure, error] {
      if (connections_.erase(number) > 0) {
        proxy_->ConnectionFailed(number, failure, error, cluster_.Surroundings().Now());
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
    world.After(world.Delay() * 2,
                [fail] { fail(proxy::OpenFailure::kRefused, model::ErrorCode::kFailed); });
    return;
  }
  world.After(world.Delay() * 2 + kHandshake, [this, life, number, action, fail] {
    DatabaseGroup* owner = cluster_.GroupOfInstance(action.instance);
    if (life != life_ || owner == nullptr || !connections_.contains(number)) {
      fail(proxy::OpenFailure::kRefused, model::ErrorCode::kFailed);
      return;
    }
    ServerConnection connection;
    connection.daemon = name_;
    connection.tenant = action.tenant;
    connection.answer = [this, life, number,
                         instance = action.instance](const model::Reply& reply) {
      World& surroundings = cluster_.Surroundings();
      if (!surroundings.Reaches(instance, name_)) {
        return;
      }
      surroundings.After(surroundings.Delay(), [this, life, number, reply] {
        Deliver(life, [this, number, reply] {
          if (connections_.contains(number)) {
            proxy_->InstanceAnswered(number, reply, cluster_.Surroundings().Now());
          }
        });
      });
    };
    connection.reset = [this, life, number] {
      World& surroundings = cluster_.Surroundings();
      surroundings.After(surroundings.Delay(), [this, life, number] {
        Deliver(life, [this, number] {
          if (connections_.erase(number) > 0) {
            proxy_->ConnectionClosed(number, cluster_.Surroundings().Now());
          }
        });
      });
    };
    const auto refused = owner->Connect(action.instance, KeyOf(number), std::move(connection));
    if (refused) {
      fail(proxy::OpenFailure::kRejected, *refused);
      return;
    }
    Deliver(life,
            [this, number] { proxy_->ConnectionOpened(number, cluster_.Surroundings().Now()); });
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
    const CallerAttempt* attempt = runs ? cluster_.Record().Find(statement->request_id) : nullptr;
    if (attempt != nullptr) {
      cluster_.CheckRegion(*attempt, cluster_.ZoneOfInstance(instance), "run", name_);
    }
  }
}

void DaemonHost::Do(const proxy::SendRequests& action) {
  const auto found = connections_.find(action.connection);
  if (found == connections_.end() || !cluster_.Surroundings().Reaches(name_, found->second)) {
    return;
  }
  World& world = cluster_.Surroundings();
  const std::string instance = found->second;
  CheckRegions(instance, action.requests);
  // One delay for all, so that they arrive in order.
  const std::uint64_t key = KeyOf(action.connection);
  world.After(world.Delay(), [this, instance, action, key] {
    for (const model::InstanceRequest& request : action.requests) {
      if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
        group->Request(instance, key, request);
      }
    }
  });
}

void DaemonHost::Do(const proxy::CloseConnection& action) {
  const auto found = connections_.find(action.connection);
  if (found == connections_.end()) {
    return;
  }
  const std::string instance = found->second;
  const std::uint64_t number = KeyOf(action.connection);
  connections_.erase(found);
  World& world = cluster_.Surroundings();
  world.After(world.Delay(), [this, instance, number] {
    if (DatabaseGroup* group = cluster_.GroupOfInstance(instance)) {
      group->Disconnect(instance, number);
    }
  });
}

void DaemonHost::Do(const proxy::AcceptSession& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.port.accepted();
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
  const auto answer = found->second.port.answer;
  answer(reply);
}

void DaemonHost::Do(const proxy::AnswerCaller& action) { Answer(action.session, action.reply); }

void DaemonHost::Do(const proxy::CloseSession& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    const AcceptedCaller caller = found->second;
    callers_.erase(found);
    if (!action.with_error) {
      CheckAnswered(caller, caller.owner.empty() ? "it closed the session" : lost_reason_);
    }
    caller.port.closed();
  }
}

void DaemonHost::ToOwner(const RelayLink& link, std::function<void(DaemonHost& owner)> event) {
  World& world = cluster_.Surroundings();
  if (!world.Reaches(name_, link.owner->Name())) {
    return;
  }
  const common::Instant arrival = ArriveAfter(link.last->at_owner, world.Now() + world.Delay());
  world.After(arrival - world.Now(), [link, event = std::move(event)] {
    if (link.owner->Life() == link.owner_life) {
      event(*link.owner);
    }
  });
}

void DaemonHost::FromOwner(proxy::SessionNumber number, const RelayLink& link,
                           std::function<void()> event) {
  World& world = cluster_.Surroundings();
  if (!world.Reaches(link.owner->Name(), name_)) {
    return;
  }
  const common::Instant arrival = ArriveAfter(link.last->from_owner, world.Now() + world.Delay());
  world.After(arrival - world.Now(),
              [this, life = life_, number, epoch = link.epoch, event = std::move(event)] {
                Deliver(life, [this, number, epoch, event] {
                  const auto relay = relays_.find(number);
                  if (relay != relays_.end() && relay->second.epoch == epoch) {
                    event();
                  }
                });
              });
}

CallerPort DaemonHost::RelayPort(proxy::SessionNumber number, const RelayLink& link) {
  CallerPort port;
  port.accepted = [this, number, link] {
    FromOwner(number, link, [this, number] {
      proxy_->RelayDataReceived(number, true, cluster_.Surroundings().Now());
      proxy_->RelayAccepted(number, cluster_.Surroundings().Now());
      const auto caller = callers_.find(number);
      if (caller != callers_.end()) {
        caller->second.port.accepted();
      }
    });
  };
  port.answer = [this, number, link](const model::Reply& reply) {
    FromOwner(number, link, [this, number, reply] {
      proxy_->RelayDataReceived(number, true, cluster_.Surroundings().Now());
      Answer(number, reply);
      proxy_->RelayAnswered(number, reply.state, cluster_.Surroundings().Now());
    });
  };
  port.asked_to_end = [this, number, link] {
    FromOwner(number, link, [this, number] { proxy_->RelayEndRequested(number); });
  };
  port.closed = [this, number, link] {
    FromOwner(number, link, [this, number] {
      relays_.erase(number);
      proxy_->RelayEnded(number, {"closed by the other side"}, cluster_.Surroundings().Now());
    });
  };
  return port;
}

void DaemonHost::Do(const proxy::RelaySession& action) {
  constexpr proxy::SessionNumber kRelayed = proxy::SessionNumber{1} << 32U;
  DaemonHost* owner = cluster_.DaemonAt(action.owner);
  RelayLink link;
  link.owner = owner;
  link.owner_life = owner->Life();
  link.epoch = next_link_++;
  link.owner_session =
      kRelayed * (std::hash<std::string>()(name_) % kRelayed) + (life_ << 24U) + link.epoch;
  relays_[action.session] = link;
  const auto caller = callers_.find(action.session);
  if (caller != callers_.end()) {
    caller->second.owner = owner->Name();
  }
  if (!owner->Alive()) {
    FromOwner(action.session, link, [this, number = action.session] {
      relays_.erase(number);
      proxy_->RelayEnded(number, {"not connected: refused", false}, cluster_.Surroundings().Now());
    });
    return;
  }
  const proxy::SessionOrigin origin{true, address_, action.required_configuration, true};
  ToOwner(link,
          [link, origin, start = starts_[action.session], port = RelayPort(action.session, link)](
              DaemonHost& taker) { taker.TakeHandover(link.owner_session, start, origin, port); });
}

void DaemonHost::Do(const proxy::CloseRelay& action) {
  const auto relay = relays_.find(action.session);
  if (relay == relays_.end()) {
    return;
  }
  const RelayLink link = relay->second;
  relays_.erase(relay);
  ToOwner(link, [session = link.owner_session](DaemonHost& owner) { owner.CloseSession(session); });
}

void DaemonHost::Do(const proxy::RequestSessionEnd& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.port.asked_to_end();
  }
}

void DaemonHost::Do(const proxy::ReadCatalog& action) {
  ++traffic_.store_calls;
  const std::uint64_t life = life_;
  cluster_.Store().Read(name_, action.read,
                        [this, life, call = action.call](const metadata::ReadResult& result) {
                          Deliver(life, [this, call, result] {
                            proxy_->CatalogRead(call, result, cluster_.Surroundings().Now());
                          });
                        });
}

void DaemonHost::Do(const proxy::ReadLeadership& action) {
  ++traffic_.store_calls;
  const std::uint64_t life = life_;
  cluster_.Store().ReadLeadership(
      name_, action.era, [this, life, call = action.call](const failover::WriteResult& result) {
        Deliver(life, [this, call, result] {
          const bool answered = result.status == failover::WriteStatus::kWritten;
          const auto record =
              answered ? std::optional<model::LeadershipRecord>(result.record) : std::nullopt;
          proxy_->LeadershipRead(call, record, result.revision, cluster_.Surroundings().Now());
        });
      });
}

void DaemonHost::Do(const proxy::ReadConfiguration& action) {
  ++traffic_.store_calls;
  const std::uint64_t life = life_;
  cluster_.Store().ReadConfiguration(
      name_,
      [this, life, call = action.call](const std::optional<model::Configuration>& configuration,
                                       const model::Revision& revision) {
        Deliver(life, [this, call, configuration, revision] {
          proxy_->ConfigurationRead(call, configuration, revision, cluster_.Surroundings().Now());
        });
      });
}

void DaemonHost::Do(const proxy::WriteLeadership& action) {
  ++traffic_.store_calls;
  const std::uint64_t life = life_;
  cluster_.Store().WriteLeadership(
      name_, action.write, [this, life, call = action.call](const failover::WriteResult& result) {
        Deliver(life, [this, call, result] {
          proxy_->LeadershipWritten(call, result, cluster_.Surroundings().Now());
        });
      });
}

void DaemonHost::Do(const proxy::WriteDaemonEntry& action) {
  ++traffic_.store_calls;
  const std::uint64_t life = life_;
  cluster_.Store().WriteDaemon(name_, action.entry, [this, life, call = action.call](bool written) {
    Deliver(life, [this, call, written] {
      proxy_->DaemonWritten(call, written, cluster_.Surroundings().Now());
    });
  });
}

void DaemonHost::Do(const proxy::Promote& action) {
  const std::uint64_t life = life_;
  cluster_.Promote(name_, action,
                   [this, life, call = action.call](failover::PromotionStatus status) {
                     Deliver(life, [this, call, status] {
                       proxy_->Promoted(call, status, cluster_.Surroundings().Now());
                     });
                   });
}

void DaemonHost::Do(const proxy::SendPeerMessage& action) {
  ++traffic_.messages;
  if (cluster_.Shape().encode_messages) {
    const std::size_t bytes = proxy::EncodePeerMessage(action.message).size();
    traffic_.bytes += bytes;
    traffic_.largest = std::max(traffic_.largest, bytes);
  }
  DaemonHost* peer = cluster_.DaemonAt(action.address);
  World& world = cluster_.Surroundings();
  if (peer == nullptr || !world.Reaches(name_, peer->Name())) {
    return;
  }
  world.After(world.Delay(), [this, peer, action] {
    const common::Endpoint from = address_;
    peer->Deliver(peer->Life(), [this, peer, from, action] {
      peer->Decisions()->PeerMessageReceived(from, action.message, cluster_.Surroundings().Now());
    });
  });
}

void DaemonHost::Do(const proxy::FetchCatalog& action) {
  const std::uint64_t life = life_;
  World& world = cluster_.Surroundings();
  DaemonHost* peer = cluster_.DaemonAt(action.address);
  auto ended = std::make_shared<bool>(false);
  const auto finish = [this, life, ended,
                       call = action.call](const std::optional<proxy::CatalogCopy>& copy) {
    if (std::exchange(*ended, true)) {
      return;
    }
    Deliver(life, [this, call, copy] {
      proxy_->CatalogFetched(call, copy, cluster_.Surroundings().Now());
    });
  };
  world.After(kFetchTimeout, [finish] { finish(std::nullopt); });
  const bool reachable = peer != nullptr && peer->Alive() && world.Reaches(name_, peer->Name()) &&
                         world.Reaches(peer->Name(), name_);
  if (reachable) {
    const bool configuration_only = action.configuration_only;
    world.After(world.Delay() * 2, [peer, finish, configuration_only] {
      if (!peer->Alive()) {
        return;
      }
      if (configuration_only) {
        finish(proxy::CatalogCopy{peer->Decisions()->CatalogView().Configuration(), {}, {}});
      } else {
        finish(peer->Decisions()->CopyCatalog());
      }
    });
  }
}

void DaemonHost::Do(const proxy::SetReady& action) { ready_ = action.ready; }

void DaemonHost::Do(const proxy::Exit& action) {
  static_cast<void>(action);
  exiting_ = true;
  decided_to_end_ = cluster_.Surroundings().Now();
  cluster_.Surroundings().After(kExitPause, [this, life = life_] {
    if (life == life_) {
      End();
      Start();
    }
  });
}

void DaemonHost::Do(const proxy::LogEvent& action) {
  if (std::string(action.event) == "relay_lost") {
    const auto reason =
        std::find_if(action.fields.begin(), action.fields.end(),
                     [](const auto& field) { return std::string(field.first) == "reason"; });
    lost_reason_ = reason == action.fields.end() ? "" : reason->second;
  }
  if (cluster_.on_log) {
    cluster_.on_log(name_, action);
  }
}

}  // namespace valvekeel::proxysim
