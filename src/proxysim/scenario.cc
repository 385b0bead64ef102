#include "proxysim/scenario.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <memory>
#include <utility>

#include "proxysim/callers.h"
#include "proxysim/fault_sequences.h"

namespace valvekeel::proxysim {
namespace {

using common::Duration;
using common::Instant;

constexpr Duration kMinFaultTime{1'500'000};
constexpr Duration kMaxFaultTime{7'000'000};
constexpr Duration kReplacementStartTime{1'500'000};
constexpr Duration kDrainTime{8'000'000};
constexpr Duration kFinalPeriod{3'000'000};
constexpr double kRenamedProbability = 0.5;
constexpr double kMinServedAtEnd = 0.9;
const std::string kPlatform = "platform";

constexpr std::size_t kKeyChanges = 8;     // in a scenario with tenants
constexpr std::size_t kEvacuations = 3;    // in a scenario with evacuations
constexpr std::size_t kRegionChanges = 8;  // in a scenario with regions
constexpr std::size_t kRegions = 2;
constexpr std::size_t kConfigurationChanges = 4;  // in a scenario of planned stops
constexpr double kRefusedPreparations = 0.05;     // share, if instances refuse some
constexpr std::size_t kRestores = 3;              // in a scenario with store restores

/// Draws and injects the faults of one scenario.
class FaultInjector {
 public:
  /// @param restart_empty crashed instances restart under their id without their data.
  FaultInjector(Cluster& cluster, std::vector<std::string>& event_log, bool restart_empty)
      : cluster_(cluster),
        world_(cluster.SimWorld()),
        event_log_(event_log),
        restart_empty_(restart_empty) {}

  /// Begins a random fault now; its end is scheduled.
  void Begin() {
    static constexpr std::size_t kKinds = 16;
    using Fault = void (FaultInjector::*)();
    static const std::array<Fault, kKinds> kFaults = {
        &FaultInjector::KillDaemon,         &FaultInjector::KillMany,
        &FaultInjector::FreezeDaemon,       &FaultInjector::StopDaemon,
        &FaultInjector::CutFromStore,       &FaultInjector::CutFromDaemons,
        &FaultInjector::CutFromInstance,    &FaultInjector::CrashPrimary,
        &FaultInjector::UnreachablePrimary, &FaultInjector::CrashReplica,
        &FaultInjector::CutPrimary,         &FaultInjector::LagReplicas,
        &FaultInjector::BlockReplication,   &FaultInjector::DisturbStore,
        &FaultInjector::ReplacePrimary,     &FaultInjector::LoseAnswers};
    const bool zones_return = cluster_.Shape().group.warm_up.time > Duration(0);
    const std::uint64_t drawn = world_.RandomBelow(zones_return ? kKinds + 1 : kKinds);
    if (drawn == kKinds) {
      CrashZone();
    } else {
      (this->*kFaults[drawn])();
    }
  }

  void KillMany() {
    LogEvent("kill most daemons");
    for (const auto& daemon : cluster_.Daemons()) {
      if (world_.Chance(0.7)) {
        DaemonHost* killed = daemon.get();
        killed->Kill();
        world_.After(kMinFaultTime, [killed] { killed->Start(); });
      }
    }
  }

  void CrashPrimary() {
    DatabaseGroup& group = RandomGroup();
    Crash(group, group.Primary() == nullptr ? "" : group.Primary()->id, false);
  }

