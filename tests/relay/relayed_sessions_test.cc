#include "relay/relayed_sessions.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace valvekeel::relay {
namespace {

constexpr common::Instant NOW{1'000'000};
constexpr common::Duration LONG{1'000'000};
constexpr common::Duration SHORT{100'000};
/** Without a byte of an owner that is out of view, while a command waits. */
constexpr common::Duration SILENCE{650'000};
/** With an owner that has ceased to be one. */
constexpr common::Duration GUESTS{1'000'000};
constexpr session_number SESSION = 7;
constexpr auto READ = model::CommandKind::kRead;
constexpr const char* ENDED = "closed by the other side";

/** Notes what it is asked for. */
class recording_port : public relay_port {
 public:
  bool is_reachable(const std::string& daemon, common::Instant) const override {
    return !this->dead.contains(daemon);
  }
  bool is_available(const std::string& daemon, common::Instant) const override {
    return !this->dead.contains(daemon) && !this->leaving.contains(daemon);
  }
  bool zone_may_serve(session_number, const std::string& zone) const override {
    return !this->closed_zones.contains(zone);
  }
  void open_link(session_number, const std::string& owner) override {
    this->opened.push_back(owner);
  }
  void close_link(session_number) override {}
  void serve_locally(session_number, common::Instant) override { ++this->served_here; }
  void answer(session_number, model::ErrorCode error, const std::string&) override {
    this->answers.push_back(error);
    this->answered_before_end = this->answered_before_end && this->ended == 0;
  }
  void reject_caller(session_number, model::ErrorCode error, const std::string&) override {
    this->refusals.push_back(error);
    ++this->ended;
  }
  void close_caller(session_number) override { ++this->ended; }
  void log_session(const relay_log_entry&) override {}
  void log_ending(std::size_t, const char*) override {}

  std::set<std::string> dead;
  std::set<std::string> leaving;
  std::set<std::string> closed_zones;
  std::vector<std::string> opened;
  std::vector<model::ErrorCode> answers;
  std::vector<model::ErrorCode> refusals;
  bool answered_before_end = true;
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

  /** The daemon is no longer among those that may own services. */
  void lose_owner(const std::string& daemon) {
    std::vector<member> members;
    for (const char* name : {"self", "a1", "a2"}) {
      if (name != daemon) {
        members.push_back({name, "a", true});
      }
    }
    for (const char* name : {"b1", "b2", "b3"}) {
      members.push_back({name, "b", true});
    }
    this->roles.update(members, 6, {{"ledger", 8}});
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
  test.sessions.on_rejected(SESSION, NOW);
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
  CHECK(test.port.opened.size() == 1);
  CHECK(test.port.ended == 1);
}

TEST_CASE("An owner that ends before it accepts is followed by the next", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.near(), test.far()});
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
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
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
  CHECK(test.port.opened.size() == 1);
  CHECK(test.port.ended == 1);
  CHECK(test.sessions.counters().lost == 1);
}

TEST_CASE("An owner that is out of view is given up only once a command has waited in silence",
          "[relay]") {
  // A daemon took an owner for lost as soon as its view of the live daemons had lost it. Where the
  // daemon that tells a zone who lives was stopped, its neighbours lost owners for a moment, 0.65
  // to 0.9 s later, that were alive and at work: "relay_lost", "its owner is not heard", with
  // waited_ms of 4, 18, 30, 44, 73 and 196 in one run. The silence has to be the owner's own.
  fixture test;
  constexpr common::Duration APART{300'000};
  constexpr session_number BUSY_TOO = SESSION + 1;
  constexpr session_number RESTING = SESSION + 2;
  constexpr session_number IN_TRANSACTION = SESSION + 3;
  constexpr session_number UNACCEPTED = SESSION + 4;
  for (session_number number = SESSION; number <= UNACCEPTED; ++number) {
    test.sessions.start(number, "ledger", "", NOW);
  }
  for (session_number number = SESSION; number < UNACCEPTED; ++number) {
    test.sessions.on_accepted(number, NOW);
  }
  test.sessions.on_command_sent(RESTING, READ, NOW);
  test.sessions.on_answered(RESTING, model::TransactionState::kIdle, NOW);
  test.sessions.on_command_sent(IN_TRANSACTION, model::CommandKind::kBegin, NOW);
  test.sessions.on_answered(IN_TRANSACTION, model::TransactionState::kOpen, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.on_command_sent(BUSY_TOO, READ, NOW);
  test.port.dead.insert(test.near());

  // What has nothing under way leaves at once, or goes to the next owner.
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 1);
  CHECK_FALSE(test.sessions.contains(RESTING));
  CHECK(test.port.opened.back() == test.far());
  test.sessions.on_accepted(UNACCEPTED, NOW);

  // Part of an answer over one link shows that the owner is alive.
  test.sessions.on_owner_bytes(BUSY_TOO, false, NOW + APART);
  test.sessions.tick(NOW + APART + SILENCE - common::Duration(1));
  CHECK(test.port.ended == 1);
  test.sessions.tick(NOW + APART + SILENCE);
  CHECK(test.port.ended == 4);
  CHECK(test.sessions.size() == 1);
  CHECK(test.sessions.contains(UNACCEPTED));
}

TEST_CASE("An owner that is heard is given up for no silence", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.tick(NOW + 10 * SILENCE);
  CHECK(test.port.ended == 0);
}

TEST_CASE("Commands under way are answered when their link is lost and the caller is closed then",
          "[relay]") {
  // Whenever a link ended, the caller's connection was closed without a word for the commands that
  // the owner had: 252 lines of "relay_lost" in three runs of planned stops, nearly all with
  // "unanswered":"1","in_transaction":"false". What is known can be said.
  using model::CommandKind;
  using model::ErrorCode;
  using model::TransactionState;
  struct lost_case {
    std::vector<std::pair<CommandKind, TransactionState>> answered;
    std::vector<CommandKind> under_way;
    std::vector<ErrorCode> answers;
  };
  constexpr auto OPEN = TransactionState::kOpen;
  constexpr auto FAILED = TransactionState::kFailed;
  constexpr auto IDLE = TransactionState::kIdle;
  const std::vector<lost_case> cases = {
      // Single statements.
      {{}, {CommandKind::kWrite}, {ErrorCode::kInDoubt}},
      {{}, {CommandKind::kExecute}, {ErrorCode::kInDoubt}},
      {{}, {READ, READ}, {ErrorCode::kFailed, ErrorCode::kFailed}},
      {{}, {CommandKind::kSet}, {ErrorCode::kAborted}},
      // The owner's end rolls back whatever no commit was passed on for.
      {{{CommandKind::kBegin, OPEN}}, {READ}, {ErrorCode::kAborted}},
      {{{CommandKind::kBegin, OPEN}}, {CommandKind::kWrite}, {ErrorCode::kAborted}},
      {{}, {CommandKind::kBegin, READ}, {ErrorCode::kAborted, ErrorCode::kAborted}},
      {{{CommandKind::kBegin, OPEN}, {CommandKind::kWrite, OPEN}},
       {CommandKind::kRollback},
       {ErrorCode::kAborted}},
      // A commit may have kept what was written, and only that.
      {{{CommandKind::kBegin, OPEN}, {CommandKind::kWrite, OPEN}},
       {CommandKind::kCommit},
       {ErrorCode::kInDoubt}},
      {{{CommandKind::kBegin, OPEN}, {READ, OPEN}}, {CommandKind::kCommit}, {ErrorCode::kAborted}},
      {{{CommandKind::kBegin, OPEN}, {CommandKind::kWrite, FAILED}},
       {CommandKind::kCommit},
       {ErrorCode::kAborted}},
      {{{CommandKind::kBegin, OPEN}, {CommandKind::kWrite, OPEN}, {CommandKind::kCommit, IDLE}},
       {CommandKind::kBegin, READ, CommandKind::kCommit},
       {ErrorCode::kAborted, ErrorCode::kAborted, ErrorCode::kAborted}},
      // No promise is made ahead of a command that may have kept something.
      {{{CommandKind::kBegin, OPEN}},
       {CommandKind::kWrite, CommandKind::kCommit, READ},
       {ErrorCode::kInDoubt, ErrorCode::kInDoubt, ErrorCode::kFailed}},
      {{},
       {CommandKind::kBegin, CommandKind::kExecute, CommandKind::kCommit},
       {ErrorCode::kInDoubt, ErrorCode::kInDoubt, ErrorCode::kInDoubt}},
      {{}, {CommandKind::kSet, CommandKind::kWrite}, {ErrorCode::kInDoubt, ErrorCode::kInDoubt}},
  };
  for (std::size_t index = 0; index < cases.size(); ++index) {
    CAPTURE(index);
    fixture test;
    test.sessions.start(SESSION, "ledger", "", NOW);
    test.sessions.on_accepted(SESSION, NOW);
    for (const auto& [kind, state] : cases[index].answered) {
      test.sessions.on_command_sent(SESSION, kind, NOW);
      test.sessions.on_owner_bytes(SESSION, true, NOW);
      test.sessions.on_answered(SESSION, state, NOW);
    }
    for (const CommandKind kind : cases[index].under_way) {
      test.sessions.on_command_sent(SESSION, kind, NOW);
    }
    test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
    CHECK(test.port.answers == cases[index].answers);
    CHECK(test.port.answered_before_end);
    CHECK(test.port.ended == 1);
  }
}

TEST_CASE("What a lost link leaves unanswered is told by how it was lost", "[relay]") {
  using model::ErrorCode;
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);

  SECTION("a silent owner's commands are answered too") {
    test.sessions.on_accepted(SESSION, NOW);
    test.sessions.on_command_sent(SESSION, READ, NOW);
    test.port.dead.insert(test.near());
    test.sessions.tick(NOW + SILENCE);
    CHECK(test.port.answers == std::vector<ErrorCode>{ErrorCode::kFailed});
    CHECK(test.port.ended == 1);
  }
  SECTION("so are those of an owner whose region may not hold them any more") {
    test.sessions.on_accepted(SESSION, NOW);
    test.sessions.on_command_sent(SESSION, model::CommandKind::kWrite, NOW);
    test.port.closed_zones = {"a"};
    test.sessions.on_regions_changed(NOW);
    test.sessions.tick(NOW + MOVE_DEADLINE);
    CHECK(test.port.answers == std::vector<ErrorCode>{ErrorCode::kInDoubt});
    CHECK(test.port.ended == 1);
  }
  SECTION("after part of an answer nothing can be told") {
    test.sessions.on_accepted(SESSION, NOW);
    test.sessions.on_command_sent(SESSION, READ, NOW);
    test.sessions.on_owner_bytes(SESSION, false, NOW);
    test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
    CHECK(test.port.answers.empty());
    CHECK(test.port.ended == 1);
  }
  SECTION("a caller whose commands never left may come back") {
    test.sessions.on_command_sent(SESSION, model::CommandKind::kWrite, NOW);
    test.sessions.on_link_ended(SESSION, {"not connected: refused", false}, NOW);
    CHECK(test.port.refusals == std::vector<ErrorCode>{ErrorCode::kBusy});
    CHECK(test.port.answers.empty());
    CHECK(test.port.ended == 1);
  }
  SECTION("an owner that did not say that it accepts may still have run them") {
    test.sessions.on_command_sent(SESSION, model::CommandKind::kWrite, NOW);
    test.sessions.tick(NOW + LONG);
    CHECK(test.port.refusals == std::vector<ErrorCode>{ErrorCode::kInDoubt});
    CHECK(test.port.ended == 1);
  }
  SECTION("a caller that was turned away has its answer") {
    test.sessions.on_command_sent(SESSION, READ, NOW);
    test.sessions.on_owner_bytes(SESSION, true, NOW);
    test.sessions.on_rejected(SESSION, NOW);
    test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
    CHECK(test.port.answers.empty());
    CHECK(test.port.refusals.empty());
    CHECK(test.port.ended == 1);
  }
}

TEST_CASE("A session leaves a stopping owner only when it rests", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.port.leaving.insert(test.near());
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);
  test.sessions.on_answered(SESSION, model::TransactionState::kOpen, NOW);
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.on_answered(SESSION, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A session leaves an owner that has ceased to be one as it rests", "[relay]") {
  // The owner itself ended such sessions, which it saw resting while their next command was on the
  // link: 103, 77 and 58 commands in three runs of planned stops found the link "closed by the
  // other side", most within 4 ms. Only who passes the commands on knows that none is under way.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.start(SESSION + 1, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_accepted(SESSION + 1, NOW);
  test.sessions.on_command_sent(SESSION + 1, READ, NOW);
  const std::string former = test.near();
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);

  test.lose_owner(former);
  REQUIRE(test.near() != former);
  test.sessions.tick(NOW + GUESTS);
  test.sessions.tick(NOW + 2 * GUESTS - common::Duration(1));
  CHECK(test.port.ended == 0);
  test.sessions.tick(NOW + 2 * GUESTS);
  CHECK(test.port.ended == 1);
  CHECK_FALSE(test.sessions.contains(SESSION));

  // The other ends with its answer.
  test.sessions.on_answered(SESSION + 1, model::TransactionState::kIdle, NOW + 2 * GUESTS);
  CHECK(test.port.ended == 2);
}

TEST_CASE("A session stays with an owner that is one again in time", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  const std::string former = test.near();
  const role_map before = test.roles;
  test.lose_owner(former);
  test.sessions.tick(NOW);
  test.roles = before;
  test.sessions.tick(NOW + GUESTS - common::Duration(1));
  test.lose_owner(former);
  test.sessions.tick(NOW + GUESTS);
  test.sessions.tick(NOW + 2 * GUESTS - common::Duration(1));
  CHECK(test.port.ended == 0);
}

TEST_CASE("A session that its owner asks to end does so as it rests", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.start(SESSION + 1, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_accepted(SESSION + 1, NOW);
  test.sessions.on_command_sent(SESSION + 1, READ, NOW);
  test.sessions.on_end_requested(SESSION);
  test.sessions.on_end_requested(SESSION + 1);
  CHECK(test.port.ended == 1);
  CHECK_FALSE(test.sessions.contains(SESSION));
  test.sessions.on_answered(SESSION + 1, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 2);
}

TEST_CASE("A planned stop ends resting sessions, others as they come to rest", "[relay]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.start(SESSION + 1, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_accepted(SESSION + 1, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.start_closing(NOW + SHORT);
  CHECK(test.port.ended == 1);
  test.sessions.on_answered(SESSION, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 2);
}

TEST_CASE(
    "A relayed session that was just accepted has time for its first command in a planned stop",
    "[relay]") {
  // From 2.3 s after the stop signal each tick ended what rested, a session accepted less than 10
  // ms before too: its caller had been told that it may begin, and its first command crossed the
  // close.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.start_closing(NOW + SHORT / 2);
  CHECK(test.port.ended == 0);

  SECTION("it ends with the answer to that command") {
    test.sessions.on_command_sent(SESSION, READ, NOW + SHORT / 2);
    test.sessions.start_closing(NOW + 2 * SHORT);
    CHECK(test.port.ended == 0);
    test.sessions.on_answered(SESSION, model::TransactionState::kIdle, NOW + 2 * SHORT);
    CHECK(test.port.ended == 1);
  }
  SECTION("it ends if none comes") {
    test.sessions.start_closing(NOW + SHORT);
    CHECK(test.port.ended == 1);
  }
}

TEST_CASE("A forced end tells the callers of relayed sessions what is known", "[relay]") {
  // The process ended 0.9 s before it would have been killed and cut off what it had passed on: of
  // each such command it knows no less than of one whose link is lost.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, model::CommandKind::kWrite, NOW);
  test.sessions.start(SESSION + 1, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION + 1, NOW);
  test.sessions.close_all();
  CHECK(test.port.answers == std::vector{model::ErrorCode::kInDoubt});
  CHECK(test.port.ended == 2);
  CHECK(test.sessions.size() == 0);
}

TEST_CASE("A session whose own zone may not hold it goes to an owner of a zone that may",
          "[relay][regions]") {
  fixture test;
  test.port.closed_zones = {"a"};
  test.sessions.start(SESSION, "ledger", "", NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.far()});
}

TEST_CASE("A lost owner is followed by none in a zone that may not hold the session",
          "[relay][regions]") {
  fixture test;
  test.port.closed_zones = {"b"};
  test.sessions.start(SESSION, "ledger", "tenant", NOW);
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.near()});
  CHECK(test.port.served_here == 1);
}

