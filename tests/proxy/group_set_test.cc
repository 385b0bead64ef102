#include "proxy/group_set.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr Instant kStart{100'000'000};
constexpr Duration kLong{5'000'000};

class NoOpObserver : public ConnectionObserver {
 public:
  void OnAnswer(Backend&, Connection&, const OutstandingRequest&, const model::Reply&,
                Instant) override {}
  void OnLost(Backend&, Connection&, Instant) override {}
  void OnCapacity(Instant) override {}
};

/// A group of instances "p", "a", "b" of which "p" leads term 1.
struct GroupFixture {
  GroupFixture() {
    for (const std::string id : {"p", "a", "b"}) {
      model::InstanceEntry entry;
      entry.id = id;
      entry.service = "group";
      entry.address = {"10.0.0.1", static_cast<std::uint16_t>(id[0])};
      backends.SetEntry(entry, kStart);
    }
    groups.Get("group", kStart);
    backends.SetConnectionLimit("group", 2);
    groups.SetRegistered(true);
    groups.Get("group", kStart).lease.Renew({1, "p", kStart});
    groups.RecordMembersKnown(kStart);
  }

  /// Opens a connection to each instance.
  void ConnectAll(Instant at) {
    backends.SetObserver(&observer);
    for (auto& [id, backend] : backends.All()) {
      // A round may already be opening one.
      if (backend.Connections().empty()) {
        REQUIRE(backends.Open(backend, at));
      }
      backends.OnOpened(backend.Connections().begin()->first, at);
    }
  }

  /// Terminates an instance: it is unlisted and unreachable.
  void Terminate(const std::string& id, Instant at) {
    backends.OnEntryRemoved(id, at);
    backends.Find(id)->OnOpenFailed(at, true);
  }

  ProxySettings settings;
  Outbox outbox;
  NoOpObserver observer;
  relay::role_map roles{"me", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
};

model::LeadershipRecord RecordWithAttempt(common::Term replaced_term) {
  model::LeadershipRecord record;
  record.attempts["group"] = {replaced_term, "a"};
  return record;
}

/// A heartbeat of a daemon that follows "p" and has sampled its position before sending.
PeerMessage HeartbeatWithSample(const Position& sample, Duration sample_age) {
  GroupReport report;
  report.service = "group";
  report.term = 1;
  report.primary = "p";
  report.confirmation_age = Duration(0);
  report.sample = sample;
  report.sample_age = sample_age;
  PeerMessage message;
  message.name = "other";
  message.groups.push_back(report);
  return message;
}

}  // namespace

