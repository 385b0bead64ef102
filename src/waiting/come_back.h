/**
 * @file When a caller that was refused should come back.
 *
 * Owns: nothing. Invariant: the time lies between SHORTEST_COME_BACK and twice LONGEST_COME_BACK,
 * and callers refused together are told different times. Pure. Thread: any.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace valvekeel::waiting {

/** Sooner, and a caller meets the same queue: a few answers' length. */
inline constexpr common::Duration SHORTEST_COME_BACK{50'000};

/** Later, and two more tries, each stretched to twice this, do not fit a deadline of 2 s. */
inline constexpr common::Duration LONGEST_COME_BACK{400'000};

/** Without a forecast. Stretched it is 255 ms in the mean: about a connection's opening after a
 * replaced primary, which was told to all alike before. */
inline constexpr common::Duration USUAL_COME_BACK{170'000};

/**
 * @param likely_wait  of one that came now, if known
 * @param hold  for how long it may wait once it is back
 * @param session  callers with different numbers are told different times
 */
common::Duration come_back(const std::optional<common::Duration>& likely_wait,
                           common::Duration hold, std::uint64_t session);

}  // namespace valvekeel::waiting
