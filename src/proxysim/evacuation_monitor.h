// Checks that no work reaches an evacuated zone later than the limit allows (EVAC).
//
// A daemon is bound while it was undisturbed for the time of contact: alive, not frozen or
// stopping, in reach of the store both ways, and the store without faults. Whoever was disturbed
// may be late.
//
// Owns: the evacuations, and when daemons and store were last disturbed. Invariant: looks each
// kLookInterval, less than any fault lasts. Thread: one.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// From an evacuation's acknowledgement until nothing may reach the zone.
inline constexpr common::Duration kEvacuationLimit{5'000'000};

class EvacuationMonitor {
 public:
  explicit EvacuationMonitor(World& world) : world_(world) {}

  /// Begins to look for disturbances. @param look calls NoteDaemon or NoteStore for each found.
  void Start(std::function<void()> look);

  void RecordDaemonDisturbance(const std::string& daemon) { disturbed_[daemon] = world_.Now(); }
  void RecordStoreDisturbance() { store_disturbed_ = world_.Now(); }

  /// The store has taken an evacuation, or its end.
  void OnEvacuationStarted(const std::string& zone) {
    evacuated_since_.emplace(zone, world_.Now());
  }
  void OnEvacuationEnded(const std::string& zone) { evacuated_since_.erase(zone); }
  bool IsEvacuated(const std::string& zone) const { return evacuated_since_.contains(zone); }

  /// Work of callers has reached an instance of the zone.
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