TEST_CASE("An owner that declines is followed by none in a zone that may not hold the session",
          "[relay][regions]") {
  fixture test;
  test.port.closed_zones = {"a"};
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.tick(NOW + LONG);
  CHECK(test.port.opened == std::vector<std::string>{test.far()});
  CHECK(test.port.served_here == 1);
}

TEST_CASE("A session that no zone may hold is served where its caller is", "[relay][regions]") {
  fixture test;
  test.port.closed_zones = {"a", "b"};
  test.sessions.start(SESSION, "ledger", "", NOW);
  CHECK(test.port.opened.empty());
  CHECK(test.port.served_here == 1);
}

TEST_CASE("Tenants sent to other zones are spread over these, each to the same owner",
          "[relay][regions]") {
  fixture test;
  role_policy policy;
  policy.most_meshed_daemons = 1;
  policy.owners_per_zone = 1;
  test.roles = role_map("self", policy);
  test.roles.update({{"self", "a", true}, {"a1", "a", true}, {"b1", "b", true}, {"c1", "c", true}},
                    4, {{"ledger", 4}});
  test.port.closed_zones = {"a"};
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
  CHECK(of_all == std::set<std::string>{"b1", "c1"});
}

TEST_CASE("A session whose owner may no longer hold it ends as it rests", "[relay][regions]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.port.closed_zones = {"a"};
  test.sessions.on_regions_changed(NOW);
  test.sessions.tick(NOW);
  CHECK(test.port.ended == 0);
  test.sessions.on_answered(SESSION, model::TransactionState::kIdle, NOW);
  CHECK(test.port.ended == 1);
  CHECK(test.sessions.counters().moved == 1);
}

