#include "proxysim/fault_sequences.h"

#include <array>
#include <iterator>
#include <utility>

namespace valvekeel::proxysim {
namespace {

using common::Duration;

constexpr const char* kPlatform = "platform";
constexpr Duration kBlindTime{1'000'000};
constexpr Duration kStoreAway{1'200'000};
constexpr Duration kDaemonsAway{500'000};
constexpr Duration kDaemonAway{300'000};
constexpr Duration kQuietTime{100'000};
constexpr double kPlannedProbability = 0.4;
constexpr double kStoreAwayProbability = 0.3;

}  // namespace

void FaultSequences::LogEvent(const std::string& what) {
  event_log_.push_back(std::to_string(world_.Now().count() / 1000) + " ms: " + what);
}

FaultSequences::Target FaultSequences::DrawTarget() {
  auto drawn = cluster_.Groups().begin();
  std::advance(drawn, world_.RandomBelow(cluster_.Groups().size()));
  Target target;
  DatabaseGroup& group = *drawn->second;
  const SimulatedInstance* primary = group.Primary();
  std::vector<std::string> replicas;
  for (const auto& [id, instance] : group.Instances()) {
    if (instance.alive && !instance.primary && !instance.replication_blocked) {
      replicas.push_back(id);
    }
  }
  if (primary == nullptr || !primary->alive || replicas.size() < 2) {
    return target;
  }
  const std::size_t first = world_.RandomBelow(replicas.size());
  const std::size_t second =
      (first + 1 + world_.RandomBelow(replicas.size() - 1)) % replicas.size();
  return {&group, primary->id, replicas[first], replicas[second]};
}

void FaultSequences::Begin() {
  using Sequence = void (FaultSequences::*)(const Target&);
  static const std::array<Sequence, 4> kSequences = {
      &FaultSequences::LeaveWithCommits, &FaultSequences::JoinUnseen,
      &FaultSequences::ReplaceBehindCut, &FaultSequences::HideReplica};
  const Target target = DrawTarget();
  const std::uint64_t drawn = world_.RandomBelow(kSequences.size());
  if (target.group != nullptr) {
    (this->*kSequences[drawn])(target);
  }
}

void FaultSequences::BeginRestart() {
  const Target target = DrawTarget();
  const bool freezes = world_.Chance(0.5);
  if (target.group == nullptr || busy_) {
    return;
  }
  busy_ = true;
  After(kLongest, [this] { busy_ = false; });
  if (freezes) {
    FreezeHolder(target);
  } else {
    RestartWriter(target);
  }
}

void FaultSequences::Block(DatabaseGroup& group, const std::string& id, Duration length) {
  LogEvent(id + " receives nothing");
  const auto set = [&group, id](bool blocked) {
    const auto found = group.Instances().find(id);
    if (found != group.Instances().end()) {
      found->second.replication_blocked = blocked;
    }
  };
  set(true);
  After(length, [set] { set(false); });
}

void FaultSequences::CrashPrimary(const Target& target, Duration length) {
  const auto found = target.group->Instances().find(target.primary);
  if (found == target.group->Instances().end() || !found->second.alive) {
    return;
  }
  LogEvent("crash " + target.primary);
  target.group->Crash(target.primary, false);
  After(length, [target] { target.group->Restart(target.primary); });
}

void FaultSequences::RefuseStore(Duration length) {
  LogEvent("the store refuses");
  world_.RecordFault(kStore);
  cluster_.Store().faults.refusing = true;
  After(length, [this] {
    world_.RecordFault(kStore);
    cluster_.Store().faults = StoreFaults{};
  });
}

void FaultSequences::RestartDaemons() {
  const bool planned = world_.Chance(kPlannedProbability);
  LogEvent(planned ? "stop all daemons" : "kill all daemons");
  for (const auto& daemon : cluster_.Daemons()) {
    DaemonHost* host = daemon.get();
    if (planned) {
      host->Stop();
    } else {
      host->Kill();
      After(kDaemonsAway, [host] { host->Start(); });
    }
  }
  if (world_.Chance(kStoreAwayProbability)) {
    RefuseStore(kStoreAway);
  }
}

void FaultSequences::LeaveWithCommits(const Target& target) {
  Block(*target.group, target.first, std::chrono::seconds(12));
  const bool crashes_too = world_.Chance(0.5);
  After(std::chrono::milliseconds(1500), [this, target] {
    const auto found = target.group->Instances().find(target.second);
    if (found == target.group->Instances().end() || !found->second.alive) {
      return;
    }
    LogEvent("crash " + target.second);
    target.group->Crash(target.second, false);
    After(std::chrono::seconds(10), [target] { target.group->Restart(target.second); });
  });
  After(world_.RandomBetween(std::chrono::seconds(3), std::chrono::seconds(7)),
        [this, target, crashes_too] {
          RestartDaemons();
          if (crashes_too) {
            CrashPrimary(target, std::chrono::seconds(5));
          }
        });
}

void FaultSequences::JoinUnseen(const Target& target) {
  for (const auto& [id, instance] : target.group->Instances()) {
    if (instance.alive && !instance.primary) {
      Block(*target.group, id, std::chrono::seconds(10));
    }
  }
  if (world_.Chance(kStoreAwayProbability)) {
    RefuseStore(kStoreAway);
  } else {
    LogEvent("watches of the store hear nothing");
    cluster_.Store().faults.watches_blind = true;
    After(kBlindTime, [this] {
      cluster_.Store().faults.watches_blind = false;
      cluster_.Store().Compact();
    });
  }
  const std::string coming = target.group->Service() + "-j" + std::to_string(++joined_);
  After(std::chrono::milliseconds(50), [this, target, coming] {
    LogEvent(coming + " joins");
    target.group->AddReplica(coming);
  });
  After(world_.RandomBetween(std::chrono::milliseconds(200), std::chrono::milliseconds(900)),
        [this, target] { CrashPrimary(target, std::chrono::seconds(7)); });
}

void FaultSequences::ReplaceBehindCut(const Target& target) {
  const auto& daemons = cluster_.Daemons();
  const std::string behind = daemons[world_.RandomBelow(daemons.size())]->Name();
  const auto cut = [this](const std::string& a, const std::string& b) {
    world_.CutBoth(a, b);
    After(std::chrono::seconds(10), [this, a, b] { world_.HealBoth(a, b); });
  };
  LogEvent("cut " + behind + " from the store and the other daemons");
  cut(behind, kStore);
  cut(behind, kPlatform);
  for (const auto& other : daemons) {
    if (other->Name() != behind) {
      cut(behind, other->Name());
    }
  }
  Block(*target.group, target.first, std::chrono::seconds(9));
  const std::string coming = target.group->Service() + "-j" + std::to_string(++joined_);
  After(std::chrono::milliseconds(300), [this, target, coming] {
    LogEvent(coming + " joins");
    target.group->AddReplica(coming);
  });
  const bool reaches_two = world_.Chance(0.5);
  After(std::chrono::milliseconds(1500), [this, target, behind, cut, reaches_two] {
    LogEvent("cut " + target.primary + " from the replicas and the other daemons");
    for (const auto& [id, instance] : target.group->Instances()) {
      if (id != target.primary) {
        cut(target.primary, id);
      }
      if (reaches_two && id != target.primary && id != target.first) {
        cut(behind, id);
      }
    }
    for (const auto& other : cluster_.Daemons()) {
      if (other->Name() != behind) {
        cut(other->Name(), target.primary);
      }
    }
  });
}

void FaultSequences::HideReplica(const Target& target) {
  LogEvent("cut " + target.second + " from the store and all daemons");
  cluster_.CutOffInstance(target.second);
  After(std::chrono::seconds(11), [this, target] { cluster_.ReconnectInstance(target.second); });
  const bool restarts = world_.Chance(0.5);
  After(std::chrono::milliseconds(5500),
        [this, target] { Block(*target.group, target.first, std::chrono::seconds(6)); });
  if (restarts) {
    After(std::chrono::milliseconds(6500), [this] { RestartDaemons(); });
  }
  After(world_.RandomBetween(std::chrono::milliseconds(7000), std::chrono::milliseconds(9500)),
        [this, target] { CrashPrimary(target, std::chrono::milliseconds(4500)); });
}

void FaultSequences::RestartWriter(const Target& target) {
  const auto& daemons = cluster_.Daemons();
  DaemonHost* writer = daemons[world_.RandomBelow(daemons.size())].get();
  for (const auto& [id, instance] : target.group->Instances()) {
    if (instance.alive && !instance.primary && id != target.second) {
      Block(*target.group, id, std::chrono::seconds(12));
    }
  }
  LogEvent("callers use only " + writer->Name());
  cluster_.only_daemon = writer->Name();
  const bool planned = world_.Chance(kPlannedProbability);
  const Duration restart = world_.RandomBetween(std::chrono::seconds(2), std::chrono::seconds(4));
  After(restart - kQuietTime, [this] { cluster_.callers_rest = true; });
  After(restart, [this, writer, planned] {
    LogEvent((planned ? "stop " : "kill ") + writer->Name());
    if (planned) {
      writer->Stop();
    } else {
      writer->Kill();
      After(kDaemonAway, [writer] { writer->Start(); });
    }
  });
  const Duration crash =
      restart + world_.RandomBetween(std::chrono::milliseconds(700), std::chrono::seconds(5));
  After(crash, [this, target] {
    CrashPrimary(target, std::chrono::seconds(4));
    const auto found = target.group->Instances().find(target.second);
    if (found != target.group->Instances().end() && found->second.alive) {
      LogEvent("crash " + target.second);
      target.group->Crash(target.second, false);
      After(std::chrono::seconds(4), [target] { target.group->Restart(target.second); });
    }
  });
  After(crash + std::chrono::seconds(2), [this] {
    cluster_.only_daemon.clear();
    cluster_.callers_rest = false;
  });
}

void FaultSequences::FreezeHolder(const Target& target) {
  LogEvent("opening packets to the platform are lost");
  cluster_.drops_openings = true;
  After(std::chrono::seconds(4), [this] { cluster_.drops_openings = false; });
  CrashPrimary(target, std::chrono::seconds(7));
  After(world_.RandomBetween(std::chrono::milliseconds(300), std::chrono::milliseconds(2500)),
        [this] {
          DaemonHost* holder = cluster_.PromotionHolder();
          if (holder == nullptr) {
            return;
          }
          LogEvent("freeze " + holder->Name());
          holder->Freeze();
          After(std::chrono::seconds(5), [holder] { holder->Thaw(); });
        });
}

}  // namespace valvekeel::proxysim
