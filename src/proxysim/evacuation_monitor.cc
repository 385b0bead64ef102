#include "proxysim/evacuation_monitor.h"

#include <utility>

namespace valvekeel::proxysim {

void EvacuationMonitor::Watch(std::function<void()> look) {
  look_ = std::move(look);
  look_();
  world_.After(kLookInterval, [this] { Watch(look_); });
}

void EvacuationMonitor::WorkArrived(const std::string& zone, const std::string& instance,
                                    const std::string& daemon) {
  const auto evacuated = since_.find(zone);
  const common::Instant now = world_.Now();
  if (evacuated == since_.end() || now <= evacuated->second + kEvacuationLimit) {
    return;
  }
  const auto disturbed = disturbed_.find(daemon);
  const bool daemon_bound = disturbed == disturbed_.end() || now > disturbed->second + kContact;
  if (daemon_bound && now > store_disturbed_ + kContact) {
    const common::Duration after = now - evacuated->second;
    world_.Report("EVAC", daemon + " at " + instance + " of " + zone + " after " +
                              std::to_string(after.count() / 1000) + " ms");
  }
}

}  // namespace valvekeel::proxysim