TEST_CASE("A transaction at an owner that may no longer hold it ends within a limit",
          "[relay][regions]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.on_answered(SESSION, model::TransactionState::kOpen, NOW);
  test.port.closed_zones = {"a"};
  test.sessions.on_regions_changed(NOW);
  test.sessions.tick(NOW + MOVE_LIMIT - common::Duration(1));
  CHECK(test.port.ended == 0);
  test.sessions.tick(NOW + MOVE_LIMIT);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A caller that never awaits its answers is ended at the deadline", "[relay][regions]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.port.closed_zones = {"a"};
  test.sessions.on_regions_changed(NOW);
  test.sessions.tick(NOW + MOVE_LIMIT);
  CHECK(test.port.ended == 0);
  test.sessions.tick(NOW + MOVE_DEADLINE);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A session not accepted yet is handed on when its owner may not hold it",
          "[relay][regions]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.port.closed_zones = {"a"};
  test.sessions.on_regions_changed(NOW);
  CHECK(test.port.opened == std::vector<std::string>{test.near(), test.far()});
  CHECK(test.port.ended == 0);
}

TEST_CASE("A session sent away comes back when its own zone may hold it, as it rests",
          "[relay][regions]") {
  fixture test;
  test.port.closed_zones = {"a"};
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, READ, NOW);
  test.sessions.on_answered(SESSION, model::TransactionState::kOpen, NOW);
  test.port.closed_zones.clear();
  test.sessions.on_regions_changed(NOW);
  test.sessions.tick(NOW + MOVE_DEADLINE);
  CHECK(test.port.ended == 0);  // it may stay where it is
  test.sessions.on_answered(SESSION, model::TransactionState::kIdle, NOW + MOVE_DEADLINE);
  CHECK(test.port.ended == 1);
}

