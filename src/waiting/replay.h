/**
 * @file Replays a trace of load against the queueing policy of this module and a baseline.
 *
 * A service has the number of slots that the trace gives. Reads and operations that need the
 * primary use separate slots. A refused caller retries as often as the trace says.
 *
 * The same trace gives the same outcome. No I/O and no clock; safe to call from any thread.
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
  baseline,  // one queue for all tenants, refused at the queue deadline, retry after 250 ms
  fair,      // as the daemon does: fair shares, early refusal, computed retry-after
};

/** Outcomes of a tenant's callers. The members have the names of the printed figures. */
struct outcome {
  std::size_t callers = 0;
  std::size_t in_time = 0;           // served within the target latency since the first attempt
  std::size_t late = 0;              // served later
  std::size_t refused = 0;           // not served
  std::size_t refusals = 0;          // of attempts
  std::size_t held_in_vain = 0;      // attempts refused at their queue deadline
  common::Duration refusal_time{0};  // sum of the times from an attempt to its refusal
};

struct replay_result {
  std::map<std::string, outcome> by_tenant;
  std::size_t most_waiting = 0;
  std::size_t most_returning = 0;  // most retries within RETRY_WINDOW
};

/** Retries within this window count as simultaneous. It is a few times the duration of an
 * operation. */
inline constexpr common::Duration RETRY_WINDOW{50'000};

/** @return the outcome of the load under the policy. */
replay_result replay(const trace& load, policy used_policy);

/** @return the sum over all tenants. */
outcome total(const replay_result& of);

/**
 * Reads one of the figures that a trace may expect: `callers`, `in_time`, `late`, `refused`,
 * `refusals`, `held_in_vain`, `refusal_ms` (mean time from an attempt to its refusal); for all
 * tenants also `most_waiting`, `most_returning`.
 *
 * @param tenant  `*` for all, `-` for callers without a tenant
 * @return nothing if there is no such figure or tenant
 */
std::optional<double> figure(const replay_result& of, const std::string& tenant,
                             const std::string& name);

/** @return the expectations of the trace that the result does not meet, including those of an
 * unknown figure or tenant. */
std::vector<expected_outcome> unmet_expectations(const trace& load, const replay_result& result);

}  // namespace valvekeel::waiting
