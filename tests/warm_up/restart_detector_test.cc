// Whether an instance may have started again.

#include "warm_up/restart_detector.h"

#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration MILLISECOND{1'000};
constexpr common::Instant OPENED_LONG_AGO = START - 2 * MAX_BREAK_DETECTION_DELAY;

}  // namespace

TEST_CASE("A connection that opens without a break says nothing", "[warm_up]") {
  restart_detector life;
  CHECK_FALSE(life.on_connection_opened());
}

TEST_CASE("A break is told once, when the instance is reached again", "[warm_up]") {
  restart_detector life;
  life.on_connection_lost(START);
  CHECK(life.on_connection_opened());
  CHECK_FALSE(life.on_connection_opened());
  life.on_connection_lost(START + MILLISECOND);
  CHECK(life.on_connection_opened());
}

TEST_CASE("An older connection that answers shows that the instance lived on", "[warm_up]") {
  restart_detector life;
  life.on_connection_lost(START);
  CHECK(life.on_connection_opened());
  CHECK(life.on_answer(OPENED_LONG_AGO, START));
  CHECK_FALSE(life.on_connection_opened());
}

TEST_CASE("An answer before the instance is reached again spares the doubt", "[warm_up]") {
  restart_detector life;
  life.on_connection_lost(START);
  CHECK_FALSE(life.on_answer(OPENED_LONG_AGO, START + MILLISECOND));
  CHECK_FALSE(life.on_connection_opened());
}

TEST_CASE("An answer that was asked for before the break proves nothing", "[warm_up]") {
  restart_detector life;
  life.on_connection_lost(START);
  CHECK_FALSE(life.on_answer(OPENED_LONG_AGO, START - MILLISECOND));
  CHECK(life.on_connection_opened());
}

TEST_CASE("An answer over a connection that opened about the break proves nothing", "[warm_up]") {
  restart_detector life;
  life.on_connection_lost(START);
  CHECK_FALSE(life.on_answer(START - MILLISECOND, START));
  CHECK_FALSE(life.on_answer(START + MILLISECOND, START + MILLISECOND));
  CHECK(life.on_connection_opened());
}

}  // namespace valvekeel::warm_up
