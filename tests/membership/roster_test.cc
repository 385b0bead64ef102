#include "membership/roster.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace valvekeel::membership {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant START{100'000'000};
constexpr Duration KEPT{2'000'000};

member daemon_of(const std::string& name) {
  member made;
  made.name = name;
  made.zone = "zone";
  return made;
}

/** Asks these sources, of which each lists "daemon". */
void round(roster& known, const std::vector<std::string>& sources, Instant now) {
  known.begin_round();
  for (const std::string& source : sources) {
    known.support(daemon_of("daemon"), source);
  }
  roster::retention unheard;
  unheard.time_of_last_support = [&](const roster::entry&) { return now; };
  unheard.retained_until = [](const roster::entry& each) { return *each.last_support + KEPT; };
  known.end_round(unheard, now);
}

}  // namespace

TEST_CASE("A daemon that a source has never listed stays on the word of another", "[membership]") {
  // A hub that had just started listed only those that it had heard so far, and its clients took
  // owners that were alive and at work for lost.
  roster known;
  round(known, {"old hub"}, START);
  round(known, {}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
  round(known, {}, START + KEPT);
  CHECK(known.all().contains("daemon"));
  round(known, {}, START + KEPT + Duration(1));
  CHECK_FALSE(known.all().contains("daemon"));
}

TEST_CASE("A daemon leaves at once when its last source lists it no more", "[membership]") {
  roster known;
  round(known, {"a", "b"}, START);
  known.record_drop("daemon", "a", START);
  round(known, {"b"}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
  known.record_drop("daemon", "b", START + Duration(2));
  round(known, {}, START + Duration(2));
  CHECK_FALSE(known.all().contains("daemon"));
  CHECK(known.last_dropped_by() == "b");
}

TEST_CASE("A drop is void once a source lists the daemon anew", "[membership]") {
  roster known;
  round(known, {"a", "b"}, START);
  known.record_drop("daemon", "a", START);
  known.clear_drop("daemon");
  round(known, {}, START + Duration(1));
  CHECK(known.all().contains("daemon"));
}

}  // namespace valvekeel::membership
