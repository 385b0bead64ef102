/**
 * @file Records the load of a daemon as a trace (trace.h) that can be replayed.
 *
 * The trace is an approximation. A statement that never ran gets the mean execution time of those
 * that did. A transaction counts as its first statement. The capacity is the sum of the in-flight
 * limits. Each retry of a caller is recorded as a caller of its own.
 *
 * Owns: the recorded events. Invariant: times in the trace are relative to the first event. No I/O
 * and no clock; not thread-safe.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "waiting/trace.h"

namespace valvekeel::waiting {

/** Receives the load of a daemon. */
class load_observer {
 public:
  load_observer() = default;
  load_observer(const load_observer&) = delete;
  load_observer& operator=(const load_observer&) = delete;
  virtual ~load_observer() = default;

  /** An operation ended. @param ended  its work is the time for which it ran, 0 if it never started
   */
  virtual void on_operation_ended(const arrival& ended) = 0;

  /** The number of statements that may run at once; also called while it does not change. */
  virtual void on_capacity(const capacity_change& change) = 0;
};

class trace_recorder : public load_observer {
 public:
  void on_operation_ended(const arrival& ended) override;
  void on_capacity(const capacity_change& change) override;

  std::size_t operations() const { return this->arrivals.size(); }

  /** @return the trace in the format of trace.h. */
  std::string text() const;

 private:
  /** Sum of the execution times of operations. */
  struct work_sum {
    common::Duration time{0};
    std::int64_t count = 0;
  };
  using service_and_need = std::pair<std::string, need>;

  std::vector<arrival> arrivals;
  std::vector<capacity_change> capacities;
  std::map<service_and_need, std::size_t> latest_slots;
  std::map<service_and_need, work_sum> work_by_target;
  std::optional<common::Instant> first_event;
};

}  // namespace valvekeel::waiting
