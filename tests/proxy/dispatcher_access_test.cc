// What the access rules mean for callers: who moves, who waits, who is refused at once.

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr common::Duration kMillisecond{1'000};
constexpr SessionNumber kCaller = 1;
constexpr const char* kReason = "kept away";

/// Answers by instance as a test sets it.
class FakeRule : public access::rule {
 public:
  access::answer judge(const model::InstanceEntry& instance, const access::work& /*asked*/,
                       common::Instant /*now*/) const override {
    const auto found = this->verdicts.find(instance.id);
    if (found == this->verdicts.end()) {
      return {};
    }
    return {found->second, kReason, this->come_back};
  }

  access::leader_answer judge_leader(const model::InstanceEntry& instance,
                                     common::Instant /*now*/) const override {
    return {this->leaving.contains(instance.id) ? model::LeaderFitness::kUnfit
                                                : model::LeaderFitness::kFit,
            kReason};
  }

  void note_sent(const model::InstanceEntry& instance, std::size_t requests,
                 common::Instant /*now*/) override {
    this->sent[instance.id] += requests;
  }

  std::map<std::string, access::verdict> verdicts;
  std::set<std::string> leaving;  // should not lead
  std::map<std::string, std::size_t> sent;
  common::Duration come_back{400'000};
};

/// One daemon before a primary "p" and a replica "r", which hold one connection of it each.
struct AccessFixture {
  AccessFixture() {
    settings.mechanisms.read_lease = false;
    access.add(rule);
    backends.SetObserver(&dispatcher);
    backends.SetConnectionLimit("ledger", 10, false);
    for (const std::string id : {"p", "r"}) {
      model::InstanceEntry entry;
      entry.id = id;
      entry.service = "ledger";
      entry.slots = 6;
      entry.primary = id == "p";
      backends.SetEntry(entry, kStart);
    }
    GroupState& group = groups.Get("ledger", kStart);
    group.lease.Renew({1, "p", kStart});
    group.history.Add({kStart, {1, 1}});
    configuration.version = 1;
    configuration.services["ledger"].name = "ledger";
    model::Route route;
    route.database = "orders";
    route.service = "ledger";
    route.consistency = model::Consistency::kBoundedStaleness;
    route.max_staleness = std::chrono::seconds(2);
    route.timeout = std::chrono::seconds(1);
    route.target_latency = std::chrono::milliseconds(200);
    configuration.routes["orders"] = route;
    dispatcher.SetConfiguration(&configuration, kStart);
    dispatcher.SessionStarted(kCaller, "orders", {}, kStart);
    for (auto& [id, backend] : backends.All()) {
      REQUIRE(backends.Open(backend, kStart));
    }
    for (const OpenConnection& opened : Taken<OpenConnection>()) {
      connections[opened.instance] = opened.connection;
      backends.Opened(opened.connection, kStart);
    }
    outbox.Take();
  }

  template <typename Kind>
  std::vector<Kind> Taken() {
    std::vector<Kind> found;
    for (const Action& action : outbox.Take()) {
      if (const auto* kind = std::get_if<Kind>(&action)) {
        found.push_back(*kind);
      }
    }
    return found;
  }

  void Ask(model::CommandKind kind, common::Instant now = kStart) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    dispatcher.CommandReceived(kCaller, {"r" + std::to_string(++requests), command}, now);
  }

  /// @return the connection that the only request went to, 0 if there was not exactly one.
  ConnectionNumber SentTo() {
    const auto sent = Taken<SendRequests>();
    return sent.size() == 1 ? sent.front().connection : 0;
  }

  ProxySettings settings;
  Outbox outbox;
  relay::role_map roles{"d", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  tenants::admission admission{settings.tenants};
  FakeRule rule;
  access::rule_set access;
  Dispatcher dispatcher{settings, backends, groups, admission, access, outbox};
  model::Configuration configuration;
  std::map<std::string, ConnectionNumber> connections;
  int requests = 0;
};

}  // namespace

TEST_CASE("A read goes where the rules let it", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["r"] = access::verdict::closed;
  fixture.Ask(model::CommandKind::kRead);
  CHECK(fixture.SentTo() == fixture.connections["p"]);
  CHECK(fixture.rule.sent["p"] == 1);
}

TEST_CASE("An instance for overflow comes behind the open ones", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["r"] = access::verdict::overflow;
  fixture.Ask(model::CommandKind::kRead);
  CHECK(fixture.SentTo() == fixture.connections["p"]);
}

TEST_CASE("An instance of last resort is used if there is no other", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::verdict::closed;
  fixture.rule.verdicts["r"] = access::verdict::last_resort;
  fixture.Ask(model::CommandKind::kRead);
  CHECK(fixture.SentTo() == fixture.connections["r"]);
}

TEST_CASE("What no instance may run is refused at once with a time to come back",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts = {{"p", access::verdict::closed}, {"r", access::verdict::closed}};
  fixture.Ask(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.Taken<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
  CHECK(answers.front().reply.error_text == "retry_after_ms=400 kept away");
  CHECK(fixture.rule.sent.empty());
}

TEST_CASE("A rule that lets work through too late refuses it at once", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts = {{"p", access::verdict::later}, {"r", access::verdict::closed}};
  fixture.rule.come_back = std::chrono::milliseconds(20);
  fixture.Ask(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.Taken<AnswerCaller>().empty());
  fixture.rule.come_back = std::chrono::milliseconds(400);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.Taken<AnswerCaller>().size() == 1);
}

TEST_CASE("A write waits for a primary that is to be replaced", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::verdict::closed;
  fixture.rule.leaving = {"p"};
  fixture.Ask(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.Taken<AnswerCaller>().empty());
  CHECK(fixture.rule.sent.empty());
}

TEST_CASE("A write is refused at once if its primary is closed for it and stays the primary",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::verdict::closed;
  fixture.Ask(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.Taken<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error_text == "retry_after_ms=400 kept away");
  CHECK(fixture.rule.sent.empty());
}

TEST_CASE("A transaction at an instance that closes is rolled back, and its end is told so",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.Ask(model::CommandKind::kBegin);
  fixture.Ask(model::CommandKind::kRead);
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  const ConnectionNumber connection = fixture.SentTo();
  REQUIRE(connection == fixture.connections["p"]);
  fixture.backends.Answered(connection, reply, kStart);  // BEGIN
  fixture.backends.Answered(connection, reply, kStart);  // READ
  fixture.outbox.Take();
  fixture.rule.verdicts["p"] = access::verdict::closed;
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto sent = fixture.Taken<SendRequests>();
  REQUIRE(sent.size() == 1);
  CHECK(std::get<model::SessionRequest>(sent.front().requests.front()).command.kind ==
        model::CommandKind::kRollback);
  fixture.Ask(model::CommandKind::kCommit);
  const auto answers = fixture.Taken<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kAborted);
}

}  // namespace valvekeel::proxy
