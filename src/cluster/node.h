// One daemon's part in the cluster: heartbeats, suspicion, dissemination, repair.
//
// Owns: this daemon's copy of the replicated table and its view of who is alive. Invariant: every
// entry is forwarded to each part of the tree at most once; a member is declared failed only
// after it has had time to refute the suspicion. Pure: time and messages in, actions out; the
// daemon, the simulator and the capacity run use the same code. Thread: its host's.
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
  common::Duration fail_after{1'500'000};  // counted from the suspicion
  common::Duration forget_after{3'600'000'000};
  common::Duration join_retry{500'000};
  common::Duration repair_interval{500'000};    // least time between two digests sent to a peer
  common::Duration zone_lost_after{6'000'000};  // silence of all of a zone's bridges
  std::size_t ring_successors = 3;
  std::size_t bridges_per_zone = 2;
  std::size_t relays_per_zone = 2;
  std::size_t tree_fanout = 4;
};

/// Send a message to a member, or to an address before its member is known.
struct SendAction {
  MemberId to;
  Endpoint address;
  Message message;
};

/// An entry became known or changed.
struct ChangedAction {
  replicated::Entry entry;
};

using Action = std::variant<SendAction, ChangedAction>;
using Actions = std::vector<Action>;

/// The membership and dissemination state machine of one daemon.
class Node {
 public:
  /// @param self the member record of this start. @param seeds addresses of other daemons.
  Node(Member self, std::vector<Endpoint> seeds, NodeSettings settings);

  /// Joins the cluster through the seeds.
  Actions Start(common::Instant now);

  /// Sends heartbeats, detects failures; to be called about every tenth of the interval.
  Actions Tick(common::Instant now);

  /// Takes a message from a member.
  Actions Receive(const MemberId& from, const Message& message, common::Instant now);

  /// Publishes an entry that this daemon has learned from outside the cluster.
  Actions Publish(const replicated::Entry& entry, common::Instant now);

  /// Announces a planned stop; ownership moves to others.
  Actions Leave(common::Instant now);

  /// Announces that the stop is complete.
  Actions Finish(common::Instant now);

  const Member& Self() const { return self_; }
  const replicated::ReplicatedTable& Table() const { return table_; }

  /// @return serving members of the zone, this daemon included; none if the zone is unreachable.
  std::vector<Member> ServingIn(const std::string& zone) const;

  /// @return a number that changes whenever members or the reachability of zones change.
  std::uint64_t ViewEpoch() const { return view_epoch_; }

  /// @return serving members of all reachable zones.
  std::vector<Member> ServingAnywhere() const;

  /// @return false if this daemon's zone hears nothing from any bridge of the zone.
  bool ZoneReachable(const std::string& zone) const;

  /// @return all known members, whatever their state.
  std::vector<Member> AllMembers() const;

  /// @return true if this daemon reads the platform for its zone.
  bool IsRelay() const;

  /// @return true once the table of another daemon was received or there are no seeds.
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
  std::map<MemberId, Member> members_;                          // the table's members, typed
  std::map<std::string, std::vector<Member>> serving_by_zone_;  // by id within a zone
  std::vector<MemberId> successors_;
  std::vector<MemberId> predecessors_;
  std::vector<MemberId> bridge_peers_;  // bridges of other zones, if this daemon is a bridge
  bool view_changed_ = true;
  std::uint64_t view_epoch_ = 0;
  bool relay_ = false;
  bool bridge_ = false;
  std::map<MemberId, Watched> watched_;
  std::map<std::string, common::Instant>
      zone_received_at_;  // other zones, while this one is a bridge
  struct Forwarded {
    replicated::EntryId id;
    replicated::Version version;
    Span span;
  };
  std::deque<Forwarded> forwarded_;  // the newest, to tell repetitions from other trees' parts
  std::map<MemberId, common::Instant> last_digest_at_;
  std::map<MemberId, common::Instant> ended_at_;
  common::Instant next_heartbeat_{0};
  common::Instant next_join_{0};
  std::size_t next_seed_ = 0;
  bool joined_ = false;
  Actions actions_;
};

}  // namespace valvekeel::cluster
