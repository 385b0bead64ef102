// Tests of which daemon may send requests to a cold instance.

#include "warm_up/sender_role.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::warm_up {
namespace {

constexpr common::Instant START{100'000'000};
constexpr common::Duration STEP{100'000};
constexpr reachability ALL_REACHABLE{3, 3, 2, 2};
const std::vector<std::string> OWNERS = {"d1", "d2", "d3"};
const std::string INSTANCE = "a";

/** @return the owners except one. */
std::vector<std::string> without(const std::string& lost) {
  std::vector<std::string> left = OWNERS;
  std::erase(left, lost);
  return left;
}

/** A daemon's role from START on, updated at each step. */
struct role_fixture {
  explicit role_fixture(const std::string& self) : role(self) {}

  /** Updates the role with the same membership for some time. */
  void update(const std::vector<std::string>& owners, common::Duration time,
              const reachability& daemons = ALL_REACHABLE) {
    for (const common::Instant end = this->now + time; this->now < end; this->now += STEP) {
      this->role.update({{"ledger", owners}}, daemons, this->now);
    }
    this->role.update({{"ledger", owners}}, daemons, this->now);
  }

  bool is_sender() const { return this->role.is_sender("ledger", INSTANCE, this->now); }

  sender_role role;
  common::Instant now = START;
};

}  // namespace

TEST_CASE("Exactly one daemon may use a cold instance", "[warm_up]") {
  int senders = 0;
  for (const std::string& name : OWNERS) {
    role_fixture fixture(name);
    fixture.update(OWNERS, HANDOVER_TIME);
    senders += fixture.is_sender() ? 1 : 0;
  }
  CHECK(senders == 1);
}

TEST_CASE("Cold instances are spread over the daemons", "[warm_up]") {
  std::map<std::string, int> firsts;
  for (int number = 0; number < 60; ++number) {
    ++firsts[*first_sender(OWNERS, "instance-" + std::to_string(number))];
  }
  CHECK(firsts.size() == OWNERS.size());
}

TEST_CASE("A daemon that starts waits before it uses a cold instance", "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.update(OWNERS, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.is_sender());
  fixture.update(OWNERS, STEP);
  CHECK(fixture.is_sender());
}

TEST_CASE("The next daemon waits after the first one fails", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::vector<std::string> left = without(first);
  role_fixture fixture(*first_sender(left, INSTANCE));
  fixture.update(OWNERS, HANDOVER_TIME);
  CHECK_FALSE(fixture.is_sender());
  fixture.update(left, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.is_sender());
  fixture.update(left, STEP);
  CHECK(fixture.is_sender());
}

TEST_CASE("A daemon keeps an instance while daemons of lower rank join and leave", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::string second = *first_sender(without(first), INSTANCE);
  role_fixture fixture(first);
  fixture.update(OWNERS, HANDOVER_TIME);
  fixture.update(without(second), STEP);
  CHECK(fixture.is_sender());
  fixture.update(OWNERS, STEP);
  CHECK(fixture.is_sender());
}

TEST_CASE("A daemon stops at once when one of higher rank joins", "[warm_up]") {
  const std::string first = *first_sender(OWNERS, INSTANCE);
  const std::vector<std::string> before = without(first);
  role_fixture fixture(*first_sender(before, INSTANCE));
  fixture.update(before, HANDOVER_TIME);
  CHECK(fixture.is_sender());
  fixture.update(OWNERS, common::Duration(0));
  CHECK_FALSE(fixture.is_sender());
}

TEST_CASE("A daemon that receives heartbeats from too few others uses no cold instance",
          "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.update(OWNERS, HANDOVER_TIME);
  REQUIRE(fixture.is_sender());
  fixture.update({*first_sender(OWNERS, INSTANCE)}, common::Duration(0), {1, 3, 0, 0});
  CHECK_FALSE(fixture.is_sender());
  fixture.update(OWNERS, HANDOVER_TIME - STEP);
  CHECK_FALSE(fixture.is_sender());
}

TEST_CASE("A daemon whose heartbeats are not received uses no cold instance", "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.update(OWNERS, HANDOVER_TIME);
  fixture.update(OWNERS, common::Duration(0), {3, 3, 2, 0});
  CHECK_FALSE(fixture.is_sender());
}

TEST_CASE("After a process pause a daemon has no role before its first tick, and waits after it",
          "[warm_up]") {
  role_fixture fixture(*first_sender(OWNERS, INSTANCE));
  fixture.update(OWNERS, HANDOVER_TIME);
  REQUIRE(fixture.is_sender());
  fixture.now += MAX_UPDATE_INTERVAL;
  CHECK_FALSE(fixture.is_sender());
  fixture.update(OWNERS, common::Duration(0));
  CHECK_FALSE(fixture.is_sender());
  fixture.update(OWNERS, HANDOVER_TIME);
  CHECK(fixture.is_sender());
}

TEST_CASE("An unknown service has no sender", "[warm_up]") {
  role_fixture fixture("d1");
  fixture.update(OWNERS, HANDOVER_TIME);
  CHECK_FALSE(fixture.role.is_sender("archive", INSTANCE, fixture.now));
}

TEST_CASE("A daemon that has been isolated for long is not in the majority of the listed daemons",
          "[warm_up]") {
  CHECK(is_in_majority({1, 1, 0, 0, 1}));
  CHECK_FALSE(is_in_majority({1, 1, 0, 0, 24}));
  CHECK(is_in_majority({20, 24, 3, 3, 24}));
}

}  // namespace valvekeel::warm_up
