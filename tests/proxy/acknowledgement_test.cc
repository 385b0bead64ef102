// Tests of the commits that a daemon acknowledges to callers, and what it knows of the last one.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr Instant kStart{10'000'000};

/// A daemon with one connection to the primary "p" of term 3, and a lease of it from kStart.
struct WriterFixture {
  WriterFixture() {
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
    for (const Action& action : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        connection = open->connection;
      }
    }
    backends.OnOpened(connection, kStart);
    dispatcher.SessionStarted(1, "orders", {}, kStart);
  }

  void Send(model::CommandKind kind, Instant now) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k 1";
    dispatcher.CommandReceived(1, {"r" + std::to_string(++requests), command}, now);
    outbox.Take();
  }

  /// Answers the outstanding statement. @return the reply that the caller gets.
  model::Reply Answer(const Position& position, Instant now) {
    model::Reply reply;
    reply.succeeded = true;
    reply.signature = "s";
    reply.position = position;
    backends.OnAnswered(connection, reply, now);
    model::Reply received;
    for (const Action& action : outbox.Take()) {
      if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        received = answer->reply;
      }
    }
    return received;
  }

  group::AcknowledgedBounds Bounds() { return groups.Find("ledger")->acknowledged.Bounds(); }

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
  std::size_t requests = 0;
};

}  // namespace

TEST_CASE("A commit is not acknowledged once the lease of its term was released", "[proxy]") {
  // Guards against a loss of commits: the promoting daemon takes what this one has reported with
  // the release for its last acknowledgement.
  WriterFixture fixture;
  fixture.Send(model::CommandKind::kWrite, kStart);
  fixture.groups.ReleaseTermsBelow(*fixture.groups.Find("ledger"), 4);
  const model::Reply reply = fixture.Answer({3, 40}, kStart + Duration(1'000));
  CHECK_FALSE(reply.succeeded);
  CHECK(reply.error == model::ErrorCode::kInDoubt);
  CHECK(fixture.Bounds().at_least == Position{});
}

TEST_CASE("A commit is not acknowledged after the lease has lapsed", "[proxy]") {
  // Guards against a loss of commits: a daemon that the promoting one does not hear of would pass
  // on commits that a returned replica received.
  WriterFixture fixture;
  fixture.Send(model::CommandKind::kWrite, kStart + Duration(900'000));
  const model::Reply reply = fixture.Answer({3, 40}, kStart + group::kLeaseTime);
  CHECK(reply.error == model::ErrorCode::kInDoubt);
}

TEST_CASE("An acknowledged commit is after what was known before, and at the answer's position",
          "[proxy]") {
  WriterFixture fixture;
  CHECK_FALSE(fixture.groups.Find("ledger")->acknowledged.IsComplete());
  fixture.Send(model::CommandKind::kRead, kStart);
  CHECK(fixture.Answer({3, 38}, kStart).succeeded);
  // A read shows how far the log reaches; it acknowledges nothing.
  CHECK(fixture.Bounds() == group::AcknowledgedBounds{{}, {3, 38}, {3, 38}});
  CHECK(fixture.groups.Find("ledger")->acknowledged.IsComplete());
  fixture.Send(model::CommandKind::kWrite, kStart);
  CHECK(fixture.Answer({3, 41}, kStart).succeeded);
  CHECK(fixture.Bounds() == group::AcknowledgedBounds{{3, 39}, {3, 41}, {3, 41}});
}

}  // namespace valvekeel::proxy
