// State machine of one daemon for cluster membership: heartbeats, failure detection, replication.
//
// Owns: the local copy of the replicated table and the local view of the live members. Invariant:
// every entry is forwarded to each part of the tree at most once; a member is declared failed only
// after it has had time to refute the suspicion. No I/O and no clock: time and messages come in as
// arguments, and actions are returned. The daemon, the simulator and the capacity run use the same
// code. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cluster/member.h"
#include "cluster/messages.h"
#include "cluster/placement.h"
#include "common/time.h"
#include "replicated/replicated_table.h"

namespace valvekeel::cluster {

/// Timing and fan-out; see docs/operators/membership.md.
struct NodeSettings {
  common::Duration heartbeat_interval{500'000};
  common::Duration suspect_after{2'000'000};
  common::Duration fail_after{1'500'000};        // counted from the suspicion
  common::Duration forget_after{3'600'000'000};  // until an ended member is removed
  common::Duration join_retry{500'000};
  common::Duration repair_interval{500'000};    // minimum time between two digests sent to a peer
  common::Duration zone_lost_after{6'000'000};  // after the last heartbeat of its bridges
  std::size_t ring_successors = 3;
  std::size_t bridges_per_zone = 2;
  std::size_t relays_per_zone = 2;
  std::size_t tree_fanout = 4;
};

/// Sends a message to a member, or to an address whose member is not known yet.
struct SendAction {
  MemberId to;
  Endpoint address;
  Message message;
};

/// Reports that an entry was added to the local table or changed.
struct ChangedAction {
  replicated::Entry entry;
};

using Action = std::variant<SendAction, ChangedAction>;
using Actions = std::vector<Action>;

/// The membership and dissemination state machine of one daemon.
class Node {
 public:
  /// @param self the record of this daemon in its present incarnation.
  /// @param seeds addresses of other daemons; if there are none, the daemon counts as joined.
  Node(Member self, std::vector<Endpoint> seeds, NodeSettings settings);

  /// Joins the cluster through the seeds.
  Actions Start(common::Instant now);

  /// Sends heartbeats and detects failures. To be called about ten times per heartbeat interval.
  Actions Tick(common::Instant now);

  /// Handles a message from a member.
  Actions Receive(const MemberId& from, const Message& message, common::Instant now);

  /// Applies an entry that comes from outside the cluster and sends it to all daemons.
  Actions Publish(const replicated::Entry& entry, common::Instant now);

  /// Announces a planned stop. Other members become owners of what this daemon owns.
  Actions Leave(common::Instant now);

  /// Announces that the planned stop is complete.
  Actions Finish(common::Instant now);

  const Member& Self() const { return self_; }
  const replicated::ReplicatedTable& Table() const { return table_; }

  /// @return the serving members of the zone, with this daemon if it belongs to the zone; empty if
  /// the zone is unreachable.
  std::vector<Member> ServingIn(const std::string& zone) const;

  /// @return a number that increases whenever members or the reachability of zones change.
  std::uint64_t ViewEpoch() const { return view_epoch_; }

  /// @return the serving members of all reachable zones.
  std::vector<Member> ServingAnywhere() const;

  /// @return false if the zone of this daemon receives no heartbeat from any bridge of `zone`.
  bool ZoneReachable(const std::string& zone) const;

  /// @return all known members in any state.
  std::vector<Member> AllMembers() const;

  /// @return true if this daemon reads the configuration from the platform for its zone.
  bool IsRelay() const;

  /// @return true once an update of another daemon was received, or if there are no seeds.
  bool Joined() const { return joined_; }

 private:
  struct Watched {
    common::Instant last_received_at{0};
    common::Instant suspected_at{0};
    bool suspected = false;
  };

  void Handle(const MemberId& from, const Heartbeat& message, common::Instant now);
  void Handle(const MemberId& from, const Update& message, common::Instant now);
  void Handle(const MemberId& from, const Digest& message, common::Instant now);
  void Handle(const MemberId& from, const BucketSummaries& message, common::Instant now);
  void Handle(const MemberId& from, const EntriesRequest& message, common::Instant now);
  void Handle(const MemberId& from, const Join& message, common::Instant now);

  bool ApplyEntry(const replicated::Entry& entry, common::Instant now);
  void RefuteIfNeeded(common::Instant now);
  void Broadcast(const std::vector<replicated::Entry>& entries);
  void Forward(const std::vector<replicated::Entry>& entries, Span span);
  bool AlreadyForwarded(const replicated::Entry& entry, Span span) const;
  void SendTo(const MemberId& to, const Message& message);
  void SendHeartbeats();
  void WatchPredecessors(common::Instant now);
  void CheckWatched(const MemberId& id, common::Instant now);
  void RemoveExpiredMembers(common::Instant now);
  void WatchZones(common::Instant now);
  void PublishZone(const std::string& zone, bool reachable, common::Instant now);
  const std::vector<Member>& KnownIn(const std::string& zone) const;
  void TryJoin(common::Instant now);
  void RebuildView();
  std::vector<MemberId> Neighbors(bool successors) const;
  std::vector<MemberId> BridgesOf(const std::string& zone) const;
  bool IsBridge() const;
  Actions ConsumeActions();

  Member self_;
  std::vector<Endpoint> seeds_;
  NodeSettings settings_;
  replicated::ReplicatedTable table_;
  std::map<MemberId, Member> members_;                          // decoded from the table
  std::map<std::string, std::vector<Member>> serving_by_zone_;  // sorted by id
  std::vector<MemberId> successors_;
  std::vector<MemberId> predecessors_;
  std::vector<MemberId> bridge_peers_;  // bridges of other zones, if this daemon is a bridge
  bool view_changed_ = true;
  std::uint64_t view_epoch_ = 0;
  bool relay_ = false;
  bool bridge_ = false;
  std::map<MemberId, Watched> watched_;
  std::map<std::string, common::Instant> zone_received_at_;  // other zones; empty unless a bridge
  struct Forwarded {
    replicated::EntryId id;
    replicated::Version version;
    Span span;
  };
  std::deque<Forwarded> forwarded_;  // the newest; identifies repeated updates
  std::map<MemberId, common::Instant> last_digest_at_;
  std::map<MemberId, common::Instant> ended_at_;
  common::Instant next_heartbeat_{0};
  common::Instant next_join_{0};
  std::size_t next_seed_ = 0;
  bool joined_ = false;
  Actions actions_;
};

}  // namespace valvekeel::cluster
