#include "proxysim/load_balancer.h"

#include <utility>

namespace valvekeel::proxysim {

LoadBalancer::LoadBalancer(World& world, std::vector<DaemonHost*> daemons)
    : world_(world), daemons_(std::move(daemons)) {
  for (DaemonHost* daemon : daemons_) {
    world_.After(world_.RandomBetween(common::Duration(0), kProbeInterval),
                 [this, daemon] { Probe(*daemon); });
  }
}

void LoadBalancer::Probe(DaemonHost& daemon) {
  unsigned& misses = failed_probes_[&daemon];
  misses = daemon.Ready() ? 0 : misses + 1;
  world_.After(kProbeInterval, [this, &daemon] { Probe(daemon); });
}

bool LoadBalancer::IsInRotation(const DaemonHost& daemon) const {
  const auto found = failed_probes_.find(&daemon);
  return found == failed_probes_.end() || found->second < kFailedProbesUntilOut;
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
    if (IsInRotation(*daemon)) {
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
  return *chosen[world_.RandomBelow(chosen.size())];
}

}  // namespace valvekeel::proxysim
