#include "group/read_lease.h"

#include <catch2/catch.hpp>

#include "group/position_history.h"

namespace valvekeel::group {
namespace {

using common::Instant;
using common::Position;

constexpr Instant kStart{10'000'000};
constexpr std::size_t kMembers = 3;

model::InstanceStatus Status(bool primary, common::Term term, common::Term fenced_term = 0) {
  model::InstanceStatus status;
  status.primary = primary;
  status.term = term;
  status.fenced_term = fenced_term;
  return status;
}

/// A lease confirmed at kStart for instance "p" of term 1.
ReadLease ConfirmedLease() {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  REQUIRE_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  REQUIRE(lease.OnAnswer(round, "a", Status(false, 1)));
  return lease;
}

}  // namespace

TEST_CASE("A majority of answers gives the lease, counted from the start of the round", "[group]") {
  const ReadLease lease = ConfirmedLease();
  CHECK(lease.Newest().primary == "p");
  CHECK(lease.Holds(kStart));
  CHECK(lease.Holds(kStart + kLeaseTime - common::Duration(1)));
  CHECK_FALSE(lease.Holds(kStart + kLeaseTime));
}

TEST_CASE("A fenced replica does not vote for the lease", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  CHECK_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "a", Status(false, 1, 2)));
  CHECK(lease.OnAnswer(round, "b", Status(false, 1)));
}

TEST_CASE("Replicas alone give no lease, nor does a primary alone", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  CHECK_FALSE(lease.OnAnswer(round, "a", Status(false, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "b", Status(false, 1)));
  ReadLease alone;
  const RoundNumber other = alone.StartRound(kMembers, kStart);
  CHECK_FALSE(alone.OnAnswer(other, "p", Status(true, 1)));
}

TEST_CASE("A released term is never leased again, the next one is", "[group]") {
  ReadLease lease = ConfirmedLease();
  lease.Release(1);
  CHECK_FALSE(lease.Holds(kStart));
  lease.Renew({1, "p", kStart + kLeaseTime});
  CHECK_FALSE(lease.Holds(kStart + kLeaseTime));
  lease.Renew({2, "a", kStart + kLeaseTime});
  CHECK(lease.Holds(kStart + kLeaseTime));
  CHECK(lease.Newest().primary == "a");
}

TEST_CASE("An older confirmation or a lower term changes nothing", "[group]") {
  ReadLease lease = ConfirmedLease();
  lease.Renew({1, "p", kStart - common::Duration(1)});
  CHECK(lease.Newest().started == kStart);
  lease.Renew({2, "a", kStart});
  lease.Renew({1, "p", kStart + kLeaseTime});
  CHECK(lease.Newest().term == 2);
}

TEST_CASE("A primary whose log is behind others of its term gets no lease", "[group]") {
  model::InstanceStatus empty = Status(true, 1);
  empty.received = {1, 0};
  model::InstanceStatus replica = Status(false, 1);
  replica.received = {1, 40};
  ReadLease fresh;
  const RoundNumber round = fresh.StartRound(kMembers, kStart);
  CHECK_FALSE(fresh.OnAnswer(round, "p", empty));
  CHECK_FALSE(fresh.OnAnswer(round, "a", replica));

  // Positions reported before a round started are required in it, even if only the primary reported
  // them.
  model::InstanceStatus primary = Status(true, 1);
  primary.received = {1, 90};
  ReadLease lease;
  const RoundNumber first = lease.StartRound(kMembers, kStart);
  lease.OnAnswer(first, "p", primary);
  CHECK(lease.OnAnswer(first, "a", replica));
  const RoundNumber second = lease.StartRound(kMembers, kStart + common::Duration(1));
  primary.received = {1, 60};
  CHECK_FALSE(lease.OnAnswer(second, "p", primary));
  CHECK_FALSE(lease.OnAnswer(second, "a", replica));
}

TEST_CASE("A replica ahead of a new primary in an earlier term does not prevent its lease",
          "[group]") {
  ReadLease lease = ConfirmedLease();
  model::InstanceStatus former = Status(false, 1);
  former.received = {1, 90};
  model::InstanceStatus promoted = Status(true, 2);
  promoted.received = {1, 60};
  const RoundNumber round = lease.StartRound(kMembers, kStart + common::Duration(1));
  lease.OnAnswer(round, "a", former);
  CHECK(lease.OnAnswer(round, "b", promoted));
}

TEST_CASE("Covering returns the lowest position that covers a time", "[group]") {
  PositionHistory history;
  history.Add({kStart, Position{1, 10}});
  history.Add({kStart + common::Duration(100'000), Position{1, 20}});
  history.Add({kStart + common::Duration(200'000), Position{1, 30}});
  CHECK(history.Covering(kStart) == Position{1, 10});
  CHECK(history.Covering(kStart + common::Duration(1)) == Position{1, 20});
  CHECK_FALSE(history.Covering(kStart + common::Duration(200'001)));
}

TEST_CASE("A lower position of another primary drops the earlier samples", "[group]") {
  PositionHistory history;
  history.Add({kStart, Position{1, 30}});
  history.Add({kStart + common::Duration(100'000), Position{1, 20}});
  CHECK(history.Covering(kStart) == Position{1, 20});
}

}  // namespace valvekeel::group
