// Tests of the dispatcher with the region rule.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "proxy/dispatcher.h"
#include "regions/region_rule.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr common::Duration kMillisecond{1'000};
constexpr SessionNumber kSession = 1;

/// A daemon with a primary "p" in region "north" and a replica "r" in "south", and a session of the
/// tenant "baker".
struct RegionsFixture {
  RegionsFixture() {
    settings.mechanisms.read_lease = false;
    settings.tenants.keys_required = true;
    access.add(rule);
    backends.SetObserver(&dispatcher);
    backends.SetConnectionLimit("ledger", 10, false);
    configuration.version = 1;
    configuration.services["ledger"].name = "ledger";
    configuration.tenants["baker"].name = "baker";
    configuration.tenants["baker"].keys = {tenants::digest_of("key")};
    model::Route route;
    route.database = "orders";
    route.service = "ledger";
    route.consistency = model::Consistency::kBoundedStaleness;
    route.max_staleness = std::chrono::seconds(2);
    route.timeout = std::chrono::seconds(1);
    route.target_latency = std::chrono::milliseconds(200);
    configuration.routes["orders"] = route;
    Configure();
    for (const std::string id : {"p", "r"}) {
      model::InstanceEntry entry;
      entry.id = id;
      entry.service = "ledger";
      entry.slots = 6;
      entry.primary = id == "p";
      entry.zone = id == "p" ? "n" : "s";
      backends.SetEntry(entry, kStart);
    }
    GroupState& group = groups.Get("ledger", kStart);
    group.lease.Renew({1, "p", kStart});
    group.history.Add({kStart, {1, 1}});
    dispatcher.SessionStarted(kSession, "orders", tenants::digest_of("key"), kStart);
    outbox.Take();
  }

  void Configure() {
    admission.set_configuration(configuration.version, configuration.tenants);
    policy.set_configuration(configuration);
    dispatcher.SetConfiguration(&configuration, kStart);
  }

  void LimitRegions(const std::vector<std::string>& of_route,
                    const std::vector<std::string>& of_tenant) {
    ++configuration.version;
    configuration.routes["orders"].allowed_regions = of_route;
    configuration.tenants["baker"].allowed_regions = of_tenant;
    Configure();
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

  void SendCommand(model::CommandKind kind) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    dispatcher.CommandReceived(kSession, {"r" + std::to_string(++requests), command}, kStart);
  }

  /// Opens the requested connections.
  /// @return the instance of the only request sent, empty if there was not exactly one.
  std::string InstanceOfOnlyRequest() {
    std::vector<SendRequests> sent;
    for (auto actions = outbox.Take(); !actions.empty(); actions = outbox.Take()) {
      for (const Action& action : actions) {
        if (const auto* opening = std::get_if<OpenConnection>(&action)) {
          instances[opening->connection] = opening->instance;
          backends.OnOpened(opening->connection, kStart);
        } else if (const auto* request = std::get_if<SendRequests>(&action)) {
          sent.push_back(*request);
        }
      }
    }
    connection = sent.empty() ? 0 : sent.front().connection;
    return sent.size() == 1 ? instances[connection] : "";
  }

  /// Opens a transaction with a read at the primary.
  void OpenTransaction() {
    SendCommand(model::CommandKind::kBegin);
    SendCommand(model::CommandKind::kRead);
    REQUIRE(InstanceOfOnlyRequest() == "p");
    model::Reply reply;
    reply.succeeded = true;
    reply.state = model::TransactionState::kOpen;
    backends.OnAnswered(connection, reply, kStart);  // BEGIN
    backends.OnAnswered(connection, reply, kStart);  // READ
    outbox.Take();
  }

  /// @return true if the actions end the transaction at its instance and send nothing else.
  bool EndsOnlyTransaction(const std::vector<Action>& actions) const {
    bool ends = false;
    for (const Action& action : actions) {
      if (const auto* closed = std::get_if<CloseConnection>(&action)) {
        ends = ends || closed->connection == connection;
      } else if (const auto* sent = std::get_if<SendRequests>(&action)) {
        const auto& request = std::get<model::SessionRequest>(sent->requests.front());
        const bool rollback = request.command.kind == model::CommandKind::kRollback;
        if (sent->requests.size() != 1 || !rollback) {
          return false;
        }
        ends = true;
      }
    }
    return ends;
  }

  ProxySettings settings;
  Outbox outbox;
  relay::role_map roles{"d", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  tenants::admission admission{settings.tenants};
  regions::region_policy policy{regions::region_directory({{"n", "north"}, {"s", "south"}})};
  regions::region_rule rule{policy};
  access::rule_set access;
  Dispatcher dispatcher{settings, backends, groups, admission, access, outbox};
  model::Configuration configuration;
  std::map<ConnectionNumber, std::string> instances;  // by connection
  ConnectionNumber connection = 0;                    // of the last request
  int requests = 0;
};

}  // namespace

TEST_CASE("A read goes to an instance in its tenant's region", "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.LimitRegions({}, {"north"});
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.InstanceOfOnlyRequest() == "p");
}

TEST_CASE("An operation is refused at once if its route and its tenant have no region in common",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.LimitRegions({"north"}, {"south"});
  fixture.SendCommand(model::CommandKind::kRead);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
  CHECK(answers.front().reply.error_text == "retry_after_ms=1000 outside its regions");
  CHECK(fixture.dispatcher.Counters().blocked.at(regions::OUTSIDE_REGIONS) == 1);
}

TEST_CASE("A write is refused at once if the primary is outside the tenant's regions",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.LimitRegions({}, {"south"});
  fixture.SendCommand(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const auto answers = fixture.ConsumeActions<AnswerCaller>();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().reply.error == model::ErrorCode::kBusy);
}

TEST_CASE("A write waits for a primary outside the route's region to be replaced",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.LimitRegions({"south"}, {});
  fixture.SendCommand(model::CommandKind::kWrite);
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.ConsumeActions<AnswerCaller>().empty());
  CHECK(fixture.ConsumeActions<SendRequests>().empty());
}

TEST_CASE("A transaction ends at its next statement if it is now outside its tenant's regions",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.OpenTransaction();
  fixture.LimitRegions({}, {"south"});
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.ConsumeActions<SendRequests>().empty());
  fixture.dispatcher.Tick(kStart + kMillisecond);
  const std::vector<Action> actions = fixture.outbox.Take();
  CHECK(fixture.EndsOnlyTransaction(actions));
  const auto answer = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
    return std::holds_alternative<AnswerCaller>(action);
  });
  REQUIRE(answer != actions.end());
  CHECK(std::get<AnswerCaller>(*answer).reply.error == model::ErrorCode::kAborted);
}

TEST_CASE("An idle transaction is rolled back if it is now outside its route's regions",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.OpenTransaction();
  fixture.LimitRegions({"south"}, {});
  fixture.dispatcher.Tick(kStart + kMillisecond);
  CHECK(fixture.EndsOnlyTransaction(fixture.outbox.Take()));
}

TEST_CASE("A transaction continues if the new regions still include its instance",
          "[proxy][regions]") {
  RegionsFixture fixture;
  fixture.OpenTransaction();
  fixture.LimitRegions({"north", "south"}, {"north"});
  fixture.SendCommand(model::CommandKind::kRead);
  CHECK(fixture.InstanceOfOnlyRequest() == "p");
}

}  // namespace valvekeel::proxy
