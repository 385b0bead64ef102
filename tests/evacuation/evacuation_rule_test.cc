// What an evacuation means for an instance of the zone, and until when.

#include "evacuation/evacuation_rule.h"

#include <catch2/catch.hpp>

namespace valvekeel::evacuation {
namespace {

using access::access_level;
using std::chrono::milliseconds;

constexpr common::Instant START{100'000'000};
constexpr common::Duration LIMIT = std::chrono::seconds(5);
constexpr common::Duration UNTIL_CLOSED = LIMIT - LIMIT / MARGIN_PART;

/** A daemon that knew all zones to be in use at START, and hears of an evacuation then. */
struct rule_fixture {
  rule_fixture() { this->entry.zone = "north"; }

  void evacuate() {
    this->tracker.take({5, {}, START});
    this->tracker.take({9, {"north"}, START + milliseconds(700)});
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

TEST_CASE("A transaction goes on in an evacuated zone until the bound", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  CHECK(fixture.judge(START + UNTIL_CLOSED - milliseconds(1), true) == access_level::open);
  CHECK(fixture.judge(START + UNTIL_CLOSED, true) == access_level::closed);
}

TEST_CASE("Later news of an evacuation doesn't move its bound", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  fixture.tracker.take({12, {"north"}, START + std::chrono::seconds(4)});
  CHECK(fixture.judge(START + UNTIL_CLOSED) == access_level::closed);
}

TEST_CASE("Without a view from before an evacuated zone is closed at once", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.take({9, {"north"}, START});
  CHECK(fixture.judge(START) == access_level::closed);
}

TEST_CASE("Other zones are open, and an evacuated one is again when it is over", "[evacuation]") {
  rule_fixture fixture;
  fixture.evacuate();
  model::InstanceEntry other;
  other.zone = "south";
  CHECK(fixture.rule.evaluate(other, {fixture.route, ""}, START + LIMIT).level ==
        access_level::open);
  fixture.tracker.take({13, {}, START + LIMIT});
  CHECK(fixture.judge(START + LIMIT) == access_level::open);
}

TEST_CASE("A stale view closes nothing that it doesn't name", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.take({5, {}, START});
  CHECK(fixture.judge(START + 10 * LIMIT) == access_level::open);
}

TEST_CASE("An instance of an evacuated zone should not lead", "[evacuation]") {
  rule_fixture fixture;
  CHECK(fixture.rule.evaluate_leader(fixture.entry, START).fitness == model::LeaderFitness::kFit);
  fixture.evacuate();
  CHECK(fixture.rule.evaluate_leader(fixture.entry, START).fitness == model::LeaderFitness::kUnfit);
}

TEST_CASE("Before the first view work waits for a moment", "[evacuation]") {
  rule_fixture fixture;
  fixture.tracker.note_work(START);
  CHECK(fixture.judge(START) == access_level::deferred);
  CHECK(fixture.judge(START + FIRST_VIEW_TIME) == access_level::open);
}

}  // namespace valvekeel::evacuation
