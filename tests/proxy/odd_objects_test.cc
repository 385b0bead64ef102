// Tests of well-formed objects with extreme values of other writers: the decision code neither
// fails nor grows without bound, and goes on to serve what the objects don't concern.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <random>
#include <set>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using model::Collection;

constexpr Instant kStart{100'000'000};
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t kMaxSmall = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t kMaxDatagram = 65'507;
constexpr std::size_t kMaxActionsPerTick = 20'000;
const common::Endpoint kSelf{"10.0.0.1", 7440};
const common::Endpoint kStore{"10.0.0.9", 80};

/// Draws values of which the extreme ones are frequent.
class OddValues {
 public:
  explicit OddValues(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t count) { return random_() % count; }
  template <typename Value>
  Value OneOf(const std::vector<Value>& values) {
    return values.at(Below(values.size()));
  }
  std::uint64_t Number() {
    return OneOf<std::uint64_t>({0, 1, 2, 7, std::uint64_t{1} << 32U, kMaxNumber - 1, kMaxNumber});
  }
  std::uint32_t Small() { return OneOf<std::uint32_t>({0, 1, 2, 1'000, 1'000'000, kMaxSmall}); }
  std::string Name() {
    return OneOf<std::string>({"self", "other", "a", "b", "near", "ledger", "odd",
                               std::string(256, '\x01'), std::string("a\0b", 3), " ", "\xFF",
                               std::string(256, 'x')});
  }
  common::Endpoint Address() {
    return OneOf<common::Endpoint>(
        {kSelf, kStore, {"10.0.1.1", 1}, {"host.example", 65'535}, {"::1", 1}, {"", 0}});
  }
  Duration Time() {
    return OneOf<Duration>(
        {Duration(0), Duration(1), std::chrono::hours(24), std::chrono::hours(24 * 365 * 100)});
  }
  double Rate() { return OneOf<double>({0, 1e-300, 1, 1e300}); }
  bool Bool() { return Below(2) == 0; }

 private:
  std::mt19937_64 random_;
};

model::InstanceEntry OddInstance(OddValues& values, const std::string& id) {
  model::InstanceEntry entry;
  entry.id = id;
  entry.service = values.OneOf<std::string>({"odd", "odd", "unknown", values.Name()});
  entry.address = values.Address();
  entry.zone = values.Name();
  entry.slots = values.OneOf<std::uint32_t>({0, 1, 1'000'000});
  entry.draining = values.Bool();
  entry.primary = values.Bool();
  entry.warm_up_left = values.OneOf<Duration>({Duration(0), std::chrono::hours(24)});
  entry.incarnation = values.Number();
  entry.sequence = values.Number();
  return entry;
}

model::Configuration OddConfiguration(OddValues& values, std::uint64_t version) {
  model::Configuration configuration;
  configuration.version = version;
  configuration.transaction_idle = values.Time();
  const auto add = [&](const std::string& name, model::Service service, model::Route route) {
    service.name = name;
    route.service = name;
    route.database = "db-" + name;
    configuration.routes[route.database] = route;
    configuration.services[name] = service;
  };
  model::Service service;
  service.max_connections = 30;
  model::Route route;
  route.timeout = std::chrono::milliseconds(800);
  route.target_latency = std::chrono::milliseconds(150);
  add("ledger", service, route);
  service.max_connections = values.Small();
  service.sync_replicas = values.Small();
  service.warm_up = {values.Time(), values.Rate()};
  route.timeout = values.Time();
  route.target_latency = values.Time();
  route.max_staleness = values.Time();
  route.consistency = model::Consistency::kBoundedStaleness;
  route.priority = values.Small();
  add("odd", service, route);
  tenants::tenant tenant;
  tenant.name = values.Name();
  tenant.rate = values.Rate();
  tenant.burst = values.Rate();
  tenant.priority = values.Small();
  configuration.tenants[tenant.name] = tenant;
  return configuration;
}

/// A daemon beside a store whose objects other writers put there.
class Deployment {
 public:
  explicit Deployment(std::uint64_t seed, std::size_t odd_objects)
      : values_(seed), odd_objects_(odd_objects), proxy_(MakeSettings(), 1) {}

  void Run(Duration time) {
    for (const Instant end = now_ + time; now_ < end; now_ += kTick) {
      proxy_.Tick(now_);
      for (int round = 0; round < 4; ++round) {
        Handle(proxy_.TakeActions());
      }
    }
  }

  /// Delivers a message of another daemon with extreme values.
  void ReceiveOddMessage() {
    PeerMessage message;
    message.name = values_.Name();
    message.zone = values_.Name();
    message.incarnation = values_.Number();
    message.sequence = values_.Number();
    message.echoed = values_.Number();
    message.echoed_incarnation = 7;
    message.interval = values_.Time();
    message.store_connected = values_.Bool();
    message.configuration_version = values_.Number();
    message.configuration_revision = {values_.Number(), 0};
    message.instances_revision = {values_.Number(), 0};
    message.capacity = values_.Small();
    message.view.large_deployment = values_.Below(8) == 0;
    message.view.from_hub = values_.Bool();
    message.view.requests_hub_role = values_.Bool();
    message.view.zone_count = kMaxSmall;
    message.view.lists.push_back({values_.Name(),
                                  values_.Number(),
                                  {{values_.Name(), values_.Name(), values_.Address(),
                                    values_.Small(), values_.Bool(), values_.Bool()}},
                                  {values_.Name()}});
    message.proven_version = values_.Number();
    message.proof_age = values_.Time();
    message.rates.usage.push_back({values_.Small(), values_.Number(), values_.Number()});
    message.rates.grants.push_back({values_.Small(), 1.8e16, 0, 1.8e16});
    message.evacuations = {{values_.Number(), 0}, {values_.Name()}, values_.Time()};
    GroupReport report;
    report.service = "odd";
    report.term = values_.Small();
    report.primary = values_.Name();
    report.confirmation_age = values_.Time();
    report.sample_age = values_.Time();
    report.sample = {values_.Small(), values_.Number()};
    report.commit_floor = {values_.Small(), values_.Number()};
    report.replica_count = values_.Small();
    report.primary_suspected = values_.Bool();
    report.fence_below = values_.Small();
    report.released_below = values_.Small();
    message.groups.push_back(report);
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(common::IsOk(decoded));
    proxy_.PeerMessageReceived(values_.Address(), common::ValueOf(decoded), now_);
  }

  /// @return true if the daemon has connected to the instance of the service that no odd object
  /// concerns.
  bool ServesLedger() const { return ledger_connections_ > 0; }

  std::size_t LargestMessage() const { return largest_message_; }
  std::size_t MostActions() const { return most_actions_; }

 private:
  static ProxySettings MakeSettings() {
    ProxySettings settings;
    settings.name = "self";
    settings.zone = "near";
    settings.incarnation = 7;
    settings.peer = kSelf;
    settings.capacity = 1'000;
    settings.evacuation_limit = std::chrono::seconds(5);
    settings.tenants.rates_limited = true;
    settings.warm_up = {1.1, 2};
    return settings;
  }

  void Handle(const std::vector<Action>& actions) {
    most_actions_ = std::max(most_actions_, actions.size());
    for (const Action& action : actions) {
      std::visit([this](const auto& each) { Answer(each); }, action);
    }
  }

  template <typename Other>
  void Answer(const Other&) {}
  void Answer(const OpenConnection& open) {
    if (values_.Below(8) == 0 && open.service != "ledger") {
      proxy_.ConnectionFailed(open.connection, OpenFailure::kRefused, model::ErrorCode::kFailed,
                              now_);
      return;
    }
    ledger_connections_ += open.service == "ledger" ? 1 : 0;
    proxy_.ConnectionOpened(open.connection, now_);
  }
  void Answer(const SendPeerMessage& sent) {
    largest_message_ = std::max(largest_message_, EncodePeerMessage(sent.message).size());
  }
  void Answer(const WriteDaemonEntry& write) { proxy_.DaemonWritten(write.call, true, now_); }
  void Answer(const ReadHolders& read) {
    proxy_.HoldersAnswered(
        read.call, {failover::WriteStatus::kWritten, NextRevision(), OddHolders(read.service)},
        now_);
  }
  void Answer(const ReadLeadership& read) {
    model::LeadershipRecord record;
    record.holder = values_.Name();
    record.token = values_.Number();
    record.sequence = values_.Number();
    record.attempts["odd"] = {values_.Small(), values_.Name()};
    proxy_.LeadershipRead(read.call, record, NextRevision(), now_);
  }
  void Answer(const ReadCatalog& read) {
    metadata::ReadResult result{metadata::ReadStatus::kOk, NextRevision(), {}};
    const bool watch = read.read.after_revision.has_value();
    if (watch && values_.Below(4) != 0) {
      return;  // nothing changes
    }
    AddObjects(read.read.collection, watch, result);
    proxy_.CatalogRead(read.call, result, now_);
  }

  model::Revision NextRevision() { return ++revision_.number; }

  model::HolderRecord OddHolders(const std::string& service) {
    model::HolderRecord record;
    if (service == "odd") {
      record.holders[values_.Name()] = {values_.Address(), values_.Name()};
      record.floor = {values_.Small(), values_.Number()};
      record.lost_logs = values_.Number();
    }
    return record;
  }

  void AddObjects(Collection collection, bool watch, metadata::ReadResult& result) {
    const auto add = [&](const std::string& name, model::CatalogPayload payload, bool deleted) {
      result.objects.push_back({name, revision_, deleted, std::move(payload)});
    };
    if (collection == Collection::kConfiguration) {
      add("main", OddConfiguration(values_, revision_.number), false);
      return;
    }
    if (collection == Collection::kInstances && !watch) {
      model::InstanceEntry entry;
      entry.id = "ledger-1";
      entry.service = "ledger";
      entry.address = {"10.0.2.1", 5'000};
      entry.zone = "near";
      add(entry.id, entry, false);
    }
    const std::size_t count = watch ? 1 + values_.Below(4) : odd_objects_;
    for (std::size_t each = 0; each < count; ++each) {
      const std::string name =
          values_.Bool() ? values_.Name() : "odd-" + std::to_string(values_.Below(odd_objects_));
      const bool deleted = watch && values_.Below(3) == 0;
      if (collection == Collection::kInstances) {
        add(name, OddInstance(values_, name), deleted);
      } else if (collection == Collection::kDaemons) {
        add(name, model::DaemonEntry{name, values_.Name(), values_.Address(), values_.Small()},
            deleted);
      } else if (collection == Collection::kEvacuations) {
        const std::string zone = values_.OneOf<std::string>({"odd-zone", name, values_.Name()});
        add(zone, model::ZoneEvacuation{zone}, deleted);
      }
    }
    std::erase_if(result.objects, [&](const model::CatalogObject& object) {
      return collection == Collection::kEvacuations && object.name == "near";
    });
  }

  OddValues values_;
  std::size_t odd_objects_;
  Proxy proxy_;
  Instant now_ = kStart;
  model::Revision revision_{1};
  std::size_t ledger_connections_ = 0;
  std::size_t largest_message_ = 0;
  std::size_t most_actions_ = 0;
};

}  // namespace

// A count in a record of another writer was allocated until the process ended.
TEST_CASE("Objects with extreme values leave the other groups served", "[proxy][odd_objects]") {
  rc::check("any objects", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Deployment deployment(seed, 6);
    for (int second = 0; second < 4; ++second) {
      deployment.Run(std::chrono::milliseconds(500));
      deployment.ReceiveOddMessage();
    }
    RC_ASSERT(deployment.ServesLedger());
    RC_ASSERT(deployment.LargestMessage() <= kMaxDatagram);
    RC_ASSERT(deployment.MostActions() <= kMaxActionsPerTick);
  });
}

TEST_CASE("Thousands of entries of another writer leave the other groups served",
          "[proxy][odd_objects]") {
  Deployment deployment(1, 2'000);
  deployment.Run(std::chrono::seconds(3));
  CHECK(deployment.ServesLedger());
  CHECK(deployment.LargestMessage() <= kMaxDatagram);
  CHECK(deployment.MostActions() <= kMaxActionsPerTick);
}

}  // namespace valvekeel::proxy
