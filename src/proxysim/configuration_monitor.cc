#include "proxysim/configuration_monitor.h"

#include <utility>

namespace valvekeel::proxysim {

void ConfigurationMonitor::Start(std::function<void()> look) {
  check_ = std::move(look);
  check_();
  world_.After(kCheckInterval, [this] { Start(check_); });
}

void ConfigurationMonitor::Check(const std::string& daemon, std::uint64_t in_force) {
  const common::Instant now = world_.Now();
  const auto disturbed = disturbed_.find(daemon);
  const bool bound = disturbed == disturbed_.end() || now > disturbed->second + kUndisturbedTime;
  if (!bound || now <= store_disturbed_ + kUndisturbedTime) {
    return;
  }
  const auto lacking = written_.upper_bound(in_force);
  if (lacking == written_.end() || now <= lacking->second + kConfigurationLimit) {
    return;
  }
  if (reported_.emplace(daemon, lacking->first).second) {
    world_.Report("CONFIG", daemon + " has version " + std::to_string(in_force) +
                                " in force, version " + std::to_string(lacking->first) +
                                " was acknowledged " +
                                std::to_string((now - lacking->second).count() / 1000) + " ms ago");
  }
}

}  // namespace valvekeel::proxysim
