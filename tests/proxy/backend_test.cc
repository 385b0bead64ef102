#include "proxy/backend.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
constexpr Duration kUsualLatency{10'000};
constexpr Duration kQueuedLatency{60'000};
constexpr Urgency kMoreUrgent{2, Duration(200'000)};
constexpr Urgency kLessUrgent{2, Duration(400'000)};

Backend MakeBackend() {
  model::InstanceEntry entry;
  entry.id = "i";
  entry.slots = 2;
  return Backend(entry);
}

void RecordAnswers(Backend& backend, Duration latency, int times) {
  for (int i = 0; i < times; ++i) {
    backend.RecordLatency(latency);
  }
}

/// Gives a backend a connection on which a caller's statement is in flight.
void AddInFlight(Backend& backend, ConnectionNumber number) {
  Connection& connection = backend.Add(number, "", kStart);
  connection.open = true;
  connection.session = number;
  connection.outstanding.push_back({RequestPurpose::kStatement, kStart, 0});
}

}  // namespace

TEST_CASE("A congested instance is reserved for operations with a shorter target latency",
          "[proxy]") {
  // Guards against reads with a long target latency that use the slots of a congested instance:
  // with all replicas lagging, a primary gets 15 % more work than it has slots for, such reads of
  // 22 ms take a third of the slots, and most other operations miss their target latency.
  Backend backend = MakeBackend();
  RecordAnswers(backend, kUsualLatency, 100);
  backend.OnStarved(kMoreUrgent, kStart);
  CHECK_FALSE(backend.ReservedForMoreUrgent(kLessUrgent, kStart));
  RecordAnswers(backend, kQueuedLatency, 20);
  CHECK(backend.Congested());
  CHECK(backend.ReservedForMoreUrgent(kLessUrgent, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent(kMoreUrgent, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent({1, kLessUrgent.target_latency}, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent(kLessUrgent, kStart + Duration(200'000)));
}

TEST_CASE("An instance that is slow for a long time does not count as congested", "[proxy]") {
  Backend backend = MakeBackend();
  RecordAnswers(backend, kUsualLatency, 100);
  RecordAnswers(backend, kQueuedLatency, 20);
  CHECK(backend.Congested());
  RecordAnswers(backend, kQueuedLatency, 10'000);
  CHECK_FALSE(backend.Congested());
}

TEST_CASE("A congested instance gets one statement at a time", "[proxy]") {
  Backend backend = MakeBackend();
  RecordAnswers(backend, kUsualLatency, 100);
  AddInFlight(backend, 1);
  CHECK(backend.HasCapacity());
  RecordAnswers(backend, kQueuedLatency, 20);
  CHECK_FALSE(backend.HasCapacity());
}

}  // namespace valvekeel::proxy
