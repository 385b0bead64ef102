#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/network.h"

namespace valvekeel::membership {
namespace {

/** Time from the signal for a stop to the end of the process, and from there to the next start,
 * with a grace time for open transactions of 3 s. */
constexpr Duration STOP_TIME{3'200'000};
constexpr Duration DOWN_TIME{500'000};

/** Longest delay of a message, in steps, between daemons some of which lack processor time. */
constexpr std::uint64_t MAX_DELAY_STEPS = 10;

/** Four zones of 21 daemons with two large ones each. The owners are among the first eight daemons
 * of each zone. */
layout four_zones() {
  layout shape;
  shape.count = 84;
  shape.zones = 4;
  shape.large_every = 0;
  shape.large_first = 8;
  shape.owners_first = 32;
  shape.update_offset = Duration{13'000};
  return shape;
}

/** A planned stop of a daemon, relative to the start of the scenario. */
struct planned_stop {
  Duration at;
  std::size_t daemon;
};

/** Runs the deployment through these stops, each followed by a start, and until it is idle. */
void run_scenario(network& test, const std::vector<planned_stop>& stops) {
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
  test.run(SETTLING_TIME);
}

/** Runs the stops in an idle deployment, and checks that no live daemon leaves a view. */
void check_stops_with(std::uint64_t max_delay_steps, std::uint64_t seed,
                      const std::vector<planned_stop>& stops) {
  layout shape = four_zones();
  shape.max_delay_steps = max_delay_steps;
  shape.seed = seed;
  network test(shape);
  test.run(SETTLING_TIME);
  test.clear_events();
  run_scenario(test, stops);
  INFO("messages of up to " << max_delay_steps << " steps, seed " << seed << ": "
                            << test.messages_sent() << " messages, " << test.lists_sent()
                            << " lists");
  CHECK(test.wrong_removals() == std::vector<std::string>());
  CHECK(test.missing_members() == std::vector<std::string>());
  CHECK(test.views_agree());
}

/** The same with fast messages, and with messages that a busy machine delays. */
void check_stops(const std::vector<planned_stop>& stops) {
  check_stops_with(1, 1, stops);
  check_stops_with(MAX_DELAY_STEPS, 2, stops);
  check_stops_with(MAX_DELAY_STEPS, 3, stops);
}

constexpr Duration SECOND{1'000'000};
/** The large daemons of one zone, which are its hubs while no daemon stops. */
constexpr std::size_t FIRST_HUB = 1;
constexpr std::size_t SECOND_HUB = 5;

/** @return the hubs of that zone after the loss of these two. */
std::vector<std::size_t> next_hubs() {
  network probe(four_zones());
  probe.run(SETTLING_TIME);
  probe.kill(FIRST_HUB);
  probe.kill(SECOND_HUB);
  probe.run(SETTLING_TIME);
  std::vector<std::size_t> found;
  for (const std::size_t hub : probe.hubs()) {
    if (hub % four_zones().zones == FIRST_HUB) {
      found.push_back(hub);
    }
  }
  return found;
}

}  // namespace

TEST_CASE("Planned stops of hubs remove no live daemon from a view", "[membership][planned stop]") {
  // Guards against two faults that made daemons give up live owners ("its owner is not heard", two
  // or three owners within 3 ms) during planned stops of 84 daemons in four zones.
  // 1. A hub that has just started lists only the daemons that have sent it a heartbeat so far. As
  //    a large machine it is preferred to the other hub, and its clients used its incomplete list
  //    0.18 to 0.22 s after its start, even if the other hub had not stopped.
  // 2. A stopping hub stopped being a hub at once, before its clients had another one: with the
  //    other hub of the zone down, they lost owners 0.51 s after the stop.
  SECTION("of one hub") {
    check_stops({{Duration{0}, FIRST_HUB}});
    check_stops({{Duration{0}, SECOND_HUB}});
  }
  SECTION("of both hubs of a zone") {
    check_stops({{Duration{0}, FIRST_HUB}, {Duration{0}, SECOND_HUB}});
    check_stops({{Duration{0}, FIRST_HUB}, {SECOND / 2, SECOND_HUB}});
  }
  SECTION("of a hub that started 1.6 s before") {
    const Duration again = STOP_TIME + DOWN_TIME + SECOND * 16 / 10;
    check_stops({{Duration{0}, FIRST_HUB}, {again, FIRST_HUB}});
    check_stops({{Duration{0}, SECOND_HUB}, {again, SECOND_HUB}, {again, FIRST_HUB}});
  }
  SECTION("of three hubs in a rolling restart") {
    std::vector<planned_stop> stops{{Duration{0}, FIRST_HUB}, {SECOND * 11 / 10, SECOND_HUB}};
    for (const std::size_t hub : next_hubs()) {
      stops.push_back({SECOND * 22 / 10, hub});
    }
    CHECK(stops.size() == 4);
    check_stops(stops);
  }
  SECTION("of one daemon after the other, in all zones") {
    std::vector<planned_stop> stops;
    for (std::size_t number = 0; number < 40; ++number) {
      // 37 and 84 have no common divisor, so no daemon occurs twice.
      stops.push_back({SECOND * static_cast<int>(number) / 6, number * 37 % 84});
    }
    check_stops(stops);
  }
}

TEST_CASE("Rolling stops of three hubs remove no live daemon from a view at further delays",
          "[membership][planned stop]") {
  // The view was developed with the seeds of the case above, but without these.
  std::vector<planned_stop> stops{{Duration{0}, FIRST_HUB}, {SECOND * 11 / 10, SECOND_HUB}};
  for (const std::size_t hub : next_hubs()) {
    stops.push_back({SECOND * 22 / 10, hub});
  }
  for (std::uint64_t seed = 1001; seed <= 1004; ++seed) {
    check_stops_with(MAX_DELAY_STEPS, seed, stops);
  }
}

TEST_CASE("Planned stops with further delays take nobody alive out of a view",
          "[membership][planned stop]") {
  // Of 224 scenarios with other seeds these three failed: a view lost one or two live daemons, or
  // took an incomplete view for complete.
  check_stops_with(MAX_DELAY_STEPS, 3005, {{Duration{0}, FIRST_HUB}, {SECOND / 2, SECOND_HUB}});
  std::vector<planned_stop> one_by_one;
  for (std::size_t number = 0; number < 40; ++number) {
    one_by_one.push_back({SECOND * static_cast<int>(number) / 6, number * 37 % 84});
  }
  check_stops_with(MAX_DELAY_STEPS, 3009, one_by_one);
  check_stops_with(MAX_DELAY_STEPS, 3012, one_by_one);
}

}  // namespace valvekeel::membership