TEST_CASE("A position older than this process does not cover what earlier processes acknowledged",
          "[proxy]") {
  // Guards against a loss of commits: a daemon that had restarted took another daemon's earlier
  // sample for the end of what it had acknowledged, and a replica that held no more was promoted.
  GroupFixture fixture;
  const group::AcknowledgedCommits& acknowledged = fixture.groups.Find("group")->acknowledged;
  const Instant received = kStart + Duration(10'000);
  fixture.groups.ApplyReports(HeartbeatWithSample({1, 2}, Duration(10'001)), received);
  CHECK_FALSE(acknowledged.IsComplete());
  // The log's end is known to be at least there, whatever the age.
  CHECK(acknowledged.Bounds().log_end == Position{1, 2});
  fixture.groups.ApplyReports(HeartbeatWithSample({1, 44}, Duration(10'000)), received);
  CHECK(acknowledged.IsComplete());
  CHECK(acknowledged.Bounds().at_most == Position{1, 44});
}

TEST_CASE("A position asked for without a lease covers nothing", "[proxy]") {
  // Guards against a loss of commits: a primary that has been replaced reports a position below
  // what its successor acknowledged.
  GroupFixture fixture;
  const Instant lapsed = kStart + group::kLeaseTime;
  fixture.groups.RecordPosition("group", "p", {1, 40}, lapsed);
  CHECK_FALSE(fixture.groups.Find("group")->acknowledged.IsComplete());
  fixture.groups.Find("group")->lease.Renew({1, "p", lapsed});
  fixture.groups.RecordPosition("group", "p", {1, 41}, lapsed);
  CHECK(fixture.groups.Find("group")->acknowledged.IsComplete());
}

TEST_CASE("A terminated instance does not count toward a majority", "[proxy]") {
  // Guards against counting terminated instances: after two crashes and replacements the two live
  // instances of a group are no majority of the four ever listed, and no lease of the new primary
  // is confirmed.
  GroupFixture fixture;
  fixture.Terminate("b", kStart);
  CHECK(fixture.groups.QuorumMembers("group", kStart).size() == 3);
  CHECK(fixture.groups.QuorumMembers("group", kStart + kLong).size() == 2);
}

TEST_CASE("A terminated replica counts until a position of the primary covers it", "[proxy]") {
  GroupFixture fixture;
  fixture.Terminate("b", kStart);
  fixture.groups.Tick(kStart);
  CHECK(fixture.groups.Replicas("group", kStart + kLong).size() == 2);
  fixture.groups.RecordPosition("group", "p", Position{1, 40}, kStart + Duration(1));
  fixture.groups.Tick(kStart + Duration(2));
  CHECK(fixture.groups.Replicas("group", kStart + kLong).size() == 1);
  CHECK(fixture.groups.Find("group")->holders.Floor() == Position{1, 40});
}

TEST_CASE("A recorded commit holder counts although the store does not list it", "[proxy]") {
  // Guards against a loss of commits after a restart of all daemons: what they knew of a replica
  // that had left was lost with them, and a replica without its commits was promoted.
  GroupFixture fixture;
  model::HolderRecord record;
  record.holders["c"] = {{"10.0.0.9", 7}, "zone"};
  record.floor = {1, 30};
  fixture.groups.ApplyHolderRecord("group", record, 5, kStart, kStart);
  CHECK(fixture.groups.Replicas("group", kStart).size() == 3);
  CHECK(fixture.groups.Find("group")->holders.Floor() == Position{1, 30});
  REQUIRE(fixture.backends.Find("c") != nullptr);
  CHECK(fixture.backends.Find("c")->unlisted_since);
  // It no longer counts once it has ended and the primary has reported a position since.
  fixture.backends.Find("c")->OnOpenFailed(kStart, true);
  fixture.groups.Tick(kStart);
  CHECK(fixture.groups.Replicas("group", kStart + kLong).size() == 3);
  fixture.groups.RecordPosition("group", "p", Position{1, 40}, kStart + Duration(1));
  fixture.groups.Tick(kStart + Duration(2));
  CHECK(fixture.groups.Replicas("group", kStart + kLong).size() == 2);
  const model::HolderRecord wanted =
      fixture.groups.WantedHolderRecord(*fixture.groups.Find("group"), kStart + kLong);
  CHECK(wanted.holders.size() == 3);
  CHECK(wanted.floor == Position{1, 40});
}

TEST_CASE("An instance whose address another instance of its service has taken is no member",
          "[proxy]") {
  // A crashed instance can restart with its log under a new id.
  GroupFixture fixture;
  fixture.Terminate("b", kStart);
  model::InstanceEntry successor = fixture.backends.Find("b")->Entry();
  successor.id = "b2";
  fixture.backends.SetEntry(successor, kStart);
  CHECK(fixture.groups.Members("group") == std::vector<std::string>{"a", "b2", "p"});
  CHECK(fixture.groups.Replicas("group", kStart).size() == 2);
}

TEST_CASE("The record renews the lease unless it has a replacement of this term or a later one",
          "[proxy]") {
  GroupFixture fixture;
  const Instant later = kStart + Duration(900'000);
  fixture.groups.RenewFromRecord(RecordWithAttempt(1), later);
  CHECK(fixture.groups.UsablePrimary("group", later + Duration(200'000)).empty());
  fixture.groups.RenewFromRecord(RecordWithAttempt(0), later);
  CHECK(fixture.groups.UsablePrimary("group", later + Duration(200'000)) == "p");
}

TEST_CASE("A daemon that is not registered has no usable primary", "[proxy]") {
  GroupFixture fixture;
  CHECK(fixture.groups.UsablePrimary("group", kStart) == "p");
  fixture.groups.SetRegistered(false);
  CHECK(fixture.groups.UsablePrimary("group", kStart).empty());
}

TEST_CASE("A new primary that was unreachable before its term is not suspected at once",
          "[proxy]") {
  // Guards against a second replacement after a partition: when it heals, daemons that have not
  // reached the promoted replica yet would suspect it and replace it again.
  GroupFixture fixture;
  const Instant settled = kStart + Duration(2'000'000);
  fixture.backends.Find("a")->OnOpenFailed(settled, true);
  PeerMessage message;
  message.name = "other";
  GroupReport report;
  report.service = "group";
  report.term = 2;
  report.primary = "a";
  report.confirmation_age = Duration(0);
  message.groups.push_back(report);
  const Instant learned = settled + Duration(10'000);
  fixture.groups.ApplyReports(message, learned);
  fixture.groups.Tick(learned + Duration(20'000));
  CHECK_FALSE(fixture.groups.Find("group")->primary_suspected);
  fixture.groups.Tick(learned + Duration(1'300'000));
  CHECK(fixture.groups.Find("group")->primary_suspected);
  // A primary that becomes unreachable after its term was learned is suspected at once.
  GroupFixture other;
  other.groups.ApplyReports(message, settled);
  other.backends.Find("a")->OnOpenFailed(learned, true);
  other.groups.Tick(learned + Duration(20'000));
  CHECK(other.groups.Find("group")->primary_suspected);
}

TEST_CASE("A fence announced by a peer ends the lease for good", "[proxy]") {
  GroupFixture fixture;
  PeerMessage message;
  message.name = "other";
  GroupReport report;
  report.service = "group";
  report.fence_below = 2;
  message.groups.push_back(report);
  CHECK(fixture.groups.ApplyReports(message, std::nullopt));
  CHECK(fixture.groups.UsablePrimary("group", kStart).empty());
  CHECK_FALSE(fixture.groups.ApplyReports(message, std::nullopt));
  fixture.groups.RenewFromRecord({}, kStart);
  CHECK(fixture.groups.UsablePrimary("group", kStart).empty());
}

TEST_CASE("A daemon does not report groups that it does not watch", "[proxy]") {
  // Most daemons hold no lease of most groups. Reporting that in every heartbeat costs half a
  // megabyte a second between zones.
  GroupFixture fixture;
  CHECK(fixture.groups.Reports(false, kStart + kLong).size() == 1);
  fixture.backends.SetConnectionLimit("group", 0, false);
  fixture.groups.Tick(kStart + kLong);
  CHECK(fixture.groups.Reports(false, kStart + kLong).empty());
  fixture.groups.ReleaseTermsBelow(fixture.groups.Get("group", kStart), 2);
  CHECK(fixture.groups.Reports(false, kStart + kLong).size() == 1);
}

TEST_CASE("A daemon that does not know all members of a group confirms no primary by a round",
          "[proxy]") {
  // Guards against a false majority: with a zone cut off, daemons in it that began to watch a group
  // knew one of its three instances from an old list, and the former primary alone was a majority.
  ProxySettings settings;
  Outbox outbox;
  const relay::role_map roles{"me", {}};
  NoOpObserver observer;
  BackendSet backends{outbox};
  backends.SetObserver(&observer);
  GroupSet groups{settings, backends, roles, outbox};
  model::InstanceEntry entry;
  entry.id = "p";
  entry.service = "group";
  backends.SetEntry(entry, kStart);
  backends.SetConnectionLimit("group", 2);
  backends.Open(*backends.Find("p"), kStart);
  const auto opened = outbox.Take();
  const ConnectionNumber connection = std::get<OpenConnection>(opened.back()).connection;
  backends.OnOpened(connection, kStart);
  groups.SetRegistered(true);
  groups.Get("group", kStart);
  backends.SetConnectionLimit("group", 1, false);
  groups.Tick(kStart - Duration(2));
  backends.SetConnectionLimit("group", 1);
  groups.Tick(kStart);
  outbox.Take();
  model::Reply reply;
  reply.succeeded = true;
  reply.status = model::InstanceStatus{};
  reply.status->primary = true;
  reply.status->term = 1;
  const auto ask = [&](Instant now) {
    groups.StartRoundNow("group", now);
    const auto actions = outbox.Take();
    const bool asked = std::any_of(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<SendRequests>(action);
    });
    if (asked) {
      backends.OnAnswered(connection, reply, now);
    }
    return asked;
  };
  CHECK_FALSE(ask(kStart));
  CHECK(groups.MembersIncomplete());
  groups.RecordMembersKnown(kStart - Duration(1));
  CHECK_FALSE(ask(kStart + Duration(200'000)));
  CHECK(groups.UsablePrimary("group", kStart + Duration(200'000)).empty());
  groups.RecordMembersKnown(kStart);
  CHECK_FALSE(groups.MembersIncomplete());
  CHECK(ask(kStart + Duration(200'000)));
  // A round proposes the primary; the leadership record confirms it.
  CHECK(groups.UsablePrimary("group", kStart + Duration(200'000)).empty());
  CHECK(groups.NeedsRecord(kStart + Duration(200'000)));
  groups.RenewFromRecord({}, kStart + Duration(200'000));
  CHECK(groups.UsablePrimary("group", kStart + Duration(200'000)) == "p");
}

TEST_CASE("A daemon that does not know all members suspects no primary for a missing lease",
          "[proxy]") {
  GroupFixture fixture;
  fixture.ConnectAll(kStart);
  fixture.groups.Find("group")->members_known = false;
  fixture.groups.Tick(kStart);
  fixture.groups.Tick(kStart + kLong);
  CHECK_FALSE(fixture.groups.Find("group")->primary_suspected);
  fixture.groups.RecordMembersKnown(kStart + kLong);
  fixture.groups.Tick(kStart + kLong);
  CHECK(fixture.groups.Find("group")->primary_suspected);
}

TEST_CASE("A daemon that has not connected yet suspects no primary for a missing lease",
          "[proxy]") {
  GroupFixture fixture;
  fixture.groups.Tick(kStart);
  fixture.groups.Tick(kStart + kLong);
  CHECK_FALSE(fixture.groups.Find("group")->primary_suspected);
  fixture.ConnectAll(kStart + kLong);
  fixture.groups.Tick(kStart + kLong + kLong);
  CHECK(fixture.groups.Find("group")->primary_suspected);
}

TEST_CASE("The lease of a primary that restarted under its id is released, and it is suspected",
          "[proxy]") {
  GroupFixture fixture;
  const Instant later = kStart + Duration(100'000);
  fixture.groups.OnMemberRestarted(fixture.backends.Find("p")->Entry(), later);
  CHECK(fixture.groups.UsablePrimary("group", later).empty());
  fixture.groups.Tick(later + kLong);
  CHECK(fixture.groups.Find("group")->primary_suspected);
}

TEST_CASE("A restarted replica's log counts as lost until the primary reports its position",
          "[proxy]") {
  GroupFixture fixture;
  const Instant later = kStart + Duration(100'000);
  fixture.groups.OnMemberRestarted(fixture.backends.Find("a")->Entry(), later);
  fixture.groups.Tick(later);
  CHECK(fixture.groups.Find("group")->holders.LostLogs() == 1);
  fixture.groups.RecordPosition("group", "p", Position{1, 40}, later - Duration(1));
  fixture.groups.Tick(later);
  CHECK(fixture.groups.Find("group")->holders.LostLogs() == 1);
  fixture.groups.RecordPosition("group", "p", Position{1, 41}, later);
  fixture.groups.Tick(later);
  CHECK(fixture.groups.Find("group")->holders.LostLogs() == 0);
  CHECK(fixture.groups.Find("group")->holders.Floor() == Position{1, 41});
}

TEST_CASE("A lower position than the primary reported before is ignored", "[proxy]") {
  GroupFixture fixture;
  GroupState& group = *fixture.groups.Find("group");
  fixture.groups.RecordPosition("group", "p", Position{1, 40}, kStart + Duration(10));
  REQUIRE(group.PrimaryPosition() == Position{1, 40});
  fixture.groups.RecordPosition("group", "p", Position{1, 0}, kStart + Duration(20));
  CHECK(group.PrimaryPosition() == Position{1, 40});
  group.lease.Renew({2, "a", kStart + Duration(30)});
  CHECK_FALSE(group.PrimaryPosition());
}

TEST_CASE("A record restored from an older copy renews no lease before a round of the group",
          "[proxy]") {
  // The claim of a replacement is acknowledged, then the store is restored from a copy without it.
  // The record shows no replacement, but the promoted instance may already be primary: a lease
  // renewed from this record would allow reads at the former primary.
  GroupFixture fixture;
  GroupState& state = fixture.groups.Get("group", kStart);
  const Instant returned = kStart + Duration(200'000);
  fixture.groups.BeginEra(returned);
  const Instant read = returned + Duration(300'000);
  fixture.groups.RenewFromRecord({}, read);
  CHECK(state.lease.Newest().started == kStart);
  // A round has queried the group, but at a time when a lost claim could still be acted on.
  state.lease.Renew({1, "p", read});
  fixture.groups.RenewFromRecord({}, read + Duration(400'000));
  CHECK(state.lease.Newest().started == read);
  const Instant settled = returned + failover::kTakeoverTime;
  state.lease.Renew({1, "p", settled});
  fixture.groups.RenewFromRecord({}, settled + Duration(400'000));
  CHECK(state.lease.Newest().started == settled + Duration(400'000));
}

}  // namespace valvekeel::proxy
