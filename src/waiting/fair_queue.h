/**
 * @file The order of the operations that wait for one service at this daemon.
 *
 * Routes' priorities go first, strictly. Within a priority the tenants share by weight (start-time
 * fair queueing): each has a start tag that rises by 1/weight with every start of its operations,
 * and the lowest tag goes next. A tenant that was not waiting begins at the virtual time, the
 * highest tag that started, so a rest earns nothing. Within a tenant, who has less time left goes
 * first; work for no tenant goes by target latency, then arrival.
 *
 * Owns: the waiters by priority and tenant, and the tags. Invariant: there is no virtual time while
 * nobody waits: state is bounded by the waiters of a crowded spell. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "waiting/tenant_weights.h"

namespace valvekeel::waiting {

/** Number of a waiter, unique among those that wait; a session waits with one operation. */
using waiter_number = std::uint64_t;

/** Which instances an operation waits for. */
enum class need : std::uint8_t {
  any,      // one that may serve reads
  primary,  // the primary alone
};

/** An operation that waits. */
struct waiter {
  waiter_number number = 0;
  std::string tenant;          // for whom it runs; empty: for none
  std::uint32_t priority = 0;  // of its route; 0 goes first
  common::Duration target_latency{0};
  common::Instant arrived{0};
  common::Instant queue_deadline{0};  // refused if it did not start by then
  need needs = need::any;
};

/** A waiter's place in the order. */
struct queue_entry {
  std::uint32_t priority = 0;
  double start_tag = 0;      // virtual time at which it would start
  common::Duration rank{0};  // within a tenant: end of the hold time, or the target latency
  common::Instant arrived{0};
  waiter_number number = 0;
  common::Instant queue_deadline{0};
  need needs = need::any;
};

class fair_queue {
 public:
  /** @param weights  of the tenants; they outlive the queue */
  explicit fair_queue(const tenant_weights& weights) : weights(&weights) {}

  /** Adds a waiter whose number does not wait yet. */
  void add(const waiter& added);

  /** Takes a waiter out, started or not. @param removed  as it was added */
  void remove(const waiter& removed);

  /** An operation started, from the queue or past it: its tenant's share is charged. */
  void on_started(std::uint32_t priority, const std::string& tenant);

  bool empty() const { return this->waiter_count == 0; }
  std::size_t size() const { return this->waiter_count; }

  /** Appends all waiters in the order in which they should be tried. */
  void append_order(std::vector<queue_entry>& out) const;

 private:
  /** A tenant's waiters of one priority. */
  struct flow {
    double weight = 1;
    double start_tag = 0;              // of its first waiter
    std::vector<queue_entry> waiters;  // in the tenant's own order; tags are not used here
  };
  /** The flows of one priority. */
  struct level {
    double virtual_time = 0;
    std::map<std::string, flow> flows;
  };

  flow& flow_of(level& at_level, const std::string& tenant);

  const tenant_weights* weights;
  std::map<std::uint32_t, level> levels;  // by priority
  std::size_t waiter_count = 0;
};

}  // namespace valvekeel::waiting
