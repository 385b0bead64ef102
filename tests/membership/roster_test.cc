#include "membership/roster.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace valvekeel::membership {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant START{100'000'000};
constexpr Duration RETENTION{2'000'000};

member daemon_of(const std::string& name) {
  member made;
  made.name = name;
  made.zone = "zone";
  return made;
}

/** Runs a round with these sources, each of which lists "daemon". */
void run_round(roster& known, const std::vector<std::string>& sources, Instant now) {
  known.begin_round();
  for (const std::string& source : sources) {
    known.support(daemon_of("daemon"), source);
  }
  roster::retention rules;
  rules.time_of_last_support = [&](const roster::entry&) { return now; };
  rules.retained_until = [](const roster::entry& each) { return *each.last_support + RETENTION; };
  known.end_round(rules, now);
}

}  // namespace

TEST_CASE("A daemon stays listed when a new source has never listed it", "[membership]") {
  // A hub that has just started lists only the daemons that have sent it a heartbeat so far. Its
  // clients must not take live owners for lost because of that.
  roster known;
  run_round(known, {"old hub"}, START);
  run_round(known, {}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
  run_round(known, {}, START + RETENTION);
  CHECK(known.all().contains("daemon"));
  run_round(known, {}, START + RETENTION + Duration(1));
  CHECK_FALSE(known.all().contains("daemon"));
}

TEST_CASE("A daemon is removed at once when its last source drops it", "[membership]") {
  roster known;
  run_round(known, {"a", "b"}, START);
  known.record_drop("daemon", "a", START);
  run_round(known, {"b"}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
  known.record_drop("daemon", "b", START + Duration(2));
  run_round(known, {}, START + Duration(2));
  CHECK_FALSE(known.all().contains("daemon"));
  CHECK(known.last_dropped_by() == "b");
}

TEST_CASE("A drop has no effect once another source starts to list the daemon", "[membership]") {
  roster known;
  run_round(known, {"a", "b"}, START);
  known.record_drop("daemon", "a", START);
  known.clear_drop("daemon");
  run_round(known, {}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
}

TEST_CASE(
    "A drop takes effect when the source that contradicted it is lost, not when it is released",
    "[membership]") {
  for (const bool released : {false, true}) {
    roster known;
    run_round(known, {"a", "b"}, START);
    known.record_drop("daemon", "b", START + Duration(1));
    if (released) {
      known.release_source("a", START);
    }
    known.begin_round();
    roster::retention rules;
    rules.time_of_last_support = [](const roster::entry&) { return START; };
    rules.retained_until = [](const roster::entry& each) { return *each.last_support + RETENTION; };
    known.end_round(rules, START + Duration(2));
    CHECK(known.all().contains("daemon") == released);
  }
}

}  // namespace valvekeel::membership
