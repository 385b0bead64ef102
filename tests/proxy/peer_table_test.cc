#include "proxy/peer_table.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{10'000'000};
const common::Endpoint kOther{"10.0.0.2", 7440};

PeerMessage From(const std::string& name, std::uint64_t incarnation, std::uint64_t sequence) {
  PeerMessage message;
  message.name = name;
  message.incarnation = incarnation;
  message.sequence = sequence;
  return message;
}

}  // namespace

TEST_CASE("A message is the same after encoding and decoding, and truncated bytes are rejected",
          "[proxy]") {
  PeerMessage message = From("b", 5, 6);
  message.zone = "z";
  message.echoed = 3;
  message.store_connected = true;
  message.configuration_revision = {7, 2};
  message.instances_revision = {9, 3};
  GroupReport group;
  group.service = "group";
  group.term = 2;
  group.primary = "i-1";
  group.confirmation_age = Duration(1234);
  group.commit_floor = {1, 40};
  group.acknowledged = group::AcknowledgedBounds{{1, 41}, {1, 43}, {1, 44}};
  group.replica_count = 2;
  group.released_below = 3;
  message.groups.push_back(group);
  const std::string bytes = EncodePeerMessage(message);
  const auto decoded = DecodePeerMessage(bytes);
  REQUIRE(common::IsOk(decoded));
  const PeerMessage& read = common::ValueOf(decoded);
  CHECK(read.echoed == 3);
  CHECK(read.configuration_revision == model::Revision(7, 2));
  CHECK(read.instances_revision == model::Revision(9, 3));
  REQUIRE(read.groups.size() == 1);
  CHECK(read.groups[0].confirmation_age == Duration(1234));
  CHECK_FALSE(read.groups[0].sample_age);
  CHECK(read.groups[0].commit_floor == common::Position{1, 40});
  CHECK(read.groups[0].acknowledged == group.acknowledged);
  CHECK(read.groups[0].released_below == 3);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(common::IsOk(DecodePeerMessage(bytes.substr(0, size))));
  }
}

TEST_CASE("Ages of a peer count from the own message that it had received", "[proxy]") {
  PeerTable table("a", 1);
  table.Add(kOther);
  PeerMessage out;
  table.FillHeader(table.All().at(kOther), out, kStart);
  PeerMessage in = From("b", 9, 1);
  in.echoed = out.sequence;
  in.echoed_incarnation = 1;
  const auto counted = table.Receive(kOther, in, kStart + Duration(5000));
  REQUIRE(counted);
  CHECK(*counted == kStart);
}

TEST_CASE("An echo of this daemon's earlier incarnation gives no local time", "[proxy]") {
  PeerTable table("a", 2);
  table.Add(kOther);
  PeerMessage out;
  table.FillHeader(table.All().at(kOther), out, kStart);
  PeerMessage in = From("b", 9, 1);
  in.echoed = out.sequence;
  in.echoed_incarnation = 1;
  CHECK_FALSE(table.Receive(kOther, in, kStart));
}

TEST_CASE("Old messages and those of an earlier incarnation are dropped", "[proxy]") {
  PeerTable table("a", 1);
  table.Receive(kOther, From("b", 9, 5), kStart);
  table.Receive(kOther, From("b", 9, 4), kStart);
  table.Receive(kOther, From("b", 8, 99), kStart);
  CHECK(table.All().at(kOther).highest_sequence == 5);
  // An incarnation with a lower number is accepted once the other has timed out.
  table.Receive(kOther, From("b", 8, 1), kStart + kPeerTimeout);
  CHECK(table.All().at(kOther).incarnation == 8);
}

TEST_CASE("A peer that stops or has timed out does not count as live", "[proxy]") {
  PeerTable table("a", 1);
  table.Receive(kOther, From("b", 9, 1), kStart);
  CHECK(table.LiveNames(kStart) == std::vector<std::string>{"b"});
  CHECK(table.LiveNames(kStart + kPeerTimeout).empty());
  PeerMessage stopping = From("b", 9, 2);
  stopping.stopping = true;
  table.Receive(kOther, stopping, kStart);
  CHECK(table.LiveNames(kStart).empty());
}

TEST_CASE("A peer with a longer interval has a longer timeout", "[proxy]") {
  PeerTable table("a", 1);
  PeerMessage message = From("b", 9, 1);
  message.interval = Duration(2'000'000);
  table.Receive(kOther, message, kStart);
  CHECK(table.IsAlive(table.All().at(kOther), kStart + Duration(5'900'000)));
  CHECK_FALSE(table.IsAlive(table.All().at(kOther), kStart + Duration(6'100'000)));
  CHECK(common::ValueOf(DecodePeerMessage(EncodePeerMessage(message))).interval ==
        message.interval);
}

TEST_CASE("Whether a hub is informed is encoded and decoded", "[proxy]") {
  for (const bool informed : {false, true}) {
    PeerMessage message = From("b", 9, 1);
    message.view.from_hub = true;
    message.view.complete = informed;
    const auto read = DecodePeerMessage(EncodePeerMessage(message));
    CHECK(common::ValueOf(read).view.complete == informed);
  }
}

TEST_CASE("A continuation of a restarted peer keeps no report of its earlier process", "[proxy]") {
  // Guards against a loss of commits: the earlier process's bounds of what it acknowledged would
  // stand for those of the new one, whose first message was lost.
  PeerTable table("a", 1);
  PeerMessage before = From("b", 9, 1);
  before.groups.resize(1);
  before.groups[0].service = "ledger";
  table.Receive(kOther, before, kStart);
  PeerMessage part = From("b", 10, 2);
  part.is_continuation = true;
  part.groups.resize(1);
  part.groups[0].service = "orders";
  table.Receive(kOther, part, kStart + Duration(1000));
  const std::vector<GroupReport>& groups = table.All().at(kOther).last.groups;
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].service == "orders");
}

}  // namespace valvekeel::proxy
