/**
 * @file When a caller that was refused should come back.
 *
 * Soon, if it can then still be served within its target latency; else so late that it leaves room
 * to those who can.
 *
 * Owns: nothing. Invariant: the time lies between SHORTEST_COME_BACK and twice LATE_COME_BACK, and
 * callers refused together are told different times. Pure. Thread: any.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace valvekeel::waiting {

/** Sooner, and a caller meets the same queue: a few answers' length. */
inline constexpr common::Duration MIN_RETRY_AFTER{50'000};

/** For who will be late anyway. Two more tries, each stretched to twice this, fit a deadline of
 * 2 s; the callers' deadlines are 1 to 10 s, and they try twice more. */
inline constexpr common::Duration LATE_RETRY_AFTER{400'000};

/** Without a forecast. Stretched it is 255 ms in the mean: about what a replaced primary takes
 * after the hold time of those who waited for it. */
inline constexpr common::Duration DEFAULT_RETRY_AFTER{170'000};

/** Part of the target latency by which a caller has to start that is to be served in time: the rest
 * is the instance's. */
inline constexpr double LATEST_START_FRACTION = 0.8;

/** An attempt that was refused. */
struct refused_attempt {
  std::uint64_t session = 0;           // others are told other times
  common::Duration since_first{0};     // since the caller's first attempt, if it is known
  common::Duration max_wait{0};        // for how long it may wait, now and again
  common::Duration target_latency{0};  // from the first attempt to the answer
  std::optional<common::Duration> expected_wait;  // until the turn of one that came now, if known
};

/** @return the time until its caller should come back. */
common::Duration retry_after(const refused_attempt& refused);

}  // namespace valvekeel::waiting
