// Tests of how long an instance counts as cold.

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
  model::Service warming_up;
  warming_up.name = "ledger";
  warming_up.warm_up = {WARM_UP_TIME, 8};
  model::Service other;
  other.name = "archive";
  return {{"ledger", warming_up}, {"archive", other}};
}

struct cold_fixture {
  cold_fixture() { this->cold.set_services(services()); }

  cold_instances cold;
  model::InstanceEntry entry = entry_of("a", common::Duration(0));
};

}  // namespace

TEST_CASE("The remaining warm-up time of an entry counts from its arrival", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", 2 * SECOND), START);
  CHECK(fixture.cold.find(fixture.entry, START + 2 * SECOND - common::Duration(1)));
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + 2 * SECOND));
}

TEST_CASE("An entry of a warm instance replaces an earlier entry of a cold one", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", 2 * SECOND), START);
  fixture.cold.apply_entry(entry_of("a", common::Duration(0)), START + SECOND);
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + SECOND));
}

TEST_CASE("An instance that restarts while it is cold is cold for the whole time again",
          "[warm_up]") {
  // Guards against ignoring the second entry because it has the same remaining time as the first.
  cold_fixture fixture;
  fixture.cold.apply_entry(entry_of("a", WARM_UP_TIME), START);
  fixture.cold.apply_entry(entry_of("a", WARM_UP_TIME), START + 4 * SECOND);
  CHECK(fixture.cold.find(fixture.entry, START + 9 * SECOND));
}

TEST_CASE("An entry of a warm instance does not rule out a possible restart", "[warm_up]") {
  // The entry may have been written before the instance restarted.
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.apply_entry(fixture.entry, START + SECOND);
  const auto found = fixture.cold.find(fixture.entry, START + SECOND);
  REQUIRE(found);
  CHECK(found->until == START + WARM_UP_TIME);
  CHECK(found->source == cold_source::possible_restart);
}

TEST_CASE("An instance whose restart is ruled out is not cold", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.on_restart_ruled_out("a");
  CHECK_FALSE(fixture.cold.find(fixture.entry, START));
}

TEST_CASE("An instance that flaps is cold after each possible restart", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_possible_restart("a", START);
  fixture.cold.on_possible_restart("a", START + 5 * SECOND);
  CHECK(fixture.cold.find(fixture.entry, START + 10 * SECOND));
}

TEST_CASE("Instances of a zone are cold after its evacuation, those of other zones are not",
          "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_evacuation_ended("near", START);
  CHECK(fixture.cold.find(fixture.entry, START + WARM_UP_TIME - common::Duration(1)));
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + WARM_UP_TIME));
  model::InstanceEntry elsewhere = fixture.entry;
  elsewhere.zone = "far";
  CHECK_FALSE(fixture.cold.find(elsewhere, START));
}

TEST_CASE("An instance without an earlier connection is cold until the entries are refreshed",
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

TEST_CASE("Without an answer of the store entries count as fresh after their maximum delay",
          "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_first_contact("a", START);
  CHECK_FALSE(fixture.cold.find(fixture.entry, START + MAX_ENTRY_DELAY));
}

TEST_CASE("Entries that were refreshed recently are not refreshed again", "[warm_up]") {
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

TEST_CASE("Expired state is removed", "[warm_up]") {
  cold_fixture fixture;
  fixture.cold.on_first_contact("a", START);
  fixture.cold.remove_expired(START + MAX_ENTRY_DELAY);
  CHECK_FALSE(fixture.cold.needs_refresh());
}

}  // namespace valvekeel::warm_up
