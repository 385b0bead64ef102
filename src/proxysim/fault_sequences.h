// Sequences of faults that hit one group in an order in which each makes the next one dangerous.
//
// Faults that are drawn independently seldom meet in such an order: a replica falls silent, then
// its peer or its primary is lost, then the daemons.
//
// Keeps no state of its own but the number of instances that it has added. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "proxysim/cluster.h"

namespace valvekeel::proxysim {

class FaultSequences {
 public:
  FaultSequences(Cluster& cluster, std::vector<std::string>& event_log)
      : cluster_(cluster), world_(cluster.SimWorld()), event_log_(event_log) {}

  /// Begins a random sequence now; its end is scheduled within kLongest.
  void Begin();

  /// As Begin, with the sequences around restarts and standstills of daemons.
  void BeginRestart();

  static constexpr common::Duration kLongest{14'000'000};

 private:
  /// The group's primary and two of its replicas.
  struct Target {
    DatabaseGroup* group = nullptr;
    std::string primary;
    std::string first;
    std::string second;
  };

  /// A replica leaves with the only copies of commits; then all daemons restart.
  void LeaveWithCommits(const Target& target);
  /// A replica joins while no watch tells of it, and the primary is lost.
  void JoinUnseen(const Target& target);
  /// The primary is replaced while a daemon that is cut off still reaches it.
  void ReplaceBehindCut(const Target& target);
  /// A replica that daemons and store have lost goes on acknowledging commits.
  void HideReplica(const Target& target);

  /// A daemon that alone has acknowledged commits lately restarts, and the instances that hold them
  /// crash together.
  void RestartWriter(const Target& target);
  /// The daemon that replaces a primary stands still as it connects to the platform.
  void FreezeHolder(const Target& target);

  /// Restarts all daemons: killed or stopped as planned, perhaps with the store away.
  void RestartDaemons();
  void RefuseStore(common::Duration length);
  void CrashPrimary(const Target& target, common::Duration length);
  void Block(DatabaseGroup& group, const std::string& id, common::Duration length);
  Target DrawTarget();
  void LogEvent(const std::string& what);
  void After(common::Duration delay, std::function<void()> step) {
    world_.After(delay, std::move(step));
  }

  Cluster& cluster_;
  World& world_;
  std::vector<std::string>& event_log_;
  std::size_t joined_ = 0;
  bool busy_ = false;  // a sequence around a restart goes on
};

}  // namespace valvekeel::proxysim
