/**
 * @file How long an operation will wait for room, from how fast others found some lately.
 *
 * Counts the starts in crowded time, that is while somebody waited for room; both the count and
 * the time fade. Starts outside crowded time say nothing of what the instances can do. Where the
 * figures leave doubt, the forecast errs towards waiting: see docs/design/waiting-work.md.
 *
 * Owns: the faded count and time. Invariant: there is no forecast while too little is known, nor
 * from what was seen before a time without any instance. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <optional>

#include "common/time.h"

namespace valvekeel::waiting {

/** What has been seen fades with this time constant. Callers' hold times are 50 to 400 ms: shorter,
 * and an owner's 15 to 60 starts a second are too few to count; longer, and an instance that came
 * back unseen is believed lost for the whole of a caller's deadline. */
inline constexpr common::Duration DECAY_TIME_CONSTANT{1'000'000};

/** Starts below which nothing is forecast: fewer tell the rate to no better than a factor of 2. */
inline constexpr double MIN_STARTS = 3;

/** Crowded time below which nothing is forecast: starts come in lumps of one answer's length,
 * 10 to 60 ms on the users' deployments. */
inline constexpr common::Duration MIN_SATURATED_TIME{100'000};

/** Most that the time between two events counts as crowded: two of the host's ticks, at each of
 * which every waiter is tried. More passes only if the process stood still. */
inline constexpr common::Duration MAX_EVENT_INTERVAL{20'000};

/** Time after which a number of instances that is no longer seen is forgotten. */
inline constexpr common::Duration INSTANCE_COUNT_RETENTION{500'000};

/** When a waiter's turn is expected. */
struct turn_estimate {
  common::Duration expected{0};  // from the mean rate
  common::Duration earliest{0};  // with one standard deviation of luck: see wait_forecast::expect
};

class wait_forecast {
 public:
  /**
   * An operation was tried and found no room.
   *
   * @param places  number of instances that could serve it, but for the want of room
   */
  void on_no_free_slot(std::size_t instances, common::Instant now);

  /** No instance could serve an operation, and none can serve any like it: a gap. */
  void on_outage(common::Instant now);

  /**
   * An operation started.
   *
   * @param others_wait  others still wait for room
   */
  void on_started(bool others_wait, common::Instant now);

  /**
   * @param position  in the queue; 1 is the next to start
   * @return nothing if too little is known
   */
  std::optional<turn_estimate> estimate_turn(std::size_t position, common::Instant now) const;

 private:
  /** Starts, and the time in which they were counted. */
  struct tally {
    double starts = 0;
    double seconds = 0;
  };

  /** @return the tally as it is now. */
  tally decayed(common::Instant now) const;
  void advance(common::Instant now);

  tally observed;
  common::Instant observed_at{0};
  bool saturated = false;  // somebody has waited for room since seen_at
  std::size_t max_instances = 0;
  common::Instant max_instances_at{0};
};

}  // namespace valvekeel::waiting
