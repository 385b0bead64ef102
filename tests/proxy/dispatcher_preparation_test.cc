// Tests of what a connection's session state is taken to be after preparations that an instance
// refused.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using model::CommandKind;
using model::ErrorCode;
using model::TransactionState;

constexpr Instant kStart{10'000'000};

/// Codes with which an instance refuses a request without an effect.
const std::vector<ErrorCode> kRefusals = {ErrorCode::kReadOnly, ErrorCode::kBusy,
                                          ErrorCode::kAborted, ErrorCode::kLagging,
                                          ErrorCode::kWrongInstance};

/// A daemon with one connection to the primary "p", and one session.
struct PreparationFixture {
  PreparationFixture() {
    backends.SetObserver(&dispatcher);
    backends.SetConnectionLimit("ledger", 1, true);
    model::InstanceEntry entry;
    entry.id = "p";
    entry.service = "ledger";
    backends.SetEntry(entry, kStart);
    groups.SetRegistered(true);
    groups.Get("ledger", kStart).lease.Renew({3, "p", kStart});
    configuration.version = 1;
    configuration.services["ledger"].name = "ledger";
    model::Route& route = configuration.routes["orders"];
    route.database = "orders";
    route.service = "ledger";
    route.timeout = std::chrono::seconds(5);
    route.target_latency = std::chrono::seconds(4);
    dispatcher.SetConfiguration(&configuration, kStart);
    REQUIRE(backends.OpenFor("", *backends.Find("p"), kStart));
    Take();
    backends.OnOpened(connection, kStart);
    dispatcher.SessionStarted(1, "orders", {}, kStart);
    Take();
  }

  /// Collects the actions since the last call.
  void Take() {
    for (const Action& action : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        connection = open->connection;
      } else if (const auto* send = std::get_if<SendRequests>(&action)) {
        sent.insert(sent.end(), send->requests.begin(), send->requests.end());
      } else if (std::holds_alternative<CloseConnection>(action)) {
        closed = true;
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        answers.push_back(answer->reply);
      }
    }
  }

  void Command(CommandKind kind, const std::string& name = "", const std::string& text = "") {
    model::Command command;
    command.kind = kind;
    command.name = name;
    command.arguments = text;
    command.prepared = {false, text};
    dispatcher.CommandReceived(1, {"r" + std::to_string(++requests), command}, now);
    Take();
  }

  /// Answers the oldest outstanding request.
  void Answer(const model::Reply& reply) {
    REQUIRE_FALSE(sent.empty());
    sent.erase(sent.begin());
    backends.OnAnswered(connection, reply, now);
    Take();
  }
  void Succeed(TransactionState state) {
    model::Reply reply;
    reply.succeeded = true;
    reply.signature = "s";
    reply.state = state;
    Answer(reply);
  }
  void Refuse(ErrorCode error, TransactionState state) {
    model::Reply reply;
    reply.error = error;
    reply.state = state;
    Answer(reply);
  }

  /// Moves the time beyond the pauses of retries.
  void Wait() {
    now += Duration(100'000);
    groups.Get("ledger", kStart).lease.Renew({3, "p", now});
    dispatcher.Tick(now);
    Take();
  }

  /// @return the kind of the oldest outstanding request.
  CommandKind NextKind() {
    REQUIRE_FALSE(sent.empty());
    const auto* request = std::get_if<model::SessionRequest>(&sent.front());
    REQUIRE(request != nullptr);
    return request->command.kind;
  }

  ProxySettings settings;
  Outbox outbox;
  relay::role_map roles{"d", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  tenants::admission admission{settings.tenants};
  access::rule_set access;
  Dispatcher dispatcher{settings, backends, groups, admission, access, outbox};
  model::Configuration configuration;
  ConnectionNumber connection = 0;
  std::vector<model::InstanceRequest> sent;  // not answered yet
  std::vector<model::Reply> answers;
  bool closed = false;
  std::size_t requests = 0;
  Instant now = kStart;
};

}  // namespace

TEST_CASE("A value that an instance refused in a transaction is set again before the next read",
          "[proxy]") {
  // Guards against reads with another value than the one acknowledged to the caller.
  const ErrorCode refusal = GENERATE(from_range(kRefusals));
  PreparationFixture fixture;
  fixture.Command(CommandKind::kBegin);
  fixture.Command(CommandKind::kRead, "", "a");
  fixture.Succeed(TransactionState::kOpen);  // BEGIN
  fixture.Succeed(TransactionState::kOpen);
  fixture.Command(CommandKind::kSet, "zone", "second");
  fixture.Command(CommandKind::kRead, "", "a");
  REQUIRE(fixture.NextKind() == CommandKind::kSet);
  fixture.Refuse(refusal, TransactionState::kFailed);
  CHECK_FALSE(fixture.answers.back().succeeded);
  fixture.Command(CommandKind::kRollback);
  fixture.Succeed(TransactionState::kIdle);
  fixture.Wait();
  fixture.Command(CommandKind::kRead, "", "a");
  CHECK(fixture.NextKind() == CommandKind::kSet);
}

