/**
 * @file Forecasts how long an operation waits for a free slot, from the recent rate of starts.
 *
 * Counts the starts while the service is saturated, that is while at least one operation waits for
 * a slot. The count and the saturated time decay exponentially. Starts at other times do not show
 * how much the instances can do. Where the numbers leave doubt, the forecast errs towards waiting:
 * see docs/design/waiting-work.md.
 *
 * Owns: the decayed count and time. Invariant: there is no forecast from too few starts or too
 * little saturated time, nor from observations before an outage. No I/O and no clock; not
 * thread-safe.
 */
#pragma once

#include <cstddef>
#include <optional>

#include "common/time.h"

namespace valvekeel::waiting {

/** Time constant of the decay, for queue times of 50 to 400 ms. With a shorter one, the 15 to 60
 * starts a second of an owner are too few to give a rate. With a longer one, the forecast ignores
 * an instance whose return was not observed for the whole of a caller's deadline. */
inline constexpr common::Duration DECAY_TIME_CONSTANT{1'000'000};

/** Starts below which there is no forecast: fewer give the rate no better than to a factor of 2. */
inline constexpr double MIN_STARTS = 3;

/** Saturated time below which there is no forecast. Starts come in bursts, one operation's duration
 * apart, which is typically 10 to 60 ms. */
inline constexpr common::Duration MIN_SATURATED_TIME{100'000};

/** Longest time between two events that counts as saturated time. It is two ticks of the host,
 * which tries to start every waiter at each tick; more passes only if the process was suspended. */
inline constexpr common::Duration MAX_EVENT_INTERVAL{20'000};

/** Time after which a highest number of instances that was not observed again is dropped. */
inline constexpr common::Duration INSTANCE_COUNT_RETENTION{500'000};

/** Time until a waiter is expected to start. */
struct turn_estimate {
  common::Duration expected{0};  // at the mean rate
  common::Duration earliest{0};  // with the rate and the turns one standard deviation better
};

class wait_forecast {
 public:
  /**
   * An operation could not start because all instances for it are full.
   *
   * @param instances  number of instances that could serve it if they had a free slot
   */
  void on_no_free_slot(std::size_t instances, common::Instant now);

  /** No instance can serve this kind of operation. Discards all observations. */
  void on_outage(common::Instant now);

  /**
   * An operation started.
   *
   * @param others_wait  other operations still wait for a slot
   */
  void on_started(bool others_wait, common::Instant now);

  /**
   * @param position  in the queue; 1 is the next to start
   * @return nothing if there are too few observations
   */
  std::optional<turn_estimate> estimate_turn(std::size_t position, common::Instant now) const;

 private:
  /** Starts, and the saturated time in which they were counted. */
  struct tally {
    double starts = 0;
    double seconds = 0;
  };

  /** @return the tally decayed to the present time. */
  tally decayed(common::Instant now) const;
  void advance(common::Instant now);

  tally observed;
  common::Instant observed_at{0};
  bool saturated = false;  // an operation has waited for a slot since observed_at
  std::size_t max_instances = 0;
  common::Instant max_instances_at{0};
};

}  // namespace valvekeel::waiting
