// Tests of the dispatcher with tenants: callers' keys, tenants of connections, rejected operations.

#include <catch2/catch.hpp>
#include <vector>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr common::Duration kMillisecond{1'000};
constexpr common::Duration kRevocationLimit{5'000'000};
constexpr SessionNumber kNorthSession = 1;
constexpr SessionNumber kSouthSession = 2;
const tenants::key_digest kNorthKey = tenants::digest_of("north-key");
const tenants::key_digest kSouthKey = tenants::digest_of("south-key");

tenants::tenant MakeTenant(const std::string& name, const tenants::key_digest& key) {
  tenants::tenant tenant;
  tenant.name = name;
  tenant.keys = {key};
  return tenant;
}

model::Configuration MakeConfiguration(std::uint64_t version) {
  model::Configuration configuration;
  configuration.version = version;
  configuration.services["ledger"] = {"ledger", 50, 1};
  for (const bool is_public : {false, true}) {
    model::Route route;
    route.database = is_public ? "open" : "orders";
    route.service = "ledger";
    route.timeout = std::chrono::seconds(1);
    route.target_latency = std::chrono::milliseconds(200);
    route.is_public = is_public;
    configuration.routes[route.database] = route;
  }
  return configuration;
}

model::Configuration BothTenants(std::uint64_t version) {
  model::Configuration configuration = MakeConfiguration(version);
  configuration.tenants["north"] = MakeTenant("north", kNorthKey);
  configuration.tenants["south"] = MakeTenant("south", kSouthKey);
  return configuration;
}

ProxySettings StrictSettings() {
  ProxySettings settings;
  settings.tenants.keys_required = true;
  settings.tenants.revocation_limit = kRevocationLimit;
  settings.mechanisms.read_lease = false;
  return settings;
}

/// A daemon with one instance and a limit of `connections`.
struct DispatcherFixture {
  explicit DispatcherFixture(std::size_t connections = 10) {
    backends.SetObserver(&dispatcher);
    backends.SetConnectionLimit("ledger", connections, false);
    model::InstanceEntry entry;
    entry.id = "i-1";
    entry.service = "ledger";
    entry.slots = 6;
    entry.primary = true;
    backends.SetEntry(entry, kStart);
    groups.Get("ledger", kStart).lease.Renew({1, "i-1", kStart});
    configuration = BothTenants(1);
    Configure(kStart);
    admission.proof().record_proof({1, kStart});
    outbox.Take();
  }

  void Configure(common::Instant now) {
    admission.set_configuration(configuration.version, configuration.tenants);
    dispatcher.SetConfiguration(&configuration, now);
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

  void SendCommand(SessionNumber session, model::CommandKind kind, common::Instant now) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    dispatcher.CommandReceived(session, {"r" + std::to_string(++requests), command}, now);
  }

  /// @return the error of the only answer, nothing if it succeeded or there was none.
  std::optional<model::ErrorCode> ErrorOfOnlyAnswer() {
    const auto answers = ConsumeActions<AnswerCaller>();
    if (answers.size() != 1 || answers.front().reply.succeeded) {
      return std::nullopt;
    }
    return answers.front().reply.error;
  }

  ProxySettings settings = StrictSettings();
  Outbox outbox;
  relay::role_map roles{"d", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  tenants::admission admission{settings.tenants};
  access::rule_set access;
  Dispatcher dispatcher{settings, backends, groups, admission, access, outbox};
  model::Configuration configuration;
  int requests = 0;
};

}  // namespace

TEST_CASE("A session without a known key is denied at its start", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", tenants::digest_of("guess"), kStart);
  const auto closed = fixture.ConsumeActions<CloseSession>();
  REQUIRE(closed.size() == 1);
  CHECK(closed.front().error == model::ErrorCode::kDenied);
  fixture.dispatcher.SessionStarted(kNorthSession, "open", tenants::digest_of("guess"), kStart);
  CHECK(fixture.ConsumeActions<AcceptSession>().size() == 1);
  fixture.dispatcher.SessionStarted(kSouthSession, "orders", kSouthKey, kStart);
  CHECK(fixture.ConsumeActions<AcceptSession>().size() == 1);
}

TEST_CASE("A revoked key is denied at the next operation", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.configuration.version = 2;
  fixture.configuration.tenants.erase("north");
  fixture.Configure(kStart);
  fixture.ConsumeActions<AnswerCaller>();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  CHECK(fixture.ErrorOfOnlyAnswer() == model::ErrorCode::kDenied);
}

