/**
 * @file Computes the retry-after time that a refused caller is given.
 *
 * The time is short if the caller can then still be served within its target latency. Otherwise it
 * is long, so that the slots go to callers that can still be served in time.
 *
 * The time lies between MIN_RETRY_AFTER and twice LATE_RETRY_AFTER, and callers that are refused
 * together get different times. No I/O and no clock; safe to call from any thread.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace valvekeel::waiting {

/** Shortest time, a few times the duration of an operation. A caller that retries sooner finds the
 * same queue. */
inline constexpr common::Duration MIN_RETRY_AFTER{50'000};

/** For callers that will miss their target latency anyway. Callers have deadlines of 1 to 10 s and
 * retry twice. Two retries, each spread to at most twice this time, fit into a deadline of 2 s. */
inline constexpr common::Duration LATE_RETRY_AFTER{400'000};

/** Used without a forecast. With the spread it is 255 ms on average: about how long the replacement
 * of a primary still takes once the queue time of the callers waiting for it is over. */
inline constexpr common::Duration DEFAULT_RETRY_AFTER{170'000};

/** Fraction of the target latency within which an operation has to start to be served in time. The
 * rest is for its execution at the instance. */
inline constexpr double LATEST_START_FRACTION = 0.8;

/** An attempt that was refused. */
struct refused_attempt {
  std::uint64_t session = 0;                      // spreads the times of different sessions
  common::Duration since_first{0};                // since the caller's first attempt, if known
  common::Duration max_wait{0};                   // longest time in the queue, for each attempt
  common::Duration target_latency{0};             // from the first attempt to the answer
  std::optional<common::Duration> expected_wait;  // of an operation that arrives now, if known
};

/** @return the time after which the caller should retry. */
common::Duration retry_after(const refused_attempt& refused);

}  // namespace valvekeel::waiting
