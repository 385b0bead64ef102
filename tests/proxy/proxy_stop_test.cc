// Tests of a daemon's planned stop, as its callers observe it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
constexpr Duration kMillisecond{1'000};
/// Longer than any test: nothing times out.
constexpr std::chrono::minutes kNoTimeout{10};

/// A single daemon with a service of one instance and a service without instances. The store
/// answers at once. The instance reports that it is the primary and leaves statements running.
struct StoppingDaemon {
  explicit StoppingDaemon(bool has_store = true) : proxy(MakeSettings(), 1), has_store(has_store) {
    configuration.version = 1;
    for (const std::string name : {"ledger", "vacant"}) {
      configuration.services[name].name = name;
      configuration.services[name].max_connections = 30;
      model::Route& route = configuration.routes[name];
      route.database = name;
      route.service = name;
      route.timeout = kNoTimeout;
      route.target_latency = kNoTimeout;
    }
    entry.id = "a";
    entry.service = "ledger";
    entry.slots = 100;
    entry.primary = true;
    Run(3'000 * kMillisecond);
  }

  static ProxySettings MakeSettings() {
    ProxySettings settings;
    settings.name = "self";
    settings.zone = "near";
    settings.incarnation = 7;
    settings.peer = {"10.0.0.1", 7440};
    settings.mechanisms.read_lease = false;
    return settings;
  }

  void Run(Duration time) {
    for (const Instant end = now + time; now < end; now += kTick) {
      proxy.Tick(now);
      TakeActions();
    }
  }

  void TakeActions() {
    for (auto actions = proxy.TakeActions(); !actions.empty(); actions = proxy.TakeActions()) {
      for (const Action& action : actions) {
        if (const auto* read = std::get_if<ReadCatalog>(&action)) {
          AnswerRead(*read);
        } else if (const auto* leadership = std::get_if<ReadLeadership>(&action)) {
          // Nothing was ever replaced.
          proxy.LeadershipRead(leadership->call, model::LeadershipRecord{}, 0, now);
        } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
          if (!refuses_connections) {
            proxy.ConnectionOpened(open->connection, now);
          }
        } else if (const auto* sent = std::get_if<SendRequests>(&action)) {
          TakeRequests(*sent);
        } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
          answers[answer->session].push_back(answer->reply);
        } else if (const auto* accepted = std::get_if<AcceptSession>(&action)) {
          closes.erase(accepted->session);
        } else if (const auto* end = std::get_if<CloseSession>(&action)) {
          closes[end->session] = *end;
          closed_twice += closed_sessions.insert(end->session).second ? 0 : 1;
        }
        const bool is_for_caller = std::holds_alternative<AnswerCaller>(action) ||
                                   std::holds_alternative<CloseSession>(action);
        actions_after_exit += is_for_caller ? exits : 0;
        exits += std::holds_alternative<Exit>(action) ? 1 : 0;
      }
    }
  }

  void TakeRequests(const SendRequests& sent) {
    for (const model::InstanceRequest& request : sent.requests) {
      if (const auto* statement = std::get_if<model::SessionRequest>(&request)) {
        running[statement->request_id] = sent.connection;
        continue;
      }
      model::Reply reply;
      reply.succeeded = true;
      reply.status = model::InstanceStatus{true, 1, {1, 1}};
      proxy.InstanceAnswered(sent.connection, reply, now);
    }
  }

  void AnswerRead(const ReadCatalog& read) {
    if (read.read.after_revision || !has_store) {
      return;  // nothing changes, or the store does not answer
    }
    metadata::ReadResult result{metadata::ReadStatus::kOk, 5, {}};
    if (read.read.collection == model::Collection::kConfiguration) {
      result.objects.push_back({"main", 2, false, configuration});
    } else if (read.read.collection == model::Collection::kInstances) {
      result.objects.push_back({"a", 3, false, entry});
    }
    proxy.CatalogRead(read.call, result, now);
  }

  void StartSession(SessionNumber session, const std::string& database = "ledger") {
    proxy.SessionStarted(session, database, {}, {}, now);
    TakeActions();
  }

  void SendCommand(SessionNumber session, model::CommandKind kind, const std::string& id) {
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    proxy.CommandReceived(session, {id, command}, now);
    TakeActions();
  }

  /// Answers a statement as the instance.
  void AnswerStatement(const std::string& id, model::TransactionState state) {
    model::Reply reply;
    reply.succeeded = true;
    reply.state = state;
    proxy.InstanceAnswered(running.at(id), reply, now);
    TakeActions();
  }

  void Stop() {
    proxy.Stop(now);
    TakeActions();
  }

  /// @return the error codes of the session's failed commands.
  std::vector<model::ErrorCode> Refusals(SessionNumber session) {
    std::vector<model::ErrorCode> codes;
    for (const model::Reply& reply : answers[session]) {
      if (!reply.succeeded) {
        codes.push_back(reply.error);
      }
    }
    return codes;
  }

  Proxy proxy;
  bool has_store;
  model::Configuration configuration;
  model::InstanceEntry entry;
  Instant now = kStart;
  std::map<SessionNumber, std::vector<model::Reply>> answers;
  std::map<SessionNumber, CloseSession> closes;
  std::set<SessionNumber> closed_sessions;
  int closed_twice = 0;
  std::map<std::string, ConnectionNumber> running;  // by request id
  bool refuses_connections = false;                 // connections stay opening for ever
  int exits = 0;
  int actions_after_exit = 0;  // actions for callers emitted after Exit, too late to be carried out
};

