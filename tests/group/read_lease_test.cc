#include "group/read_lease.h"

#include <catch2/catch.hpp>

#include "group/position_history.h"

namespace valvekeel::group {
namespace {

using common::Instant;
using common::Position;

constexpr Instant kStart{10'000'000};
constexpr std::size_t kThree = 3;

model::InstanceStatus Status(bool primary, common::Term term, common::Term fenced_term = 0) {
  model::InstanceStatus status;
  status.primary = primary;
  status.term = term;
  status.fenced_term = fenced_term;
  return status;
}

/// A lease confirmed at kStart for instance "p" of term 1.
ReadLease Confirmed() {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kThree, kStart);
  REQUIRE_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  REQUIRE(lease.OnAnswer(round, "a", Status(false, 1)));
  return lease;
}

}  // namespace

TEST_CASE("A majority's word gives the lease, counted from the question", "[group]") {
  const ReadLease lease = Confirmed();
  CHECK(lease.Newest().primary == "p");
  CHECK(lease.Holds(kStart));
  CHECK(lease.Holds(kStart + kLeaseTime - common::Duration(1)));
  CHECK_FALSE(lease.Holds(kStart + kLeaseTime));
}

TEST_CASE("A fenced replica takes its vote from the lease", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kThree, kStart);
  CHECK_FALSE(lease.OnAnswer(round, "p", Status(true, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "a", Status(false, 1, 2)));
  CHECK(lease.OnAnswer(round, "b", Status(false, 1)));
}

TEST_CASE("Replicas alone give no lease, nor does a primary alone", "[group]") {
  ReadLease lease;
  const RoundNumber round = lease.StartRound(kThree, kStart);
  CHECK_FALSE(lease.OnAnswer(round, "a", Status(false, 1)));
  CHECK_FALSE(lease.OnAnswer(round, "b", Status(false, 1)));
  ReadLease alone;
  const RoundNumber other = alone.StartRound(kThree, kStart);
  CHECK_FALSE(alone.OnAnswer(other, "p", Status(true, 1)));
}

TEST_CASE("A released term never comes back, the next one does", "[group]") {
  ReadLease lease = Confirmed();
  lease.Release(1);
  CHECK_FALSE(lease.Holds(kStart));
  lease.Renew({1, "p", kStart + kLeaseTime});
  CHECK_FALSE(lease.Holds(kStart + kLeaseTime));
  lease.Renew({2, "a", kStart + kLeaseTime});
  CHECK(lease.Holds(kStart + kLeaseTime));
  CHECK(lease.Newest().primary == "a");
}

TEST_CASE("An older confirmation or a lower term changes nothing", "[group]") {
  ReadLease lease = Confirmed();
  lease.Renew({1, "p", kStart - common::Duration(1)});
  CHECK(lease.Newest().started == kStart);
  lease.Renew({2, "a", kStart});
  lease.Renew({1, "p", kStart + kLeaseTime});
  CHECK(lease.Newest().term == 2);
}

TEST_CASE("A primary with less than others have of its term gets no lease", "[group]") {
  model::InstanceStatus empty = Status(true, 1);
  empty.received = {1, 0};
  model::InstanceStatus replica = Status(false, 1);
  replica.received = {1, 40};
  ReadLease fresh;
  const RoundNumber round = fresh.StartRound(kThree, kStart);
  CHECK_FALSE(fresh.OnAnswer(round, "p", empty));
  CHECK_FALSE(fresh.OnAnswer(round, "a", replica));

  // What was heard before a round started holds in it, also if only the primary had it.
  model::InstanceStatus primary = Status(true, 1);
  primary.received = {1, 90};
  ReadLease lease;
  const RoundNumber first = lease.StartRound(kThree, kStart);
  lease.OnAnswer(first, "p", primary);
  CHECK(lease.OnAnswer(first, "a", replica));
  const RoundNumber second = lease.StartRound(kThree, kStart + common::Duration(1));
  primary.received = {1, 60};
  CHECK_FALSE(lease.OnAnswer(second, "p", primary));
  CHECK_FALSE(lease.OnAnswer(second, "a", replica));
}

TEST_CASE("A replica that was ahead of a new primary does not keep the lease from it", "[group]") {
  ReadLease lease = Confirmed();
  model::InstanceStatus former = Status(false, 1);
  former.received = {1, 90};
  model::InstanceStatus promoted = Status(true, 2);
  promoted.received = {1, 60};
  const RoundNumber round = lease.StartRound(kThree, kStart + common::Duration(1));
  lease.OnAnswer(round, "a", former);
  CHECK(lease.OnAnswer(round, "b", promoted));
}

TEST_CASE("The lowest position that covers an instant is given", "[group]") {
  PositionHistory history;
  history.Add({kStart, Position{1, 10}});
  history.Add({kStart + common::Duration(100'000), Position{1, 20}});
  history.Add({kStart + common::Duration(200'000), Position{1, 30}});
  CHECK(history.Covering(kStart) == Position{1, 10});
  CHECK(history.Covering(kStart + common::Duration(1)) == Position{1, 20});
  CHECK_FALSE(history.Covering(kStart + common::Duration(200'001)));
}

TEST_CASE("Another primary's lower position drops what was known before", "[group]") {
  PositionHistory history;
  history.Add({kStart, Position{1, 30}});
  history.Add({kStart + common::Duration(100'000), Position{1, 20}});
  CHECK(history.Covering(kStart) == Position{1, 20});
}

}  // namespace valvekeel::group
