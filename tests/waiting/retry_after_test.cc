// Tests the retry-after time of refused callers.

#include "waiting/retry_after.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};

/** An attempt refused 10 ms after the caller's first one; the expected wait is 150 ms. */
refused_attempt refused_early() {
  refused_attempt refused;
  refused.session = 1;
  refused.since_first = 10 * MILLISECOND;
  refused.max_wait = 100 * MILLISECOND;
  refused.target_latency = 400 * MILLISECOND;
  refused.expected_wait = 150 * MILLISECOND;
  return refused;
}

}  // namespace

TEST_CASE("A caller that can still be served in time retries when the queue is short enough",
          "[waiting]") {
  refused_attempt refused = refused_early();
  CHECK(retry_after(refused) >= 50 * MILLISECOND);
  CHECK(retry_after(refused) < 100 * MILLISECOND);
  refused.expected_wait = 200 * MILLISECOND;
  CHECK(retry_after(refused) >= 100 * MILLISECOND);
  CHECK(retry_after(refused) < 200 * MILLISECOND);
}

TEST_CASE("A caller that will miss its target latency anyway retries late", "[waiting]") {
  refused_attempt tried_before = refused_early();
  tried_before.since_first = 200 * MILLISECOND;
  CHECK(retry_after(tried_before) >= LATE_RETRY_AFTER);
  refused_attempt long_queue = refused_early();
  long_queue.expected_wait = 300 * MILLISECOND;
  CHECK(retry_after(long_queue) >= LATE_RETRY_AFTER);
  refused_attempt short_target = refused_early();
  short_target.target_latency = 200 * MILLISECOND;
  CHECK(retry_after(short_target) >= LATE_RETRY_AFTER);
}

TEST_CASE("The retry-after time has a lower and an upper bound", "[waiting]") {
  refused_attempt refused = refused_early();
  refused.expected_wait = 10 * MILLISECOND;
  CHECK(retry_after(refused) >= MIN_RETRY_AFTER);
  CHECK(retry_after(refused) < 2 * MIN_RETRY_AFTER);
  refused.expected_wait = std::chrono::hours(1);
  CHECK(retry_after(refused) < 2 * LATE_RETRY_AFTER);
  refused.target_latency = std::chrono::hours(2);
  CHECK(retry_after(refused) < 2 * LATE_RETRY_AFTER);
  refused.expected_wait.reset();
  CHECK(retry_after(refused) >= DEFAULT_RETRY_AFTER);
  CHECK(retry_after(refused) < 2 * DEFAULT_RETRY_AFTER);
}

TEST_CASE("Callers refused together do not retry together", "[waiting]") {
  constexpr std::size_t CALLERS = 100;
  constexpr std::size_t SLOTS = 10;
  std::vector<std::size_t> by_slot(SLOTS);
  refused_attempt refused = refused_early();
  refused.expected_wait = std::chrono::hours(1);
  for (refused.session = 1; refused.session <= CALLERS; ++refused.session) {
    const common::Duration extra_delay = retry_after(refused) - LATE_RETRY_AFTER;
    ++by_slot.at(static_cast<std::size_t>(extra_delay * SLOTS / LATE_RETRY_AFTER));
  }
  CHECK(*std::max_element(by_slot.begin(), by_slot.end()) < CALLERS / 4);
  CHECK(retry_after(refused) == retry_after(refused));
}

}  // namespace valvekeel::waiting