TEST_CASE("A change of regions that concerns a session's owner in nothing leaves it",
          "[relay][regions]") {
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.port.closed_zones = {"b"};
  test.sessions.on_regions_changed(NOW);
  test.sessions.tick(NOW + MOVE_DEADLINE);
  CHECK(test.port.ended == 0);
}

TEST_CASE("A session that no owner has accepted is told of the end of its daemon", "[relay]") {
  // Its caller waits for the first word. One that waits for a configuration is told that the daemon
  // stops; this one has its connection closed without a word.
  fixture idle;
  idle.sessions.start(SESSION, "ledger", "", NOW);
  idle.sessions.close_idle(NOW);
  CHECK(idle.port.refusals == std::vector<model::ErrorCode>{model::ErrorCode::kBusy});
  fixture forced;
  forced.sessions.start(SESSION, "ledger", "", NOW);
  forced.sessions.close_all();
  CHECK(forced.port.refusals == std::vector<model::ErrorCode>{model::ErrorCode::kBusy});
}

TEST_CASE("A session that was just accepted keeps its time for a first command beside other ends",
          "[relay]") {
  // The owner stops: its next tick here ends what was accepted a moment before.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.port.leaving.insert(test.near());
  test.sessions.tick(NOW + common::Duration(1'000));
  CHECK(test.port.ended == 0);
}

TEST_CASE("A write behind a BEGIN that may be refused gets no promise", "[relay]") {
  // An owner refuses BEGIN when the tenant is over its rate, outside a transaction then; the write
  // behind it runs by itself and is kept.
  fixture test;
  test.sessions.start(SESSION, "ledger", "", NOW);
  test.sessions.on_accepted(SESSION, NOW);
  test.sessions.on_command_sent(SESSION, model::CommandKind::kBegin, NOW);
  test.sessions.on_command_sent(SESSION, model::CommandKind::kWrite, NOW);
  test.sessions.on_link_ended(SESSION, {ENDED}, NOW);
  REQUIRE(test.port.answers.size() == 2);
  CHECK(test.port.answers[1] == model::ErrorCode::kInDoubt);
}

}  // namespace valvekeel::relay