  /// Cuts all links between the two regions. With kStoreInOneRegionProbability the second region
  /// loses the store and the platform too.
  void CutRegions() {
    const std::map<std::string, std::string> regions = cluster_.Regions();
    std::map<std::string, std::vector<std::string>> parties;
    for (const auto& daemon : cluster_.Daemons()) {
      parties[regions.at(daemon->Zone())].push_back(daemon->Name());
    }
    for (const auto& [service, group] : cluster_.Groups()) {
      for (const auto& [id, instance] : group->Instances()) {
        parties[regions.at(cluster_.ZoneOfInstance(id))].push_back(id);
      }
    }
    if (world_.Chance(kStoreInOneRegionProbability)) {
      parties[RegionName(0)].insert(parties[RegionName(0)].end(), {kStore, kPlatform});
    }
    LogEvent("cut the regions");
    const Duration length = RandomLength();
    for (const std::string& near : parties[RegionName(0)]) {
      for (const std::string& far : parties[RegionName(1)]) {
        world_.CutBoth(near, far);
        world_.After(length, [this, near, far] { world_.HealBoth(near, far); });
      }
    }
  }

 private:
  static constexpr double kStoreInOneRegionProbability = 0.5;
  static constexpr double kStaysPrimaryProbability = 0.5;
  static constexpr Duration kMinEmptyRestartInterval{10'000'000};

  Duration RandomLength() { return world_.RandomBetween(kMinFaultTime, kMaxFaultTime); }

  DaemonHost& RandomDaemon() {
    return *cluster_.Daemons()[world_.RandomBelow(cluster_.Daemons().size())];
  }

  DatabaseGroup& RandomGroup() {
    auto group = cluster_.Groups().begin();
    std::advance(group, world_.RandomBelow(cluster_.Groups().size()));
    return *group->second;
  }

  std::string RandomReplica(DatabaseGroup& group) {
    std::vector<std::string> replicas;
    for (const auto& [id, instance] : group.Instances()) {
      if (!instance.primary && instance.alive) {
        replicas.push_back(id);
      }
    }
    return replicas.empty() ? "" : replicas[world_.RandomBelow(replicas.size())];
  }

  void LogEvent(const std::string& what) {
    event_log_.push_back(std::to_string(world_.Now().count() / 1000) + " ms: " + what);
  }

  void KillDaemon() {
    DaemonHost& daemon = RandomDaemon();
    LogEvent("kill " + daemon.Name());
    daemon.Kill();
    world_.After(RandomLength(), [&daemon] { daemon.Start(); });
  }

  void FreezeDaemon() {
    DaemonHost& daemon = RandomDaemon();
    LogEvent("freeze " + daemon.Name());
    daemon.Freeze();
    world_.After(RandomLength(), [&daemon] { daemon.Thaw(); });
  }

  void StopDaemon() {
    DaemonHost& daemon = RandomDaemon();
    LogEvent("stop " + daemon.Name());
    daemon.Stop();
  }

  void CutPair(const std::string& a, const std::string& b, bool one_way) {
    world_.Cut(a, b);
    if (!one_way) {
      world_.Cut(b, a);
    }
    world_.After(RandomLength(), [this, a, b] { world_.HealBoth(a, b); });
  }

  void CutFromStore() {
    DaemonHost& daemon = RandomDaemon();
    const bool one_way = world_.Chance(0.3);
    LogEvent("cut " + daemon.Name() + " from the store");
    CutPair(daemon.Name(), kStore, one_way);
    CutPair(daemon.Name(), kPlatform, one_way);
  }

  void CutFromDaemons() {
    DaemonHost& daemon = RandomDaemon();
    const bool one_way = world_.Chance(0.3);
    LogEvent("cut " + daemon.Name() + " from the other daemons");
    for (const auto& other : cluster_.Daemons()) {
      if (other->Name() != daemon.Name()) {
        CutPair(daemon.Name(), other->Name(), one_way);
      }
    }
  }

  void CutFromInstance() {
    DaemonHost& daemon = RandomDaemon();
    DatabaseGroup& group = RandomGroup();
    for (const auto& [id, instance] : group.Instances()) {
      if (world_.Chance(0.6)) {
        LogEvent("cut " + daemon.Name() + " from " + id);
        CutPair(daemon.Name(), id, world_.Chance(0.3));
      }
    }
  }

