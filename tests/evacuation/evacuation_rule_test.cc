// Tests of the effect of an evacuation on an instance of the zone over time.

#include "evacuation/evacuation_rule.h"

#include <catch2/catch.hpp>

namespace valvekeel::evacuation {
namespace {

using access::verdict;
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

  verdict judge(common::Instant now, bool continues = false) const {
    return this->rule.judge(this->entry, {this->route, "", continues}, now).outcome;
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
  CHECK(fixture.judge(START + milliseconds(700)) == verdict::last_resort);
  CHECK(fixture.judge(START + UNTIL_CLOSED - milliseconds(1)) == verdict::last_resort);
  CHECK(fixture.judge(START + UNTIL_CLOSED) == verdict::closed);
}

TEST_CASE("A transaction continues in an evacuated zone until the zone is closed", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  CHECK(fixture.judge(START + UNTIL_CLOSED - milliseconds(1), true) == verdict::open);
  CHECK(fixture.judge(START + UNTIL_CLOSED, true) == verdict::closed);
}

TEST_CASE("A later view of an evacuation does not delay the closing", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  fixture.tracker.apply({12, {"north"}, START + std::chrono::seconds(4)});
  CHECK(fixture.judge(START + UNTIL_CLOSED) == verdict::closed);
}

TEST_CASE("Without an earlier view an evacuated zone is closed at once", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.apply({9, {"north"}, START});
  CHECK(fixture.judge(START) == verdict::closed);
}

TEST_CASE("Other zones stay open, and an evacuated zone is open again after its end",
          "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  model::InstanceEntry other;
  other.zone = "south";
  CHECK(fixture.rule.judge(other, {fixture.route, ""}, START + LIMIT).outcome == verdict::open);
  fixture.tracker.apply({13, {}, START + LIMIT});
  CHECK(fixture.judge(START + LIMIT) == verdict::open);
}

TEST_CASE("A stale view closes no zone that it does not name", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.apply({5, {}, START});
  CHECK(fixture.judge(START + 10 * LIMIT) == verdict::open);
}

TEST_CASE("An instance of an evacuated zone should not lead", "[evacuation]") {
  rule_fixture fixture;
  CHECK(fixture.rule.judge_leader(fixture.entry, START).fitness == model::LeaderFitness::kFit);
  fixture.evacuate();
  CHECK(fixture.rule.judge_leader(fixture.entry, START).fitness == model::LeaderFitness::kUnfit);
}

TEST_CASE("Before the first view work is rejected with a retry-after until the timeout",
          "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.on_work(START);
  CHECK(fixture.judge(START) == verdict::later);
  CHECK(fixture.judge(START + FIRST_VIEW_TIMEOUT) == verdict::open);
}

}  // namespace valvekeel::evacuation
