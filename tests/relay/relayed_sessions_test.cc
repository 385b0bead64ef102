#include "relay/relayed_sessions.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace valvekeel::relay {
namespace {

constexpr common::Instant NOW{1'000'000};
constexpr common::Duration LONG{1'000'000};
constexpr session_number SESSION = 7;

/** Notes what it is asked for. */
class recording_port : public relay_port {
 public:
  bool alive(const std::string& daemon, common::Instant) const override {
    return !this->dead.contains(daemon);
  }
  bool stays(const std::string& daemon, common::Instant) const override {
    return !this->dead.contains(daemon) && !this->leaving.contains(daemon);
  }
  void open_link(session_number, const std::string& owner) override {
    this->opened.push_back(owner);
  }
  void close_link(session_number) override {}
  void serve_here(session_number, common::Instant) override { ++this->served_here; }
  void end_caller(session_number) override { ++this->ended; }
  void note(const char*, session_number, const std::string&, const std::string&) override {}

  std::set<std::string> dead;
  std::set<std::string> leaving;
  std::vector<std::string> opened;
  int served_here = 0;
  int ended = 0;
};

/** Six daemons in two zones, of which one owns the service in each; this one is in zone "a". */
struct fixture {
  fixture() {
    role_policy policy;
    policy.owners_per_zone = 1;
    policy.most_meshed_daemons = 1;
    this->roles = role_map("self", policy);
    this->roles.update({{"self", "a", true},
                        {"a1", "a", true},
                        {"a2", "a", true},
                        {"b1", "b", true},
                        {"b2", "b", true},
                        {"b3", "b", true}},
                       6, {{"ledger", 8}});
  }

  std::string near() const { return this->roles.owners_in("ledger", "a").front(); }
  std::string far() const { return this->roles.owners_in("ledger", "b").front(); }

  role_map roles{"self", {}};
  recording_port port;
  relayed_sessions sessions{"a", roles, port};
};

}  // namespace

TEST_CASE("A session goes to the owner of its own zone", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.near()});
}

TEST_CASE("Sessions of a tenant go to the same owner of the zone", "[relay]") {
  fixture test;
  role_policy policy;
  policy.most_meshed_daemons = 1;
  test.roles = role_map("self", policy);
  test.roles.update({{"self", "b", true}, {"a1", "a", true}, {"a2", "a", true}}, 3,
                    {{"ledger", 4}});
  REQUIRE(test.roles.owners_in("ledger", "a").size() == 2);
  std::set<std::string> of_all;
  for (session_number tenant = 0; tenant < 20; ++tenant) {
    test.port.opened.clear();
    for (session_number number = 0; number < 4; ++number) {
      test.sessions.start(tenant * 4 + number, "ledger", "t" + std::to_string(tenant), NOW);
    }
    const std::set<std::string> owners(test.port.opened.begin(), test.port.opened.end());
    CHECK(owners.size() == 1);
    of_all.insert(owners.begin(), owners.end());
  }
  CHECK(of_all.size() == 2);
}

TEST_CASE("A caller that an owner turned away is not handed on", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.declined(SESSION);
  test.sessions.link_ended(SESSION, NOW);
  CHECK(test.port.opened.size() == 1);
  CHECK(test.port.ended == 1);
}

TEST_CASE("An owner that ends before it accepts is followed by the next", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.link_ended(SESSION, NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.near(), test.far()});
  test.sessions.link_ended(SESSION, NOW);
  CHECK(test.port.served_here == 1);
  CHECK_FALSE(test.sessions.contains(SESSION));
}

TEST_CASE("An owner that does not accept in time is followed by the next", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.tick(NOW + LONG);
  CHECK(test.port.opened.size() == 2);
}

TEST_CASE("A session whose command was passed on is never handed on", "[relay]") {
  // It might run twice.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.command_sent(SESSION);
  test.sessions.link_ended(SESSION, NOW);
  CHECK(test.port.opened.size() == 1);
  CHECK(test.port.ended == 1);
  CHECK(test.sessions.counters().lost == 1);
}

TEST_CASE("The end of a silent owner ends its sessions at once", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.accepted(SESSION);
  test.sessions.command_sent(SESSION);
  test.port.dead.insert(test.near());
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A session leaves a stopping owner only when it rests", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.accepted(SESSION);
  test.sessions.command_sent(SESSION);
  test.port.leaving.insert(test.near());
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);
  test.sessions.answered(SESSION, model::TransactionState::kOpen, NOW);
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);
  test.sessions.command_sent(SESSION);
  test.sessions.answered(SESSION, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A planned stop ends resting sessions, others as they come to rest", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.start(SESSION + 1, "ledger", "", NOW);
  test.sessions.accepted(SESSION);
  test.sessions.accepted(SESSION + 1);
  test.sessions.command_sent(SESSION);
  test.sessions.start_closing();
  CHECK(test.port.ended == 1);
  test.sessions.answered(SESSION, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 2);
}

}  // namespace valvekeel::relay
