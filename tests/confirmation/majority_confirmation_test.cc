#include "confirmation/majority_confirmation.h"

#include <catch2/catch.hpp>

namespace valvekeel::confirmation {
namespace {

constexpr common::Instant kDeadline{1'000'000};

}  // namespace

TEST_CASE("A commit is confirmed by a replica that holds it in the same term", "[confirmation]") {
  MajorityConfirmation confirmation(3);
  REQUIRE(confirmation.Add(1, {4, 100}, true, kDeadline).empty());
  REQUIRE(confirmation.NeedsProbe("1"));
  const ProbeNumber early = confirmation.StartProbe("1");
  CHECK(confirmation.OnProbeAnswer(early, {4, 99}).empty());
  const ProbeNumber probe = confirmation.StartProbe("1");
  const auto resolved = confirmation.OnProbeAnswer(probe, {4, 100});
  REQUIRE(resolved.size() == 1);
  CHECK(resolved[0].result == ConfirmationResult::kConfirmed);
  CHECK_FALSE(confirmation.NeedsProbe("1"));
}

TEST_CASE("A probe sent before the commit does not confirm it", "[confirmation]") {
  MajorityConfirmation confirmation(3);
  confirmation.Add(1, {4, 100}, true, kDeadline);
  const ProbeNumber probe = confirmation.StartProbe("1");
  confirmation.Add(2, {4, 90}, true, kDeadline);
  const auto resolved = confirmation.OnProbeAnswer(probe, {4, 200});
  REQUIRE(resolved.size() == 1);
  CHECK(resolved[0].number == 1);
  CHECK(confirmation.NeedsProbe("1"));
}

TEST_CASE("A later term anywhere supersedes the commit", "[confirmation]") {
  MajorityConfirmation confirmation(3);
  confirmation.Add(1, {4, 100}, true, kDeadline);
  const auto resolved = confirmation.OnProbeAnswer(confirmation.StartProbe("2"), {5, 500});
  REQUIRE(resolved.size() == 1);
  CHECK(resolved[0].result == ConfirmationResult::kSuperseded);
}

TEST_CASE("One answer confirms every commit before it", "[confirmation]") {
  MajorityConfirmation confirmation(3);
  for (PendingNumber number = 1; number <= 50; ++number) {
    confirmation.Add(number, {1, number}, true, kDeadline);
  }
  CHECK(confirmation.OnProbeAnswer(confirmation.StartProbe("1"), {1, 50}).size() == 50);
}

TEST_CASE("Five instances need two replicas, one instance none", "[confirmation]") {
  MajorityConfirmation five(5);
  five.Add(1, {1, 10}, true, kDeadline);
  CHECK(five.OnProbeAnswer(five.StartProbe("1"), {1, 10}).empty());
  CHECK(five.OnProbeAnswer(five.StartProbe("1"), {1, 10}).empty());
  CHECK(five.OnProbeAnswer(five.StartProbe("2"), {1, 10}).size() == 1);
  MajorityConfirmation one(1);
  CHECK(one.Add(1, {1, 10}, true, kDeadline).size() == 1);
}

TEST_CASE("A barrier needs the term only, and a wait ends at its deadline", "[confirmation]") {
  MajorityConfirmation confirmation(3);
  confirmation.Add(1, {2, 100}, false, kDeadline);
  CHECK(confirmation.OnProbeAnswer(confirmation.StartProbe("1"), {2, 5}).size() == 1);
  confirmation.Add(2, {2, 100}, true, kDeadline);
  CHECK(confirmation.Expire(kDeadline - common::Duration{1}).empty());
  const auto expired = confirmation.Expire(kDeadline);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].result == ConfirmationResult::kTimedOut);
}

}  // namespace valvekeel::confirmation
