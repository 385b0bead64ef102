/**
 * @file A recorded or made load: what arrived, and how much could run at once.
 *
 * One event a line, words apart by blanks, times in milliseconds, `-` for no tenant, `#` before a
 * remark. `arrive` and `capacity` may come in any order of time.
 *
 *     tenant NAME RATE PRIORITY
 *     callers RETRIES DEADLINE          how often and for how long a refused caller comes back
 *     capacity AT SERVICE NEED SLOTS    runs at once from then on; 0: no instance. NEED:
 * any|primary arrive AT SERVICE NEED TENANT PRIORITY TARGET_LATENCY HOLD WORK expect TENANT FIGURE
 * at_least|at_most VALUE    TENANT `*`: all. See replay.h for FIGURE
 *
 * AT of `arrive` may be a series FROM..TO/STEP; FROM+COUNT is COUNT arrivals at one moment.
 *
 * Owns: the typed trace. Invariant: events are sorted by time. Pure. Thread: any.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/result.h"
#include "common/time.h"
#include "tenants/tenant.h"
#include "waiting/fair_queue.h"

namespace valvekeel::waiting {

/** A caller's first attempt. */
struct arrival {
  common::Instant at{0};
  std::string service;
  need needs = need::any;
  std::string tenant;  // empty: none
  std::uint32_t priority = 0;
  common::Duration target_latency{0};
  common::Duration max_wait{0};
  common::Duration work{0};  // how long an instance runs it
};

/** From a moment on, so many run at once. */
struct capacity_change {
  common::Instant at{0};
  std::string service;
  need needs = need::any;
  std::size_t slots = 0;
};

/** What a replay of the trace should show. */
struct expected_outcome {
  std::string tenant;  // "*": all
  std::string figure;
  bool at_least = true;  // else at most
  double value = 0;
};

struct trace {
  std::map<std::string, tenants::tenant> tenants;
  std::uint32_t retries = 0;              // of a refused caller
  common::Duration deadline{10'000'000};  // of a caller, over all its attempts
  std::vector<arrival> arrivals;
  std::vector<capacity_change> capacities;
  std::vector<expected_outcome> expectations;
};

/** Why a trace could not be read. */
struct trace_error {
  std::size_t line = 0;
  std::string reason;
};

common::Result<trace, trace_error> parse_trace(const std::string& text);

/** @return the line of a trace for an arrival. */
std::string format(const arrival& of);

/** @return the line of a trace for a change of capacity. */
std::string format(const capacity_change& of);

}  // namespace valvekeel::waiting
