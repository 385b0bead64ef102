// Tests of the effect of an evacuation on an instance of the zone over time.

#include "evacuation/evacuation_rule.h"

#include <catch2/catch.hpp>

namespace valvekeel::evacuation {
namespace {

using access::access_level;
using std::chrono::milliseconds;

constexpr common::Instant START{100'000'000};
constexpr common::Duration LIMIT = std::chrono::seconds(5);
constexpr common::Duration UNTIL_CLOSED = LIMIT - LIMIT / MARGIN_DIVISOR;

/** A daemon with a view of START that shows all zones in use, and later one of an evacuation. */
struct rule_fixture {
  rule_fixture() { this->entry.zone = "north"; }

  void evacuate() {
    this->tracker.apply({5, {}, START});
    this->tracker.apply({9, {"north"}, START + milliseconds(700)});
  }

  access_level judge(common::Instant now, bool continues = false) const {
    return this->rule.evaluate(this->entry, {this->route, "", continues}, now).level;
  }

  view_tracker tracker;
  evacuation_rule rule{tracker, {LIMIT}};
  model::InstanceEntry entry;
  model::Route route;
};

}  // namespace

TEST_CASE("An instance of an evacuated zone is the last resort, then closed", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  CHECK(fixture.judge(START + milliseconds(700)) == access_level::last_resort);
  CHECK(fixture.judge(START + UNTIL_CLOSED - milliseconds(1)) == access_level::last_resort);
  CHECK(fixture.judge(START + UNTIL_CLOSED) == access_level::closed);
}

TEST_CASE("A transaction continues in an evacuated zone until the zone is closed", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  CHECK(fixture.judge(START + UNTIL_CLOSED - milliseconds(1), true) == access_level::open);
  CHECK(fixture.judge(START + UNTIL_CLOSED, true) == access_level::closed);
}

TEST_CASE("A later view of an evacuation does not delay the closing", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  fixture.tracker.apply({12, {"north"}, START + std::chrono::seconds(4)});
  CHECK(fixture.judge(START + UNTIL_CLOSED) == access_level::closed);
}

TEST_CASE("Without an earlier view an evacuated zone is closed at once", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.apply({9, {"north"}, START});
  CHECK(fixture.judge(START) == access_level::closed);
}

TEST_CASE("Other zones stay open, and an evacuated zone is open again after its end",
          "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  model::InstanceEntry other;
  other.zone = "south";
  CHECK(fixture.rule.evaluate(other, {fixture.route, ""}, START + LIMIT).level ==
        access_level::open);
  fixture.tracker.apply({13, {}, START + LIMIT});
  CHECK(fixture.judge(START + LIMIT) == access_level::open);
}

TEST_CASE("A stale view closes no zone that it does not name", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.apply({5, {}, START});
  CHECK(fixture.judge(START + 10 * LIMIT) == access_level::open);
}

TEST_CASE("An instance of an evacuated zone should not lead", "[evacuation]") {
  rule_fixture fixture;
  CHECK(fixture.rule.evaluate_leader(fixture.entry, START).fitness == model::LeaderFitness::kFit);
  fixture.evacuate();
  CHECK(fixture.rule.evaluate_leader(fixture.entry, START).fitness == model::LeaderFitness::kUnfit);
}

TEST_CASE("Before the first view work is rejected with a retry-after until the timeout",
          "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.on_work(START);
  CHECK(fixture.judge(START) == access_level::deferred);
  CHECK(fixture.judge(START + FIRST_VIEW_TIMEOUT) == access_level::open);
}

}  // namespace valvekeel::evacuation
