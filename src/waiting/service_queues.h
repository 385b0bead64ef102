/**
 * @file Queues the operations that wait at this daemon and finds those that cannot start in time.
 *
 * Owns: a queue (fair_queue.h) and forecasts (wait_forecast.h) for each service. Invariant: a
 * waiter's number is in one queue at most. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "waiting/fair_queue.h"
#include "waiting/tenant_weights.h"
#include "waiting/wait_forecast.h"

namespace valvekeel::waiting {

/** The instances that an operation waits for. */
struct target {
  const std::string& service;
  need needs = need::any;
};

/** An operation that started. */
struct started_operation {
  waiter_number number = 0;
  std::uint32_t priority = 0;
  const std::string& tenant;
};

/** A waiter that is not expected to start before its queue deadline. */
struct late_waiter {
  waiter_number number = 0;
  common::Duration expected_wait{0};
};

class service_queues {
 public:
  service_queues() = default;
  service_queues(const service_queues&) = delete;
  service_queues& operator=(const service_queues&) = delete;

  /** Applies the tenants of a new configuration. Tenants with state in a queue keep their weight
   * until that queue is empty. */
  void set_tenants(const std::map<std::string, tenants::tenant>& tenants) {
    this->weights.set_tenants(tenants);
  }

  /**
   * Adds a waiter. One that is queued already keeps its position.
   *
   * @param waits_only_for_slot  an instance could serve it and lacks only a free slot
   */
  void add(const std::string& service, const waiter& added, bool waits_only_for_slot);

  /** Removes a waiter; does nothing if it is not queued. */
  void remove(waiter_number number);

  bool empty() const { return this->waiters.empty(); }
  std::size_t size() const { return this->waiters.size(); }

  /** Updates a waiter after another attempt to start it. The flag is as in add. */
  void set_waits_only_for_slot(waiter_number number, bool waits_only_for_slot);

  /**
   * An operation started.
   *
   * @param operation  of a waiter that the caller removes next, or one that was never queued
   */
  void on_started(const target& at, const started_operation& operation, common::Instant now);

  /** All instances for an operation are full. @param instances  as in
   * wait_forecast::on_no_free_slot */
  void on_no_free_slot(const target& at, std::size_t instances, common::Instant now);

  /** No instance may serve an operation. For one that needs the primary this is an outage; a read
   * may only lack a fresh replica, which does not concern other reads. */
  void on_no_instance(const target& at, common::Instant now);

  /** @return all waiters, service by service, in the order in which they should be started. Valid
   * until the next call. */
  const std::vector<queue_entry>& order();

  /** @return the waiters to refuse now because they are not expected to start before their queue
   * deadline, in queue order. Valid until the next call. */
  const std::vector<late_waiter>& find_late_waiters(common::Instant now);

  /** @return how long an operation that arrives now would wait; nothing if unknown. */
  std::optional<common::Duration> expected_wait(const target& at, common::Instant now) const;

 private:
  struct service_queue {
    explicit service_queue(const tenant_weights& weights) : queue(weights) {}

    fair_queue queue;
    std::array<wait_forecast, 2> forecasts;       // by need
    std::array<std::size_t, 2> counts_by_need{};  // of the waiters
  };
  struct waiter_record {
    service_queue* queue = nullptr;
    waiter operation;
    bool waits_only_for_slot = false;
  };

  service_queue& queue_of(const std::string& service);
  void append_late_waiters(const service_queue& of, common::Instant now);

  tenant_weights weights;
  std::map<std::string, service_queue> queues;
  std::unordered_map<waiter_number, waiter_record> waiters;
  std::vector<queue_entry> order_buffer;  // reused to avoid allocation
  std::vector<queue_entry> scan_buffer;
  std::vector<late_waiter> late_waiters;
};

}  // namespace valvekeel::waiting
