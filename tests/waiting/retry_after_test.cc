// When refused callers come back.

#include "waiting/retry_after.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};

/** A caller that was refused 10 ms after its first attempt, where 150 ms are to be waited. */
refused_attempt refused_early() {
  refused_attempt refused;
  refused.session = 1;
  refused.since_first = 10 * MILLISECOND;
  refused.hold = 100 * MILLISECOND;
  refused.target_latency = 400 * MILLISECOND;
  refused.likely_wait = 150 * MILLISECOND;
  return refused;
}

}  // namespace

TEST_CASE("A caller that can still be served in time comes back when the queue would take it",
          "[waiting]") {
  refused_attempt refused = refused_early();
  CHECK(come_back(refused) >= 50 * MILLISECOND);
  CHECK(come_back(refused) < 100 * MILLISECOND);
  refused.likely_wait = 200 * MILLISECOND;
  CHECK(come_back(refused) >= 100 * MILLISECOND);
  CHECK(come_back(refused) < 200 * MILLISECOND);
}

TEST_CASE("A caller that will be late anyway leaves room to others", "[waiting]") {
  refused_attempt tried_before = refused_early();
  tried_before.since_first = 200 * MILLISECOND;
  CHECK(come_back(tried_before) >= LATE_COME_BACK);
  refused_attempt far_back = refused_early();
  far_back.likely_wait = 300 * MILLISECOND;
  CHECK(come_back(far_back) >= LATE_COME_BACK);
  refused_attempt tight = refused_early();
  tight.target_latency = 200 * MILLISECOND;
  CHECK(come_back(tight) >= LATE_COME_BACK);
}

TEST_CASE("The time to come back is bounded both ways", "[waiting]") {
  refused_attempt refused = refused_early();
  refused.likely_wait = 10 * MILLISECOND;
  CHECK(come_back(refused) >= SHORTEST_COME_BACK);
  CHECK(come_back(refused) < 2 * SHORTEST_COME_BACK);
  refused.likely_wait = std::chrono::hours(1);
  CHECK(come_back(refused) < 2 * LATE_COME_BACK);
  refused.target_latency = std::chrono::hours(2);
  CHECK(come_back(refused) < 2 * LATE_COME_BACK);
  refused.likely_wait.reset();
  CHECK(come_back(refused) >= USUAL_COME_BACK);
  CHECK(come_back(refused) < 2 * USUAL_COME_BACK);
}

TEST_CASE("Callers refused together do not come back together", "[waiting]") {
  constexpr std::size_t CALLERS = 100;
  constexpr std::size_t SLOTS = 10;
  std::vector<std::size_t> by_slot(SLOTS);
  refused_attempt refused = refused_early();
  refused.likely_wait = std::chrono::hours(1);
  for (refused.session = 1; refused.session <= CALLERS; ++refused.session) {
    const common::Duration late = come_back(refused) - LATE_COME_BACK;
    ++by_slot.at(static_cast<std::size_t>(late * SLOTS / LATE_COME_BACK));
  }
  CHECK(*std::max_element(by_slot.begin(), by_slot.end()) < CALLERS / 4);
  CHECK(come_back(refused) == come_back(refused));
}

}  // namespace valvekeel::waiting
