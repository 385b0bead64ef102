/**
 * @file Plays a trace of load through the decisions on waiting, and through the earlier ones.
 *
 * A service's instances are as many slots as the trace says; reads and what needs the primary have
 * slots of their own. A refused caller comes back as often as the trace says.
 *
 * Owns: nothing between calls. Invariant: the same trace gives the same outcome. Pure. Thread: any.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "waiting/trace.h"

namespace valvekeel::waiting {

enum class policy : std::uint8_t {
  baseline,  // one order for all tenants, refused at the end of the hold time, back after 250 ms
  fair,      // what this module decides
};

/** What became of a tenant's callers. */
struct outcome {
  std::size_t callers = 0;
  std::size_t in_time = 0;           // served within the target latency from the first attempt on
  std::size_t late = 0;              // served later
  std::size_t refused = 0;           // not served
  std::size_t refusals = 0;          // of attempts
  std::size_t held_in_vain = 0;      // attempts refused after the whole of their hold time
  common::Duration refusal_time{0};  // in which attempts were refused, summed up
};

struct replay_result {
  std::map<std::string, outcome> by_tenant;
  std::size_t most_waiting = 0;
  std::size_t most_returning = 0;  // callers that came back within RETURN_WINDOW
};

/** Window in which callers that come back count as one crowd: a few answers' length. */
inline constexpr common::Duration RETRY_WINDOW{50'000};

replay_result replay(const trace& load, policy used_policy);

/** @return the sum over all tenants. */
outcome total(const replay_result& of);

/**
 * The figures that a trace may expect: `callers`, `in_time`, `late`, `refused`, `refusals`,
 * `held_in_vain`, `refusal_ms` (mean time until an attempt is refused); of all tenants also
 * `most_waiting`, `most_returning`.
 *
 * @return nothing if there is no such figure or tenant
 */
std::optional<double> figure(const replay_result& of, const std::string& tenant,
                             const std::string& name);

/** @return the expectations of the trace that the result does not meet. */
std::vector<expected_outcome> unmet_expectations(const trace& load, const replay_result& result);

}  // namespace valvekeel::waiting
