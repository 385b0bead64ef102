// Checks that every undisturbed daemon applies each configuration in time (rule CONFIG).
//
// The limit applies to a daemon that has been undisturbed for kUndisturbedTime: alive, not frozen
// or stopping, connected to the store in both directions, and the store without faults. Other
// daemons may be late.
//
// Owns: the times at which versions were acknowledged and at which daemons and store were last
// disturbed. Invariant: it checks every kCheckInterval, which is shorter than any fault. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// Maximum time from a version's acknowledgement until it is in force at all daemons.
inline constexpr common::Duration kConfigurationLimit{5'000'000};

class ConfigurationMonitor {
 public:
  explicit ConfigurationMonitor(World& world) : world_(world) {}

  /// Begins to look. @param look calls RecordDaemonDisturbance, RecordStoreDisturbance and Check.
  void Start(std::function<void()> look);

  void RecordDaemonDisturbance(const std::string& daemon) { disturbed_[daemon] = world_.Now(); }
  void RecordStoreDisturbance() { store_disturbed_ = world_.Now(); }

  /// The store has acknowledged a version.
  void OnWritten(std::uint64_t version) { written_[version] = world_.Now(); }

  /// Compares the version in force at a daemon with the acknowledged ones. Reports a missing
  /// version once.
  void Check(const std::string& daemon, std::uint64_t in_force);

 private:
  static constexpr common::Duration kUndisturbedTime{5'000'000};
  static constexpr common::Duration kCheckInterval{50'000};

  World& world_;
  std::function<void()> check_;
  std::map<std::uint64_t, common::Instant> written_;  // by version
  std::map<std::string, common::Instant> disturbed_;  // by daemon
  std::set<std::pair<std::string, std::uint64_t>> reported_;
  common::Instant store_disturbed_{0};
};

}  // namespace valvekeel::proxysim