TEST_CASE("A name that an instance refused in a transaction is prepared again before its use",
          "[proxy]") {
  // Guards against an execution of a name that the instance does not know.
  const ErrorCode refusal = GENERATE(from_range(kRefusals));
  PreparationFixture fixture;
  fixture.Command(CommandKind::kPrepare, "s1", "shape");
  fixture.Command(CommandKind::kBegin);
  fixture.Command(CommandKind::kRead, "", "a");
  fixture.Succeed(TransactionState::kOpen);  // BEGIN
  fixture.Succeed(TransactionState::kOpen);
  fixture.Command(CommandKind::kExecute, "s1", "a");
  REQUIRE(fixture.NextKind() == CommandKind::kPrepare);
  fixture.Refuse(refusal, TransactionState::kFailed);
  fixture.Command(CommandKind::kRollback);
  fixture.Succeed(TransactionState::kIdle);
  fixture.Wait();
  fixture.Command(CommandKind::kExecute, "s1", "a");
  CHECK(fixture.NextKind() == CommandKind::kPrepare);
}

TEST_CASE("A preparation that an instance refused outside of a transaction is sent again",
          "[proxy]") {
  // Guards against session state that only the refused instance connection is thought to have.
  const ErrorCode refusal = GENERATE(from_range(kRefusals));
  PreparationFixture fixture;
  fixture.Command(CommandKind::kSet, "zone", "first");
  fixture.Command(CommandKind::kRead, "", "a");
  REQUIRE(fixture.NextKind() == CommandKind::kSet);
  fixture.Refuse(refusal, TransactionState::kIdle);
  fixture.Wait();
  CHECK(fixture.NextKind() == CommandKind::kSet);
}

TEST_CASE("Values stay noted as in force if the instance refuses to drop them", "[proxy]") {
  // Guards against a read of a session without values that runs with those of another one.
  PreparationFixture fixture;
  fixture.Command(CommandKind::kSet, "zone", "first");
  fixture.Command(CommandKind::kRead, "", "a");
  fixture.Succeed(TransactionState::kIdle);  // SET
  fixture.Succeed(TransactionState::kIdle);
  fixture.dispatcher.SessionClosed(1, fixture.now);
  fixture.dispatcher.SessionStarted(1, "orders", {}, fixture.now);
  const auto is_reset = [&] {
    const auto* control = std::get_if<model::ControlRequest>(&fixture.sent.front());
    return control != nullptr && control->kind == model::ControlKind::kResetSession;
  };
  fixture.Command(CommandKind::kRead, "", "a");
  REQUIRE(is_reset());
  fixture.Refuse(ErrorCode::kBusy, TransactionState::kIdle);
  fixture.Wait();
  CHECK(is_reset());
}

TEST_CASE("Names prepared after the values were dropped stay distinct", "[proxy]") {
  // Guards against an execution that runs another statement under a name given twice.
  PreparationFixture fixture;
  const auto execute = [&](const std::string& shape) {
    fixture.Command(CommandKind::kPrepare, "s1", shape);
    fixture.Command(CommandKind::kExecute, "s1", "a");
    std::string name;
    while (fixture.NextKind() != CommandKind::kExecute) {
      const auto& request = std::get<model::SessionRequest>(fixture.sent.front());
      name = request.command.kind == CommandKind::kPrepare ? request.command.name : name;
      fixture.Succeed(TransactionState::kIdle);
    }
    fixture.Succeed(TransactionState::kIdle);
    return name;
  };
  fixture.Command(CommandKind::kSet, "zone", "first");
  execute("one");
  execute("two");
  fixture.dispatcher.SessionClosed(1, fixture.now);
  fixture.dispatcher.SessionStarted(1, "orders", {}, fixture.now);
  fixture.Command(CommandKind::kPrepare, "s1", "three");
  fixture.Command(CommandKind::kExecute, "s1", "a");
  fixture.sent.erase(fixture.sent.begin());  // RESET
  model::Reply done;
  done.succeeded = true;
  fixture.backends.OnAnswered(fixture.connection, done, fixture.now);
  std::set<std::string> names;
  names.insert(std::get<model::SessionRequest>(fixture.sent.front()).command.name);
  fixture.Succeed(TransactionState::kIdle);
  fixture.Succeed(TransactionState::kIdle);
  for (const std::string shape : {"four", "five", "six"}) {
    names.insert(execute(shape));
  }
  CHECK(names.size() == 4);
}

TEST_CASE("A connection whose instance does not know a confirmed name is closed", "[proxy]") {
  // Guards against a connection that answers all later executions with an unknown name.
  PreparationFixture fixture;
  fixture.Command(CommandKind::kPrepare, "s1", "shape");
  fixture.Command(CommandKind::kExecute, "s1", "a");
  fixture.Succeed(TransactionState::kIdle);  // PARSE
  const std::size_t answered = fixture.answers.size();
  fixture.Refuse(ErrorCode::kUnknownStatement, TransactionState::kIdle);
  CHECK(fixture.closed);
  CHECK(fixture.answers.size() == answered);  // it runs elsewhere
}

}  // namespace valvekeel::proxy
