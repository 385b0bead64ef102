// Tests of the dispatcher with access rules: placement, queueing, refusals, ended transactions.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <type_traits>
#include <vector>

#include "proxy/dispatcher.h"
#include "warm_up/warm_up_rule.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr common::Duration kMillisecond{1'000};
constexpr SessionNumber kSession = 1;
constexpr const char* kReason = "kept away";

/// Gives each instance the verdict that the test sets.
class FakeRule : public access::rule {
 public:
  access::decision evaluate(const model::InstanceEntry& instance, const access::work& /*asked*/,
                            common::Instant /*now*/) const override {
    const auto found = this->verdicts.find(instance.id);
    if (found == this->verdicts.end()) {
      return {};
    }
    return {found->second, kReason, this->retry_after};
  }

  access::leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant /*now*/) const override {
    return {this->unfit_to_lead.contains(instance.id) ? model::LeaderFitness::kUnfit
                                                      : model::LeaderFitness::kFit,
            kReason};
  }

  void on_sent(const model::InstanceEntry& instance, std::size_t requests,
               common::Instant /*now*/) override {
    this->sent_requests[instance.id] += requests;
  }

  std::map<std::string, access::access_level> verdicts;
  std::set<std::string> unfit_to_lead;
  std::map<std::string, std::size_t> sent_requests;
  common::Duration retry_after{400'000};
};

/// A daemon with one connection each to a primary "p" and a replica "r".
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
    dispatcher.SessionStarted(kSession, "orders", {}, kStart);
    for (auto& [id, backend] : backends.All()) {
      REQUIRE(backends.Open(backend, kStart));
    }
    for (const OpenConnection& opened : ConsumeActions<OpenConnection>()) {
      connections[opened.instance] = opened.connection;
      backends.OnOpened(opened.connection, kStart);
    }
    outbox.Take();
  }

  template <typename Kind>
  std::vector<Kind> ConsumeActions() {
    std::vector<Kind> matching;
    for (const Action& action : outbox.Take()) {
      if (const auto* kind = std::get_if<Kind>(&action)) {
        matching.push_back(*kind);
      }
    }
    return matching;
  }

  void SendCommand(model::CommandKind kind, common::Instant now = kStart) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    dispatcher.CommandReceived(kSession, {"r" + std::to_string(++requests), command}, now);
  }

  /// @return the connection of the only request sent, 0 if there was not exactly one.
  ConnectionNumber ConnectionOfOnlyRequest() {
    const auto sent = ConsumeActions<SendRequests>();
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

TEST_CASE("A read runs at an instance that the access rules allow", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["r"] = access::access_level::closed;
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.ConnectionOfOnlyRequest() == fixture.connections["p"]);
  CHECK(fixture.rule.sent_requests["p"] == 1);
}

TEST_CASE("An overflow instance is placed after the open instances", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["r"] = access::access_level::overflow;
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.ConnectionOfOnlyRequest() == fixture.connections["p"]);
}

TEST_CASE("An instance of last resort is used if there is no other", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.rule.verdicts["r"] = access::access_level::last_resort;
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.ConnectionOfOnlyRequest() == fixture.connections["r"]);
}

TEST_CASE("An operation that no instance may run is refused at once with a retry-after time",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts = {{"p", access::access_level::closed},
                           {"r", access::access_level::closed}};
  fixture.SendCommand(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
  CHECK(answers.front().reply.error_text == "retry_after_ms=400 kept away");
  CHECK(fixture.rule.sent_requests.empty());
}

TEST_CASE("An operation is refused at once if the rules allow it only after its queue deadline",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts = {{"p", access::access_level::deferred},
                           {"r", access::access_level::closed}};
  fixture.rule.retry_after = std::chrono::milliseconds(20);
  fixture.SendCommand(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConsumeActions<AnswerCaller>().empty());
  fixture.rule.retry_after = std::chrono::milliseconds(400);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConsumeActions<AnswerCaller>().size() == 1);
}

TEST_CASE("A write waits for a primary that is to be replaced", "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.rule.unfit_to_lead = {"p"};
  fixture.SendCommand(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConsumeActions<AnswerCaller>().empty());
  CHECK(fixture.rule.sent_requests.empty());
}

