#include "warm_up/restart_detector.h"

#include <utility>

namespace valvekeel::warm_up {

void instance_life::note_break(common::Instant now) {
  this->broken = now;
  this->doubted = false;
}

bool instance_life::note_opened() { return this->broken && !std::exchange(this->doubted, true); }

bool instance_life::note_answered(common::Instant opened, common::Instant sent) {
  if (!this->broken) {
    return false;
  }
  const bool lived_on = opened + NOTICED_LATE < *this->broken && sent >= *this->broken;
  if (!lived_on) {
    return false;
  }
  this->broken.reset();
  return std::exchange(this->doubted, false);
}

}  // namespace valvekeel::warm_up