  /// Restarts an instance without its data. Does nothing while another instance is down or shortly
  /// after another such restart: the data may then exist nowhere else, and the group would wait for
  /// it forever.
  void RestartEmpty(DatabaseGroup& group, const std::string& id) {
    const auto& instances = group.Instances();
    const bool all_there = std::all_of(instances.begin(), instances.end(), [](const auto& each) {
      return each.second.alive && !each.second.replication_blocked;
    });
    Instant& last = last_empty_restart_[group.Service()];
    if (!all_there || (last != Instant(0) && world_.Now() < last + kMinEmptyRestartInterval)) {
      return;
    }
    last = world_.Now();
    const bool leads = instances.at(id).primary && world_.Chance(kStaysPrimaryProbability);
    LogEvent(id + " starts anew" + (leads ? ", and leads on" : ""));
    group.Crash(id, false);
    world_.After(world_.RandomBetween(Duration(0), kMinFaultTime),
                 [&group, id, leads] { group.RestartEmpty(id, leads); });
  }

  void Crash(DatabaseGroup& group, const std::string& id, bool silent) {
    if (id.empty() || !group.Instances().at(id).alive) {
      return;
    }
    if (restart_empty_) {
      RestartEmpty(group, id);
      return;
    }
    LogEvent(std::string(silent ? "darken " : "crash ") + id);
    if (silent) {
      for (const auto& daemon : cluster_.Daemons()) {
        world_.CutBoth(daemon->Name(), id);
      }
    }
    group.Crash(id, silent);
    world_.After(RandomLength(), [this, &group, id] {
      for (const auto& daemon : cluster_.Daemons()) {
        world_.HealBoth(daemon->Name(), id);
      }
      if (world_.Chance(kRenamedProbability) && group.Instances().contains(id) &&
          !group.Instances().at(id).alive) {
        group.RestartRenamed(id, id + "r");
        cluster_.Store().Delete(model::Collection::kInstances, id);
      } else {
        group.Restart(id);
      }
    });
  }

  void UnreachablePrimary() {
    DatabaseGroup& group = RandomGroup();
    Crash(group, group.Primary() == nullptr ? "" : group.Primary()->id, true);
  }

  void CrashReplica() {
    DatabaseGroup& group = RandomGroup();
    Crash(group, RandomReplica(group), world_.Chance(0.5));
  }

  /// Crashes all instances of a zone at once; they restart one by one.
  void CrashZone() {
    const std::string zone = ZoneName(world_.RandomBelow(cluster_.Shape().zones));
    LogEvent("crash the instances of " + zone);
    for (auto& [service, group] : cluster_.Groups()) {
      std::vector<std::string> lost;
      for (const auto& [id, instance] : group->Instances()) {
        if (cluster_.ZoneOfInstance(id) == zone) {
          lost.push_back(id);
        }
      }
      for (const std::string& id : lost) {
        Crash(*group, id, false);
      }
    }
  }

  void CutPrimary() {
    DatabaseGroup& group = RandomGroup();
    if (group.Primary() == nullptr) {
      return;
    }
    const std::string primary = group.Primary()->id;
    if (world_.Chance(0.5)) {
      LogEvent("cut " + primary + " from its replicas");
      for (const auto& [id, instance] : group.Instances()) {
        if (id != primary) {
          CutPair(primary, id, false);
        }
      }
      return;
    }
    LogEvent("cut " + primary + " from half of the daemons");
    for (const auto& daemon : cluster_.Daemons()) {
      if (world_.Chance(0.5)) {
        CutPair(daemon->Name(), primary, world_.Chance(0.3));
      }
    }
  }

  void LagReplicas() {
    DatabaseGroup& group = RandomGroup();
    LogEvent("replicas of " + group.Service() + " lag");
    for (auto& [id, instance] : group.Instances()) {
      const std::string lagging = id;
      const Duration before = instance.lag;
      instance.lag = world_.RandomBetween(std::chrono::milliseconds(300), std::chrono::seconds(5));
      world_.After(RandomLength(), [&group, lagging, before] {
        const auto found = group.Instances().find(lagging);
        if (found != group.Instances().end()) {
          found->second.lag = before;
        }
      });
    }
  }

