// The database groups: who leads, what a read needs, whether the primary is lost.
//
// Owns: a read lease, the primary's positions and the opinion about the primary of each group.
// Invariant: a position sample is taken only from the primary of the lease's term, for a request
// sent while the lease held. Pure. Thread: its host's.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failover/leadership.h"
#include "group/position_history.h"
#include "group/read_lease.h"
#include "model/catalog.h"
#include "proxy/backend_set.h"
#include "proxy/outbox.h"
#include "proxy/peer_message.h"
#include "proxy/proxy_settings.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

struct GroupState {
  std::string service;
  group::ReadLease lease;
  group::PositionHistory history;
  common::Term fence_below = 0;           // announced by this daemon's attempt
  common::Term observed_fence = 0;        // announced by any daemon
  common::Instant observed_since{0};      // when the group was first seen here
  common::Instant term_learned_at{0};     // when the present primary's term was learned
  common::Instant lease_last_held_at{0};  // when the lease was last seen held
  common::Instant last_round_at{0};       // of the last round asked by this daemon
  std::size_t next_replica = 0;           // rotates the replicas that rounds ask
  std::optional<common::Instant> oldest_unanswered_write;  // oldest unanswered write at the primary
  std::optional<common::Instant> writes_stalled_since;     // no write has been answered since
  /// Replicas that ended, perhaps with the only copy of a commit, and when that was noticed; until
  /// a position of the primary from then on is known.
  std::map<std::string, common::Instant> uncovered_terminations;
  std::set<std::string> covered_terminations;  // whose departure is covered by `floor`
  /// When replicas that started again under their id did so, as noticed here: what they held
  /// before may have been the only copy of a commit. Until `floor` covers it.
  std::vector<common::Instant> log_loss_times;
  common::Term restarted_primary_term = 0;  // whose primary started again under its id
  common::Position minimum_position;        // a promoted replica must hold at least this
  bool watched = true;                      // this daemon connects to the instances
  common::Instant watched_since{0};
  /// All members were known at some instant since then. Else the group may look smaller than it is,
  /// and a majority of it be none.
  bool members_known = false;
  bool primary_suspected = false;  // this daemon's opinion
  common::Term sampled_term = 0;   // of the primary that the newest position is of

  /// @return a position that the lease's primary is known to hold, if any.
  std::optional<common::Position> PrimaryPosition() const {
    const bool known = this->sampled_term != 0 && this->sampled_term == this->lease.Newest().term &&
                       this->history.Newest();
    return known ? std::optional(this->history.Newest()->position) : std::nullopt;
  }
};

class GroupSet {
 public:
  GroupSet(const ProxySettings& settings, BackendSet& backends, const relay::role_map& roles,
           Outbox& outbox)
      : settings_(settings), backends_(backends), roles_(roles), outbox_(outbox) {}

  GroupState& Get(const std::string& service, common::Instant now);
  GroupState* Find(const std::string& service);
  std::map<std::string, GroupState>& All() { return groups_; }
  const std::map<std::string, GroupState>& All() const { return groups_; }

  /// @return ids of the group's instances.
  std::vector<std::string> Members(const std::string& service) const;

  /// @return the primary if reads and writes may go there now, else empty.
  std::string UsablePrimary(const std::string& service, common::Instant now);

  /// Notes what an instance reported to a request sent at an instant.
  void RecordPosition(const std::string& service, const std::string& instance,
                      const common::Position& position, common::Instant sent);

  /// @return ids of the group's instances but for those that have ended: a majority is counted over
  /// these.
  std::vector<std::string> QuorumMembers(const std::string& service, common::Instant now) const;

  /// @return ids of the group's replicas that may hold the only copy of a commit: all but those
  /// that are no longer listed and have not been reached for a while.
  std::vector<std::string> Replicas(const std::string& service, common::Instant now) const;

  /// @return the known primary; before one is known, the instance that says so of itself.
  std::string PrimaryHint(const GroupState& state) const;

  /// @return true if a change of primary was learned since the last call.
  bool ConsumePrimaryChanged() { return std::exchange(primary_changed_, false); }

  /// @return true if a round of this daemon's was confirmed since the last call.
  bool ConsumeLeaseRenewed() { return std::exchange(lease_renewed_, false); }

