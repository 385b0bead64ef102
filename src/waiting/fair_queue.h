/**
 * @file Orders the operations that wait for one service at this daemon.
 *
 * Priorities of routes are strict. Within a priority, the tenants share the starts by weight
 * (start-time fair queueing). Each tenant has a start tag, which grows by 1/weight with each start
 * of one of its operations, and the lowest tag goes first. A tenant that had no waiters begins at
 * the virtual time, which is the highest tag that was started, so idle time earns no credit. Within
 * a tenant, the earliest queue deadline goes first. Operations without a tenant are ordered by
 * target latency, then by arrival.
 *
 * Owns: the waiters by priority and tenant, and the tags. Invariant: tags and virtual times are
 * discarded when the queue is empty, which bounds the state by the tenants seen since then. No I/O
 * and no clock; not thread-safe.
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

/** Number of a waiter, unique among the waiters. A session has at most one waiting operation. */
using waiter_number = std::uint64_t;

/** The instances that can serve an operation. */
enum class need : std::uint8_t {
  any,      // any instance that may serve reads
  primary,  // only the primary
};

/** An operation that waits. */
struct waiter {
  waiter_number number = 0;
  std::string tenant;          // empty: none
  std::uint32_t priority = 0;  // of its route; 0 goes first
  common::Duration target_latency{0};
  common::Instant arrived{0};
  common::Instant queue_deadline{0};  // refused if not started by then
  need needs = need::any;
};

/** A waiter as an entry of the queue. */
struct queue_entry {
  std::uint32_t priority = 0;
  double start_tag = 0;      // virtual time at which it would start
  common::Duration rank{0};  // within a tenant: queue deadline; without a tenant: target latency
  common::Instant arrived{0};
  waiter_number number = 0;
  common::Instant queue_deadline{0};
  need needs = need::any;
};

class fair_queue {
 public:
  /** @param weights  of the tenants; must outlive the queue */
  explicit fair_queue(const tenant_weights& weights) : weights(&weights) {}

  /** Adds a waiter; its number must not be in the queue yet. */
  void add(const waiter& added);

  /** Removes a waiter, started or not. @param removed  the same values as in add */
  void remove(const waiter& removed);

  /** Charges the start of an operation to its tenant, whether it was in the queue or not. Does
   * nothing while the queue is empty. */
  void on_started(std::uint32_t priority, const std::string& tenant);

  bool empty() const { return this->waiter_count == 0; }
  std::size_t size() const { return this->waiter_count; }

  /** Appends all waiters in the order in which they should be started. */
  void append_order(std::vector<queue_entry>& out) const;

 private:
  /** A tenant's waiters of one priority. */
  struct flow {
    double weight = 1;
    double start_tag = 0;              // of its first waiter
    std::vector<queue_entry> waiters;  // in the tenant's own order; their tags are unset
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
