// Tests which waiters cannot start in time, by service and by the instances they need.

#include "waiting/service_queues.h"

#include <catch2/catch.hpp>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};
constexpr common::Duration TICK = 10 * MILLISECOND;
constexpr common::Duration MAX_WAIT = 100 * MILLISECOND;
const std::string SERVICE = "ledger";

/** Queues of a service that started 50 operations a second for 2 s while others waited. */
struct queues_fixture {
  explicit queues_fixture(need needs = need::any) : at{SERVICE, needs} {
    add();
    for (int tick = 0; tick < 200; ++tick) {
      now += TICK;
      if (tick % 2 == 0) {
        queues.on_started(at, {0, 0, ""}, now);
      }
      queues.on_no_free_slot(at, 3, now);
    }
    queues.remove(1);
  }

  waiter_number add(bool waits_only_for_slot = true) {
    waiter added;
    added.number = ++last_number;
    added.arrived = now;
    added.queue_deadline = now + MAX_WAIT;
    added.needs = at.needs;
    queues.add(SERVICE, added, waits_only_for_slot);
    return added.number;
  }

  service_queues queues;
  target at;
  common::Instant now{10'000'000};
  waiter_number last_number = 0;
};

}  // namespace

TEST_CASE("Only waiters too far back in the queue are refused", "[waiting]") {
  queues_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.add();
  }
  const auto& found = fixture.queues.find_late_waiters(fixture.now);
  // At 50 a second, 5 start in 0.1 s on average and up to 10 within one standard deviation.
  REQUIRE(found.size() > 28);
  REQUIRE(found.size() < 34);
  CHECK(found.front().number == 42 - found.size());
  CHECK(found.front().expected_wait > MAX_WAIT);
}

TEST_CASE("Refused waiters do not add to the wait of others", "[waiting]") {
  queues_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.add();
  }
  const auto& found = fixture.queues.find_late_waiters(fixture.now);
  CHECK(found.front().expected_wait == found.back().expected_wait);
}

TEST_CASE("A waiter that lacks more than a free slot is neither refused nor counted", "[waiting]") {
  queues_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.add(false);
  }
  CHECK(fixture.queues.find_late_waiters(fixture.now).empty());
  fixture.add();
  CHECK(fixture.queues.find_late_waiters(fixture.now).empty());
}

TEST_CASE("A waiter counts by what it lacked at the latest attempt", "[waiting]") {
  queues_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.queues.set_waits_only_for_slot(fixture.add(false), true);
  }
  CHECK_FALSE(fixture.queues.find_late_waiters(fixture.now).empty());
}

TEST_CASE("The rate of reads does not apply to waiters for the primary", "[waiting]") {
  queues_fixture fixture;
  fixture.at.needs = need::primary;
  for (int i = 0; i < 40; ++i) {
    fixture.add();
  }
  CHECK(fixture.queues.find_late_waiters(fixture.now).empty());
}

TEST_CASE("The queue that formed during a primary outage is not refused after it", "[waiting]") {
  queues_fixture fixture(need::primary);
  fixture.queues.on_no_instance(fixture.at, fixture.now);
  fixture.now += 700 * MILLISECOND;
  for (int i = 0; i < 40; ++i) {
    fixture.add();
  }
  fixture.queues.on_no_free_slot(fixture.at, 1, fixture.now);
  CHECK(fixture.queues.find_late_waiters(fixture.now).empty());
}

TEST_CASE("A read without a fresh replica is no outage for other reads", "[waiting]") {
  queues_fixture fixture;
  fixture.queues.on_no_instance(fixture.at, fixture.now);
  CHECK(fixture.queues.expected_wait(fixture.at, fixture.now));
}

TEST_CASE("Services have separate queues", "[waiting]") {
  queues_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.add();
  }
  const std::string other = "archive";
  CHECK_FALSE(fixture.queues.expected_wait({other, need::any}, fixture.now));
}

TEST_CASE("A waiter that is added again keeps its position", "[waiting]") {
  queues_fixture fixture;
  const waiter_number first = fixture.add();
  fixture.add();
  waiter again;
  again.number = first;
  again.priority = 9;
  fixture.queues.add(SERVICE, again, true);
  CHECK(fixture.queues.size() == 2);
  CHECK(fixture.queues.order().front().number == first);
  fixture.queues.remove(first);
  fixture.queues.remove(first);
  CHECK(fixture.queues.size() == 1);
}

}  // namespace valvekeel::waiting
