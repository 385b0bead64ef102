#include "relay/role_map.h"

#include <catch2/catch.hpp>
#include <set>

namespace valvekeel::relay {
namespace {

/** @return so many daemons in three zones, all connected to the store. */
std::vector<member> daemons(std::size_t count) {
  std::vector<member> all;
  for (std::size_t number = 0; number < count; ++number) {
    all.push_back({"daemon-" + std::to_string(number), "zone-" + std::to_string(number % 3), true});
  }
  return all;
}

role_map make_roles(const std::string& self, std::size_t count, std::uint32_t connections) {
  role_map roles(self, {});
  roles.update(daemons(count), count, {{"ledger", connections}});
  return roles;
}

}  // namespace

TEST_CASE("In a small deployment each daemon has all roles", "[relay]") {
  const role_map roles = make_roles("daemon-1", 6, 34);
  CHECK(roles.meshed());
  CHECK(roles.is_direct("ledger"));
  CHECK(roles.coordinates("daemon-5"));
  CHECK(roles.owns("ledger", "daemon-5"));
  CHECK(roles.connection_limit("ledger", false) == 5);
}

TEST_CASE("In a deployment with more daemons than connections only owners connect", "[relay]") {
  // If 67 daemons open a connection each to an instance that accepts 39, the others are reset.
  const std::size_t count = 67;
  const std::uint32_t most = 39;
  std::size_t total = 0;
  std::set<std::string> owners;
  for (const member& each : daemons(count)) {
    const role_map roles = make_roles(each.name, count, most);
    total += roles.connection_limit("ledger", false);
    if (roles.owns("ledger")) {
      owners.insert(each.name);
    }
  }
  CHECK(total <= most);
  CHECK(owners.size() == 6);
  const role_map roles = make_roles("daemon-0", count, most);
  for (const std::string zone : {"zone-0", "zone-1", "zone-2"}) {
    CHECK(roles.owners_in("ledger", zone).size() == 2);
  }
  CHECK(std::set<std::string>(owners) == [&] {
    const auto all = roles.owners("ledger");
    return std::set<std::string>(all.begin(), all.end());
  }());
}

TEST_CASE("A service whose instances accept enough connections stays direct", "[relay]") {
  const role_map roles = make_roles("daemon-1", 68, 225);
  CHECK_FALSE(roles.meshed());
  CHECK(roles.is_direct("ledger"));
  CHECK(roles.connection_limit("ledger", false) == 3);
}

TEST_CASE("Three daemons coordinate, those connected to the store first", "[relay]") {
  std::vector<member> all = daemons(40);
  role_map roles("daemon-1", {});
  roles.update(all, 40, {});
  const std::vector<std::string> before = roles.coordinators();
  REQUIRE(before.size() == 3);
  for (member& each : all) {
    each.store_connected = each.name != before[0];
  }
  roles.update(all, 40, {});
  CHECK(roles.coordinators().size() == 3);
  CHECK(roles.coordinators()[0] == before[1]);
  CHECK_FALSE(roles.coordinates(before[0]));
  for (member& each : all) {
    each.store_connected = false;
  }
  roles.update(all, 40, {});
  CHECK(roles.coordinators() == before);
}

TEST_CASE("A daemon that neither owns nor coordinates connects only for sessions that run on it",
          "[relay]") {
  std::size_t idle = 0;
  for (const member& each : daemons(67)) {
    const role_map roles = make_roles(each.name, 67, 39);
    const bool watches = roles.watches("ledger", each.name);
    CHECK((roles.connection_limit("ledger", false) > 0) == watches);
    CHECK(roles.connection_limit("ledger", true) >= 1);
    idle += watches ? 0 : 1;
  }
  CHECK(idle >= 58);
}

TEST_CASE("The loss of an owner adds one new owner and moves no other", "[relay]") {
  role_map roles("daemon-0", {});
  std::vector<member> all = daemons(60);
  roles.update(all, 60, {{"ledger", 39}});
  const std::vector<std::string> before = roles.owners_in("ledger", "zone-1");
  std::erase_if(all, [&](const member& each) { return each.name == before[0]; });
  roles.update(all, 60, {{"ledger", 39}});
  const std::vector<std::string> after = roles.owners_in("ledger", "zone-1");
  REQUIRE(after.size() == 2);
  CHECK(after[0] == before[1]);
  CHECK(after[1] != before[0]);
}

TEST_CASE("Owners of all services come from a few large daemons of each zone", "[relay]") {
  // With owners among all 295 daemons a coordinator would exchange heartbeats with nearly all of
  // them.
  std::vector<member> all = daemons(180);
  for (std::size_t number = 0; number < all.size(); ++number) {
    all[number].capacity = number % 20 < 3 ? 500 : 120;
  }
  std::map<std::string, std::uint32_t> services;
  for (int number = 0; number < 20; ++number) {
    services["service-" + std::to_string(number)] = 202;
  }
  role_map roles("daemon-0", {});
  roles.update(all, all.size(), services);
  CHECK(roles.watchers().size() <= 3 * 8 + 3);
  for (const auto& [service, most] : services) {
    CHECK(roles.owners(service).size() == 6);
    for (const std::string& owner : roles.owners(service)) {
      CHECK(std::stoul(owner.substr(owner.find('-') + 1)) % 20 < 3);
    }
  }
}

TEST_CASE("One daemon more or less does not change a service from owned to direct", "[relay]") {
  // With 600 connections the share of each of 295 daemons is two, and of each of 299 one.
  const std::map<std::string, std::uint32_t> services = {{"ledger", 600}};
  role_map roles("daemon-0", {});
  for (const std::size_t count : {295, 299, 295, 298, 199}) {
    roles.update(daemons(count), count, services);
    CHECK_FALSE(roles.is_direct("ledger"));
  }
}

TEST_CASE("A service becomes direct only once all daemons are known", "[relay]") {
  // After a loss of power each daemon knows only a third of the others at first, and would take the
  // share of three.
  const std::map<std::string, std::uint32_t> services = {{"ledger", 225}};
  role_map roles("daemon-0", {});
  roles.update(daemons(40), 40, services, false);
  CHECK_FALSE(roles.is_direct("ledger"));
  roles.update(daemons(68), 68, services, true);
  CHECK(roles.is_direct("ledger"));
  // A direct service stays direct with two connections each.
  roles.update(daemons(90), 90, services, true);
  CHECK(roles.is_direct("ledger"));
  roles.update(daemons(112), 112, services, true);
  CHECK_FALSE(roles.is_direct("ledger"));
  roles.update(daemons(90), 90, services, true);
  CHECK_FALSE(roles.is_direct("ledger"));
}

TEST_CASE("Deputies follow the coordinators in rank, whoever is connected to the store",
          "[relay]") {
  std::vector<member> all = daemons(60);
  std::size_t deputies = 0;
  for (const member& each : all) {
    role_map roles(each.name, {});
    roles.update(all, all.size(), {});
    CHECK((!roles.coordinates() || roles.is_deputy()));
    deputies += roles.is_deputy() ? 1 : 0;
  }
  CHECK(deputies == 9);
}

TEST_CASE("The number of owners grows with the daemons of a zone", "[relay]") {
  // With eight owners a zone for 150 services on 300 machines, the owners exhaust their processors
  // while the other daemons are idle.
  constexpr std::size_t SERVICES = 150;
  std::map<std::string, std::uint32_t> connections;
  for (std::size_t number = 0; number < SERVICES; ++number) {
    connections["service-" + std::to_string(number)] = 34;
  }
  for (const std::size_t count : {60, 300}) {
    role_map roles("daemon-0", {});
    roles.update(daemons(count), count, connections);
    std::map<std::string, std::size_t> owned;
    for (const auto& [service, most] : connections) {
      for (const std::string& owner : roles.owners(service)) {
        ++owned[owner];
      }
    }
    std::size_t most_owned = 0;
    for (const auto& [owner, services] : owned) {
      most_owned = std::max(most_owned, services);
    }
    // Each owner serves its services for all daemons of its zone.
    const std::size_t daemons_of_zone = count / 3;
    CHECK(most_owned * daemons_of_zone <= 2'000);
  }
}

TEST_CASE("Daemons that leave a zone without being owners move no service", "[relay]") {
  const std::map<std::string, std::uint32_t> connections = {{"a", 34}, {"b", 34}, {"c", 34}};
  role_map roles("daemon-0", {});
  roles.update(daemons(300), 300, connections);
  const std::vector<std::string> before = roles.owners("a");
  constexpr std::size_t REMOVED = 30;
  std::vector<member> fewer;
  std::size_t removed = 0;
  for (const member& each : daemons(300)) {
    const bool owner = roles.watches_any(each.name);
    if (!owner && removed < REMOVED) {
      ++removed;
    } else {
      fewer.push_back(each);
    }
  }
  roles.update(fewer, fewer.size(), connections);
  CHECK(roles.owners("a") == before);
}

TEST_CASE("A daemon that owns no service computes owners only on demand", "[relay]") {
  constexpr std::size_t DAEMONS = 300;
  constexpr std::size_t SERVICES = 1'000;
  std::map<std::string, std::uint32_t> connections;
  for (std::size_t number = 0; number < SERVICES; ++number) {
    connections["service" + std::to_string(number)] = 34;
  }
  std::vector<member> all = daemons(DAEMONS);
  all.push_back({"plain", all.front().zone, true, 1});
  for (std::size_t at = 0; at < DAEMONS; ++at) {
    all[at].capacity = 250;
  }
  role_map roles("plain", {});
  CHECK(roles.update(all, all.size(), connections));
  CHECK_FALSE(roles.update(all, all.size(), connections));
  for (const auto& [service, most] : connections) {
    CHECK_FALSE(roles.owns(service));
  }
  CHECK_FALSE(roles.watches_any());
  CHECK(roles.computed_services() == 0);
  CHECK_FALSE(roles.owners("service7").empty());
  CHECK(roles.computed_services() == 1);
}

}  // namespace valvekeel::relay
