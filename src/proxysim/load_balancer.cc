#include "proxysim/load_balancer.h"

#include <utility>

namespace valvekeel::proxysim {

LoadBalancer::LoadBalancer(World& world, std::vector<DaemonHost*> daemons)
    : world_(world), daemons_(std::move(daemons)) {
  for (DaemonHost* daemon : daemons_) {
    world_.After(world_.Between(common::Duration(0), kAskInterval),
                 [this, daemon] { Ask(*daemon); });
  }
}

void LoadBalancer::Ask(DaemonHost& daemon) {
  unsigned& misses = misses_[&daemon];
  misses = daemon.Ready() ? 0 : misses + 1;
  world_.After(kAskInterval, [this, &daemon] { Ask(daemon); });
}

bool LoadBalancer::In(const DaemonHost& daemon) const {
  const auto found = misses_.find(&daemon);
  return found == misses_.end() || found->second < kMissesUntilOut;
}

DaemonHost& LoadBalancer::Choose(const std::string& zone) {
  std::vector<DaemonHost*> of_zone;
  std::vector<DaemonHost*> in_zone;
  std::vector<DaemonHost*> in;
  for (DaemonHost* daemon : daemons_) {
    const bool near = daemon->Zone() == zone;
    if (near) {
      of_zone.push_back(daemon);
    }
    if (In(*daemon)) {
      in.push_back(daemon);
      if (near) {
        in_zone.push_back(daemon);
      }
    }
  }
  const bool enough = !in_zone.empty() && in_zone.size() * 2 >= of_zone.size();
  std::vector<DaemonHost*>& chosen = enough             ? in_zone
                                     : !in_zone.empty() ? of_zone
                                     : !in.empty()      ? in
                                                        : daemons_;
  return *chosen[world_.Below(chosen.size())];
}

}  // namespace valvekeel::proxysim
