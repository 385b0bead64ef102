// Tests of the sliding window of requests sent to an instance.

#include "warm_up/send_window.h"

#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration MILLISECOND{1'000};

}  // namespace

TEST_CASE("Requests leave the window after its length", "[warm_up]") {
  send_window window;
  window.add(3, START);
  window.add(2, START + 500 * MILLISECOND);
  CHECK(window.count(START + 500 * MILLISECOND) == 5);
  CHECK(window.count(START + SEND_WINDOW) == 2);
  CHECK(window.count(START + 500 * MILLISECOND + SEND_WINDOW) == 0);
}

TEST_CASE("A full window returns the time at which it has capacity", "[warm_up]") {
  send_window window;
  window.add(2, START);
  window.add(6, START + 100 * MILLISECOND);
  const common::Instant now = START + 200 * MILLISECOND;
  CHECK(window.earliest_send_time(8, 1, now) == START + SEND_WINDOW);
  CHECK(window.earliest_send_time(8, 3, now) == START + 100 * MILLISECOND + SEND_WINDOW);
  CHECK(window.earliest_send_time(9, 1, now) == now);
}

TEST_CASE("An empty window has capacity for more than its limit", "[warm_up]") {
  send_window window;
  CHECK(window.earliest_send_time(1, 2, START) == START);
  window.add(2, START);
  CHECK(window.earliest_send_time(1, 2, START) == START + SEND_WINDOW);
}

}  // namespace valvekeel::warm_up
