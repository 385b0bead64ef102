#include "proxy/backend_set.h"

#include <catch2/catch.hpp>
#include <vector>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
constexpr Duration kLong{5'000'000};

class NoOpObserver : public ConnectionObserver {
 public:
  void OnAnswer(Backend&, Connection&, const OutstandingRequest&, const model::Reply&,
                Instant) override {}
  void OnLost(Backend&, Connection&, Instant) override {}
  void OnCapacity(Instant) override {}
};

/// Counts the notifications about an instance's starts.
class CountingWarmUpObserver : public warm_up::warm_up_observer {
 public:
  void on_possible_restart(const model::InstanceEntry&, Instant) override { ++restarts; }
  void on_restart_ruled_out(const model::InstanceEntry&) override { ++same_lives; }
  void on_first_contact(const model::InstanceEntry&, Instant) override { ++contacts; }

  int restarts = 0;
  int same_lives = 0;
  int contacts = 0;
};

class CountingRestartObserver : public RestartObserver {
 public:
  void OnRestarted(const model::InstanceEntry&, Instant) override { ++count; }

  int count = 0;
};

/// One instance with a given number of open connections.
struct BackendFixture {
  BackendFixture(std::size_t connections, bool watched) {
    backends.SetObserver(&observer);
    backends.SetWarmUpObserver(&warm_up_observer);
    model::InstanceEntry entry;
    entry.id = "i";
    entry.service = "group";
    backends.SetEntry(entry, kStart);
    backends.SetConnectionLimit("group", connections, watched);
    for (std::size_t number = 0; number < connections; ++number) {
      backends.Open(*backends.Find("i"), kStart);
    }
    for (const Action& action : outbox.Take()) {
      if (const auto* open = std::get_if<OpenConnection>(&action)) {
        backends.OnOpened(open->connection, kStart);
      }
    }
  }

  /// Opens one more connection. @return its number.
  ConnectionNumber OpenOne(Instant now) {
    outbox.Take();
    backends.SetConnectionLimit("group", ConnectionCount() + 1);
    REQUIRE(backends.Open(*backends.Find("i"), now));
    const ConnectionNumber number = std::get<OpenConnection>(outbox.Take().back()).connection;
    backends.OnOpened(number, now);
    return number;
  }

  ConnectionNumber FirstConnection() { return backends.Find("i")->Connections().begin()->first; }

  std::size_t ConnectionCount() { return backends.Find("i")->Connections().size(); }

  Outbox outbox;
  NoOpObserver observer;
  CountingWarmUpObserver warm_up_observer;
  BackendSet backends{outbox};
};

}  // namespace

