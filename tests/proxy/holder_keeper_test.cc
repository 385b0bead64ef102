#include "proxy/holder_keeper.h"

#include <catch2/catch.hpp>
#include <optional>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr Instant kStart{100'000'000};
constexpr Duration kInterval{500'000};
constexpr Duration kLong{5'000'000};
constexpr std::uint64_t kIncarnation = 3;

/// The only coordinator of a deployment of two daemons, with a group of instances "p", "a", "b" of
/// which "p" leads term 1.
struct KeeperFixture {
  KeeperFixture() {
    roles.update({{"me", "zone", true, 1'000}, {"other", "zone", true, 1'000}}, 2, {{"group", 10}},
                 true);
    for (const std::string id : {"p", "a", "b"}) {
      List(id);
    }
    groups.Get("group", kStart).lease.Renew({1, "p", kStart});
    backends.SetConnectionLimit("group", 2);
    groups.RecordMembersKnown(kStart);
    configuration.services["group"].name = "group";
  }

  void List(const std::string& id) {
    model::InstanceEntry entry;
    entry.id = id;
    entry.service = "group";
    entry.address = {"10.0.0.1", static_cast<std::uint16_t>(id[0])};
    backends.SetEntry(entry, now);
  }

  /// Lets the keeper look at the group once. @return the call that it makes, if any.
  std::optional<Action> Check() {
    now += kInterval;
    groups.Tick(now);
    outbox.Take();
    keeper.Tick(configuration, true, now);
    for (const Action& action : outbox.Take()) {
      if (std::holds_alternative<ReadHolders>(action) ||
          std::holds_alternative<WriteHolders>(action)) {
        return action;
      }
    }
    return std::nullopt;
  }

  /// Answers calls as the store does until none is made.
  void Settle() {
    for (auto call = Check(); call; call = Check()) {
      if (const auto* read = std::get_if<ReadHolders>(&*call)) {
        keeper.OnAnswered(read->call, {failover::WriteStatus::kConflict, {revision, 0}, stored},
                          now);
      } else {
        const auto& write = std::get<WriteHolders>(*call);
        REQUIRE(write.revision.number == revision);
        stored = write.record;
        keeper.OnAnswered(write.call, {failover::WriteStatus::kWritten, {++revision, 0}, stored},
                          now);
      }
    }
  }

  /// The other daemon reports how many replicas it sees.
  void ReportReplicas(std::size_t count) {
    PeerMessage message;
    message.name = "other";
    message.zone = "zone";
    message.incarnation = kIncarnation;
    message.sequence = ++sequence;
    message.interval = kLong * 10;
    GroupReport report;
    report.service = "group";
    report.replica_count = count;
    message.groups.push_back(report);
    peers.Add({"10.0.0.2", 1}, "other");
    peers.Receive({"10.0.0.2", 1}, message, now);
  }

  ProxySettings settings{.name = "me"};
  Outbox outbox;
  relay::role_map roles{"me", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  PeerTable peers{"me", 1};
  HolderKeeper keeper{settings, groups, peers, roles, outbox};
  model::Configuration configuration;
  Instant now = kStart;
  model::HolderRecord stored;
  std::uint64_t revision = 0;
  std::uint64_t sequence = 0;
};

}  // namespace

TEST_CASE("An instance that joins is added to the record of commit holders", "[proxy]") {
  // Guards against a loss of commits after a restart of all daemons: the store no longer lists an
  // instance that has left meanwhile.
  KeeperFixture fixture;
  if (!fixture.groups.IsProber("group")) {
    return;  // the roles give the group to the other daemon
  }
  fixture.Settle();
  CHECK(fixture.stored.holders.size() == 3);
  fixture.List("c");
  fixture.Settle();
  CHECK(fixture.stored.holders.size() == 4);
  CHECK_FALSE(fixture.Check());
}

TEST_CASE("An instance leaves the record of commit holders only together with a floor", "[proxy]") {
  KeeperFixture fixture;
  if (!fixture.groups.IsProber("group")) {
    return;
  }
  fixture.Settle();
  fixture.backends.OnEntryRemoved("b", fixture.now);
  fixture.backends.Find("b")->OnOpenFailed(fixture.now, true);
  fixture.now += kLong;
  fixture.Settle();
  CHECK(fixture.stored.holders.contains("b"));
  CHECK(fixture.stored.floor == Position{});
  fixture.groups.Get("group", fixture.now).lease.Renew({1, "p", fixture.now});
  fixture.groups.RecordPosition("group", "p", {1, 40}, fixture.now + Duration(1));
  // Another daemon still sees it.
  fixture.ReportReplicas(2);
  fixture.Settle();
  CHECK(fixture.stored.holders.contains("b"));
  fixture.ReportReplicas(1);
  fixture.Settle();
  CHECK_FALSE(fixture.stored.holders.contains("b"));
  CHECK(fixture.stored.floor == Position{1, 40});
}

TEST_CASE("An instance that fell silent stays in the record of commit holders", "[proxy]") {
  // Guards against a loss of commits: its primary may still reach it.
  KeeperFixture fixture;
  if (!fixture.groups.IsProber("group")) {
    return;
  }
  fixture.Settle();
  fixture.backends.OnEntryRemoved("b", fixture.now);
  fixture.backends.Find("b")->OnOpenFailed(fixture.now, false);
  fixture.Settle();
  fixture.groups.Get("group", fixture.now).lease.Renew({1, "p", fixture.now});
  fixture.groups.RecordPosition("group", "p", {1, 40}, fixture.now + Duration(1));
  fixture.now += kLong;
  fixture.Settle();
  CHECK(fixture.groups.Replicas("group", fixture.now).size() == 1);
  CHECK(fixture.groups.SilentHolders(*fixture.groups.Find("group"), fixture.now) ==
        std::vector<std::string>{"b"});
  CHECK(fixture.stored.holders.contains("b"));
}

}  // namespace valvekeel::proxy
