#include "monitor/replay_predictor.h"

#include <catch2/catch.hpp>

namespace valvekeel::monitor {
namespace {

using common::Duration;
using common::Instant;

}  // namespace

TEST_CASE("The predicted wait for a steady lag is accurate to about the probe interval",
          "[monitor]") {
  ReplayPredictor predictor;
  // The log grows by one byte per millisecond, replay is 40 ms behind receipt, and the probe
  // interval is 5 ms.
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

TEST_CASE("A long probe interval does not inflate the replay lag of a replica", "[monitor]") {
  // Guards against counting the probe interval as replay lag: with probes every 250 ms, replicas
  // 20 ms behind appeared 250 ms behind, and reads went to the primary (replica share 94.9 %).
  ReplayPredictor predictor;
  for (std::int64_t ms = 0; ms <= 2000; ms += 250) {
    const auto received = static_cast<common::Lsn>(ms);
    const auto replayed = static_cast<common::Lsn>(ms > 20 ? ms - 20 : 0);
    predictor.RecordObservation({true, 1, received, replayed}, std::chrono::milliseconds(ms));
  }
  CHECK(predictor.ReplayLag() <= Duration{20'000});
  CHECK(predictor.Staleness(std::chrono::milliseconds(2000)) >= Duration{20'000});
}

TEST_CASE("No wait is predicted for a position of a later term", "[monitor]") {
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
