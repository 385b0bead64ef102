// Tests of the detection of possible restarts of an instance.

#include "warm_up/restart_detector.h"

#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration MILLISECOND{1'000};
constexpr common::Instant OPENED_LONG_AGO = START - 2 * MAX_BREAK_DETECTION_DELAY;

}  // namespace

TEST_CASE("A connection that opens without a break does not suggest a restart", "[warm_up]") {
  restart_detector detector;
  CHECK_FALSE(detector.on_connection_opened());
}

TEST_CASE("A break is reported once, when the instance is reachable again", "[warm_up]") {
  restart_detector detector;
  detector.on_connection_lost(START);
  CHECK(detector.on_connection_opened());
  CHECK_FALSE(detector.on_connection_opened());
  detector.on_connection_lost(START + MILLISECOND);
  CHECK(detector.on_connection_opened());
}

TEST_CASE("An answer over an older connection rules out a restart", "[warm_up]") {
  restart_detector detector;
  detector.on_connection_lost(START);
  CHECK(detector.on_connection_opened());
  CHECK(detector.on_answer(OPENED_LONG_AGO, START));
  CHECK_FALSE(detector.on_connection_opened());
}

TEST_CASE("An answer before the instance is reachable again prevents the suspicion", "[warm_up]") {
  restart_detector detector;
  detector.on_connection_lost(START);
  CHECK_FALSE(detector.on_answer(OPENED_LONG_AGO, START + MILLISECOND));
  CHECK_FALSE(detector.on_connection_opened());
}

TEST_CASE("An answer to a request from before the break rules out nothing", "[warm_up]") {
  restart_detector detector;
  detector.on_connection_lost(START);
  CHECK_FALSE(detector.on_answer(OPENED_LONG_AGO, START - MILLISECOND));
  CHECK(detector.on_connection_opened());
}

TEST_CASE("An answer over a connection opened around the break rules out nothing", "[warm_up]") {
  restart_detector detector;
  detector.on_connection_lost(START);
  CHECK_FALSE(detector.on_answer(START - MILLISECOND, START));
  CHECK_FALSE(detector.on_answer(START + MILLISECOND, START + MILLISECOND));
  CHECK(detector.on_connection_opened());
}

}  // namespace valvekeel::warm_up