using Codes = std::vector<model::ErrorCode>;

}  // namespace

TEST_CASE("Each command cut off by a forced exit gets an error that says whether it ran",
          "[proxy][stop]") {
  // 0.9 s before the process is killed a daemon exits, whatever is in progress. If it closes its
  // callers' connections without an error, no caller can know whether to retry.
  StoppingDaemon daemon;
  daemon.StartSession(1);
  daemon.StartSession(2);
  daemon.StartSession(3);
  daemon.StartSession(4, "vacant");
  daemon.StartSession(5);
  daemon.SendCommand(1, model::CommandKind::kWrite, "write");
  daemon.SendCommand(1, model::CommandKind::kWrite, "behind it");
  daemon.SendCommand(2, model::CommandKind::kRead, "read");
  for (const SessionNumber session : {3, 5}) {
    const std::string number = std::to_string(session);
    daemon.SendCommand(session, model::CommandKind::kBegin, "begin " + number);
    daemon.SendCommand(session, model::CommandKind::kWrite, "first " + number);
    daemon.Run(10 * kMillisecond);
    daemon.AnswerStatement("begin " + number, model::TransactionState::kOpen);
    daemon.AnswerStatement("first " + number, model::TransactionState::kOpen);
  }
  daemon.SendCommand(3, model::CommandKind::kWrite, "second");
  daemon.SendCommand(5, model::CommandKind::kCommit, "commit");
  daemon.SendCommand(4, model::CommandKind::kWrite, "waits");
  daemon.Run(100 * kMillisecond);
  REQUIRE(daemon.running.contains("write"));
  REQUIRE(daemon.running.contains("read"));
  REQUIRE(daemon.running.contains("second"));
  REQUIRE(daemon.running.contains("commit"));
  REQUIRE_FALSE(daemon.running.contains("waits"));
  daemon.Stop();
  daemon.Run(5'050 * kMillisecond);
  REQUIRE(daemon.exits == 0);
  CHECK(daemon.closes.empty());
  daemon.Run(100 * kMillisecond);
  REQUIRE(daemon.exits == 1);

  CHECK(daemon.Refusals(1) == Codes{model::ErrorCode::kInDoubt, model::ErrorCode::kBusy});
  CHECK(daemon.Refusals(2) == Codes{model::ErrorCode::kTimeout});
  CHECK(daemon.Refusals(3) == Codes{model::ErrorCode::kAborted});
  CHECK(daemon.Refusals(4) == Codes{model::ErrorCode::kBusy});
  CHECK(daemon.Refusals(5) == Codes{model::ErrorCode::kInDoubt});
  for (const SessionNumber session : {1, 4}) {
    const auto& session_answers = daemon.answers[session];
    const bool not_run =
        !session_answers.empty() &&
        session_answers.back().error_text == "retry_after_ms=250 not run: the daemon stops";
    CHECK(not_run);
  }
  CHECK(daemon.closes.size() == 5);
  CHECK_FALSE(daemon.running.contains("behind it"));
  CHECK_FALSE(daemon.running.contains("waits"));
  CHECK(daemon.actions_after_exit == 0);
  CHECK(daemon.closed_twice == 0);
}

TEST_CASE("A session that begins while a daemon closes is either served or rejected",
          "[proxy][stop]") {
  // From 2.3 s after the stop signal a daemon ends idle sessions and still accepts new ones. If the
  // next tick, at most 10 ms later, ends a new session as idle, its first command crosses the
  // close: it is never read, and the caller can't know.
  StoppingDaemon daemon;
  daemon.StartSession(1);
  daemon.SendCommand(1, model::CommandKind::kWrite, "long");  // keeps the daemon from exiting
  daemon.Run(10 * kMillisecond);
  REQUIRE(daemon.running.contains("long"));
  daemon.Stop();
  daemon.Run(2'400 * kMillisecond);

  daemon.StartSession(2);
  daemon.StartSession(3);
  daemon.Run(60 * kMillisecond);  // until the caller's first command arrives
  CHECK(daemon.closes.empty());
  daemon.SendCommand(2, model::CommandKind::kSet, "first");
  CHECK(daemon.answers[2].size() == 1);
  daemon.Run(10 * kMillisecond);
  CHECK(daemon.closes.contains(2));
  CHECK_FALSE(daemon.closes.contains(3));
  daemon.Run(50 * kMillisecond);
  CHECK(daemon.closes.contains(3));  // its caller sends nothing
  CHECK_FALSE(daemon.closes[3].with_error);

  // Too late for a first command before the daemon waits only for last answers, and from then on
  // until it exits.
  for (const SessionNumber session : {4, 5}) {
    daemon.Run(400 * kMillisecond);
    daemon.StartSession(session);
    REQUIRE(daemon.closes.contains(session));
    CHECK(daemon.closes[session].with_error);
    CHECK(daemon.closes[session].error == model::ErrorCode::kBusy);
    CHECK(daemon.closes[session].error_text == "retry_after_ms=250 the daemon stops");
  }
  REQUIRE(daemon.exits == 0);
  daemon.AnswerStatement("long", model::TransactionState::kIdle);
  daemon.Run(20 * kMillisecond);
  CHECK(daemon.exits == 1);
}

TEST_CASE("A session that waits for a configuration gets an error at the stop", "[proxy][stop]") {
  // A session that waits for a configuration must not be closed without an error as if it were
  // idle.
  StoppingDaemon daemon(false);
  daemon.Stop();
  daemon.Run(2'000 * kMillisecond);
  daemon.StartSession(1);
  daemon.SendCommand(1, model::CommandKind::kWrite, "queued");
  daemon.Run(500 * kMillisecond);
  REQUIRE(daemon.closes.contains(1));
  CHECK(daemon.closes[1].with_error);
  CHECK(daemon.closes[1].error == model::ErrorCode::kBusy);
  CHECK(daemon.closes[1].error_text == "retry_after_ms=250 the daemon stops");
}

TEST_CASE("A statement that was sent once is not reported as not run", "[proxy][stop]") {
  // The first statement of a transaction is sent again, even a write: it may have been running.
  StoppingDaemon daemon;
  daemon.StartSession(1);
  daemon.SendCommand(1, model::CommandKind::kBegin, "begin");
  daemon.SendCommand(1, model::CommandKind::kWrite, "first");
  daemon.Run(10 * kMillisecond);
  daemon.AnswerStatement("begin", model::TransactionState::kOpen);
  REQUIRE(daemon.running.contains("first"));
  daemon.entry.primary = false;  // there is no primary: it can't be sent again
  daemon.proxy.ConnectionClosed(daemon.running.at("first"), daemon.now);
  daemon.refuses_connections = true;
  daemon.TakeActions();
  daemon.Run(10 * kMillisecond);
  REQUIRE(daemon.answers[1].size() == 1);
  daemon.Stop();
  daemon.Run(5'200 * kMillisecond);
  REQUIRE(daemon.exits == 1);
  REQUIRE(daemon.answers[1].size() == 2);
  CHECK(daemon.answers[1].back().error == model::ErrorCode::kBusy);
  CHECK(daemon.answers[1].back().error_text != "retry_after_ms=250 not run: the daemon stops");
}

TEST_CASE("Commands that were read together are all answered while a daemon closes",
          "[proxy][stop]") {
  // The answer to the first command ends the session, which is idle then; the second was read
  // together with the first.
  StoppingDaemon daemon;
  daemon.StartSession(1);
  daemon.SendCommand(1, model::CommandKind::kWrite, "long");  // keeps the daemon from exiting
  daemon.Run(10 * kMillisecond);
  daemon.Stop();
  daemon.Run(2'400 * kMillisecond);
  daemon.StartSession(2);
  model::Command set;
  set.kind = model::CommandKind::kSet;
  daemon.proxy.CommandReceived(2, {"first", set}, daemon.now);
  daemon.proxy.CommandReceived(2, {"second", set}, daemon.now);
  daemon.TakeActions();
  CHECK(daemon.answers[2].size() == 2);
}

}  // namespace valvekeel::proxy
