/**
 * @file Records the load of a daemon as a trace (trace.h) that can be replayed.
 *
 * What is recorded is an approximation: a statement that never ran is given the mean work of those
 * that did, a transaction counts as its first statement, capacity is what the limits in flight
 * allowed. Attempts of one caller are not told apart.
 *
 * Owns: what was seen. Invariant: times in the trace begin with the first event. Pure. Thread: its
 * host's.
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

/** Hears of load. */
class load_observer {
 public:
  load_observer() = default;
  load_observer(const load_observer&) = delete;
  load_observer& operator=(const load_observer&) = delete;
  virtual ~load_observer() = default;

  /** An operation ended. @param came  with the time it ran for; 0 if it never started */
  virtual void on_operation_ended(const arrival& ended) = 0;

  /** So many statements may run at once now; told again and again. */
  virtual void on_capacity(const capacity_change& change) = 0;
};

class trace_recorder : public load_observer {
 public:
  void on_operation_ended(const arrival& ended) override;
  void on_capacity(const capacity_change& change) override;

  std::size_t operations() const { return this->arrivals.size(); }

  /** @return the trace. */
  std::string text() const;

 private:
  /** Time that operations ran for. */
  struct work_sum {
    common::Duration time{0};
    std::int64_t count = 0;
  };
  using service_and_need = std::pair<std::string, need>;  // service and need

  std::vector<arrival> arrivals;
  std::vector<capacity_change> capacities;
  std::map<service_and_need, std::size_t> latest_slots;
  std::map<service_and_need, work_sum> work_by_target;
  std::optional<common::Instant> first_event;
};

}  // namespace valvekeel::waiting
