#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/network.h"

namespace valvekeel::membership {
namespace {

/** Time from a stop's signal to the end of the process, and to the next start: measured at a grace
 * for open transactions of 3 s. */
constexpr Duration STOP_TIME{3'200'000};
constexpr Duration DOWN_TIME{500'000};

/** Steps of a message between daemons of which some are short of processor time. */
constexpr std::uint64_t SLOWEST = 10;

/** Four zones of 21 daemons, two large ones in each; the owners are among the first eight of each
 * zone. */
layout four_zones() {
  layout shape;
  shape.count = 84;
  shape.zones = 4;
  shape.large_every = 0;
  shape.large_first = 8;
  shape.owners_first = 32;
  shape.apart = Duration{13'000};
  return shape;
}

/** What is planned for a daemon. */
struct planned_stop {
  Duration at;
  std::size_t daemon;
};

/** Runs the deployment over these stops, each followed by a start, and until all is at rest. */
void play(network& test, const std::vector<planned_stop>& stops) {
  enum class kind { stop, end, start };
  std::multimap<Duration, std::pair<kind, std::size_t>> events;
  for (const planned_stop& each : stops) {
    events.insert({each.at, {kind::stop, each.daemon}});
    events.insert({each.at + STOP_TIME, {kind::end, each.daemon}});
    events.insert({each.at + STOP_TIME + DOWN_TIME, {kind::start, each.daemon}});
  }
  Duration past{0};
  for (const auto& [at, event] : events) {
    test.run(at - past);
    past = at;
    const auto& [what, daemon] = event;
    if (what == kind::stop) {
      test.stop(daemon);
    } else if (what == kind::end) {
      test.kill(daemon);
    } else {
      test.start(daemon);
    }
  }
  test.run(SETTLED);
}

/** Plays the stops in a deployment at rest, and checks that nobody alive left a view. */
void check_stops_with(std::uint64_t slowest, std::uint64_t seed,
                      const std::vector<planned_stop>& stops) {
  layout shape = four_zones();
  shape.slowest = slowest;
  shape.seed = seed;
  network test(shape);
  test.run(SETTLED);
  test.forget_events();
  play(test, stops);
  INFO("messages of up to " << slowest << " steps, seed " << seed << ": " << test.messages_sent()
                            << " messages, " << test.lists_sent() << " lists");
  CHECK(test.losses() == std::vector<std::string>());
  CHECK(test.gaps() == std::vector<std::string>());
  CHECK(test.agreed());
}

/** The same with messages that are quick, and with some that a busy machine holds up. */
void check_stops(const std::vector<planned_stop>& stops) {
  check_stops_with(1, 1, stops);
  check_stops_with(SLOWEST, 2, stops);
  check_stops_with(SLOWEST, 3, stops);
}

constexpr Duration SECOND{1'000'000};
/** The large daemons of one zone: its hubs at rest. */
constexpr std::size_t FIRST = 1;
constexpr std::size_t SECOND_HUB = 5;

/** @return who heads that zone without these two. */
std::vector<std::size_t> successors() {
  network probe(four_zones());
  probe.run(SETTLED);
  probe.kill(FIRST);
  probe.kill(SECOND_HUB);
  probe.run(SETTLED);
  std::vector<std::size_t> found;
  for (const std::size_t hub : probe.hubs()) {
    if (hub % four_zones().zones == FIRST) {
      found.push_back(hub);
    }
  }
  return found;
}

}  // namespace

TEST_CASE("Planned stops of hubs take nobody alive out of a view", "[membership][planned stop]") {
  // In three rolls of planned stops with 84 daemons in four zones, daemons of a zone gave up owners
  // that were alive and at work: "its owner is not heard" for two or three owners within 3 ms. Four
  // of the five instants lie 0.18 to 0.22 s after the "started" line of the zone's first hub, a
  // large machine that came back; in three of these the second hub of the zone had not stopped at
  // all. A hub that has just started lists only those that it has heard so far, yet goes before the
  // other hub, and its clients took its list. The fifth lies 0.51 s after the stop of the one hub
  // while the other was away: it ceased to be a hub at once, before its clients had another.
  SECTION("of one hub") {
    check_stops({{Duration{0}, FIRST}});
    check_stops({{Duration{0}, SECOND_HUB}});
  }
  SECTION("of both hubs of a zone") {
    check_stops({{Duration{0}, FIRST}, {Duration{0}, SECOND_HUB}});
    check_stops({{Duration{0}, FIRST}, {SECOND / 2, SECOND_HUB}});
  }
  SECTION("of a hub that started 1.6 s before") {
    const Duration again = STOP_TIME + DOWN_TIME + SECOND * 16 / 10;
    check_stops({{Duration{0}, FIRST}, {again, FIRST}});
    check_stops({{Duration{0}, SECOND_HUB}, {again, SECOND_HUB}, {again, FIRST}});
  }
  SECTION("of three hubs in a roll") {
    std::vector<planned_stop> stops{{Duration{0}, FIRST}, {SECOND * 11 / 10, SECOND_HUB}};
    for (const std::size_t hub : successors()) {
      stops.push_back({SECOND * 22 / 10, hub});
    }
    CHECK(stops.size() == 4);
    check_stops(stops);
  }
  SECTION("of one daemon after the other, in all zones") {
    std::vector<planned_stop> stops;
    for (std::size_t number = 0; number < 40; ++number) {
      // 37 and 84 have no common divisor: no daemon comes twice.
      stops.push_back({SECOND * static_cast<int>(number) / 6, number * 37 % 84});
    }
    check_stops(stops);
  }
}

TEST_CASE("Stops of three hubs in a roll take nobody out of a view, whatever the delays",
          "[membership][planned stop]") {
  // The seeds of the case above were known when the view was written; these were not.
  std::vector<planned_stop> stops{{Duration{0}, FIRST}, {SECOND * 11 / 10, SECOND_HUB}};
  for (const std::size_t hub : successors()) {
    stops.push_back({SECOND * 22 / 10, hub});
  }
  for (std::uint64_t seed = 1001; seed <= 1004; ++seed) {
    check_stops_with(SLOWEST, seed, stops);
  }
}

TEST_CASE("Planned stops with further delays take nobody alive out of a view",
          "[membership][planned stop]") {
  // Of 224 plays with other seeds three lost one or two daemons, or began with a part for all.
  check_stops_with(SLOWEST, 3005, {{Duration{0}, FIRST}, {SECOND / 2, SECOND_HUB}});
  std::vector<planned_stop> one_by_one;
  for (std::size_t number = 0; number < 40; ++number) {
    one_by_one.push_back({SECOND * static_cast<int>(number) / 6, number * 37 % 84});
  }
  check_stops_with(SLOWEST, 3009, one_by_one);
  check_stops_with(SLOWEST, 3012, one_by_one);
}

}  // namespace valvekeel::membership
