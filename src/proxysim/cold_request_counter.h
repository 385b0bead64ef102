// Counts callers' requests to instances that are warming up, for the rule FAILBACK.
//
// Owns: the arrival times of the last second, by instance. Invariant: older ones are not counted.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "common/time.h"

namespace valvekeel::proxysim {

class ColdRequestCounter {
 public:
  /// Records a caller's request to a cold instance. @return the number within the last second.
  std::size_t RecordRequest(const std::string& instance, common::Instant now) {
    std::deque<common::Instant>& arrivals = arrivals_[instance];
    arrivals.push_back(now);
    while (arrivals.front() + kWindow <= now) {
      arrivals.pop_front();
    }
    return arrivals.size();
  }

 private:
  static constexpr common::Duration kWindow{1'000'000};

  std::map<std::string, std::deque<common::Instant>> arrivals_;
};

}  // namespace valvekeel::proxysim
