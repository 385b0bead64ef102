// Runs the cluster code of many daemons in one process, on simulated time.
//
// Owns: the nodes, the simulated network and the counters of each node.
// Invariant: nodes run the daemon's own cluster::Node; every message is encoded and decoded as on
// the wire; the same seed gives the same run, except processor times. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/node.h"
#include "replicated/replicated_table.h"
#include "sim/event_queue.h"

namespace valvekeel::sim {

/// Size and timing of a simulated cluster.
struct ClusterShape {
  std::size_t daemons = 48;
  std::size_t zones = 4;                          // spread over two regions, half of them in each
  std::size_t databases = 75;                     // database groups, three instances each
  common::Duration zone_latency{500};             // one way inside a zone
  common::Duration region_latency{1'500};         // one way between zones of a region
  common::Duration cross_region_latency{15'000};  // one way between regions
  std::uint64_t seed = 1;
};

/// Traffic and processor time of one daemon.
struct NodeUsage {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t cpu_ns = 0;  // thread processor time in Node and codec
};

/// A cluster of daemons in one process.
class ClusterSim {
 public:
  explicit ClusterSim(ClusterShape shape);

  /// Starts all daemons with the same table of members and configuration objects.
  void StartAll();

  /// Runs the simulation for a duration.
  void Run(common::Duration duration);

  /// Ends a daemon without an announcement to the others.
  void Kill(std::size_t daemon);

  /// Stops a daemon, which announces its termination.
  void StopPlanned(std::size_t daemon);

  /// Starts an ended daemon with an empty table and a higher incarnation.
  void Restart(std::size_t daemon);

  /// Publishes a changed configuration object through the relays.
  /// @param first_region_only the relays of the other region do not receive the change.
  /// @return the object's version.
  std::uint64_t ChangeDatabase(std::size_t database, bool first_region_only = false);

  /// Cuts or joins the two regions.
  void CutRegions(bool cut) { regions_cut_ = cut; }

  /// @return true if every running daemon holds at least this version of the object.
  bool InForceEverywhere(std::size_t database, std::uint64_t version) const;

  /// @return true if the membership view of every running daemon equals the set of running daemons.
  bool ViewsAgree() const;

  /// Runs until the condition holds. @return the elapsed time, or nullopt if the limit is reached.
  std::optional<common::Duration> RunUntil(const std::function<bool()>& condition,
                                           common::Duration limit);

  /// Resets all counters to zero.
  void ResetUsage();

  const std::vector<NodeUsage>& Usage() const { return usage_; }
  std::size_t Size() const { return nodes_.size(); }
  const cluster::Node& NodeAt(std::size_t daemon) const { return *nodes_[daemon]; }
  bool Running(std::size_t daemon) const { return running_[daemon]; }
  std::size_t Relays() const;
  const std::string& ZoneOf(std::size_t daemon) const { return zone_of_[daemon]; }
  const std::vector<std::string>& Zones() const { return zones_; }
  EventQueue& Queue() { return queue_; }

  /// @return the configuration entry of a database group at a version.
  static replicated::Entry DatabaseEntry(std::size_t database, std::uint64_t version);

 private:
  cluster::Member MemberOf(std::size_t daemon, std::uint64_t incarnation) const;
  void TickNode(std::size_t daemon, std::uint64_t generation);
  void ScheduleTick(std::size_t daemon, std::uint64_t generation);
  void PerformActions(std::size_t daemon, const cluster::Actions& actions);
  void Deliver(std::size_t from, std::size_t to, const std::string& bytes);
  common::Duration Latency(std::size_t from, std::size_t to) const;
  bool Reachable(std::size_t from, std::size_t to) const;
  bool SameRegion(std::size_t from, std::size_t to) const;

  ClusterShape shape_;
  EventQueue queue_;
  std::mt19937_64 random_;
  std::vector<std::string> zones_;
  std::vector<std::string> zone_of_;
  std::vector<std::size_t> zone_index_;
  std::map<cluster::MemberId, std::size_t> index_of_;
  std::vector<std::unique_ptr<cluster::Node>> nodes_;
  std::vector<bool> running_;
  std::vector<std::uint64_t>
      generation_;  // increases when a daemon ends, so that its old timers do nothing
  std::vector<NodeUsage> usage_;
  std::vector<std::uint64_t> versions_;
  std::uint64_t next_version_ = 1;
  bool regions_cut_ = false;
};

}  // namespace valvekeel::sim
