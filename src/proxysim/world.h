// The simulated environment: time, random numbers, network partitions and found violations.
//
// Owns: the event queue, the partitions and the violations. Invariant: the same seed gives the same
// run. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "sim/event_queue.h"

namespace valvekeel::proxysim {

/// A violation of a rule that must always hold.
struct Violation {
  std::string rule;
  std::string detail;
  common::Instant at{0};
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {}

  common::Instant Now() const { return queue_.Now(); }
  void After(common::Duration delay, sim::EventQueue::Action action) {
    queue_.After(delay, std::move(action));
  }
  void RunUntil(common::Instant time) { queue_.RunUntil(time); }

  /// @return a random integer from 0 to limit - 1; 0 if the limit is 0.
  std::uint64_t RandomBelow(std::uint64_t limit) { return limit == 0 ? 0 : random_() % limit; }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  common::Duration RandomBetween(common::Duration least, common::Duration most) {
    const auto span = static_cast<std::uint64_t>((most - least).count() + 1);
    return least + common::Duration(static_cast<std::int64_t>(RandomBelow(span)));
  }

  /// @return the one-way delay of a message between two parties.
  common::Duration NetworkDelay() { return RandomBetween(kMinDelay, kMaxDelay); }

  /// Cuts or restores the link from one party to another. Messages on a cut link are dropped
  /// without an error.
  void Cut(const std::string& from, const std::string& to) {
    cuts_.insert({from, to});
    RecordFault(from);
    RecordFault(to);
  }
  void Heal(const std::string& from, const std::string& to) {
    cuts_.erase({from, to});
    RecordFault(from);
    RecordFault(to);
  }
  void CutBoth(const std::string& a, const std::string& b) {
    Cut(a, b);
    Cut(b, a);
  }
  void HealBoth(const std::string& a, const std::string& b) {
    Heal(a, b);
    Heal(b, a);
  }
  bool Reaches(const std::string& from, const std::string& to) const {
    return !cuts_.contains({from, to});
  }

  /// Records that an unplanned fault has just begun or ended at a party.
  void RecordFault(const std::string& party) { last_faults_[party] = Now(); }

  /// @return true if a link of the party is cut, or a fault began or ended there within the time.
  bool HadFault(const std::string& party, common::Duration within) const {
    const auto found = last_faults_.find(party);
    const bool lately = found != last_faults_.end() && Now() < found->second + within;
    return lately || std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& cut) {
             return cut.first == party || cut.second == party;
           });
  }

  void Report(std::string rule, std::string detail) {
    violations_.push_back({std::move(rule), std::move(detail), Now()});
  }
  const std::vector<Violation>& Violations() const { return violations_; }

 private:
  static constexpr common::Duration kMinDelay{150};
  static constexpr common::Duration kMaxDelay{1'500};

  sim::EventQueue queue_;
  std::mt19937_64 random_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, common::Instant> last_faults_;  // time of the last fault, by party
  std::vector<Violation> violations_;
};

}  // namespace valvekeel::proxysim
