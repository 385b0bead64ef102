// Until when an instance counts as cold.

#include "warm_up/cold_instances.h"

#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration SECOND{1'000'000};
constexpr common::Duration WARM_UP_TIME = 6 * SECOND;

model::InstanceEntry entry_of(const std::string& id, common::Duration left) {
  model::InstanceEntry entry;
  entry.id = id;
  entry.service = "ledger";
  entry.zone = "near";
  entry.warm_up_left = left;
  return entry;
}

std::map<std::string, model::Service> services() {
  model::Service spared;
  spared.name = "ledger";
  spared.warm_up = {WARM_UP_TIME, 8};
  model::Service other;
  other.name = "archive";
  return {{"ledger", spared}, {"archive", other}};
}

struct cold_fixture {
  cold_fixture() { this->cold.set_services(services()); }

  cold_instances cold;
  model::InstanceEntry entry = entry_of("a", common::Duration(0));
};

}  // namespace

TEST_CASE("An entry's time counts from its arrival", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", 2 * SECOND), START);
  CHECK(fixture.cold.find(fixture.entry, START + 2 * SECOND - common::Duration(1)));
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + 2 * SECOND));
}

TEST_CASE("An entry that says warm ends what an earlier one said", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", 2 * SECOND), START);
  fixture.cold.apply_entry(entry_of("a", common::Duration(0)), START + SECOND);
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + SECOND));
}

TEST_CASE("An instance that starts again while it is cold is cold anew", "[warm_up]") {
  // Found by the simulator (large days 13 and 14): the second entry tells the same time left.
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", WARM_UP_TIME), START);
  fixture.cold.apply_entry(entry_of("a", WARM_UP_TIME), START + 4 * SECOND);
  CHECK(fixture.cold.find(fixture.entry, START + 9 * SECOND));
}

TEST_CASE("An entry that says warm does not end a presumption", "[warm_up]") {
  // It may have been written before the instance started again.
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.apply_entry(fixture.entry, START + SECOND);
  const auto found = fixture.cold.find(fixture.entry, START + SECOND);
  REQUIRE(found);
  CHECK(found->until == START + WARM_UP_TIME);
  CHECK(found->source == cold_source::possible_restart);
}

TEST_CASE("An instance that lives on is not cold", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.on_restart_ruled_out("a");
  CHECK_FALSE(fixture.cold.find(fixture.entry, START));
}

TEST_CASE("An instance that flaps is cold after each return", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.on_possible_restart("a", START + 5 * SECOND);
  CHECK(fixture.cold.find(fixture.entry, START + 10 * SECOND));
}

TEST_CASE("Instances of a zone are cold after its evacuation, others are not", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_evacuation_ended("near", START);
  CHECK(fixture.cold.find(fixture.entry, START + WARM_UP_TIME - common::Duration(1)));
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + WARM_UP_TIME));
  model::InstanceEntry elsewhere = fixture.entry;
  elsewhere.zone = "far";
  CHECK_FALSE(fixture.cold.find(elsewhere, START));
}

TEST_CASE("An instance that was not watched is cold until entries are known to be fresh",
          "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_first_contact("a", START);
  CHECK(fixture.cold.needs_refresh());
  fixture.cold.on_entries_refreshed(START - common::Duration(1));
  CHECK(fixture.cold.find(fixture.entry, START));
  fixture.cold.on_entries_refreshed(START);
  CHECK_FALSE(fixture.cold.find(fixture.entry, START));
  CHECK_FALSE(fixture.cold.needs_refresh());
}

TEST_CASE("Without an answer of the store entries count after a while", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_first_contact("a", START);
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + MAX_ENTRY_DELAY));
}

TEST_CASE("Entries that were fresh a moment ago are not asked for again", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_entries_refreshed(START);
  fixture.cold.on_first_contact("a", START + MAX_FRESH_AGE - common::Duration(1));
  CHECK_FALSE(fixture.cold.needs_refresh());
}

TEST_CASE("An instance of a service without a warm-up is never cold", "[warm_up]") {
  cold_fixture fixture;
  model::InstanceEntry other = entry_of("b", 2 * SECOND);
  other.service = "archive";
  fixture.cold.apply_entry(other, START);
  fixture.cold.on_possible_restart("b", START);
  fixture.cold.on_evacuation_ended("near", START);
  CHECK_FALSE(fixture.cold.find(other, START));
}

TEST_CASE("What is over is forgotten", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_first_contact("a", START);
  fixture.cold.remove_expired(START + MAX_ENTRY_DELAY);
  CHECK_FALSE(fixture.cold.needs_refresh());
}

}  // namespace valvekeel::warm_up
