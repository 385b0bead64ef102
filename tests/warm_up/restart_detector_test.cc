// Whether an instance may have started again.

#include "warm_up/restart_detector.h"

#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration MILLISECOND{1'000};
constexpr common::Instant OPENED_LONG_AGO = START - 2 * NOTICED_LATE;

}  // namespace

TEST_CASE("A connection that opens without a break says nothing", "[warm_up]") {
  instance_life life;
  CHECK_FALSE(life.note_opened());
}

TEST_CASE("A break is told once, when the instance is reached again", "[warm_up]") {
  instance_life life;
  life.note_break(START);
  CHECK(life.note_opened());
  CHECK_FALSE(life.note_opened());
  life.note_break(START + MILLISECOND);
  CHECK(life.note_opened());
}

TEST_CASE("An older connection that answers shows that the instance lived on", "[warm_up]") {
  instance_life life;
  life.note_break(START);
  CHECK(life.note_opened());
  CHECK(life.note_answered(OPENED_LONG_AGO, START));
  CHECK_FALSE(life.note_opened());
}

TEST_CASE("An answer before the instance is reached again spares the doubt", "[warm_up]") {
  instance_life life;
  life.note_break(START);
  CHECK_FALSE(life.note_answered(OPENED_LONG_AGO, START + MILLISECOND));
  CHECK_FALSE(life.note_opened());
}

TEST_CASE("An answer that was asked for before the break proves nothing", "[warm_up]") {
  instance_life life;
  life.note_break(START);
  CHECK_FALSE(life.note_answered(OPENED_LONG_AGO, START - MILLISECOND));
  CHECK(life.note_opened());
}

TEST_CASE("An answer over a connection that opened about the break proves nothing", "[warm_up]") {
  instance_life life;
  life.note_break(START);
  CHECK_FALSE(life.note_answered(START - MILLISECOND, START));
  CHECK_FALSE(life.note_answered(START + MILLISECOND, START + MILLISECOND));
  CHECK(life.note_opened());
}

}  // namespace valvekeel::warm_up
