#include "group/position_history.h"

namespace valvekeel::group {
namespace {

constexpr common::Duration kRetention{10'000'000};
constexpr common::Duration kSampleInterval{20'000};

}  // namespace

void PositionHistory::Add(const PositionSample& sample) {
  const bool older = newest_ && (sample.instant <= newest_->instant);
  if (older) {
    return;
  }
  // A lower position reported to a later request comes from another primary's log. Earlier samples
  // are not comparable with it.
  if (newest_ && sample.position < newest_->position) {
    samples_.clear();
  }
  newest_ = sample;
  if (samples_.empty() || sample.instant >= samples_.back().instant + kSampleInterval) {
    samples_.push_back(sample);
  }
  while (samples_.front().instant + kRetention < sample.instant) {
    samples_.pop_front();
  }
}

std::optional<common::Position> PositionHistory::Covering(common::Instant instant) const {
  for (const PositionSample& sample : samples_) {
    if (sample.instant >= instant) {
      return sample.position;
    }
  }
  if (newest_ && newest_->instant >= instant) {
    return newest_->position;
  }
  return std::nullopt;
}

}  // namespace valvekeel::group
