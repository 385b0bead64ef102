// The time until the queue would take a caller, spread so that not all come at once.

#include "waiting/come_back.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace valvekeel::waiting {
namespace {

/** Steps in which the times of callers that are refused together differ. */
constexpr std::uint64_t SPREAD_STEPS = 1'024;

common::Duration pause_for(const std::optional<common::Duration>& likely_wait,
                           common::Duration hold) {
  if (!likely_wait) {
    return USUAL_COME_BACK;
  }
  return std::clamp(*likely_wait - hold, SHORTEST_COME_BACK, LONGEST_COME_BACK);
}

}  // namespace

common::Duration come_back(const std::optional<common::Duration>& likely_wait,
                           common::Duration hold, std::uint64_t session) {
  const common::Duration pause = pause_for(likely_wait, hold);
  const auto step = static_cast<std::int64_t>(common::MixHash(session) % SPREAD_STEPS);
  return pause + pause * step / static_cast<std::int64_t>(SPREAD_STEPS);
}

}  // namespace valvekeel::waiting