  void BlockReplication() {
    DatabaseGroup& group = RandomGroup();
    const std::string id = RandomReplica(group);
    if (id.empty()) {
      return;
    }
    LogEvent(id + " receives nothing");
    group.Instances().at(id).replication_blocked = true;
    world_.After(RandomLength(), [&group, id] {
      const auto found = group.Instances().find(id);
      if (found != group.Instances().end()) {
        found->second.replication_blocked = false;
      }
    });
  }

  void DisturbStore() {
    world_.RecordFault(kStore);
    StoreFaults& faults = cluster_.Store().faults;
    switch (world_.RandomBelow(5)) {
      case 0:
        LogEvent("the store refuses");
        faults.refusing = true;
        break;
      case 1:
        LogEvent("the store is silent");
        faults.unresponsive = true;
        break;
      case 2:
        LogEvent("the store is slow");
        faults.extra_delay = std::chrono::milliseconds(300);
        break;
      case 3:
        LogEvent("the store loses answers");
        faults.lost_answer_share = 0.5;
        faults.late_writes = world_.Chance(0.5);
        break;
      default:
        LogEvent("the store forgets its history");
        cluster_.ChangeConfiguration();
        cluster_.Store().Compact();
        return;
    }
    world_.After(RandomLength(), [this] {
      world_.RecordFault(kStore);
      cluster_.Store().faults = StoreFaults{};
    });
  }

  void ReplacePrimary() {
    DatabaseGroup& group = RandomGroup();
    SimulatedInstance* primary = group.Primary();
    if (primary == nullptr || primary->draining) {
      return;
    }
    const std::string leaving = primary->id;
    const std::string coming = group.Service() + "-n" + std::to_string(++replacements_);
    LogEvent("replace " + leaving + " by " + coming);
    group.AddReplica(coming);
    world_.After(kReplacementStartTime, [this, &group, leaving] {
      const auto found = group.Instances().find(leaving);
      if (found != group.Instances().end()) {
        found->second.draining = true;
        cluster_.WriteInstanceEntry(group, found->second);
      }
    });
    world_.After(kReplacementStartTime + kDrainTime, [this, &group, leaving] {
      group.RemoveInstance(leaving);
      cluster_.Store().Delete(model::Collection::kInstances, leaving);
    });
  }

  void LoseAnswers() {
    DatabaseGroup& group = RandomGroup();
    LogEvent("answers of " + group.Service() + " are lost");
    group.SetLostAnswerShare(0.1);
    world_.After(RandomLength(), [&group] { group.SetLostAnswerShare(0); });
  }

  Cluster& cluster_;
  World& world_;
  std::vector<std::string>& event_log_;
  std::uint64_t replacements_ = 0;
  bool restart_empty_ = false;
  std::map<std::string, Instant> last_empty_restart_;  // by service
};

/// Repeated rolling stops of all daemons: one to three at a time, each batch soon after the
/// previous.
class RollingStops {
 public:
  RollingStops(Cluster& cluster, std::vector<std::string>& event_log)
      : cluster_(cluster), world_(cluster.SimWorld()), event_log_(event_log) {}

  /// Begins rolling stops that repeat until a time.
  void Begin(Instant until) {
    until_ = until;
    StopNext();
  }

  std::size_t Stops() const { return stops_; }

