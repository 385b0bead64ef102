#include "monitor/replay_predictor.h"

#include <algorithm>

namespace valvekeel::monitor {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr std::size_t kMaxReceipts = 1024;

}  // namespace

void ReplayPredictor::Reset() {
  latest_.reset();
  receipts_.clear();
  replay_lag_ = Duration{0};
  up_to_date_at_ = Instant{0};
}

void ReplayPredictor::RecordObservation(const Observation& observation, Instant now) {
  if (latest_ && observation.term != latest_->term) {
    Reset();
  }
  latest_ = observation;
  if (receipts_.empty() || receipts_.back().received < observation.received) {
    receipts_.push_back({observation.received, now});
  }
  // The last receipt up to the replayed position tells when that position was received.
  std::optional<Instant> received_at;
  while (!receipts_.empty() && receipts_.front().received <= observation.replayed) {
    received_at = receipts_.front().received_at;
    if (receipts_.size() == 1) {
      break;
    }
    receipts_.pop_front();
  }
  if (receipts_.size() > kMaxReceipts) {
    receipts_.pop_front();
  }
  if (observation.replayed >= observation.received) {
    replay_lag_ = Duration{0};
    up_to_date_at_ = now;
  } else if (received_at) {
    // The position was replayed after the previous observation, so only the time from its receipt
    // to that observation is certain to be lag. The rest may be the interval between two
    // observations.
    replay_lag_ = std::max(Duration{0}, observed_at_ - *received_at);
    up_to_date_at_ = std::max(up_to_date_at_, *received_at);
  } else if (!receipts_.empty()) {
    // The oldest receipt is not replayed yet, so the lag is at least its age.
    replay_lag_ = std::max(replay_lag_, now - receipts_.front().received_at);
  }
  observed_at_ = now;
}

Duration ReplayPredictor::Staleness(Instant now) const { return now - up_to_date_at_; }

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
  const Instant received_at = receipt == receipts_.end() ? now : receipt->received_at;
  return std::max(Duration{0}, received_at + replay_lag_ - now);
}

}  // namespace valvekeel::monitor
