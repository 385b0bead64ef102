#include "monitor/replay_predictor.h"

#include <catch2/catch.hpp>

namespace valvekeel::monitor {
namespace {

using common::Duration;
using common::Instant;

}  // namespace

TEST_CASE("A replica with a steady lag is predicted within the probe interval", "[monitor]") {
  ReplayPredictor predictor;
  // One byte of log a millisecond; replay is 40 ms behind receipt; probes every 5 ms.
  for (std::int64_t ms = 0; ms <= 400; ms += 5) {
    const auto received = static_cast<common::Lsn>(ms);
    const auto replayed = static_cast<common::Lsn>(ms > 40 ? ms - 40 : 0);
    predictor.RecordObservation({true, 1, received, replayed}, std::chrono::milliseconds(ms));
  }
  CHECK(predictor.HasReplayed({1, 360}));
  CHECK_FALSE(predictor.HasReplayed({1, 361}));
  const auto wait = predictor.PredictWait({1, 400}, std::chrono::milliseconds(400));
  REQUIRE(wait);
  CHECK(*wait >= Duration{30'000});
  CHECK(*wait <= Duration{45'000});
}

TEST_CASE("Coarse probes do not make a replica look further behind than is certain", "[monitor]") {
  // Found by the demo: probes 250 ms apart made replicas 20 ms behind look 250 ms behind, so reads
  // went to the primary (replica share 94.9%).
  ReplayPredictor predictor;
  for (std::int64_t ms = 0; ms <= 2000; ms += 250) {
    const auto received = static_cast<common::Lsn>(ms);
    const auto replayed = static_cast<common::Lsn>(ms > 20 ? ms - 20 : 0);
    predictor.RecordObservation({true, 1, received, replayed}, std::chrono::milliseconds(ms));
  }
  CHECK(predictor.ReplayLag() <= Duration{20'000});
  CHECK(predictor.Staleness(std::chrono::milliseconds(2000)) >= Duration{20'000});
}

TEST_CASE("A position of a later term cannot be predicted", "[monitor]") {
  ReplayPredictor predictor;
  CHECK_FALSE(predictor.PredictWait({1, 1}, Instant{0}));
  predictor.RecordObservation({true, 1, 100, 100}, Instant{0});
  CHECK_FALSE(predictor.PredictWait({2, 50}, Instant{0}));
  CHECK_FALSE(predictor.HasReplayed({2, 50}));
  predictor.RecordObservation({true, 2, 100, 100}, Instant{1});
  CHECK(predictor.HasReplayed({1, 50}));
  predictor.Reset();
  CHECK_FALSE(predictor.HasReplayed({1, 50}));
}

}  // namespace valvekeel::monitor
