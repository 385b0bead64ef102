// Tests of which daemons read the evacuated zones from the store, and when.

#include "evacuation/read_schedule.h"

#include <catch2/catch.hpp>

namespace valvekeel::evacuation {
namespace {

using std::chrono::milliseconds;

constexpr common::Instant START{100'000'000};
constexpr common::Duration LIMIT = std::chrono::seconds(5);
constexpr common::Duration STEP = milliseconds(10);

const read_conditions READER{true, true, true, true};
const read_conditions OWNER{false, true, false, true};
const read_conditions RELAYING{false, false, false, true};

/**
 * Runs a schedule for ten seconds. Each read ends at once.
 *
 * @param receives_views  whether another daemon's current view arrives at each step
 * @return number of reads
 */
int reads_in_ten_seconds(const read_conditions& conditions, bool receives_views,
                         bool answered = true) {
  read_schedule schedule(LIMIT);
  view_tracker tracker;
  tracker.apply({1, {}, START});
  int reads = 0;
  for (common::Instant now = START; now < START + std::chrono::seconds(10); now += STEP) {
    if (receives_views) {
      tracker.apply({1, {}, now});
    }
    if (!schedule.start(conditions, tracker, now)) {
      continue;
    }
    ++reads;
    if (const auto read_at = schedule.finish(answered ? std::optional(1) : std::nullopt)) {
      tracker.apply({1, {}, *read_at});
    }
  }
  return reads;
}

}  // namespace

TEST_CASE("The reader reads once a second, and no other daemon reads while it receives views",
          "[evacuation]") {
  CHECK(reads_in_ten_seconds(READER, true) == 10);
  CHECK(reads_in_ten_seconds(OWNER, true) == 0);
  CHECK(reads_in_ten_seconds(RELAYING, true) == 0);
}

TEST_CASE("A daemon that sends work and receives no views reads by itself", "[evacuation]") {
  CHECK(reads_in_ten_seconds(OWNER, false) == 4);
  CHECK(reads_in_ten_seconds(RELAYING, false) == 0);
  // From 2 s on a read every 0.8 s, each of which fails.
  CHECK(reads_in_ten_seconds(OWNER, false, false) == 10);
}

TEST_CASE("A daemon without a view reads before it sends work", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  CHECK_FALSE(schedule.start(RELAYING, tracker, START));
  CHECK(schedule.start(OWNER, tracker, START));
  CHECK_FALSE(schedule.start(OWNER, tracker, START + milliseconds(500)));
}

TEST_CASE("An answer is valid as of the time at which the read was sent", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK(schedule.finish(7) == START);
}

TEST_CASE("An answer of a lower revision than the known one is discarded", "[evacuation]") {
  read_schedule schedule(LIMIT);
  view_tracker tracker;
  tracker.apply({9, {}, START});
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK_FALSE(schedule.finish(8));
  CHECK(schedule.start(READER, tracker, START + std::chrono::seconds(1)));
  CHECK(schedule.finish(9) == START + std::chrono::seconds(1));
}

TEST_CASE("A failed read gives no time", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK_FALSE(schedule.finish(std::nullopt));
}

}  // namespace valvekeel::evacuation
