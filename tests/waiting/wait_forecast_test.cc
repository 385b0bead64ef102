// Tests when there is a forecast of the wait, and that it errs towards waiting.

#include "waiting/wait_forecast.h"

#include <catch2/catch.hpp>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};
constexpr common::Duration TICK = 10 * MILLISECOND;
constexpr std::size_t INSTANCES = 3;
constexpr std::size_t DISTANT_POSITION = 50;

/** A saturated service whose queue is checked each tick. */
struct saturated_service {
  /** Advances the time; `burst` operations start after each `interval`. */
  void run(common::Duration time, common::Duration interval, int burst = 1,
           std::size_t instances = INSTANCES) {
    const common::Instant end = now + time;
    while (now < end) {
      now += TICK;
      since_start += TICK;
      for (; since_start >= interval; since_start -= interval) {
        for (int i = 0; i < burst; ++i) {
          forecast.on_started(true, now);
        }
      }
      forecast.on_no_free_slot(instances, now);
    }
  }

  /** @return the expected wait at the position, negative without a forecast. */
  common::Duration expected_wait(std::size_t position) const {
    const auto estimate = forecast.estimate_turn(position, now);
    return estimate ? estimate->expected : common::Duration(-1);
  }

  wait_forecast forecast;
  common::Instant now{10'000'000};
  common::Duration since_start{0};
};

}  // namespace

TEST_CASE("The wait at a position is the time that the starts before it take", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  CHECK(service.expected_wait(10) > 180 * MILLISECOND);
  CHECK(service.expected_wait(10) < 220 * MILLISECOND);
  const auto estimate = service.forecast.estimate_turn(10, service.now);
  CHECK(estimate->earliest < 140 * MILLISECOND);
}

TEST_CASE("The next in the queue is never forecast to start too late", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 100 * MILLISECOND);
  CHECK(service.forecast.estimate_turn(1, service.now)->earliest == common::Duration(0));
}

TEST_CASE("There is no forecast from too few observations", "[waiting]") {
  saturated_service service;
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
  service.run(90 * MILLISECOND, 20 * MILLISECOND);
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
  service.run(30 * MILLISECOND, 20 * MILLISECOND);
  CHECK(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("Two starts are too few for a rate", "[waiting]") {
  saturated_service service;
  service.run(300 * MILLISECOND, 150 * MILLISECOND);
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("Starts outside saturated time do not count", "[waiting]") {
  saturated_service service;
  for (int i = 0; i < 100; ++i) {
    service.now += TICK;
    service.forecast.on_started(false, service.now);
  }
  service.run(std::chrono::milliseconds(400), 40 * MILLISECOND);
  CHECK(service.expected_wait(10) > 350 * MILLISECOND);
}

TEST_CASE("Idle time does not count as a slow service", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  const common::Duration before = service.expected_wait(10);
  service.forecast.on_started(false, service.now);
  service.now += 400 * MILLISECOND;
  service.forecast.on_no_free_slot(INSTANCES, service.now);
  CHECK(service.expected_wait(10) < before * 11 / 10);
}

TEST_CASE("Time since the last start lengthens the forecast", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  const common::Duration before = service.expected_wait(10);
  service.run(300 * MILLISECOND, std::chrono::seconds(100));
  CHECK(service.expected_wait(10) > before * 5 / 4);
}

TEST_CASE("A primary outage discards the rate", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND, 1, 1);
  service.forecast.on_outage(service.now);
  service.now += 700 * MILLISECOND;
  service.forecast.on_no_free_slot(1, service.now);
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("An additional instance discards the rate of fewer instances", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND, 1, INSTANCES - 1);
  service.forecast.on_no_free_slot(INSTANCES, service.now);
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("An instance that was lost and returns discards the rate without it", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  service.run(INSTANCE_COUNT_RETENTION + 2 * TICK, 30 * MILLISECOND, 1, INSTANCES - 1);
  CHECK(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
  service.forecast.on_no_free_slot(INSTANCES, service.now);
  CHECK_FALSE(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("An operation with fewer instances to choose from changes nothing", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  service.forecast.on_no_free_slot(1, service.now);
  service.forecast.on_no_free_slot(INSTANCES, service.now);
  CHECK(service.forecast.estimate_turn(DISTANT_POSITION, service.now));
}

TEST_CASE("Starts in bursts are forecast at their mean rate", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(3), 200 * MILLISECOND, 10);
  for (int tick = 0; tick < 20; ++tick) {
    service.run(TICK, 200 * MILLISECOND, 10);
    // A burst of ten starts every 200 ms, so the tenth never waits longer.
    CHECK(service.forecast.estimate_turn(10, service.now)->earliest < 200 * MILLISECOND);
  }
}

TEST_CASE("A pause of the process itself does not count as a slow service", "[waiting]") {
  saturated_service service;
  service.run(std::chrono::seconds(2), 20 * MILLISECOND);
  const common::Duration before = service.expected_wait(10);
  service.now += 500 * MILLISECOND;
  service.forecast.on_no_free_slot(INSTANCES, service.now);
  CHECK(service.expected_wait(10) < before * 11 / 10);
}

}  // namespace valvekeel::waiting
