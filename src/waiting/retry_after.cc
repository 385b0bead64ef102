// Computes retry-after times from the expected wait, spread by session so that callers that are
// refused together do not retry together.

#include "waiting/retry_after.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::waiting {
namespace {

/** Number of different times among callers that are refused together. */
constexpr std::uint64_t SPREAD_STEPS = 1'024;

/** @return true if a retry after the delay can start early enough for the target latency, even if
 * it stays in the queue for the whole of max_wait again. The spread lengthens the delay by half on
 * average. */
bool can_meet_target(const refused_attempt& refused, common::Duration delay) {
  const common::Duration start = refused.since_first + delay * 3 / 2 + refused.max_wait;
  const double latest = LATEST_START_FRACTION * static_cast<double>(refused.target_latency.count());
  return static_cast<double>(start.count()) <= latest;
}

common::Duration base_delay(const refused_attempt& refused) {
  if (!refused.expected_wait) {
    return DEFAULT_RETRY_AFTER;
  }
  const common::Duration delay =
      std::max(*refused.expected_wait - refused.max_wait, MIN_RETRY_AFTER);
  return can_meet_target(refused, delay) ? std::min(delay, LATE_RETRY_AFTER) : LATE_RETRY_AFTER;
}

}  // namespace

common::Duration retry_after(const refused_attempt& refused) {
  const common::Duration delay = base_delay(refused);
  const auto step = static_cast<std::int64_t>(common::MixHash(refused.session) % SPREAD_STEPS);
  return delay + delay * step / static_cast<std::int64_t>(SPREAD_STEPS);
}

}  // namespace valvekeel::waiting
