/**
 * @file Defines a trace of load: the operations that arrive and how many can run at once.
 *
 * A trace has one event per line. Words are separated by blanks, times are in milliseconds, `-`
 * stands for no tenant and `#` begins a remark. `arrive` and `capacity` lines need not be in the
 * order of time.
 *
 *     tenant NAME RATE PRIORITY
 *     callers RETRIES DEADLINE
 *     capacity AT SERVICE NEED SLOTS
 *     arrive AT SERVICE NEED TENANT PRIORITY TARGET_LATENCY HOLD WORK
 *     expect TENANT FIGURE at_least|at_most VALUE
 *
 * `callers`: number of retries of a refused caller, and the deadline over all its attempts.
 * `capacity`: number of operations that run at once from AT on; 0 if there is no instance. NEED is
 * `any` or `primary`.
 * `arrive`: HOLD is the longest time in the queue, WORK the execution time. AT may be a series
 * FROM..TO/STEP; FROM+COUNT is COUNT arrivals at the same time.
 * `expect`: TENANT `*` stands for all tenants. FIGURE is described in replay.h.
 *
 * Owns: the parsed trace. Invariant: arrivals and capacities are sorted by time. No I/O and no
 * clock; safe to call from any thread.
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
  common::Duration work{0};  // execution time at an instance
};

/** The number of operations that can run at once changes. */
struct capacity_change {
  common::Instant at{0};
  std::string service;
  need needs = need::any;
  std::size_t slots = 0;
};

/** A bound on a figure of the replay. */
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

/** The first invalid line of a trace; lines count from 1. */
struct trace_error {
  std::size_t line = 0;
  std::string reason;
};

/** @return the trace, or the first line that is invalid. */
common::Result<trace, trace_error> parse_trace(const std::string& text);

/** @return the `arrive` line of an arrival, without a line break. */
std::string format(const arrival& of);

/** @return the `capacity` line of a change, without a line break. */
std::string format(const capacity_change& of);

}  // namespace valvekeel::waiting
