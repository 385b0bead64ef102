// Tests of views of evacuated zones that arrive in any order, and of the times at which each zone
// was last known to be in use.

#include "evacuation/view_tracker.h"

#include <catch2/catch.hpp>

namespace valvekeel::evacuation {
namespace {

using std::chrono::milliseconds;

constexpr common::Instant START{100'000'000};

}  // namespace

TEST_CASE("A zone was in use when the last view without it was read", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({5, {}, START});
  tracker.apply({5, {}, START + milliseconds(400)});
  const view_change change = tracker.apply({9, {"north"}, START + milliseconds(900)});
  CHECK(change.begun == std::vector<std::string>{"north"});
  CHECK(tracker.is_evacuated("north"));
  CHECK(tracker.in_use_at("north") == START + milliseconds(400));
}

TEST_CASE("A zone that the first view names has no time at which it was in use", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({9, {"north"}, START});
  CHECK(tracker.is_evacuated("north"));
  CHECK_FALSE(tracker.in_use_at("north"));
}

TEST_CASE("A lower revision neither begins nor ends an evacuation", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({9, {"north"}, START});
  CHECK(tracker.apply({8, {"south"}, START + milliseconds(100)}).empty());
  CHECK(tracker.is_evacuated("north"));
  CHECK_FALSE(tracker.is_evacuated("south"));
  CHECK(tracker.newest()->revision == 9);
}

TEST_CASE("A lower revision still shows that a zone was in use when it was read", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({5, {}, START});
  tracker.apply({9, {"north"}, START + milliseconds(100)});
  tracker.apply({7, {}, START + milliseconds(200)});
  CHECK(tracker.in_use_at("north") == START + milliseconds(200));
}

TEST_CASE("An equal revision only makes the view fresher", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({5, {}, START});
  tracker.apply({5, {}, START - milliseconds(300)});
  CHECK(tracker.age(START + milliseconds(50)) == milliseconds(50));
  tracker.apply({5, {}, START + milliseconds(20)});
  CHECK(tracker.age(START + milliseconds(50)) == milliseconds(30));
}

TEST_CASE("The end of an evacuation is reported once", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({5, {"north", "south"}, START});
  CHECK(tracker.apply({6, {"south"}, START}).ended == std::vector<std::string>{"north"});
  CHECK(tracker.apply({7, {"south"}, START}).empty());
  CHECK_FALSE(tracker.is_evacuated("north"));
  CHECK(tracker.is_evacuated("south"));
}

TEST_CASE("A zone evacuated again was in use at the view in between", "[evacuation]") {
  view_tracker tracker;
  tracker.apply({5, {"north"}, START});
  tracker.apply({6, {}, START + milliseconds(100)});
  tracker.apply({7, {"north"}, START + milliseconds(200)});
  CHECK(tracker.in_use_at("north") == START + milliseconds(100));
}

TEST_CASE("Only the first work of an incarnation waits for a view, until the timeout",
          "[evacuation]") {
  view_tracker tracker;
  CHECK(tracker.awaits_first_view(START));
  tracker.on_work(START);
  tracker.on_work(START + milliseconds(500));
  CHECK(tracker.awaits_first_view(START + milliseconds(999)));
  CHECK_FALSE(tracker.awaits_first_view(START + milliseconds(1'000)));
  tracker.apply({5, {}, START});
  CHECK_FALSE(tracker.awaits_first_view(START));
}

}  // namespace valvekeel::evacuation
