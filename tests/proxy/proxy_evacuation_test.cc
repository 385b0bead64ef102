// Tests of how a daemon learns of evacuated zones and what it sends to others.

#include <algorithm>
#include <catch2/catch.hpp>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using std::chrono::milliseconds;

constexpr Instant kStart{100'000'000};
const common::Endpoint kPeer{"10.0.0.2", 7440};

constexpr std::uint64_t kIncarnation = 7;

ProxySettings MakeSettings() {
  ProxySettings settings;
  settings.name = "self";
  settings.zone = "near";
  settings.incarnation = kIncarnation;
  settings.peer = {"10.0.0.1", 7440};
  settings.evacuation_limit = std::chrono::seconds(5);
  return settings;
}

/// A daemon with one peer, which receives all its messages. The test answers its reads of the
/// store.
struct EvacuationFixture {
  EvacuationFixture() { Advance(Duration(0)); }

  void Advance(Duration step) {
    now += step;
    proxy.Tick(now);
    CollectActions();
  }

  void CollectActions() {
    for (const Action& action : proxy.TakeActions()) {
      if (const auto* sent = std::get_if<SendPeerMessage>(&action);
          sent && sent->address == kPeer) {
        sent_messages.push_back(sent->message);
      }
      if (const auto* read = std::get_if<ReadCatalog>(&action);
          read && read->read.collection == model::Collection::kEvacuations) {
        reads.push_back(*read);
      }
      if (const auto* event = std::get_if<LogEvent>(&action)) {
        events.push_back(event->event);
      }
    }
  }

  /// Delivers a heartbeat of the other daemon with a view of this age.
  void ReceiveView(std::uint64_t revision, const std::vector<std::string>& zones, Duration age) {
    PeerMessage message;
    message.name = "other";
    message.zone = "near";
    message.incarnation = 1;
    message.sequence = ++sequence;
    message.interval = milliseconds(250);
    if (!sent_messages.empty()) {
      message.echoed = sent_messages.back().sequence;
      message.echoed_incarnation = kIncarnation;
    }
    message.evacuations = {revision, zones, age};
    proxy.PeerMessageReceived(kPeer, message, now);
    CollectActions();
  }

  /// Answers the newest read.
  void AnswerRead(metadata::ReadStatus status, const model::Revision& revision,
                  const std::vector<std::string>& zones) {
    metadata::ReadResult result;
    result.status = status;
    result.revision = revision;
    for (const std::string& zone : zones) {
      result.objects.push_back({zone, revision, false, model::ZoneEvacuation{zone}});
    }
    proxy.CatalogRead(reads.back().call, result, now);
    CollectActions();
  }

  bool Logged(const std::string& event) const {
    return std::find(events.begin(), events.end(), event) != events.end();
  }

  Instant now = kStart;
  std::vector<PeerMessage> sent_messages;
  std::vector<ReadCatalog> reads;
  std::vector<std::string> events;
  std::uint64_t sequence = 0;
  Proxy proxy{MakeSettings(), 1};
};

}  // namespace

TEST_CASE("A received view is dated by this daemon's own message and forwarded with its age",
          "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.ReceiveView(
      5, {},
      milliseconds(100));  // the peer has confirmed no message yet: the age has no reference
  CHECK_FALSE(fixture.proxy.Evacuations().has_view());
  REQUIRE_FALSE(fixture.sent_messages.empty());
  const Instant sent_at = fixture.now;
  fixture.now += milliseconds(60);
  fixture.ReceiveView(5, {"north"}, milliseconds(100));
  REQUIRE(fixture.proxy.Evacuations().has_view());
  CHECK(fixture.proxy.Evacuations().newest()->read_at == sent_at - milliseconds(100));
  CHECK(fixture.proxy.Evacuations().is_evacuated("north"));
  fixture.Advance(milliseconds(40));
  const evacuation::view_message& message = fixture.sent_messages.back().evacuations;
  CHECK(message.revision == 5);
  CHECK(message.zones == std::vector<std::string>{"north"});
  CHECK(message.age == milliseconds(200));
}

TEST_CASE("An evacuation and its end are sent at once", "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.ReceiveView(5, {}, Duration(0));
  fixture.ReceiveView(5, {}, Duration(0));
  fixture.Advance(milliseconds(10));
  const std::size_t before = fixture.sent_messages.size();
  fixture.Advance(milliseconds(10));
  REQUIRE(fixture.sent_messages.size() == before);  // no heartbeat is due
  fixture.ReceiveView(6, {"north"}, Duration(0));
  fixture.Advance(milliseconds(10));
  REQUIRE(fixture.sent_messages.size() == before + 1);
  CHECK(fixture.sent_messages.back().evacuations.zones.size() == 1);
  fixture.ReceiveView(7, {}, Duration(0));
  fixture.Advance(milliseconds(10));
  REQUIRE(fixture.sent_messages.size() == before + 2);
  CHECK(fixture.sent_messages.back().evacuations.zones.empty());
  CHECK(fixture.Logged("evacuation_known"));
  CHECK(fixture.Logged("evacuation_over"));
}

TEST_CASE("Evacuations are read by a list that is never stale", "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.proxy.SessionStarted(1, "orders", {}, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  REQUIRE(fixture.reads.size() == 1);
  CHECK_FALSE(fixture.reads.back().read.allow_stale);
  CHECK_FALSE(fixture.reads.back().read.after_revision);
  const Instant asked_at = fixture.now;
  fixture.now += milliseconds(5);
  fixture.AnswerRead(metadata::ReadStatus::kOk, 5, {"north"});
  REQUIRE(fixture.proxy.Evacuations().has_view());
  CHECK(fixture.proxy.Evacuations().newest()->read_at == asked_at);
}

