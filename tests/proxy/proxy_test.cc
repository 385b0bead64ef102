#include "proxy/proxy.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
const common::Endpoint kPeer{"10.0.0.2", 7440};

ProxySettings MakeSettings() {
  ProxySettings settings;
  settings.name = "self";
  settings.zone = "near";
  settings.incarnation = 7;
  settings.peer = {"10.0.0.1", 7440};
  return settings;
}

PeerMessage MessageOf(std::uint64_t incarnation, std::uint64_t sequence) {
  PeerMessage message;
  message.name = "other";
  message.zone = "near";
  message.incarnation = incarnation;
  message.sequence = sequence;
  message.interval = Duration(250'000);
  return message;
}

std::size_t HeartbeatsTo(const common::Endpoint& peer, const std::vector<Action>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [&](const Action& action) {
        const auto* sent = std::get_if<SendPeerMessage>(&action);
        return sent != nullptr && sent->address == peer;
      }));
}

}  // namespace

TEST_CASE("The first message of a started daemon is answered at once", "[proxy]") {
  // After a loss of power the last daemon to restart must not wait up to a second for the
  // primaries, until the next message to its unresponsive address is due.
  Proxy proxy(MakeSettings(), 1);
  proxy.Tick(kStart);
  proxy.TakeActions();
  proxy.PeerMessageReceived(kPeer, MessageOf(1, 1), kStart + Duration(1'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 1);
  proxy.PeerMessageReceived(kPeer, MessageOf(1, 2), kStart + Duration(2'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 0);
  proxy.PeerMessageReceived(kPeer, MessageOf(2, 1), kStart + Duration(3'000));
  CHECK(HeartbeatsTo(kPeer, proxy.TakeActions()) == 1);
}

namespace {

/// A single daemon with one service; answers its calls to the store.
struct SingleDaemon {
  explicit SingleDaemon(Duration warm_up_time) : proxy(MakeSettings(), 1) {
    configuration.version = 1;
    model::Service& service = configuration.services["ledger"];
    service.name = "ledger";
    service.max_connections = 30;
    service.warm_up = {warm_up_time, 8};
    entry.id = "a";
    entry.service = "ledger";
  }

  /// Advances the time. Every call to the store is answered at once, every connection opens.
  void Run(Duration time) {
    for (const Instant end = now + time; now < end; now += kTick) {
      proxy.Tick(now);
      for (const Action& action : proxy.TakeActions()) {
        if (const auto* read = std::get_if<ReadCatalog>(&action)) {
          AnswerRead(*read);
        } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
          proxy.ConnectionOpened(open->connection, now);
          connection = open->connection;
        }
      }
    }
  }

  void AnswerRead(const ReadCatalog& read) {
    if (read.read.collection == model::Collection::kInstances) {
      const bool list = !read.read.after_revision;
      lists += list ? 1 : 0;
      fresh_lists += list && !read.read.allow_stale ? 1 : 0;
    }
    if (read.read.after_revision) {
      return;  // nothing changes
    }
    metadata::ReadResult result{metadata::ReadStatus::kOk, 5, {}};
    if (read.read.collection == model::Collection::kConfiguration) {
      result.objects.push_back({"main", 2, false, configuration});
    } else if (read.read.collection == model::Collection::kInstances) {
      result.objects.push_back({"a", 3, false, entry});
    }
    proxy.CatalogRead(read.call, result, now);
  }

  Proxy proxy;
  model::Configuration configuration;
  model::InstanceEntry entry;
  Instant now = kStart;
  ConnectionNumber connection = 0;
  int lists = 0;
  int fresh_lists = 0;
};

}  // namespace

TEST_CASE("A starting daemon soon counts warm instances as warm", "[proxy][warm_up]") {
  SingleDaemon daemon(Duration(6'000'000));
  daemon.Run(Duration(2'300'000));  // connections open after the others' first heartbeats
  REQUIRE(daemon.connection != 0);
  CHECK(daemon.proxy.ColdInstances() == 0);
  daemon.Run(Duration(2'000'000));
  CHECK(daemon.proxy.ColdInstances() == 0);
}

TEST_CASE("A starting daemon recognizes a cold instance by its entry", "[proxy][warm_up]") {
  SingleDaemon daemon(Duration(6'000'000));
  daemon.entry.warm_up_left = Duration(4'000'000);
  daemon.Run(Duration(3'000'000));
  CHECK(daemon.proxy.ColdInstances() == 1);
  daemon.Run(Duration(1'500'000));
  CHECK(daemon.proxy.ColdInstances() == 0);
}

TEST_CASE("An instance whose only connection broke counts as cold for the whole warm-up time",
          "[proxy][warm_up]") {
  SingleDaemon daemon(Duration(6'000'000));
  daemon.Run(Duration(4'000'000));
  REQUIRE(daemon.connection != 0);
  daemon.proxy.ConnectionClosed(daemon.connection, daemon.now);
  daemon.Run(Duration(5'900'000));
  CHECK(daemon.proxy.ColdInstances() == 1);
  daemon.Run(Duration(500'000));
  CHECK(daemon.proxy.ColdInstances() == 0);
}

TEST_CASE("Without a warm-up instances are listed again only for group members and none is cold",
          "[proxy][warm_up]") {
  SingleDaemon daemon(Duration(0));
  daemon.entry.warm_up_left = Duration(4'000'000);
  daemon.Run(Duration(3'000'000));
  daemon.proxy.ConnectionClosed(daemon.connection, daemon.now);
  daemon.Run(Duration(1'000'000));
  CHECK(daemon.lists == 2);
  CHECK(daemon.fresh_lists == 1);
  CHECK(daemon.proxy.ColdInstances() == 0);
}

namespace {

/// Answers all lists and watches from an empty store of an era.
/// @return the call by which the daemon wrote its entry, if it did.
std::optional<CallNumber> AnswerCalls(Proxy& proxy, std::uint64_t era, Instant now) {
  std::optional<CallNumber> registered;
  for (const Action& action : proxy.TakeActions()) {
    if (const auto* read = std::get_if<ReadCatalog>(&action)) {
      proxy.CatalogRead(read->call, {metadata::ReadStatus::kOk, {10, era}, {}}, now);
    }
    if (const auto* write = std::get_if<WriteDaemonEntry>(&action)) {
      registered = write->call;
    }
  }
  return registered;
}

/// @return the call by which the daemon wrote its entry within a second, if it did.
std::optional<CallNumber> Registration(Proxy& proxy, std::uint64_t era, Instant& now) {
  for (int step = 0; step < 100; ++step) {
    now += Duration(10'000);
    proxy.Tick(now);
    if (const auto call = AnswerCalls(proxy, era, now)) {
      return call;
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("A daemon registers again if its entry may be lost with the store's history", "[proxy]") {
  // A store restored from an older copy no longer lists a daemon that registered after the copy.
  // The daemon still holds leases, and without its entry no promotion waits for them.
  Proxy proxy(MakeSettings(), 1);
  Instant now = kStart;
  const auto first = Registration(proxy, 1, now);
  REQUIRE(first);
  proxy.DaemonWritten(*first, true, now);
  CHECK_FALSE(Registration(proxy, 1, now));
  CHECK(Registration(proxy, 2, now));
}

}  // namespace valvekeel::proxy
