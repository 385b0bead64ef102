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
  void Watch(std::function<void()> look);

  void NoteDaemon(const std::string& daemon) { disturbed_[daemon] = world_.Now(); }
  void NoteStore() { store_disturbed_ = world_.Now(); }

  /// The store has taken an evacuation, or its end.
  void Begin(const std::string& zone) { since_.emplace(zone, world_.Now()); }
  void End(const std::string& zone) { since_.erase(zone); }
  bool Evacuated(const std::string& zone) const { return since_.contains(zone); }

  /// Work of callers has reached an instance of the zone.
  void WorkArrived(const std::string& zone, const std::string& instance, const std::string& daemon);

 private:
  static constexpr common::Duration kContact{5'000'000};
  static constexpr common::Duration kLookInterval{10'000};

  World& world_;
  std::function<void()> look_;
  std::map<std::string, common::Instant> since_;      // by evacuated zone
  std::map<std::string, common::Instant> disturbed_;  // by daemon
  common::Instant store_disturbed_{0};
};

}  // namespace valvekeel::proxysim