TEST_CASE("A write is refused at once if its primary is closed for it and stays the primary",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.SendCommand(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error_text == "retry_after_ms=400 kept away");
  CHECK(fixture.rule.sent_requests.empty());
}

TEST_CASE(
    "A transaction at an instance that closes is rolled back, and its COMMIT answered as aborted",
    "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBegin);
  fixture.SendCommand(model::CommandKind::kRead);
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  REQUIRE(connection == fixture.connections["p"]);
  fixture.backends.OnAnswered(connection, reply, kStart);  // BEGIN
  fixture.backends.OnAnswered(connection, reply, kStart);  // READ
  fixture.outbox.Take();
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto sent = fixture.ConsumeActions<SendRequests>();
  REQUIRE(sent.size() == 1);
  CHECK(std::get<model::SessionRequest>(sent.front().requests.front()).command.kind ==
        model::CommandKind::kRollback);
  fixture.SendCommand(model::CommandKind::kCommit);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kAborted);
}

TEST_CASE("A transaction that has failed at an instance that closes is rolled back too",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBegin);
  fixture.SendCommand(model::CommandKind::kRead);
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  fixture.backends.OnAnswered(connection, reply, kStart);  // BEGIN
  fixture.backends.OnAnswered(connection, reply, kStart);  // READ
  fixture.SendCommand(model::CommandKind::kRead);
  model::Reply failure;
  failure.error = model::ErrorCode::kFailed;
  failure.state = model::TransactionState::kFailed;
  fixture.backends.OnAnswered(connection, failure, kStart);
  fixture.outbox.Take();
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConnectionOfOnlyRequest() == connection);  // ROLLBACK
  fixture.SendCommand(model::CommandKind::kRollback, kStart + 2 * kMillisecond);
  CHECK(fixture.ConsumeActions<SendRequests>().empty());
}

TEST_CASE(
    "A transaction whose instance closes while a statement runs ends by closing its connection",
    "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBegin);
  fixture.SendCommand(model::CommandKind::kRead);
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  fixture.backends.OnAnswered(connection, reply, kStart);  // BEGIN
  fixture.backends.OnAnswered(connection, reply, kStart);  // READ
  fixture.SendCommand(model::CommandKind::kRead);
  fixture.outbox.Take();
  fixture.rule.verdicts["p"] = access::access_level::closed;
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const common::Instant late = kStart + 700 * kMillisecond;
  fixture.backends.OnAnswered(connection, reply, late);
  fixture.dispatcher.Tick(late + kMillisecond);
  const std::vector<Action> actions = fixture.outbox.Take();
  const auto is = [&](auto* kind) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      return std::get_if<std::remove_pointer_t<decltype(kind)>>(&action) != nullptr;
    });
  };
  CHECK(is(static_cast<CloseConnection*>(nullptr)));
  CHECK_FALSE(is(static_cast<SendRequests*>(nullptr)));
  fixture.SendCommand(model::CommandKind::kCommit);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kAborted);
}

TEST_CASE("A first statement refused after its instance closed causes no ROLLBACK",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBeginReadOnly);
  fixture.SendCommand(model::CommandKind::kRead);
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  const std::string instance = connection == fixture.connections["p"] ? "p" : "r";
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  fixture.backends.OnAnswered(connection, reply, kStart);  // BEGIN; the READ goes out
  fixture.outbox.Take();
  fixture.rule.verdicts[instance] = access::access_level::closed;
  fixture.dispatcher.Tick(kStart + kMillisecond);
  model::Reply refusal;
  refusal.error = model::ErrorCode::kBusy;
  refusal.state = model::TransactionState::kOpen;
  fixture.backends.OnAnswered(connection, refusal, kStart + 90 * kMillisecond);
  fixture.dispatcher.Tick(kStart + 100 * kMillisecond);
  for (const SendRequests& sent : fixture.ConsumeActions<SendRequests>()) {
    CHECK(sent.connection != connection);
  }
  CHECK(fixture.backends.FindConnection(connection) == nullptr);
}

