#include "monitor/replay_predictor.h"

#include <algorithm>

namespace valvekeel::monitor {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr std::size_t kMostReceipts = 1024;

}  // namespace

void ReplayPredictor::Reset() {
  latest_.reset();
  receipts_.clear();
  replay_lag_ = Duration{0};
  current_at_ = Instant{0};
}

void ReplayPredictor::RecordObservation(const Observation& observation, Instant now) {
  if (latest_ && observation.term != latest_->term) {
    Reset();
  }
  latest_ = observation;
  if (receipts_.empty() || receipts_.back().received < observation.received) {
    receipts_.push_back({observation.received, now});
  }
  // Receipts up to the replayed position tell when it had arrived; only the last of them counts.
  std::optional<Instant> arrived;
  while (!receipts_.empty() && receipts_.front().received <= observation.replayed) {
    arrived = receipts_.front().at;
    if (receipts_.size() == 1) {
      break;
    }
    receipts_.pop_front();
  }
  if (receipts_.size() > kMostReceipts) {
    receipts_.pop_front();
  }
  if (observation.replayed >= observation.received) {
    replay_lag_ = Duration{0};
    current_at_ = now;
  } else if (arrived) {
    // It was replayed at some time after the observation before this one, so that is all that is
    // certain: a longer lag would only be the time between two observations.
    replay_lag_ = std::max(Duration{0}, observed_at_ - *arrived);
    current_at_ = std::max(current_at_, *arrived);
  } else if (!receipts_.empty()) {
    // The oldest receipt is still not replayed, so the lag is at least its age.
    replay_lag_ = std::max(replay_lag_, now - receipts_.front().at);
  }
  observed_at_ = now;
}

Duration ReplayPredictor::Staleness(Instant now) const { return now - current_at_; }

bool ReplayPredictor::HasReplayed(Position required) const {
  return latest_ && latest_->term >= required.term && latest_->replayed >= required.lsn;
}

std::optional<Duration> ReplayPredictor::PredictWait(Position required, Instant now) const {
  if (!latest_) {
    return std::nullopt;
  }
  if (HasReplayed(required)) {
    return Duration{0};
  }
  if (latest_->term < required.term) {
    return std::nullopt;
  }
  const auto receipt = std::find_if(receipts_.begin(), receipts_.end(), [&](const Receipt& entry) {
    return entry.received >= required.lsn;
  });
  const Instant received_at = receipt == receipts_.end() ? now : receipt->at;
  return std::max(Duration{0}, received_at + replay_lag_ - now);
}

}  // namespace valvekeel::monitor