 private:
  static constexpr std::size_t kMaxAtATime = 3;
  static constexpr Duration kMinStopInterval{300'000};
  static constexpr Duration kMaxStopInterval{4'000'000};

  void StopNext() {
    if (world_.Now() >= until_) {
      return;
    }
    if (remaining_.empty()) {
      for (const auto& daemon : cluster_.Daemons()) {
        remaining_.push_back(daemon.get());
      }
    }
    std::string names;
    for (std::size_t more = 1 + world_.RandomBelow(kMaxAtATime); more > 0 && !remaining_.empty();
         --more) {
      const std::size_t drawn = world_.RandomBelow(remaining_.size());
      DaemonHost& daemon = *remaining_[drawn];
      remaining_.erase(remaining_.begin() + static_cast<std::ptrdiff_t>(drawn));
      if (daemon.IsOperating()) {
        ++stops_;
        names += " " + daemon.Name();
        daemon.Stop();
      }
    }
    event_log_.push_back(std::to_string(world_.Now().count() / 1000) + " ms: stop" + names);
    world_.After(world_.RandomBetween(kMinStopInterval, kMaxStopInterval), [this] { StopNext(); });
  }

  Cluster& cluster_;
  World& world_;
  std::vector<std::string>& event_log_;
  std::vector<DaemonHost*> remaining_;  // daemons not yet stopped in the current rolling stop
  Instant until_{0};
  std::size_t stops_ = 0;
};

/// Short store outages that end with a restore from a copy, mostly together with other events.
class StoreRestores {
 public:
  StoreRestores(Cluster& cluster, FaultInjector& injector, std::vector<std::string>& event_log)
      : cluster_(cluster), world_(cluster.SimWorld()), injector_(injector), event_log_(event_log) {}

  void Begin() {
    if (world_.Chance(kChangeProbability)) {
      cluster_.ChangeConfiguration();
    }
    if (world_.Chance(kCrashProbability)) {
      injector_.CrashPrimary();
    }
    if (world_.Chance(kKillProbability)) {
      injector_.KillMany();
    }
    world_.After(world_.RandomBetween(Duration(0), kMaxLeadTime), [this] { BeginOutage(); });
  }

 private:
  static constexpr double kChangeProbability = 0.6;
  static constexpr double kCrashProbability = 0.5;
  static constexpr double kKillProbability = 0.1;
  static constexpr double kCompactProbability = 0.2;
  static constexpr Duration kMaxLeadTime{1'500'000};
  static constexpr Duration kMinOutage{50'000};
  static constexpr Duration kMaxOutage{3'000'000};
  static constexpr Duration kMaxCopyAge{5'000'000};
  static constexpr std::size_t kChangesAfter = 3;
  static constexpr Duration kChangesWithin{9'000'000};

  void BeginOutage() {
    const Duration age = world_.RandomBetween(Duration(0), kMaxCopyAge);
    event_log_.push_back(std::to_string(world_.Now().count() / 1000) + " ms: the store goes, and " +
                         "returns from a copy " + std::to_string(age.count() / 1000) + " ms old");
    world_.RecordFault(kStore);
    (world_.Chance(0.5) ? cluster_.Store().faults.refusing : cluster_.Store().faults.unresponsive) =
        true;
    world_.After(world_.RandomBetween(kMinOutage, kMaxOutage), [this, age] { EndOutage(age); });
  }

  void EndOutage(Duration age) {
    world_.RecordFault(kStore);
    cluster_.Store().faults = StoreFaults{};
    cluster_.Store().Restore(age);
    if (world_.Chance(kCompactProbability)) {
      cluster_.Store().Compact();
    }
    for (std::size_t change = 0; change < kChangesAfter; ++change) {
      world_.After(world_.RandomBetween(Duration(0), kChangesWithin),
                   [this] { cluster_.ChangeConfiguration(); });
    }
  }

  Cluster& cluster_;
  World& world_;
  FaultInjector& injector_;
  std::vector<std::string>& event_log_;
};

/// Revokes keys and assigns them again, to the same tenant or another.
class KeyChanges {
 public:
  explicit KeyChanges(Cluster& cluster) : cluster_(cluster), world_(cluster.SimWorld()) {}

  void Begin() {
    const std::vector<std::string> keys = cluster_.Keys().Keys();
    const std::string& key = keys[world_.RandomBelow(keys.size())];
    const std::string next = TenantName(world_.RandomBelow(cluster_.Shape().tenants));
    if (world_.Chance(kReassignProbability)) {
      cluster_.ChangeKey(key, next);
      return;
    }
    cluster_.ChangeKey(key, "");
    world_.After(kKeyRemovedTime, [this, key, next] { cluster_.ChangeKey(key, next); });
  }