TEST_CASE("A statement whose instance closes during its preparation runs at another instance",
          "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kSet);
  fixture.outbox.Take();
  fixture.SendCommand(model::CommandKind::kRead);
  const auto prepared = fixture.ConsumeActions<SendRequests>();
  REQUIRE(prepared.size() == 1);
  const ConnectionNumber first = prepared.front().connection;
  const bool at_primary = first == fixture.connections["p"];
  fixture.rule.verdicts[at_primary ? "p" : "r"] = access::access_level::closed;
  model::Reply reply;
  reply.succeeded = true;
  for (std::size_t answer = 0; answer < prepared.front().requests.size(); ++answer) {
    fixture.backends.OnAnswered(first, reply, kStart + kMillisecond);
  }
  fixture.dispatcher.Tick(kStart + 10 * kMillisecond);
  for (const SendRequests& sent : fixture.ConsumeActions<SendRequests>()) {
    CHECK(sent.connection == fixture.connections[at_primary ? "r" : "p"]);
  }
  CHECK(fixture.backends.FindConnection(first) == nullptr);
}

TEST_CASE("A statement is counted when its preparation is sent, and not again", "[proxy][access]") {
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBegin);
  fixture.SendCommand(model::CommandKind::kRead);
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  REQUIRE(connection == fixture.connections["p"]);
  CHECK(fixture.rule.sent_requests["p"] == 2);  // BEGIN, and the READ that follows
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  fixture.backends.OnAnswered(connection, reply, kStart);
  CHECK(fixture.ConnectionOfOnlyRequest() == connection);
  CHECK(fixture.rule.sent_requests["p"] == 2);
}

namespace {

/// The same with the warm-up rule; this daemon may use no cold instance.
struct WarmUpFixture : AccessFixture {
  WarmUpFixture() {
    configuration.services["ledger"].warm_up = {std::chrono::seconds(6), 8};
    warm_up.instances().set_services(configuration.services);
    access.add(warm_up);
  }

  void MakeCold(const std::string& id) {
    warm_up.on_possible_restart(backends.Find(id)->Entry(), kStart);
  }

  warm_up::warm_up_rule warm_up{"d", {1.5, 5}};
};

}  // namespace

TEST_CASE("An operation that only cold instances could serve is refused at once",
          "[proxy][warm_up]") {
  WarmUpFixture fixture;
  fixture.MakeCold("p");
  fixture.MakeCold("r");
  fixture.SendCommand(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error_text == "retry_after_ms=300 cold");
}

TEST_CASE("A write is refused at once while the primary is cold", "[proxy][warm_up]") {
  WarmUpFixture fixture;
  fixture.MakeCold("p");
  fixture.SendCommand(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
}

TEST_CASE("A read goes to the warm instance while the other is cold", "[proxy][warm_up]") {
  WarmUpFixture fixture;
  fixture.MakeCold("r");
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.ConnectionOfOnlyRequest() == fixture.connections["p"]);
}

TEST_CASE("A queued statement of a transaction fails when the transaction's connection is lost",
          "[proxy][access]") {
  // Otherwise it would be placed again in a new transaction, and an empty COMMIT would succeed.
  AccessFixture fixture;
  fixture.SendCommand(model::CommandKind::kBegin);
  fixture.SendCommand(model::CommandKind::kRead);
  const ConnectionNumber connection = fixture.ConnectionOfOnlyRequest();
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  fixture.backends.OnAnswered(connection, reply, kStart);  // BEGIN
  fixture.backends.OnAnswered(connection, reply, kStart);  // READ
  fixture.rule.verdicts["p"] = access::access_level::deferred;
  fixture.rule.retry_after = kMillisecond;
  fixture.SendCommand(model::CommandKind::kCommit);
  fixture.outbox.Take();
  fixture.rule.verdicts.clear();
  fixture.backends.OnClosed(connection, kStart + kMillisecond);
  fixture.dispatcher.Tick(kStart + 2 * kMillisecond);
  std::size_t sent = 0;
  std::optional<model::Reply> answer;
  for (const Action& action : fixture.outbox.Take()) {
    sent += std::holds_alternative<SendRequests>(action) ? 1 : 0;
    if (const auto* answered = std::get_if<AnswerCaller>(&action)) {
      answer = answered->reply;
    }
  }
  CHECK(sent == 0);
  REQUIRE(answer);
  CHECK(answer->error == model::ErrorCode::kAborted);
}

}  // namespace valvekeel::proxy
