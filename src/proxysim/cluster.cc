#include "proxysim/cluster.h"

#include <algorithm>
#include <utility>

namespace valvekeel::proxysim {
namespace {

using model::Collection;

constexpr const char* kPlatform = "platform";
constexpr common::Duration kPromotionTimeout{450'000};
constexpr common::Duration kUnlistDelay{3'600'000};  // after three missed heartbeats
constexpr std::uint16_t kPeerPort = 7440;
constexpr common::Duration kWriteTimeout{800'000};
constexpr common::Duration kReadTimeout{2'000'000};
constexpr common::Duration kTargetLatency{250'000};

model::Route MakeRoute(const std::string& service, const std::string& suffix,
                       model::Consistency consistency, common::Duration timeout,
                       common::Duration staleness) {
  model::Route route;
  route.database = service + suffix;
  route.service = service;
  route.consistency = consistency;
  route.timeout = timeout;
  route.target_latency = kTargetLatency;
  route.max_staleness = staleness;
  return route;
}

/// @return a port that an instance shares only with those restarted with its log under another id.
std::uint16_t AddressPort(const std::string& id) {
  constexpr std::size_t kFirst = 10'000;
  constexpr std::size_t kPorts = 50'000;
  const std::string original = id.substr(0, id.find_last_not_of('r') + 1);
  return static_cast<std::uint16_t>(kFirst + std::hash<std::string>()(original) % kPorts);
}

std::map<std::string, std::string> RegionsOf(const ClusterShape& shape) {
  std::map<std::string, std::string> regions;
  for (std::size_t zone = 0; shape.regions > 0 && zone < shape.zones; ++zone) {
    regions[ZoneName(zone)] = RegionName(zone % shape.regions);
  }
  return regions;
}

}  // namespace

std::string ZoneName(std::size_t number) { return std::string("zone-") + std::to_string(number); }

std::string RegionName(std::size_t number) {
  return std::string("region-") + std::to_string(number);
}

std::string TenantName(std::size_t number) { return "tenant-" + std::to_string(number); }

Cluster::Cluster(std::uint64_t seed, const ClusterShape& shape)
    : world_(seed), history_(world_), store_(world_), shape_(shape), regions_(RegionsOf(shape)) {
  configuration_.version = 1;
  configuration_.transaction_idle = std::chrono::seconds(3);
  for (std::size_t number = 0; number < shape_.groups; ++number) {
    const std::string service = std::string("group") + std::to_string(number);
    auto group = std::make_unique<DatabaseGroup>(world_, history_, service, shape_.group);
    DatabaseGroup* made = group.get();
    made->keys = shape_.tenants > 0 ? &keys_ : nullptr;
    group->on_change = [this, made] { WriteChangedEntries(*made); };
    if (shape_.evacuation_limit.count() > 0) {
      group->on_request = [this](const std::string& instance, const std::string& daemon) {
        evacuations_.OnRequestArrived(ZoneOfInstance(instance), instance, daemon);
      };
    }
    groups_.emplace(service, std::move(group));
    configuration_.services[service] = {service,
                                        static_cast<std::uint32_t>(shape_.group.max_connections),
                                        shape_.group.sync_replicas, shape_.group.warm_up};
    for (const model::Route& route :
         {MakeRoute(service, ".primary", model::Consistency::kPrimary, kWriteTimeout,
                    common::Duration(0)),
          MakeRoute(service, ".bounded", model::Consistency::kBoundedStaleness, kReadTimeout,
                    std::chrono::milliseconds(1500)),
          MakeRoute(service, ".own", model::Consistency::kReadYourWrites, kWriteTimeout,
                    std::chrono::milliseconds(2500))}) {
      configuration_.routes[route.database] = route;
    }
    WriteChangedEntries(*made);
  }
  CreateTenants();
  WriteConfiguration();
  for (std::size_t number = 0; number < shape_.daemons; ++number) {
    const std::string name = std::string("daemon-") + std::to_string(number);
    const common::Endpoint address{"10.0.0." + std::to_string(number + 1), kPeerPort};
    daemons_.push_back(
        std::make_unique<DaemonHost>(*this, name, ZoneName(number % shape_.zones), address));
    daemons_.back()->Start();
  }
  if (shape_.evacuation_limit.count() > 0) {
    evacuations_.Start([this] { RecordDisturbances(); });
  }
  if (shape_.check_configuration) {
    configurations_.Start([this] { CheckConfigurations(); });
  }
}

bool Cluster::RunsAndReachesStore(const DaemonHost& daemon) const {
  const bool reaches =
      world_.Reaches(daemon.Name(), kStore) && world_.Reaches(kStore, daemon.Name());
  return daemon.IsOperating() && reaches;
}

void Cluster::CheckConfigurations() {
  if (!store_.faults.None() || world_.HadFault(kStore, common::Duration(0))) {
    configurations_.RecordStoreDisturbance();
  }
  for (const auto& daemon : daemons_) {
    if (!RunsAndReachesStore(*daemon)) {
      configurations_.RecordDaemonDisturbance(daemon->Name());
      continue;
    }
    configurations_.Check(daemon->Name(), daemon->Proxy()->CatalogView().Configuration().version);
  }
}

void Cluster::RecordDisturbances() {
  for (const auto& daemon : daemons_) {
    if (!RunsAndReachesStore(*daemon)) {
      evacuations_.RecordDaemonDisturbance(daemon->Name());
    }
  }
  if (!store_.faults.None()) {
    evacuations_.RecordStoreDisturbance();
  }
}

void Cluster::Evacuate(const std::string& zone) {
  store_.Put(Collection::kEvacuations, zone, model::ZoneEvacuation{zone});
  evacuations_.OnEvacuationStarted(zone);
}

void Cluster::EndEvacuation(const std::string& zone) {
  store_.Delete(Collection::kEvacuations, zone);
  evacuations_.OnEvacuationEnded(zone);
}

std::string Cluster::ZoneOfInstance(const std::string& instance) const {
  return ZoneName(std::hash<std::string>()(instance) % shape_.zones);
}

void Cluster::WriteConfiguration() {
  regions_.RecordVersion(configuration_, world_.Now());
  store_.Put(Collection::kConfiguration, "main", configuration_);
  configurations_.OnWritten(configuration_.version);
}

std::map<std::string, std::string> Cluster::Regions() const { return RegionsOf(shape_); }

void Cluster::LimitRoute(const std::string& database, const std::vector<std::string>& regions) {
  configuration_.routes.at(database).allowed_regions = regions;
  ChangeConfiguration();
}

void Cluster::LimitTenant(const std::string& tenant, const std::vector<std::string>& regions) {
  configuration_.tenants.at(tenant).allowed_regions = regions;
  ChangeConfiguration();
}

DaemonHost* Cluster::DaemonNamed(const std::string& name) {
  for (const auto& daemon : daemons_) {
    if (daemon->Name() == name) {
      return daemon.get();
    }
  }
  return nullptr;
}

void Cluster::CheckRegion(const CallerAttempt& attempt, const std::string& zone, const char* what,
                          const std::string& daemon) {
  DaemonHost* deciding = DaemonNamed(daemon);
  std::optional<std::uint64_t> known;
  if (deciding != nullptr && deciding->Alive()) {
    known = deciding->Proxy()->CatalogView().Configuration().version;
  }
  if (!regions_.Allows(attempt, zone, known)) {
    world_.Report("HOME", attempt.id + " of " + attempt.database + " " + attempt.key + " is " +
                              what + " in " + zone + ", sent by " + daemon);
  }
}

void Cluster::CreateTenants() {
  constexpr std::size_t kKeysOfTenant = 2;
  for (std::size_t number = 0; number < shape_.tenants; ++number) {
    const std::string name = TenantName(number);
    configuration_.tenants[name].name = name;
    for (std::size_t key = 0; key < kKeysOfTenant; ++key) {
      AssignKey("key-" + std::to_string(number) + "-" + std::to_string(key), name);
    }
  }
}

void Cluster::AssignKey(const std::string& key, const std::string& tenant) {
  const tenants::key_digest digest = tenants::digest_of(key);
  for (auto& [name, each] : configuration_.tenants) {
    std::erase(each.keys, digest);
  }
  if (!tenant.empty()) {
    configuration_.tenants.at(tenant).keys.push_back(digest);
  }
  keys_.Set(key, tenant, world_.Now());
}

void Cluster::ChangeKey(const std::string& key, const std::string& tenant) {
  AssignKey(key, tenant);
  ChangeConfiguration();
}

void Cluster::ChangeConfiguration() {
  ++configuration_.version;
  WriteConfiguration();
}

DatabaseGroup* Cluster::GroupOfInstance(const std::string& instance) {
  for (auto& [service, group] : groups_) {
    if (group->Instances().contains(instance)) {
      return group.get();
    }
  }
  return nullptr;
}

DaemonHost* Cluster::DaemonAt(const common::Endpoint& address) {
  for (const auto& daemon : daemons_) {
    if (daemon->Address() == address) {
      return daemon.get();
    }
  }
  return nullptr;
}

void Cluster::CutOffInstance(const std::string& id) {
  cut_off_instances_.insert(id);
  for (const auto& daemon : daemons_) {
    world_.CutBoth(daemon->Name(), id);
  }
  world_.After(kUnlistDelay, [this, id] {
    if (cut_off_instances_.contains(id)) {
      store_.Delete(Collection::kInstances, id);
    }
  });
}

void Cluster::ReconnectInstance(const std::string& id) {
  cut_off_instances_.erase(id);
  for (const auto& daemon : daemons_) {
    world_.HealBoth(daemon->Name(), id);
  }
  DatabaseGroup* group = GroupOfInstance(id);
  if (group != nullptr && group->Instances().at(id).alive) {
    WriteInstanceEntry(*group, group->Instances().at(id));
  }
}

void Cluster::WriteInstanceEntry(const DatabaseGroup& group, const SimulatedInstance& instance) {
  if (cut_off_instances_.contains(instance.id)) {
    return;
  }
  model::InstanceEntry entry;
  entry.id = instance.id;
  entry.service = group.Service();
  entry.address = {"10.128.0.1", AddressPort(instance.id)};
  entry.zone = ZoneOfInstance(instance.id);
  entry.slots = static_cast<std::uint32_t>(shape_.group.slots);
  entry.draining = instance.draining;
  entry.primary = instance.primary;
  entry.incarnation = instance.incarnation;
  entry.sequence = ++entry_writes_;
  entry.warm_up_left =
      std::max(common::Duration(0), common::Duration(instance.cold_until - world_.Now()));
  store_.Put(Collection::kInstances, instance.id, entry);
}

void Cluster::WriteChangedEntries(DatabaseGroup& group) {
  for (const auto& [id, instance] : group.Instances()) {
    const std::string state = std::string(instance.alive ? "alive" : "dead") +
                              (instance.primary ? "+primary" : "") +
                              (instance.draining ? "+draining" : "") +
                              (world_.Now() < instance.cold_until ? "+cold" : "") + "+" +
                              std::to_string(instance.incarnation);
    if (std::exchange(written_states_[id], state) == state) {
      continue;
    }
    if (instance.alive) {
      WriteInstanceEntry(group, instance);
      continue;
    }
    const std::string gone = id;
    world_.After(kUnlistDelay, [this, gone] {
      if (written_states_[gone].starts_with("dead")) {
        store_.Delete(Collection::kInstances, gone);
      }
    });
  }
}

DaemonHost* Cluster::PromotionHolder() {
  for (const auto& daemon : daemons_) {
    if (daemon->Alive() && daemon->Proxy()->HoldsLeadership()) {
      return daemon.get();
    }
  }
  return nullptr;
}

void Cluster::Promote(const std::string& daemon, const proxy::Promote& promotion,
                      const std::function<void(failover::PromotionStatus)>& handler) {
  auto ended = std::make_shared<bool>(false);
  const auto finish = [ended, handler](failover::PromotionStatus status) {
    if (!std::exchange(*ended, true)) {
      handler(status);
    }
  };
  world_.After(kPromotionTimeout, [finish] { finish(failover::PromotionStatus::kNoAnswer); });
  if (!world_.Reaches(daemon, kPlatform)) {
    return;
  }
  world_.After(world_.NetworkDelay(), [this, daemon, promotion, finish] {
    if (promotion.token < highest_token_) {
      world_.Report("ONE", "token " + std::to_string(promotion.token) + " after " +
                               std::to_string(highest_token_));
    }
    highest_token_ = std::max(highest_token_, promotion.token);
    const auto [holder, added] = token_holders_.emplace(promotion.token, promotion.holder);
    if (!added && holder->second != promotion.holder) {
      world_.Report("ONE", "two holders of token " + std::to_string(promotion.token));
    }
    const bool taken = groups_.at(promotion.service)->Promote(promotion.instance);
    if (world_.Reaches(kPlatform, daemon)) {
      world_.After(world_.NetworkDelay(), [finish, taken] {
        finish(taken ? failover::PromotionStatus::kAccepted
                     : failover::PromotionStatus::kNotRunning);
      });
    }
  });
}

}  // namespace valvekeel::proxysim
