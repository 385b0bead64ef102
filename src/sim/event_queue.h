// Event queue on simulated time: events run in the order of their time, and at the same time in the
// order of insertion.
//
// Owns: the pending events and the clock. Invariant: time never goes back; the same insertions give
// the same order. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/time.h"

namespace valvekeel::sim {

class EventQueue {
 public:
  using Action = std::function<void()>;

  /// Schedules the action for a time, or for now if the time has passed.
  void At(common::Instant time, Action action) {
    const common::Instant when = time < now_ ? now_ : time;
    events_.push({when, next_++, std::move(action)});
  }

  void After(common::Duration delay, Action action) { At(now_ + delay, std::move(action)); }

  /// Runs all events up to the time and moves the clock there.
  void RunUntil(common::Instant time) {
    while (!events_.empty() && events_.top().time <= time) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = time;
  }

  common::Instant Now() const { return now_; }

 private:
  struct Event {
    common::Instant time{0};
    std::uint64_t order = 0;
    Action action;

    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  std::priority_queue<Event> events_;
  common::Instant now_{0};
  std::uint64_t next_ = 0;
};

}  // namespace valvekeel::sim
