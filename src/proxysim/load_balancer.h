// Chooses daemons for new connections like a load balancer with health checks: it probes each
// daemon every second, so it detects a stop late.
//
// Owns: the probe results. Invariant: a daemon is out of rotation from its second failed probe in a
// row until a probe succeeds. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "proxysim/daemon_host.h"
#include "proxysim/world.h"

namespace valvekeel::proxysim {

class LoadBalancer {
 public:
  LoadBalancer(World& world, std::vector<DaemonHost*> daemons);

  /// @return a daemon for a new connection from a zone: one of the zone in rotation; any daemon of
  ///     the zone if fewer than half of its daemons are in rotation; one of another zone if none
  ///     is.
  DaemonHost& Choose(const std::string& zone);

 private:
  static constexpr common::Duration kProbeInterval{1'000'000};
  static constexpr unsigned kFailedProbesUntilOut = 2;

  void Probe(DaemonHost& daemon);
  bool IsInRotation(const DaemonHost& daemon) const;

  World& world_;
  std::vector<DaemonHost*> daemons_;
  std::map<const DaemonHost*, unsigned> failed_probes_;  // in a row
};

}  // namespace valvekeel::proxysim
