// Tests of sessions that begin before the daemon has a configuration.

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr SessionNumber kSession = 1;

/// A daemon that has just started, without a configuration.
struct StartFixture {
  StartFixture() {
    configuration.version = 1;
    configuration.services["ledger"].name = "ledger";
    model::Route& route = configuration.routes["orders"];
    route.database = "orders";
    route.service = "ledger";
  }

  void SendSet(const std::string& request) {
    model::Command command;
    command.kind = model::CommandKind::kSet;
    command.arguments = "name value";
    dispatcher.CommandReceived(kSession, {request, command}, kStart);
  }

  /// @return what the caller is sent since the last call: "accept", "answer" or "close".
  std::vector<std::string> Sent() {
    std::vector<std::string> sent;
    for (const Action& action : outbox.Take()) {
      if (std::holds_alternative<AcceptSession>(action)) {
        sent.emplace_back("accept");
      } else if (std::holds_alternative<AnswerCaller>(action)) {
        sent.emplace_back("answer");
      } else if (std::holds_alternative<CloseSession>(action)) {
        sent.emplace_back("close");
      }
    }
    return sent;
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
};

using Events = std::vector<std::string>;

}  // namespace

TEST_CASE("Commands sent before the first configuration are answered once it is there", "[proxy]") {
  StartFixture fixture;
  fixture.dispatcher.SessionStarted(kSession, "orders", {}, kStart);
  fixture.SendSet("r1");
  fixture.SendSet("r2");
  CHECK(fixture.Sent().empty());
  fixture.dispatcher.SetConfiguration(&fixture.configuration, kStart);
  CHECK(fixture.Sent() == Events{"accept", "answer", "answer"});
}

TEST_CASE(
    "A session of an unknown database with a command before the first configuration is closed",
    "[proxy]") {
  StartFixture fixture;
  fixture.dispatcher.SessionStarted(kSession, "elsewhere", {}, kStart);
  fixture.SendSet("r1");
  fixture.dispatcher.SetConfiguration(&fixture.configuration, kStart);
  CHECK(fixture.Sent() == Events{"close"});
}

TEST_CASE("A session that ends before the first configuration is forgotten", "[proxy]") {
  StartFixture fixture;
  fixture.dispatcher.SessionStarted(kSession, "orders", {}, kStart);
  fixture.SendSet("r1");
  fixture.dispatcher.SessionClosed(kSession, kStart);
  fixture.dispatcher.SetConfiguration(&fixture.configuration, kStart);
  CHECK(fixture.Sent().empty());
}

}  // namespace valvekeel::proxy
