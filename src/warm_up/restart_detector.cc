#include "warm_up/restart_detector.h"

#include <utility>

namespace valvekeel::warm_up {

void restart_detector::on_connection_lost(common::Instant now) {
  this->lost_at = now;
  this->restart_suspected = false;
}

bool restart_detector::on_connection_opened() {
  return this->lost_at && !std::exchange(this->restart_suspected, true);
}

bool restart_detector::on_answer(common::Instant opened, common::Instant sent) {
  if (!this->lost_at) {
    return false;
  }
  const bool same_incarnation =
      opened + MAX_BREAK_DETECTION_DELAY < *this->lost_at && sent >= *this->lost_at;
  if (!same_incarnation) {
    return false;
  }
  this->lost_at.reset();
  return std::exchange(this->restart_suspected, false);
}

}  // namespace valvekeel::warm_up
