// Checks that each configuration is in force in time at all daemons in touch (CONFIG).
//
// A daemon is bound while it was undisturbed for the time of contact: alive, not frozen or
// stopping, in reach of the store both ways, and the store without faults. Whoever was disturbed
// may be late.
//
// Owns: when versions were acknowledged, and when daemons and store were last disturbed. Invariant:
// looks each kLookInterval, less than any fault lasts. Thread: one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// From a version's acknowledgement until it is in force everywhere.
inline constexpr common::Duration kConfigurationLimit{5'000'000};

class ConfigurationMonitor {
 public:
  explicit ConfigurationMonitor(World& world) : world_(world) {}

  /// Begins to look. @param look calls NoteDisturbed, NoteStore and Check.
  void Start(std::function<void()> look);

  void RecordDaemonDisturbance(const std::string& daemon) { disturbed_[daemon] = world_.Now(); }
  void RecordStoreDisturbance() { store_disturbed_ = world_.Now(); }

  /// The store has taken a version.
  void OnWritten(std::uint64_t version) { written_[version] = world_.Now(); }

  /// Holds the version in force at a daemon against what was acknowledged. Reports it once.
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
