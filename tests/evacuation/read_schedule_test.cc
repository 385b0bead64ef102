// Who asks the store for evacuated zones, and when.

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
const read_conditions RELAY{false, false, false, true};

/**
 * Runs a schedule for ten seconds, each read answered at once.
 *
 * @param heard  whether another daemon's view of this instant is heard again and again
 * @return number of reads
 */
int reads_in_ten_seconds(const read_conditions& duty, bool heard, bool answered = true) {
  read_schedule schedule(LIMIT);
  view_tracker tracker;
  tracker.apply({1, {}, START});
  int reads = 0;
  for (common::Instant now = START; now < START + std::chrono::seconds(10); now += STEP) {
    if (heard) {
      tracker.apply({1, {}, now});
    }
    if (!schedule.start(duty, tracker, now)) {
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

TEST_CASE("The reader asks once a second, and nobody else at rest", "[evacuation]") {
  CHECK(reads_in_ten_seconds(READER, true) == 10);
  CHECK(reads_in_ten_seconds(OWNER, true) == 0);
  CHECK(reads_in_ten_seconds(RELAY, true) == 0);
}

TEST_CASE("Who sends work and hears nothing asks by itself", "[evacuation]") {
  CHECK(reads_in_ten_seconds(OWNER, false) == 4);
  CHECK(reads_in_ten_seconds(RELAY, false) == 0);
  // From two seconds on, each 0.8 s, although nothing is learned.
  CHECK(reads_in_ten_seconds(OWNER, false, false) == 10);
}

TEST_CASE("Who never had a view asks before it sends work", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  CHECK_FALSE(schedule.start(RELAY, tracker, START));
  CHECK(schedule.start(OWNER, tracker, START));
  CHECK_FALSE(schedule.start(OWNER, tracker, START + milliseconds(500)));
}

TEST_CASE("An answer holds from the instant at which the question was sent", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK(schedule.finish(7) == START);
}

TEST_CASE("An answer older than what was known proves nothing", "[evacuation]") {
  read_schedule schedule(LIMIT);
  view_tracker tracker;
  tracker.apply({9, {}, START});
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK_FALSE(schedule.finish(8));
  CHECK(schedule.start(READER, tracker, START + std::chrono::seconds(1)));
  CHECK(schedule.finish(9) == START + std::chrono::seconds(1));
}

TEST_CASE("A question that stays unanswered proves nothing", "[evacuation]") {
  read_schedule schedule(LIMIT);
  const view_tracker tracker;
  REQUIRE(schedule.start(READER, tracker, START));
  CHECK_FALSE(schedule.finish(std::nullopt));
}

}  // namespace valvekeel::evacuation