TEST_CASE("Idle connections are closed, except for one", "[proxy]") {
  // Guards against connections that outlive their daemons: after all daemons lose power, the
  // instances keep the old connections for three seconds and reject new ones.
  BackendFixture fixture(4, true);
  fixture.backends.Tick(kStart + Duration(600'000));
  CHECK(fixture.ConnectionCount() == 4);
  // With an idle limit of four seconds, three quarters of the connections that the instances accept
  // were held at the time of the power loss.
  fixture.backends.Tick(kStart + Duration(800'000));
  CHECK(fixture.ConnectionCount() == 1);
}

TEST_CASE("An instance that rejected a connection is retried after a short pause", "[proxy]") {
  // After a power loss the connections of earlier incarnations end one after another. A pause that
  // is longer than the time to the first end adds time without service.
  BackendFixture fixture(1, true);
  Backend& backend = *fixture.backends.Find("i");
  fixture.backends.SetConnectionLimit("group", 2);
  REQUIRE(fixture.backends.Open(backend, kStart));
  const Action opened = fixture.outbox.Take().back();
  fixture.backends.OnOpenFailed(std::get<OpenConnection>(opened).connection, OpenFailure::kRejected,
                                model::ErrorCode::kTooManyConnections, kStart);
  CHECK_FALSE(fixture.backends.Open(backend, kStart + Duration(50'000)));
  CHECK(fixture.backends.Open(backend, kStart + Duration(100'000)));
}

TEST_CASE("An instance that is not watched keeps no connection", "[proxy]") {
  BackendFixture fixture(2, false);
  fixture.backends.Tick(kStart + kLong);
  CHECK(fixture.ConnectionCount() == 0);
}

TEST_CASE("Without a limit no connection is opened", "[proxy]") {
  BackendFixture fixture(0, true);
  CHECK(fixture.ConnectionCount() == 0);
}

TEST_CASE("Where many daemons share an instance each opens one connection at a time", "[proxy]") {
  // Guards against a burst of handshakes: when all daemons restart, each queued statement would
  // open one more connection, and the handshakes would occupy the slots for seconds.
  BackendFixture fixture(1, true);
  fixture.backends.SetConnectionLimit("group", 10);
  Backend& backend = *fixture.backends.Find("i");
  const std::size_t waiting = 20;
  CHECK(fixture.backends.MayOpenFor(backend, waiting));
  REQUIRE(fixture.backends.Open(backend, kStart));
  CHECK(fixture.backends.MayOpenFor(backend, waiting));
  fixture.backends.SetMaxOpening(1);
  CHECK_FALSE(fixture.backends.MayOpenFor(backend, waiting));
}

TEST_CASE("Instances are found by service, also after they changed service or terminated",
          "[proxy]") {
  BackendFixture fixture(1, true);
  model::InstanceEntry other;
  other.id = "a";
  other.service = "group";
  fixture.backends.SetEntry(other, kStart);
  CHECK(fixture.backends.IdsOf("group") == std::vector<std::string>{"a", "i"});
  other.service = "elsewhere";
  fixture.backends.SetEntry(other, kStart);
  CHECK(fixture.backends.IdsOf("group") == std::vector<std::string>{"i"});
  CHECK(fixture.backends.IdsOf("elsewhere") == std::vector<std::string>{"a"});
  CHECK(fixture.backends.IdsOf("nobody").empty());
  fixture.backends.OnEntryRemoved("a", kStart);
  fixture.backends.SetConnectionLimit("elsewhere", 1, true);
  fixture.backends.Find("a")->OnOpenFailed(kStart + kLong, true);
  fixture.backends.Tick(kStart + 10 * kLong);
  CHECK(fixture.backends.IdsOf("elsewhere").empty());
}

TEST_CASE("The first connection to an instance is reported once", "[proxy][warm_up]") {
  BackendFixture fixture(3, true);
  CHECK(fixture.warm_up_observer.contacts == 1);
  CHECK(fixture.warm_up_observer.restarts == 0);
}

TEST_CASE("An instance that is reached again after a break may have restarted",
          "[proxy][warm_up]") {
  BackendFixture fixture(1, false);
  fixture.backends.OnClosed(fixture.FirstConnection(), kStart);
  CHECK(fixture.warm_up_observer.restarts == 0);
  fixture.OpenOne(kStart + Duration(50'000));
  CHECK(fixture.warm_up_observer.restarts == 1);
  fixture.OpenOne(kStart + Duration(60'000));
  CHECK(fixture.warm_up_observer.restarts == 1);
}

TEST_CASE("An instance that was unreachable for a while may have restarted", "[proxy][warm_up]") {
  BackendFixture fixture(1, false);
  fixture.backends.Close(*fixture.backends.Find("i"), fixture.FirstConnection());
  fixture.backends.SetConnectionLimit("group", 1);
  REQUIRE(fixture.backends.Open(*fixture.backends.Find("i"), kStart));
  fixture.backends.OnOpenFailed(fixture.FirstConnection(), OpenFailure::kRefused,
                                model::ErrorCode::kFailed, kStart);
  fixture.OpenOne(kStart + kLong);
  CHECK(fixture.warm_up_observer.restarts == 1);
}

TEST_CASE("A connection that outlives the break of another shows that there was no restart",
          "[proxy][warm_up]") {
  BackendFixture fixture(2, true);
  const Instant broken = kStart + kLong;
  const ConnectionNumber lost = fixture.FirstConnection();
  fixture.backends.OnClosed(lost, broken);
  fixture.OpenOne(broken);
  REQUIRE(fixture.warm_up_observer.restarts == 1);
  fixture.backends.QueueControlRequest(
      "i", {model::ControlKind::kStatus, 0}, [](const auto&, Instant) {}, broken);
  const ConnectionNumber asked = std::get<SendRequests>(fixture.outbox.Take().back()).connection;
  model::Reply reply;
  reply.succeeded = true;
  fixture.backends.OnAnswered(asked, reply, broken + Duration(1'000));
  CHECK(fixture.warm_up_observer.same_lives == 1);
}

TEST_CASE("A daemon that just closed its own connections suspects no restart", "[proxy][warm_up]") {
  BackendFixture fixture(1, false);
  fixture.backends.Close(*fixture.backends.Find("i"), fixture.FirstConnection());
  fixture.OpenOne(kStart + Duration(100'000));
  CHECK(fixture.warm_up_observer.contacts == 1);
  fixture.backends.Close(*fixture.backends.Find("i"), fixture.FirstConnection());
  fixture.OpenOne(kStart + kLong);
  CHECK(fixture.warm_up_observer.contacts == 2);
  CHECK(fixture.warm_up_observer.restarts == 0);
}

TEST_CASE("A restart under an id discards all state of the former incarnation", "[proxy]") {
  BackendFixture fixture(2, true);
  CountingRestartObserver restarts;
  fixture.backends.SetRestartObserver(&restarts);
  model::InstanceEntry entry = fixture.backends.Find("i")->Entry();
  entry.incarnation = 7;
  fixture.backends.SetEntry(entry, kStart);  // the first known incarnation is no restart
  REQUIRE(fixture.ConnectionCount() == 2);
  fixture.backends.Find("i")->status = model::InstanceStatus{};
  entry.incarnation = 8;
  fixture.backends.SetEntry(entry, kStart + kLong);
  CHECK(fixture.ConnectionCount() == 0);
  CHECK_FALSE(fixture.backends.Find("i")->status);
  CHECK(restarts.count == 1);
  fixture.backends.SetEntry(entry, kStart + kLong);
  CHECK(restarts.count == 1);
}

TEST_CASE("An instance whose address another instance answers at has that one as successor",
          "[proxy]") {
  BackendFixture fixture(1, true);
  model::InstanceEntry entry = fixture.backends.Find("i")->Entry();
  entry.id = "other";
  fixture.backends.SetEntry(entry, kStart);
  CHECK_FALSE(fixture.backends.HasSuccessor(*fixture.backends.Find("other")));
  fixture.outbox.Take();
  REQUIRE(fixture.backends.Open(*fixture.backends.Find("other"), kStart));
  const ConnectionNumber number = std::get<OpenConnection>(fixture.outbox.Take().back()).connection;
  fixture.backends.OnOpenFailed(number, OpenFailure::kRejected, model::ErrorCode::kWrongInstance,
                                kStart);
  CHECK(fixture.backends.HasSuccessor(*fixture.backends.Find("other")));
  CHECK_FALSE(fixture.backends.HasSuccessor(*fixture.backends.Find("i")));
}

TEST_CASE("A session learns that its transaction is lost when a silent instance is removed",
          "[proxy]") {
  // Guards against the end of a whole daemon: the next statement of such a transaction found no
  // instance, and the daemon crashed.
  class LossObserver : public NoOpObserver {
   public:
    void OnLost(Backend&, Connection& connection, Instant) override {
      lost_sessions.push_back(connection.session.value());
    }
    std::vector<SessionNumber> lost_sessions;
  };
  BackendFixture fixture(2, true);
  LossObserver observer;
  fixture.backends.SetObserver(&observer);
  Connection& used = fixture.backends.Find("i")->Connections().begin()->second;
  used.session = 7;
  used.state = model::TransactionState::kOpen;
  fixture.backends.OnEntryRemoved("i", kStart);
  fixture.backends.Find("i")->OnOpenFailed(kStart, true);
  fixture.backends.Tick(kStart + std::chrono::seconds(31));
  CHECK(fixture.backends.Find("i") == nullptr);
  CHECK(observer.lost_sessions == std::vector<SessionNumber>{7});
}

TEST_CASE("An instance that drains is known to do so from the last time it did not", "[proxy]") {
  // Guards against requests to a draining instance after its limit: a daemon that learned of it
  // late counted from then.
  BackendFixture fixture(1, true);
  model::InstanceEntry entry = fixture.backends.Find("i")->Entry();
  entry.draining = true;
  const Instant learned = kStart + kLong;
  fixture.backends.SetEntry(entry, learned, learned - Duration(1'500'000));
  CHECK(fixture.backends.Find("i")->draining_since == learned);
  CHECK(fixture.backends.Find("i")->leaving_since == learned - Duration(1'500'000));
  // An instance that drains when this daemon first lists it may have done so for any time.
  entry.id = "j";
  fixture.backends.SetEntry(entry, learned, learned);
  CHECK(fixture.backends.Find("j")->leaving_since == Instant(0));
}

}  // namespace valvekeel::proxy