TEST_CASE("The transaction of a revoked key is rolled back", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.SendCommand(kNorthSession, model::CommandKind::kBegin, kStart);
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  const auto opened = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(opened.size() == 1);
  fixture.backends.OnOpened(opened.front().connection, kStart);
  model::Reply reply;
  reply.succeeded = true;
  reply.state = model::TransactionState::kOpen;
  fixture.backends.OnAnswered(opened.front().connection, reply, kStart);  // BEGIN
  fixture.backends.OnAnswered(opened.front().connection, reply, kStart);  // READ
  fixture.configuration.version = 2;
  fixture.configuration.tenants.erase("north");
  fixture.Configure(kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kCommit, kStart);
  const std::vector<Action> actions = fixture.outbox.Take();
  bool rolled_back = false;
  std::optional<model::Reply> answer;
  for (const Action& action : actions) {
    if (const auto* sent = std::get_if<SendRequests>(&action)) {
      const auto& request = std::get<model::SessionRequest>(sent->requests.front());
      rolled_back = request.command.kind == model::CommandKind::kRollback;
    } else if (const auto* answered = std::get_if<AnswerCaller>(&action)) {
      answer = answered->reply;
    }
  }
  CHECK(rolled_back);
  REQUIRE(answer);
  CHECK(answer->error == model::ErrorCode::kDenied);
  CHECK(answer->state == model::TransactionState::kIdle);
}

TEST_CASE("A connection of one tenant never serves another", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.dispatcher.SessionStarted(kSouthSession, "orders", kSouthKey, kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  const auto opened = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(opened.size() == 1);
  CHECK(opened.front().tenant == "north");
  // South sends its command while that connection opens, and needs a connection of its own.
  fixture.SendCommand(kSouthSession, model::CommandKind::kRead, kStart);
  const auto of_south = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(of_south.size() == 1);
  CHECK(of_south.front().tenant == "south");
  fixture.backends.OnOpened(of_south.front().connection, kStart);
  const auto sent = fixture.ConsumeActions<SendRequests>();
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().connection == of_south.front().connection);
}

TEST_CASE("At the connection limit a free connection of another tenant is replaced",
          "[proxy][tenants]") {
  DispatcherFixture fixture(1);
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.dispatcher.SessionStarted(kSouthSession, "orders", kSouthKey, kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  const auto opened = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(opened.size() == 1);
  fixture.backends.OnOpened(opened.front().connection, kStart);
  // A busy connection is not replaced.
  fixture.SendCommand(kSouthSession, model::CommandKind::kRead, kStart);
  CHECK(fixture.ConsumeActions<OpenConnection>().empty());
  model::Reply reply;
  reply.succeeded = true;
  fixture.backends.OnAnswered(opened.front().connection, reply, kStart);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const std::vector<Action> actions = fixture.outbox.Take();
  std::size_t closed = 0;
  std::size_t of_south = 0;
  for (const Action& action : actions) {
    closed += std::holds_alternative<CloseConnection>(action) ? 1 : 0;
    const auto* open = std::get_if<OpenConnection>(&action);
    of_south += open != nullptr && open->tenant == "south" ? 1 : 0;
  }
  CHECK(closed == 1);
  CHECK(of_south == 1);
}

TEST_CASE("Only one connection is opened for one operation", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  CHECK(fixture.ConsumeActions<OpenConnection>().size() == 1);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConsumeActions<OpenConnection>().empty());
}

TEST_CASE("An operation without proof that its key is in force is refused with a retry-after time",
          "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart + kRevocationLimit);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
  CHECK(answers.front().reply.error_text.find("retry_after_ms=") == 0);
  fixture.admission.proof().record_proof({1, kStart + kRevocationLimit});
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart + kRevocationLimit);
  CHECK(fixture.ConsumeActions<OpenConnection>().size() == 1);
}

TEST_CASE("A queued operation whose key is revoked does not run", "[proxy][tenants]") {
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.outbox.Take();
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  const auto opened = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(opened.size() == 1);
  fixture.configuration.version = 2;
  fixture.configuration.tenants.erase("north");
  fixture.Configure(kStart);
  fixture.backends.OnOpened(opened.front().connection, kStart);
  CHECK(fixture.ConsumeActions<SendRequests>().empty());
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ErrorOfOnlyAnswer() == model::ErrorCode::kDenied);
}

TEST_CASE("A connection is free again after its BEGIN was refused at the last attempt", "[proxy]") {
  constexpr int kMostAnswers = 40;  // an operation is tried 30 times
  DispatcherFixture fixture;
  fixture.dispatcher.SessionStarted(kNorthSession, "orders", kNorthKey, kStart);
  fixture.SendCommand(kNorthSession, model::CommandKind::kBegin, kStart);
  fixture.SendCommand(kNorthSession, model::CommandKind::kRead, kStart);
  const auto opened = fixture.ConsumeActions<OpenConnection>();
  REQUIRE(opened.size() == 1);
  const ConnectionNumber number = opened.front().connection;
  fixture.backends.OnOpened(number, kStart);
  model::Reply lagging;
  lagging.error = model::ErrorCode::kLagging;
  int answered = 0;
  for (; answered < kMostAnswers && fixture.ConsumeActions<AnswerCaller>().empty(); ++answered) {
    fixture.backends.OnAnswered(number, lagging, kStart);
  }
  REQUIRE(answered < kMostAnswers);
  const Connection* connection = fixture.backends.FindConnection(number);
  REQUIRE(connection != nullptr);
  CHECK_FALSE(connection->session);
}

}  // namespace valvekeel::proxy