 private:
  static constexpr double kReassignProbability = 0.3;
  static constexpr Duration kKeyRemovedTime{9'000'000};

  Cluster& cluster_;
  World& world_;
};

/// Evacuates zones: mostly one, sometimes two or all.
class Evacuations {
 public:
  Evacuations(Cluster& cluster, std::vector<std::string>& event_log)
      : cluster_(cluster), world_(cluster.SimWorld()), event_log_(event_log) {}

  void Begin() {
    const std::size_t zones = cluster_.Shape().zones;
    const std::size_t first = world_.RandomBelow(zones);
    const std::size_t most =
        world_.Chance(kAllZonesProbability) ? zones : 1 + world_.RandomBelow(2);
    const Duration length = world_.RandomBetween(kMinEvacuationTime, kMaxEvacuationTime);
    for (std::size_t next = 0; next < std::min(most, zones); ++next) {
      Begin(ZoneName((first + next) % zones), length);
    }
  }

  std::size_t Count() const { return count_; }

 private:
  static constexpr double kAllZonesProbability = 0.1;
  static constexpr Duration kMinEvacuationTime{1'500'000};
  static constexpr Duration kMaxEvacuationTime{12'000'000};

  void Begin(const std::string& zone, Duration length) {
    if (cluster_.IsEvacuated(zone)) {
      return;
    }
    ++count_;
    LogEvent("evacuate " + zone);
    cluster_.Evacuate(zone);
    world_.After(length, [this, zone] {
      LogEvent("take back " + zone);
      cluster_.EndEvacuation(zone);
    });
  }

  void LogEvent(const std::string& what) {
    event_log_.push_back(std::to_string(world_.Now().count() / 1000) + " ms: " + what);
  }

  Cluster& cluster_;
  World& world_;
  std::vector<std::string>& event_log_;
  std::size_t count_ = 0;
};

/// Changes the regions to which routes and tenants are limited.
class RegionChanges {
 public:
  explicit RegionChanges(Cluster& cluster) : cluster_(cluster), world_(cluster.SimWorld()) {}

  /// Draws new limits for a random route or tenant.
  void Change() {
    const std::size_t tenants = cluster_.Shape().tenants;
    if (tenants > 0 && world_.Chance(kTenantProbability)) {
      cluster_.LimitTenant(TenantName(world_.RandomBelow(tenants)), DrawRegions());
      return;
    }
    const model::Configuration configuration = cluster_.CurrentConfiguration();
    auto route = configuration.routes.begin();
    std::advance(route, world_.RandomBelow(configuration.routes.size()));
    cluster_.LimitRoute(route->first, DrawRegions());
  }

  /// Limits each service's routes to a region in which it has an instance; tenants are not limited.
  void SetFinalLimits() {
    for (std::size_t tenant = 0; tenant < cluster_.Shape().tenants; ++tenant) {
      cluster_.LimitTenant(TenantName(tenant), {});
    }
    const model::Configuration configuration = cluster_.CurrentConfiguration();
    for (const auto& [database, route] : configuration.routes) {
      cluster_.LimitRoute(database, {RegionOfService(route.service)});
    }
  }

 private:
  static constexpr double kTenantProbability = 0.4;

  std::vector<std::string> DrawRegions() {
    std::vector<std::string> regions;
    for (std::size_t region = 0; region < kRegions; ++region) {
      if (world_.Chance(0.5)) {
        regions.push_back(RegionName(region));
      }
    }
    return regions;
  }

  std::string RegionOfService(const std::string& service) {
    const std::map<std::string, std::string> regions = cluster_.Regions();
    for (const auto& [id, instance] : cluster_.Groups().at(service)->Instances()) {
      if (instance.alive && !instance.draining) {
        return regions.at(cluster_.ZoneOfInstance(id));
      }
    }
    return RegionName(0);
  }

