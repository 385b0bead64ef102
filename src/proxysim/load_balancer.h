// Tells callers where to connect, as what stands in front of the daemons does: it asks each daemon
// now and then whether it is ready, so it notices a stop late.
//
// Owns: which daemons are in. Invariant: a daemon is out from its second miss in a row until it
// says again that it is ready. Thread: one.
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

  /// @return a daemon for a new connection from a zone: one that is in, or any of the zone if fewer
  ///     than half of its daemons are, or one of another zone if none is.
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
