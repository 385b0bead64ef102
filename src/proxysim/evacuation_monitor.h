// Checks that no request reaches an evacuated zone after the evacuation limit (rule EVAC).
//
// The limit applies to a daemon that has been undisturbed for kUndisturbedTime: alive, not frozen
// or stopping, connected to the store in both directions, and the store without faults. Other
// daemons may be late.
//
// Owns: the evacuations, and the times at which daemons and store were last disturbed. Invariant:
// it checks every kCheckInterval, which is shorter than any fault. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// Time from an evacuation's acknowledgement after which no request may reach the zone.
inline constexpr common::Duration kEvacuationLimit{5'000'000};

class EvacuationMonitor {
 public:
  explicit EvacuationMonitor(World& world) : world_(world) {}

  /// Begins to look for disturbances. @param look calls RecordDaemonDisturbance or
  /// RecordStoreDisturbance for each found.
  void Start(std::function<void()> look);

  void RecordDaemonDisturbance(const std::string& daemon) { disturbed_[daemon] = world_.Now(); }
  void RecordStoreDisturbance() { store_disturbed_ = world_.Now(); }

  /// The store has acknowledged an evacuation, or its end.
  void OnEvacuationStarted(const std::string& zone) {
    evacuated_since_.emplace(zone, world_.Now());
  }
  void OnEvacuationEnded(const std::string& zone) { evacuated_since_.erase(zone); }
  bool IsEvacuated(const std::string& zone) const { return evacuated_since_.contains(zone); }

  /// A caller's request has reached an instance of the zone. Reports it if it is too late.
  void OnRequestArrived(const std::string& zone, const std::string& instance,
                        const std::string& daemon);

 private:
  static constexpr common::Duration kUndisturbedTime{5'000'000};
  static constexpr common::Duration kCheckInterval{10'000};

  World& world_;
  std::function<void()> check_;
  std::map<std::string, common::Instant> evacuated_since_;  // by evacuated zone
  std::map<std::string, common::Instant> disturbed_;        // by daemon
  common::Instant store_disturbed_{0};
};

}  // namespace valvekeel::proxysim