TEST_CASE("A failed read of the store changes nothing", "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.proxy.SessionStarted(1, "orders", {}, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  REQUIRE(fixture.reads.size() == 1);
  const auto status = GENERATE(metadata::ReadStatus::kRefused, metadata::ReadStatus::kNoAnswer,
                               metadata::ReadStatus::kHistoryGone);
  fixture.AnswerRead(status, 9, {"north"});
  CHECK_FALSE(fixture.proxy.Evacuations().has_view());
  CHECK(fixture.Logged("evacuations_read_failed"));
  fixture.Advance(milliseconds(810));
  CHECK(fixture.reads.size() == 2);  // it reads again
}

TEST_CASE("Without an evacuation limit no evacuations are read", "[proxy][evacuation]") {
  ProxySettings settings;
  settings.name = "self";
  settings.peer = {"10.0.0.1", 7440};
  Proxy proxy(settings, 1);
  Instant now = kStart;
  proxy.SessionStarted(1, "orders", {}, {}, now);
  std::size_t reads = 0;
  for (int tick = 0; tick < 500; ++tick, now += milliseconds(10)) {
    proxy.Tick(now);
    for (const Action& action : proxy.TakeActions()) {
      const auto* read = std::get_if<ReadCatalog>(&action);
      const bool is_evacuation_read =
          read != nullptr && read->read.collection == model::Collection::kEvacuations;
      reads += is_evacuation_read ? 1 : 0;
    }
  }
  CHECK(reads == 0);
}

TEST_CASE("The evacuation view of a heartbeat is encoded and decoded unchanged",
          "[proxy][evacuation]") {
  PeerMessage message;
  message.evacuations = {12, {"north", "south"}, milliseconds(340)};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(common::IsOk(decoded));
  const evacuation::view_message& view = common::ValueOf(decoded).evacuations;
  CHECK(view.revision == 12);
  CHECK(view.zones == std::vector<std::string>{"north", "south"});
  CHECK(view.age == milliseconds(340));
  const auto without = DecodePeerMessage(EncodePeerMessage({}));
  REQUIRE(common::IsOk(without));
  CHECK_FALSE(common::ValueOf(without).evacuations.age);
}

TEST_CASE("A zone stays evacuated when the store returns from a copy without the evacuation",
          "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.proxy.SessionStarted(1, "orders", {}, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  fixture.AnswerRead(metadata::ReadStatus::kOk, {500, 1}, {"north"});
  REQUIRE(fixture.proxy.Evacuations().is_evacuated("north"));
  std::size_t answered = fixture.reads.size();
  const auto answer_next = [&](std::uint64_t number, const std::vector<std::string>& zones) {
    for (int step = 0; step < 500 && fixture.reads.size() == answered; ++step) {
      fixture.Advance(milliseconds(10));
    }
    REQUIRE(fixture.reads.size() == ++answered);
    fixture.AnswerRead(metadata::ReadStatus::kOk, {number, 2}, zones);
  };
  answer_next(440, {});
  CHECK(fixture.proxy.Evacuations().is_evacuated("north"));
  // It was written again, and is withdrawn at a revision below the one known before.
  fixture.Advance(std::chrono::seconds(3));
  answer_next(441, {"north"});
  CHECK(fixture.proxy.Evacuations().is_evacuated("north"));
  answer_next(442, {});
  CHECK_FALSE(fixture.proxy.Evacuations().is_evacuated("north"));
}

// Objects of another writer among the evacuations made each heartbeat larger than a datagram, so
// that the daemons counted each other as lost.
TEST_CASE("Evacuations of many unknown zones do not keep heartbeats from being sent",
          "[proxy][evacuation]") {
  constexpr std::size_t kMaxDatagram = 65'507;
  EvacuationFixture fixture;
  fixture.ReceiveView(1, {}, Duration(0));
  fixture.proxy.SessionStarted(1, "orders", {}, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  REQUIRE_FALSE(fixture.reads.empty());
  std::vector<std::string> zones = {"north"};
  for (int number = 0; number < 1'000; ++number) {
    zones.push_back(std::string(200, 'z') + std::to_string(number));
  }
  fixture.AnswerRead(metadata::ReadStatus::kOk, 5, zones);
  CHECK(fixture.proxy.Evacuations().is_evacuated("north"));
  const std::size_t before = fixture.sent_messages.size();
  fixture.Advance(std::chrono::seconds(1));
  REQUIRE(fixture.sent_messages.size() > before);
  CHECK(EncodePeerMessage(fixture.sent_messages.back()).size() <= kMaxDatagram);
  CHECK_FALSE(fixture.sent_messages.back().evacuations.age);  // the peer reads the store itself
}

TEST_CASE("An evacuation with a name that no zone has is logged and not applied",
          "[proxy][evacuation]") {
  EvacuationFixture fixture;
  fixture.proxy.SessionStarted(1, "orders", {}, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  REQUIRE_FALSE(fixture.reads.empty());
  fixture.AnswerRead(metadata::ReadStatus::kOk, 5, {"north", std::string(100'000, 'z')});
  REQUIRE(fixture.proxy.Evacuations().has_view());
  CHECK(fixture.proxy.Evacuations().newest()->zones.size() == 1);
  CHECK(fixture.Logged("evacuations_unusable"));
}

}  // namespace valvekeel::proxy
