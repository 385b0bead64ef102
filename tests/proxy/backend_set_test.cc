#include "proxy/backend_set.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
constexpr Duration kLong{5'000'000};

class NoObserver : public ConnectionObserver {
 public:
  void OnAnswer(Backend&, Connection&, const Outstanding&, const model::Reply&, Instant) override {}
  void OnLost(Backend&, Connection&, Instant) override {}
  void OnCapacity(Instant) override {}
};

/// One instance with so many open connections.
struct BackendFixture {
  BackendFixture(std::size_t connections, bool watched) {
    backends.SetObserver(&observer);
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
        backends.Opened(open->connection, kStart);
      }
    }
  }

  std::size_t Count() { return backends.Find("i")->Connections().size(); }

  Outbox outbox;
  NoObserver observer;
  BackendSet backends{outbox};
};

}  // namespace

TEST_CASE("Connections that nobody uses are given up, but for one", "[proxy]") {
  // Found by incident inc-5424 of noms: for three seconds after all daemons had lost power, their
  // instances held their old connections and rejected the new ones.
  BackendFixture fixture(4, true);
  fixture.backends.Tick(kStart + Duration(1'000'000));
  CHECK(fixture.Count() == 4);
  fixture.backends.Tick(kStart + kLong);
  CHECK(fixture.Count() == 1);
}

TEST_CASE("An instance that is not watched keeps no connection", "[proxy]") {
  BackendFixture fixture(2, false);
  fixture.backends.Tick(kStart + kLong);
  CHECK(fixture.Count() == 0);
}

TEST_CASE("Without a limit no connection is opened", "[proxy]") {
  BackendFixture fixture(0, true);
  CHECK(fixture.Count() == 0);
}

}  // namespace valvekeel::proxy
