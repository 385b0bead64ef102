/**
 * @file All operations that wait at this daemon: their order, and who waits in vain.
 *
 * Owns: a queue (fair_queue.h) and forecasts (wait_forecast.h) for each service. Invariant: a
 * number waits once, for one service. Pure. Thread: its host's.
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

/** A waiter whose turn will not come in time. */
struct late_waiter {
  waiter_number number = 0;
  common::Duration expected_wait{0};
};

class service_queues {
 public:
  service_queues() = default;
  service_queues(const service_queues&) = delete;
  service_queues& operator=(const service_queues&) = delete;

  /** Takes the tenants of a new configuration; who waits keeps its weight. */
  void set_tenants(const std::map<std::string, tenants::tenant>& tenants) {
    this->weights.set_tenants(tenants);
  }

  /**
   * Adds a waiter; one that waits already stays where it is.
   *
   * @param for_room  it waits for nothing but room at an instance
   */
  void add(const std::string& service, const waiter& added, bool waits_only_for_slot);

  /** Takes a waiter out, if it waits. */
  void remove(waiter_number number);

  bool empty() const { return this->waiters.empty(); }
  std::size_t size() const { return this->waiters.size(); }

  /** A waiter was tried again. @param for_room  as in add */
  void set_waits_only_for_slot(waiter_number number, bool waits_only_for_slot);

  /**
   * An operation started.
   *
   * @param started  of a waiter that is to be removed next, or one that never waited
   */
  void on_started(const target& at, const started_operation& operation, common::Instant now);

  /** An operation found no room. @param places  see wait_forecast::note_blocked */
  void on_no_free_slot(const target& at, std::size_t instances, common::Instant now);

  /** No instance may serve an operation. For one that needs the primary, this is a gap. */
  void on_no_instance(const target& at, common::Instant now);

  /** @return all waiters, service by service, each in the order in which they should be tried.
   * Valid until the next call. */
  const std::vector<queue_entry>& order();

  /** @return who should be refused now since its turn will not come in time, in order. Valid until
   * the next call. */
  const std::vector<late_waiter>& find_late_waiters(common::Instant now);

  /** @return how long an operation that came now would wait; nothing if that is not known. */
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
  std::vector<queue_entry> order_buffer;  // kept for its memory
  std::vector<queue_entry> scan_buffer;
  std::vector<late_waiter> late_waiters;
};

}  // namespace valvekeel::waiting
