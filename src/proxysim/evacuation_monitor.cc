#include "proxysim/evacuation_monitor.h"

#include <utility>

namespace valvekeel::proxysim {

void EvacuationMonitor::Start(std::function<void()> look) {
  check_ = std::move(look);
  check_();
  world_.After(kCheckInterval, [this] { Start(check_); });
}

void EvacuationMonitor::OnRequestArrived(const std::string& zone, const std::string& instance,
                                         const std::string& daemon) {
  const auto evacuated = evacuated_since_.find(zone);
  const common::Instant now = world_.Now();
  if (evacuated == evacuated_since_.end() || now <= evacuated->second + kEvacuationLimit) {
    return;
  }
  const auto disturbed = disturbed_.find(daemon);
  const bool daemon_bound =
      disturbed == disturbed_.end() || now > disturbed->second + kUndisturbedTime;
  if (daemon_bound && now > store_disturbed_ + kUndisturbedTime) {
    const common::Duration after = now - evacuated->second;
    world_.Report("EVAC", daemon + " at " + instance + " of " + zone + " after " +
                              std::to_string(after.count() / 1000) + " ms");
  }
}

}  // namespace valvekeel::proxysim