  Cluster& cluster_;
  World& world_;
};

void AddTenants(const ScenarioOptions& options, ClusterShape& shape) {
  constexpr std::size_t kTenants = 4;
  if (!options.tenants) {
    return;
  }
  shape.tenants = kTenants;
  shape.tenancy.keys_required = true;
  shape.tenancy.revocation_limit = options.key_proof ? kRevocationLimit : Duration(0);
}

void AddWarmUp(const ScenarioOptions& options, ClusterShape& shape) {
  if (options.warm_up) {
    shape.group.warm_up = {std::chrono::seconds(6), 8};
    shape.group.tolerance = {1.5, 5};
  }
}

ClusterShape DrawnShape(const ScenarioOptions& options) {
  ClusterShape shape;
  AddWarmUp(options, shape);
  shape.mechanisms = options.mechanisms;
  AddTenants(options, shape);
  shape.use_load_balancer = options.planned_stops;
  shape.evacuation_limit = options.evacuations ? kEvacuationLimit : Duration(0);
  shape.check_configuration = options.store_restores;
  if (options.large) {
    World draw(options.seed * 6007);
    shape.daemons = 18 + draw.RandomBelow(9);
    shape.zones = 2 + draw.RandomBelow(3);
    shape.group.max_connections = 24 + draw.RandomBelow(12);
    return shape;
  }
  if (!options.draw_shape) {
    return shape;
  }
  World draw(options.seed * 7919);
  shape.daemons = 3 + draw.RandomBelow(10);
  shape.zones = 1 + draw.RandomBelow(5);
  shape.groups = 1 + draw.RandomBelow(3);
  shape.group.instances = 2 + draw.RandomBelow(4);
  shape.group.sync_replicas = static_cast<std::uint32_t>(
      draw.RandomBelow(std::min<std::uint64_t>(3, shape.group.instances)));
  shape.group.slots = 2 + draw.RandomBelow(3);
  shape.group.max_connections = 30 + draw.RandomBelow(40);
  return shape;
}

ClusterShape ShapeOf(const ScenarioOptions& options) {
  ClusterShape shape = DrawnShape(options);
  if (options.regions) {
    shape.regions = kRegions;
    shape.group.sends_log_at_restart =
        true;  // there may be no next commit: work may not be allowed there
    shape.zones = std::max(shape.zones, kRegions);
  }
  return shape;
}

double ServedAtEnd(const Callers& callers, Instant end) {
  const auto last =
      static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(end).count());
  const auto span = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(kFinalPeriod).count());
  std::size_t begun = 0;
  std::size_t succeeded = 0;
  for (std::size_t second = last - span; second < last && second < callers.Seconds().size();
       ++second) {
    begun += callers.Seconds()[second].begun;
    succeeded += callers.Seconds()[second].succeeded;
  }
  return begun == 0 ? 0 : static_cast<double>(succeeded) / static_cast<double>(begun);
}

void PrintLine(const World& world, const std::string& daemon, const proxy::LogEvent& event) {
  std::cout << world.Now().count() / 1000 << " ms " << daemon << " " << event.event;
  for (const auto& [name, value] : event.fields) {
    std::cout << " " << name << "=" << value;
  }
  std::cout << "\n";
}

}  // namespace

ScenarioResult RunScenario(const ScenarioOptions& options) {
  ScenarioResult result;
  ClusterShape shape = ShapeOf(options);
  shape.record_load = options.record_load;
  shape.group.promotion_lifts_fences = options.sequences + options.restart_sequences > 0;
  shape.models_promotion_calls = options.restart_sequences > 0;
  if (options.refused_preparations) {
    shape.group.refused_preparations = kRefusedPreparations;
    shape.callers_change_state = true;
  }
  Cluster cluster(options.seed, shape);
  World& world = cluster.SimWorld();
  if (options.print_log) {
    cluster.on_log = [&world](const std::string& daemon, const proxy::LogEvent& event) {
      PrintLine(world, daemon, event);
    };
  }
  world.RunUntil(std::chrono::seconds(2));
  Callers callers(cluster, options.sessions);
  FaultInjector injector(cluster, result.faults, options.restart_empty);
  const std::size_t faults = options.planned_stops ? 0 : options.faults;
  for (std::size_t fault = 0; fault < faults; ++fault) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&injector] { injector.Begin(); });
  }
  FaultSequences sequences(cluster, result.faults);
  for (std::size_t sequence = 0; sequence < options.sequences; ++sequence) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&sequences] { sequences.Begin(); });
  }
  for (std::size_t sequence = 0; sequence < options.restart_sequences; ++sequence) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&sequences] { sequences.BeginRestart(); });
  }
  RollingStops rolling_stops(cluster, result.faults);
  if (options.planned_stops) {
    const Instant until = world.Now() + options.time_before_faults + options.fault_time;
    world.After(options.time_before_faults,
                [&rolling_stops, until] { rolling_stops.Begin(until); });
    for (std::size_t change = 0; change < kConfigurationChanges; ++change) {
      const Duration at =
          options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
      world.After(at, [&cluster] { cluster.ChangeConfiguration(); });
    }
  }
  StoreRestores restores(cluster, injector, result.faults);
  for (std::size_t restore = 0; options.store_restores && restore < kRestores; ++restore) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&restores] { restores.Begin(); });
  }
  KeyChanges changes(cluster);
  for (std::size_t change = 0; options.tenants && change < kKeyChanges; ++change) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&changes] { changes.Begin(); });
  }
  Evacuations evacuations(cluster, result.faults);
  for (std::size_t begun = 0; options.evacuations && begun < kEvacuations; ++begun) {
    const Duration at =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(at, [&evacuations] { evacuations.Begin(); });
  }
  RegionChanges regions(cluster);
  if (options.regions) {
    for (std::size_t change = 0; change < kRegionChanges; ++change) {
      const Duration at =
          world.RandomBetween(Duration(0), options.time_before_faults + options.fault_time);
      world.After(at, [&regions] { regions.Change(); });
    }
    const Duration cut =
        options.time_before_faults + world.RandomBetween(Duration(0), options.fault_time);
    world.After(cut, [&injector] { injector.CutRegions(); });
    world.After(options.time_before_faults + options.fault_time + kMaxFaultTime,
                [&regions] { regions.SetFinalLimits(); });
  }
  const Instant end = world.Now() + options.time_before_faults + options.fault_time +
                      std::max(kMaxFaultTime, options.sequences + options.restart_sequences > 0
                                                  ? FaultSequences::kLongest
                                                  : Duration(0)) +
                      options.recovery_time;
  callers.StopAt(end);
  world.RunUntil(end + kFinalPeriod);
  result.served_at_end = ServedAtEnd(callers, end);
  if (result.served_at_end < kMinServedAtEnd) {
    world.Report("RECOVER", "served at the end: " + std::to_string(result.served_at_end));
  }
  for (const auto& daemon : cluster.Daemons()) {
    if (daemon->Alive()) {
      result.relayed += daemon->Proxy()->Relay().Sessions().counters().started;
    }
  }
  if (options.record_load) {
    const auto busiest = std::max_element(cluster.Daemons().begin(), cluster.Daemons().end(),
                                          [](const auto& a, const auto& b) {
                                            return a->Load().operations() < b->Load().operations();
                                          });
    result.load_trace = (*busiest)->Load().text();
  }
  result.violations = world.Violations();
  result.evacuations = evacuations.Count();
  result.stops = rolling_stops.Stops();
  result.attempts = cluster.CallerHistory().Attempts();
  result.succeeded = cluster.CallerHistory().Succeeded();
  for (const auto& [service, group] : cluster.Groups()) {
    const SimulatedInstance* primary = group->Primary();
    result.promotions += primary == nullptr ? 0 : primary->term - 1;
  }
  return result;
}

}  // namespace valvekeel::proxysim
