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
  lease.OnAnswer(round, "p", Status(true, 1));
  lease.OnAnswer(round, "a", Status(false, 1));
  REQUIRE(lease.ConfirmByRecord(0, kStart));
  return lease;
}

}  // namespace

TEST_CASE("The record confirms the primary that a majority follows, from when it was asked for",
          "[group]") {
  const ReadLease lease = ConfirmedLease();
  CHECK(lease.Newest().primary == "p");
  CHECK_FALSE(lease.Proposed());
  CHECK(lease.Holds(kStart));
  CHECK(lease.Holds(kStart + kLeaseTime - common::Duration(1)));
  CHECK_FALSE(lease.Holds(kStart + kLeaseTime));
}

TEST_CASE("A round alone begins no lease", "[group]") {
  // Guards against stale reads: a promotion lifts the fences, and members that hear nothing follow
  // the former primary again.
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  CHECK_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "a", Status(false, 1)));
  CHECK_FALSE(lease.Holds(kStart));
  REQUIRE(lease.Proposed());
  CHECK(lease.Proposed()->primary == "p");
  // The record names a replacement of its term.
  CHECK_FALSE(lease.ConfirmByRecord(1, kStart));
  CHECK_FALSE(lease.Holds(kStart));
  CHECK_FALSE(lease.Proposed());
}

TEST_CASE("A round extends a lease that holds when it starts, and revives none that has lapsed",
          "[group]") {
  // Guards against stale reads: a daemon that is cut off renewed the lease of a replaced primary
  // once the promotion had lifted the fences.
  ReadLease lease = ConfirmedLease();
  const common::Instant within = kStart + kLeaseTime - common::Duration(1);
  const RoundNumber second = lease.StartRound(kMembers, within);
  CHECK_FALSE(lease.OnAnswer(second, "p", Status(true, 1)));
  CHECK(lease.OnAnswer(second, "a", Status(false, 1)));
  CHECK(lease.Holds(within + kLeaseTime - common::Duration(1)));
  const common::Instant lapsed = within + kLeaseTime;
  const RoundNumber third = lease.StartRound(kMembers, lapsed);
  lease.OnAnswer(third, "p", Status(true, 1));
  CHECK_FALSE(lease.OnAnswer(third, "a", Status(false, 1)));
  CHECK_FALSE(lease.Holds(lapsed));
  REQUIRE(lease.Proposed());
  CHECK(lease.ConfirmByRecord(0, lapsed));
  CHECK(lease.Holds(lapsed));
}

TEST_CASE("An answer of a later term ends the lease, also after the round", "[group]") {
  // Guards against stale reads: a round ended with its first majority, and the answer of the new
  // primary was dropped.
  ReadLease lease = ConfirmedLease();
  const common::Instant next = kStart + common::Duration(1);
  const RoundNumber round = lease.StartRound(kMembers, next);
  lease.OnAnswer(round, "p", Status(true, 1));
  REQUIRE(lease.OnAnswer(round, "a", Status(false, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "b", Status(true, 2)));
  CHECK_FALSE(lease.Holds(next));
  CHECK(lease.ReleasedTerm() == 1);
}

TEST_CASE("A primary that is the only member left extends no lease by itself", "[group]") {
  // Another instance may have joined and been promoted since.
  ReadLease lease = ConfirmedLease();
  const common::Instant next = kStart + common::Duration(1);
  const RoundNumber round = lease.StartRound(1, next);
  CHECK_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  CHECK(lease.Newest().started == kStart);
}

TEST_CASE("A fenced replica does not vote for a primary", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  lease.OnAnswer(round, "p", Status(true, 1));
  lease.OnAnswer(round, "a", Status(false, 1, 2));
  CHECK_FALSE(lease.Proposed());
  lease.OnAnswer(round, "b", Status(false, 1));
  CHECK(lease.Proposed());
}

TEST_CASE("Replicas alone propose no primary, nor does a primary alone", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kMembers, kStart);
  lease.OnAnswer(round, "a", Status(false, 1));
  lease.OnAnswer(round, "b", Status(false, 1));
  CHECK_FALSE(lease.Proposed());
  ReadLease alone;
  const RoundNumber other = alone.StartRound(kMembers, kStart);
  alone.OnAnswer(other, "p", Status(true, 1));
  CHECK_FALSE(alone.Proposed());
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
  fresh.OnAnswer(round, "p", empty);
  fresh.OnAnswer(round, "a", replica);
  CHECK_FALSE(fresh.Proposed());

  // Positions reported before a round started are required in it, even if only the primary reported
  // them.
  model::InstanceStatus primary = Status(true, 1);
  primary.received = {1, 90};
  ReadLease lease;
  const RoundNumber first = lease.StartRound(kMembers, kStart);
  lease.OnAnswer(first, "p", primary);
  lease.OnAnswer(first, "a", replica);
  REQUIRE(lease.ConfirmByRecord(0, kStart));
  const RoundNumber second = lease.StartRound(kMembers, kStart + common::Duration(1));
  primary.received = {1, 60};
  CHECK_FALSE(lease.OnAnswer(second, "p", primary));
  CHECK_FALSE(lease.OnAnswer(second, "a", replica));
  CHECK_FALSE(lease.Proposed());
}

TEST_CASE("A replica ahead of a new primary in an earlier term does not prevent its lease",
          "[group]") {
  ReadLease lease = ConfirmedLease();
  model::InstanceStatus former = Status(false, 1);
  former.received = {1, 90};
  model::InstanceStatus promoted = Status(true, 2);
  promoted.received = {1, 60};
  const common::Instant next = kStart + common::Duration(1);
  const RoundNumber round = lease.StartRound(kMembers, next);
  lease.OnAnswer(round, "a", former);
  lease.OnAnswer(round, "b", promoted);
  CHECK(lease.ConfirmByRecord(1, next));
  CHECK(lease.Holds(next));
  CHECK(lease.Newest().primary == "b");
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
