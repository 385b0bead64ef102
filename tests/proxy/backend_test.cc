#include "proxy/backend.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{100'000'000};
constexpr Duration kUsual{10'000};
constexpr Duration kQueued{60'000};
constexpr Urgency kImpatient{2, Duration(200'000)};
constexpr Urgency kPatient{2, Duration(400'000)};

Backend MakeBackend() {
  model::InstanceEntry entry;
  entry.id = "i";
  entry.slots = 2;
  return Backend(entry);
}

void Answer(Backend& backend, Duration latency, int times) {
  for (int i = 0; i < times; ++i) {
    backend.RecordLatency(latency);
  }
}

/// Gives a backend a connection on which a caller's statement is in flight.
void AddInFlight(Backend& backend, ConnectionNumber number) {
  Connection& connection = backend.Add(number, "", kStart);
  connection.open = true;
  connection.session = number;
  connection.outstanding.push_back({Purpose::kStatement, kStart, 0});
}

}  // namespace

TEST_CASE("A congested instance is left to operations with less time", "[proxy]") {
  // Found by trouble-1 of the new site: with all replicas behind, one primary had 15% more work
  // than it has slots for; patient reads of 22 ms took a third of them, and most others came late.
  Backend backend = MakeBackend();
  Answer(backend, kUsual, 100);
  backend.OnStarved(kImpatient, kStart);
  CHECK_FALSE(backend.ReservedForMoreUrgent(kPatient, kStart));
  Answer(backend, kQueued, 20);
  CHECK(backend.Congested());
  CHECK(backend.ReservedForMoreUrgent(kPatient, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent(kImpatient, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent({1, kPatient.target_latency}, kStart));
  CHECK_FALSE(backend.ReservedForMoreUrgent(kPatient, kStart + Duration(200'000)));
}

TEST_CASE("An instance that has been slow for long is not congested", "[proxy]") {
  Backend backend = MakeBackend();
  Answer(backend, kUsual, 100);
  Answer(backend, kQueued, 20);
  CHECK(backend.Congested());
  Answer(backend, kQueued, 10'000);
  CHECK_FALSE(backend.Congested());
}

TEST_CASE("A congested instance gets one statement at a time", "[proxy]") {
  Backend backend = MakeBackend();
  Answer(backend, kUsual, 100);
  AddInFlight(backend, 1);
  CHECK(backend.HasCapacity());
  Answer(backend, kQueued, 20);
  CHECK_FALSE(backend.HasCapacity());
}

}  // namespace valvekeel::proxy
