// Callers' requests that reach instances which have just started: the checker FAILBACK.
//
// Owns: the arrivals of the last second, by instance. Invariant: none older than that is counted.
// Thread: one.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "common/time.h"

namespace valvekeel::proxysim {

class ColdRequestCounter {
 public:
  /// Notes a caller's request at a cold instance. @return how many came within the last second.
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
