// Which daemon may use a cold instance.

#include "warm_up/sender_role.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration STEP{100'000};
constexpr reachability ALL_HEARD{3, 3, 2, 2};
const std::vector<std::string> OWNERS = {"d1", "d2", "d3"};
const std::string INSTANCE = "a";

/** @return the owners without one. */
std::vector<std::string> without(const std::string& lost) {
  std::vector<std::string> left = OWNERS;
  std::erase(left, lost);
  return left;
}

/** A daemon's role from START on, with what it sees at each step. */
struct role_fixture {
  explicit role_fixture(const std::string& self) : role(self) {}

  /** Sees the same for a while. */
  void see(const std::vector<std::string>& owners, common::Duration time,
           const reachability& heard = ALL_HEARD) {
    for (const common::Instant end = this->now + time; this->now < end; this->now += STEP) {
      this->role.update({{"ledger", owners}}, heard, this->now);
    }
    this->role.update({{"ledger", owners}}, heard, this->now);
  }

  bool holds() const { return this->role.is_sender("ledger", INSTANCE, this->now); }

  sender_role role;
  common::Instant now = START;
};

}  // namespace

TEST_CASE("Exactly one daemon may use an instance", "[warm_up]") {
  int holders = 0;
  for (const std::string& name : OWNERS) {
    role_fixture fixture(name);
    fixture.see(OWNERS, HANDOVER_TIME);
    holders += fixture.holds() ? 1 : 0;
  }
  CHECK(holders == 1);
}

TEST_CASE("Instances are spread over the daemons", "[warm_up]") {
  std::map<std::string, int> firsts;
  for (int number = 0; number < 60; ++number) {
    ++firsts[*first_sender(OWNERS, "instance-" + std::to_string(number))];
  }
  CHECK(firsts.size() == OWNERS.size());
}

TEST_CASE("A daemon that starts waits before it uses a cold instance", "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.see(OWNERS, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.holds());
  fixture.see(OWNERS, STEP);
  CHECK(fixture.holds());
}

TEST_CASE("The next daemon waits when the first is lost", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::vector<std::string> left = without(first);
  role_fixture fixture(*first_sender(left, INSTANCE));
  fixture.see(OWNERS, HANDOVER_TIME);
  CHECK_FALSE(fixture.holds());
  fixture.see(left, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.holds());
  fixture.see(left, STEP);
  CHECK(fixture.holds());
}

TEST_CASE("A daemon keeps an instance while others come and go behind it", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::string second = *first_sender(without(first), INSTANCE);
  role_fixture fixture(first);
  fixture.see(OWNERS, HANDOVER_TIME);
  fixture.see(without(second), STEP);
  CHECK(fixture.holds());
  fixture.see(OWNERS, STEP);
  CHECK(fixture.holds());
}

TEST_CASE("A daemon that a better one has joined stops at once", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::vector<std::string> before = without(first);
  role_fixture fixture(*first_sender(before, INSTANCE));
  fixture.see(before, HANDOVER_TIME);
  CHECK(fixture.holds());
  fixture.see(OWNERS, common::Duration(0));
  CHECK_FALSE(fixture.holds());
}

TEST_CASE("A daemon that hears too few others uses no cold instance", "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.see(OWNERS, HANDOVER_TIME);
  REQUIRE(fixture.holds());
  fixture.see({*first_sender(OWNERS, INSTANCE)}, common::Duration(0), {1, 3, 0, 0});
  CHECK_FALSE(fixture.holds());
  fixture.see(OWNERS, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.holds());
}

TEST_CASE("A daemon that others do not hear uses no cold instance", "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.see(OWNERS, HANDOVER_TIME);
  fixture.see(OWNERS, common::Duration(0), {3, 3, 2, 0});
  CHECK_FALSE(fixture.holds());
}

TEST_CASE("A daemon that stood still has no role before its first tick, and waits after it",
          "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.see(OWNERS, HANDOVER_TIME);
  REQUIRE(fixture.holds());
  fixture.now += MAX_UPDATE_INTERVAL;
  CHECK_FALSE(fixture.holds());
  fixture.see(OWNERS, common::Duration(0));
  CHECK_FALSE(fixture.holds());
  fixture.see(OWNERS, HANDOVER_TIME);
  CHECK(fixture.holds());
}

TEST_CASE("A service of which nothing is known has no holder", "[warm_up]") {
  role_fixture fixture("d1");
  fixture.see(OWNERS, HANDOVER_TIME);
  CHECK_FALSE(fixture.role.is_sender("archive", INSTANCE, fixture.now));
}

TEST_CASE("A daemon that has been alone for long is no majority of those that the store names",
          "[warm_up]") {
  CHECK(is_in_majority({1, 1, 0, 0, 1}));
  CHECK_FALSE(is_in_majority({1, 1, 0, 0, 24}));
  CHECK(is_in_majority({20, 24, 3, 3, 24}));
}

}  // namespace valvekeel::warm_up
