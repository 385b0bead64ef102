// When refused callers come back.

#include "waiting/come_back.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};
constexpr common::Duration HOLD = 100 * MILLISECOND;

}  // namespace

TEST_CASE("A caller comes back when the queue would take it", "[waiting]") {
  const common::Duration pause = come_back(300 * MILLISECOND, HOLD, 1);
  CHECK(pause >= 200 * MILLISECOND);
  CHECK(pause < 400 * MILLISECOND);
  CHECK(come_back(350 * MILLISECOND, HOLD, 1) > pause);
}

TEST_CASE("The time to come back is bounded both ways", "[waiting]") {
  CHECK(come_back(10 * MILLISECOND, HOLD, 1) >= SHORTEST_COME_BACK);
  CHECK(come_back(10 * MILLISECOND, HOLD, 1) < 2 * SHORTEST_COME_BACK);
  CHECK(come_back(std::chrono::hours(1), HOLD, 1) < 2 * LONGEST_COME_BACK);
  CHECK(come_back(std::nullopt, HOLD, 1) >= USUAL_COME_BACK);
}

TEST_CASE("Callers refused together do not come back together", "[waiting]") {
  constexpr std::size_t CALLERS = 100;
  constexpr std::size_t SLOTS = 10;
  std::vector<std::size_t> by_slot(SLOTS);
  for (std::uint64_t session = 1; session <= CALLERS; ++session) {
    const common::Duration late = come_back(500 * MILLISECOND, HOLD, session) - LONGEST_COME_BACK;
    ++by_slot.at(static_cast<std::size_t>(late * SLOTS / LONGEST_COME_BACK));
  }
  CHECK(*std::max_element(by_slot.begin(), by_slot.end()) < CALLERS / 4);
  CHECK(come_back(std::nullopt, HOLD, 7) == come_back(std::nullopt, HOLD, 7));
}

}  // namespace valvekeel::waiting