  /// @return true if an opinion about a primary changed since the last call.
  bool ConsumeSuspicionChanged() { return std::exchange(suspicion_changed_, false); }

  /// Asks all members now, not only when a round is due.
  void StartRoundNow(const std::string& service, common::Instant now);

  /// Takes a peer's reports. @param counted_from our instant that its ages count from, if known.
  /// @return true if a lease was let go, of which the peer should hear at once.
  bool ApplyReports(const PeerMessage& message, std::optional<common::Instant> counted_from);

  /// A new era of the store's history has begun, as far as is known here: replacements begun in the
  /// former one may be gone from the record.
  void BeginEra(common::Instant now) { record_complete_from_ = now + failover::kTakeoverTime; }

  /// Takes the leadership record as it was at or after an instant: groups without a replacement
  /// beyond their primary's term have their leases renewed from that instant.
  void RenewFromRecord(const model::LeadershipRecord& record, common::Instant asked);

  /// @return the longest time since a watched group's lease was renewed.
  common::Duration OldestLeaseAge(common::Instant now) const;

  /// All instances are known that the store lists, as of an instant.
  void RecordMembersKnown(common::Instant as_of);

  /// @return true if some watched group's members may not all be known.
  bool MembersIncomplete() const;

  /// Leases are held only by registered daemons: a promoter waits for those alone.
  void SetRegistered(bool registered) { registered_ = registered; }

  /// Notes that a write was acknowledged by the primary.
  void OnWriteAnswered(const std::string& service, const std::string& instance);

  /// @return true if writes stay unanswered at the primary, so that no more should go there.
  bool WritesStalled(const std::string& service, common::Instant now) const;

  /// @return what is told to the other daemons: of all groups, or only of those in trouble.
  std::vector<GroupReport> Reports(bool all, common::Instant now) const;

  /// Lets go of all terms below. @return true if that was news.
  bool ReleaseTermsBelow(GroupState& state, common::Term term);

  /// @return how many replicas may have held the only copy of a commit and hold it no more.
  std::size_t LogLossCount(const std::string& service) const;

  /// An instance has started again under its id, or has lost what it held.
  void OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now);

  /// This daemon stood still for a while: what it did not hear meanwhile proves nothing.
  void OnPauseEnded(common::Instant now);

  /// @return true if this daemon asks the group's instances for all others.
  bool IsProber(const std::string& service) const;

  /// Asks for the lease where it is due, forms opinions.
  void Tick(common::Instant now);

 private:
  /// @return true if all daemons should hear of the group.
  static bool IsDegraded(const GroupState& state, common::Instant now);
  void UpdateWatched(GroupState& state, common::Instant now);
  void StartRound(GroupState& state, common::Instant now);
  std::vector<std::string> RoundTargets(GroupState& state, bool all, common::Instant now);
  void RecordTerminations(GroupState& state, common::Instant now);
  static void CoverLogLosses(GroupState& state);
  /// Works out which groups this daemon watches, if that may have changed.
  void UpdateWatchedGroups(common::Instant now);
  void EvaluatePrimary(GroupState& state, common::Instant now);
  /// @return true if this daemon has connections to a majority of the group's members.
  bool ReachesMajority(const GroupState& state, common::Instant now) const;
  static bool HasTerminated(const Backend& backend, common::Instant now);
  std::string SuspicionReason(const GroupState& state, common::Instant now) const;

  const ProxySettings& settings_;
  BackendSet& backends_;
  const relay::role_map& roles_;
  Outbox& outbox_;
  std::map<std::string, GroupState> groups_;
  /// The groups that this daemon watches: of 1,000 most daemons watch none, and each tick must not
  /// walk them all. Entries of a map stay where they are.
  std::vector<GroupState*> watched_;
  std::uint64_t seen_watch_changes_ = 0;  // of the backends, when `watched_` was worked out
  std::size_t seen_group_count_ = 0;      // then
  bool primary_changed_ = false;
  bool lease_renewed_ = false;
  bool suspicion_changed_ = false;
  bool registered_ = false;
  /// From when on no replacement that the record does not name can come about any more.
  common::Instant record_complete_from_{0};
};

}  // namespace valvekeel::proxy
