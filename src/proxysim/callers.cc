#include "proxysim/callers.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxysim {
namespace {

using common::Duration;
using model::CommandKind;

constexpr Duration kMinThinkTime{20'000};
constexpr Duration kMaxThinkTime{400'000};
constexpr Duration kCallerDelay{1'000};
constexpr Duration kReconnectDelay{50'000};
constexpr Duration kRetryDelay{60'000};
constexpr std::uint32_t kMaxRetries = 2;
constexpr double kWriteShare = 0.25;
constexpr double kTransactionShare = 0.25;
constexpr double kSessionEndProbability = 0.05;
constexpr double kSetValueProbability = 0.5;
constexpr double kExecuteProbability = 0.4;
constexpr Duration kAnswerTimeout{5'000'000};

model::Command MakeCommand(CommandKind kind, const std::string& arguments = "") {
  model::Command command;
  command.kind = kind;
  command.arguments = arguments;
  return command;
}

}  // namespace

struct Callers::Caller {
  DaemonHost* daemon = nullptr;
  std::uint64_t session = 0;
  std::uint64_t epoch =
      0;  // increases with each session, so that events of earlier ones are ignored
  std::string service;
  std::string key;
  model::Route route;
  std::map<std::string, std::string> values;
  // The operation in progress.
  std::vector<model::Command> commands;
  std::size_t next = 0;
  std::string attempt;
  std::uint32_t retries = 0;
  bool writes = false;
  bool active = false;
  bool commit_sent = false;
  common::Instant began{0};
};

Callers::Callers(Cluster& cluster, std::size_t sessions) : cluster_(cluster) {
  if (cluster_.Shape().use_load_balancer) {
    std::vector<DaemonHost*> daemons;
    for (const auto& daemon : cluster_.Daemons()) {
      daemons.push_back(daemon.get());
    }
    balancer_ = std::make_unique<LoadBalancer>(cluster_.SimWorld(), std::move(daemons));
  }
  for (std::size_t number = 0; number < sessions; ++number) {
    callers_.push_back(std::make_shared<Caller>());
    Connect(callers_.back());
  }
}

DaemonHost& Callers::ChooseDaemon() {
  World& world = cluster_.SimWorld();
  for (const auto& daemon : cluster_.Daemons()) {
    if (daemon->Name() == cluster_.only_daemon) {
      return *daemon;
    }
  }
  if (balancer_) {
    return balancer_->Choose(ZoneName(world.RandomBelow(cluster_.Shape().zones)));
  }
  auto& daemons = cluster_.Daemons();
  return *daemons[world.RandomBelow(daemons.size())];
}

void Callers::Connect(const std::shared_ptr<Caller>& caller) {
  World& world = cluster_.SimWorld();
  const std::uint64_t epoch = ++caller->epoch;
  caller->session = next_session_++;
  caller->values.clear();
  caller->commands.clear();
  caller->active = false;
  caller->daemon = &ChooseDaemon();
  const auto configuration = cluster_.CurrentConfiguration();
  auto route = configuration.routes.begin();
  std::advance(route, world.RandomBelow(configuration.routes.size()));
  caller->route = route->second;
  caller->service = route->second.service;
  if (balancer_ ? !caller->daemon->Alive() : !caller->daemon->Ready()) {
    world.After(kReconnectDelay, [this, caller, epoch] {
      if (epoch == caller->epoch) {
        Connect(caller);
      }
    });
    return;
  }
  CallerCallbacks callbacks;
  callbacks.accepted = [this, caller, epoch] {
    if (epoch == caller->epoch) {
      ScheduleOperation(caller);
    }
  };
  callbacks.answer = [this, caller, epoch](const model::Reply& reply) {
    cluster_.SimWorld().After(kCallerDelay, [this, caller, epoch, reply] {
      if (epoch == caller->epoch) {
        OnAnswer(caller, reply);
      }
    });
  };
  callbacks.closed = [this, caller, epoch] {
    cluster_.SimWorld().After(kCallerDelay, [this, caller, epoch] {
      if (epoch == caller->epoch) {
        OnClosed(caller);
      }
    });
  };
  caller->key = ChooseKey();
  caller->daemon->OpenSession(caller->session, {caller->route.database, caller->key},
                              std::move(callbacks));
  world.After(std::chrono::seconds(2), [this, caller, epoch] {
    const bool waits = epoch == caller->epoch && !caller->active && caller->commands.empty();
    if (waits) {
      caller->daemon->CloseSession(caller->session);
      Connect(caller);
    }
  });
}

std::string Callers::ChooseKey() {
  const std::vector<std::string> keys = cluster_.Keys().Keys();
  std::vector<std::string> in_force;
  for (const std::string& key : keys) {
    if (!cluster_.Keys().TenantOf(key).empty()) {
      in_force.push_back(key);
    }
  }
  return in_force.empty() ? "" : in_force[cluster_.SimWorld().RandomBelow(in_force.size())];
}

void Callers::ScheduleOperation(const std::shared_ptr<Caller>& caller) {
  World& world = cluster_.SimWorld();
  const std::uint64_t epoch = caller->epoch;
  caller->commands = {MakeCommand(CommandKind::kRead)};  // marks the session as accepted
  world.After(world.RandomBetween(kMinThinkTime, kMaxThinkTime), [this, caller, epoch] {
    if (epoch == caller->epoch && cluster_.SimWorld().Now() < stop_at_) {
      BeginOperation(caller);
    }
  });
}

void Callers::BeginOperation(const std::shared_ptr<Caller>& caller) {
  World& world = cluster_.SimWorld();
  if (cluster_.callers_rest) {
    ScheduleOperation(caller);
    return;
  }
  if (!cluster_.only_daemon.empty() && caller->daemon->Name() != cluster_.only_daemon) {
    caller->daemon->CloseSession(caller->session);
    Connect(caller);
    return;
  }
  if (world.Chance(kSessionEndProbability)) {
    caller->daemon->CloseSession(caller->session);
    Connect(caller);
    return;
  }
  caller->commands.clear();
  const bool may_write = caller->route.consistency != model::Consistency::kBoundedStaleness;
  caller->writes = may_write && world.Chance(kWriteShare);
  const bool transaction = world.Chance(kTransactionShare);
  if (caller->values.empty() && world.Chance(kSetValueProbability)) {
    model::Command set = MakeCommand(CommandKind::kSet, std::to_string(world.RandomBelow(5)));
    set.name = "v";
    caller->commands.push_back(set);
  }
  if (transaction) {
    caller->commands.push_back(
        MakeCommand(caller->writes ? CommandKind::kBegin : CommandKind::kBeginReadOnly));
    caller->commands.push_back(MakeCommand(CommandKind::kRead, "k"));
  }
  if (cluster_.Shape().callers_change_state) {
    AddStateChanges(*caller);
  }
  caller->commands.push_back(
      MakeCommand(caller->writes ? CommandKind::kWrite : CommandKind::kRead, "k"));
  if (transaction) {
    caller->commands.push_back(MakeCommand(CommandKind::kCommit));
  }
  caller->retries = 0;
  caller->active = true;
  caller->began = world.Now();
  ++SummaryAt(caller->began).begun;
  BeginAttempt(caller);
}

void Callers::AddStateChanges(Caller& caller) {
  World& world = cluster_.SimWorld();
  if (world.Chance(kSetValueProbability)) {
    model::Command set = MakeCommand(CommandKind::kSet, std::to_string(world.RandomBelow(5)));
    set.name = "v" + std::to_string(world.RandomBelow(2));
    caller.commands.push_back(set);
  }
  if (world.Chance(kExecuteProbability)) {
    model::Command prepare = MakeCommand(CommandKind::kPrepare);
    prepare.name = "s";
    prepare.prepared = {false, "shape" + std::to_string(world.RandomBelow(5))};
    model::Command execute = MakeCommand(CommandKind::kExecute, "k");
    execute.name = prepare.name;
    caller.commands.push_back(prepare);
    caller.commands.push_back(execute);
  }
}

void Callers::BeginAttempt(const std::shared_ptr<Caller>& caller) {
  CallerAttempt attempt;
  attempt.id = std::string("r") + std::to_string(next_attempt_++);
  attempt.session = caller->session;
  attempt.service = caller->service;
  attempt.database = caller->route.database;
  attempt.consistency = caller->route.consistency;
  attempt.max_staleness = caller->route.max_staleness;
  attempt.began = cluster_.SimWorld().Now();
  attempt.key = caller->key;
  attempt.values = caller->values;
  caller->attempt = attempt.id;
  caller->next = 0;
  caller->commit_sent = false;
  cluster_.CallerHistory().Begin(std::move(attempt));
  SendNext(caller);
}

void Callers::SendNext(const std::shared_ptr<Caller>& caller) {
  World& world = cluster_.SimWorld();
  const std::uint64_t epoch = caller->epoch;
  const model::Command command = caller->commands[caller->next];
  CallerAttempt* attempt = cluster_.CallerHistory().Find(caller->attempt);
  attempt->in_transaction = std::any_of(
      caller->commands.begin(), caller->commands.begin() + static_cast<long>(caller->next),
      [](const model::Command& each) {
        return each.kind == CommandKind::kBegin || each.kind == CommandKind::kBeginReadOnly;
      });
  attempt->sent = world.Now();
  if (!attempt->in_transaction) {
    attempt->began = world.Now();
  }
  const bool alone = command.kind == CommandKind::kWrite && !attempt->in_transaction;
  caller->commit_sent = caller->commit_sent || command.kind == CommandKind::kCommit || alone;
  const std::string id = caller->attempt;
  world.After(kCallerDelay, [caller, epoch, command, id] {
    if (epoch == caller->epoch) {
      caller->daemon->Command(caller->session, {id, command});
    }
  });
  world.After(kAnswerTimeout, [this, caller, epoch, id, step = caller->next] {
    const bool unanswered =
        epoch == caller->epoch && caller->active && caller->attempt == id && caller->next == step;
    if (unanswered) {
      caller->daemon->CloseSession(caller->session);
      OnClosed(caller);
    }
  });
}

void Callers::OnAnswer(const std::shared_ptr<Caller>& caller, const model::Reply& reply) {
  if (!caller->active) {
    return;
  }
  const model::Command& command = caller->commands[caller->next];
  if (!reply.succeeded) {
    const bool promised = model::GuaranteesNoEffect(reply.error);
    if (promised && caller->writes) {
      cluster_.CallerHistory().OnRefused(caller->attempt);
    }
    if (reply.state != model::TransactionState::kIdle) {
      caller->daemon->Command(caller->session,
                              {caller->attempt, MakeCommand(CommandKind::kRollback)});
      // The answer to the rollback is ignored: a new session is simpler.
      caller->daemon->CloseSession(caller->session);
      const bool may_retry = promised || !caller->commit_sent;
      OnFailure(caller, may_retry);
      return;
    }
    OnFailure(caller, promised || !caller->writes || !caller->commit_sent);
    return;
  }
  if (model::RunsOnInstance(command.kind) && reply.signature != caller->attempt) {
    cluster_.SimWorld().Report("MIXED", caller->attempt + " got the answer of " + reply.signature);
  }
  if (command.kind == CommandKind::kPrepare) {
    cluster_.CallerHistory().Find(caller->attempt)->prepared = command.prepared.text;
  }
  if (command.kind == CommandKind::kSet) {
    caller->values[command.name] = command.arguments;
    cluster_.CallerHistory().Find(caller->attempt)->values = caller->values;
  }
  ++caller->next;
  if (caller->next < caller->commands.size()) {
    SendNext(caller);
    return;
  }
  OnSuccess(caller, reply);
}

void Callers::OnSuccess(const std::shared_ptr<Caller>& caller, const model::Reply& reply) {
  caller->active = false;
  cluster_.CallerHistory().OnSuccess();
  ++SummaryAt(caller->began).succeeded;
  if (caller->writes) {
    cluster_.CallerHistory().OnAcknowledged(caller->attempt,
                                            reply.position.value_or(common::Position{}));
    writes_[caller->service].push_back(cluster_.SimWorld().Now());
  }
  ScheduleOperation(caller);
}

void Callers::OnFailure(const std::shared_ptr<Caller>& caller, bool may_retry) {
  World& world = cluster_.SimWorld();
  const bool again = may_retry && caller->retries < kMaxRetries && world.Now() < stop_at_;
  if (!again) {
    caller->active = false;
    Connect(caller);
    return;
  }
  // The session's values are lost with it, so the operation is retried on a new session.
  caller->active = false;
  const std::uint32_t retries = caller->retries + 1;
  caller->daemon->CloseSession(caller->session);
  world.After(kRetryDelay, [this, caller, retries, epoch = caller->epoch] {
    if (epoch == caller->epoch) {
      Connect(caller);
      caller->retries = retries;
    }
  });
}

void Callers::OnClosed(const std::shared_ptr<Caller>& caller) {
  caller->active = false;
  Connect(caller);
}

SecondSummary& Callers::SummaryAt(common::Instant at) {
  const auto second =
      static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(at).count());
  if (seconds_.size() <= second) {
    seconds_.resize(second + 1);
  }
  return seconds_[second];
}

Duration Callers::LongestWriteGap(const std::string& service, common::Instant from,
                                  common::Instant to) const {
  Duration longest{0};
  common::Instant last = from;
  const auto found = writes_.find(service);
  if (found != writes_.end()) {
    for (const common::Instant write : found->second) {
      if (write < from || write > to) {
        continue;
      }
      longest = std::max(longest, write - last);
      last = write;
    }
  }
  return std::max(longest, to - last);
}

}  // namespace valvekeel::proxysim
