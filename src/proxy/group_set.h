// Tracks the database groups: each group's primary, what a read needs, and whether the primary is
// suspected to have failed.
//
// Owns: for each group a read lease, the primary's positions and the failure suspicion about the
// primary. Invariant: a position sample is taken only from the primary of the lease's term, for a
// request sent while the lease was held. No I/O and no clock; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failover/leadership.h"
#include "group/acknowledged_commits.h"
#include "group/commit_holders.h"
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
  /// @param now when this daemon learned of the group.
  GroupState(std::string service, common::Instant now)
      : service(std::move(service)),
        observed_since(now),
        lease_last_held_at(now),
        acknowledged(now) {}

  std::string service;
  group::ReadLease lease;
  group::PositionHistory history;
  common::Term fence_below = 0;        // announced by this daemon's attempt; 0: none
  common::Term observed_fence = 0;     // highest that any daemon announced
  common::Instant observed_since;      // start of the present observation
  common::Instant term_learned_at{0};  // when the primary's term was learned
  common::Instant lease_last_held_at;  // when the lease was last held
  common::Instant last_round_at{0};    // start of this daemon's last round
  std::size_t next_replica = 0;        // rotates the replicas that rounds query
  std::optional<common::Instant> oldest_unanswered_write;  // time it was sent to the primary
  std::optional<common::Instant> writes_stalled_since;     // none answered since
  bool reads_record_at_once = false;                       // if the next round proposes a primary
  common::Term rejected_term = 0;  // proposed primary that the leadership record rejected
  group::CommitHolders holders;
  /// Recorded holders that were neither listed nor reachable for so long that they are gone.
  std::set<std::string> forgotten_holders;
  group::AcknowledgedCommits acknowledged;  // by this daemon
  common::Term restarted_primary_term = 0;  // whose primary restarted under its id
  bool watched = true;                      // this daemon connects to the group's instances
  common::Instant watched_since{0};
  /// True if all members were known at some time since `watched_since`. Otherwise the group may
  /// look smaller than it is, and an apparent majority may be none.
  bool members_known = false;
  bool primary_suspected = false;  // by this daemon
  common::Term sampled_term = 0;   // term of the primary that reported the newest position

  /// @return the newest position that the lease's primary is known to hold, if any.
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

  /// @return ids of the group's instances without those that another instance has replaced.
  std::vector<std::string> Members(const std::string& service) const;

  /// @return the id of the primary if reads and writes may be sent there now, else empty.
  std::string UsablePrimary(const std::string& service, common::Instant now);

  /// Records the position that an instance reported in answer to a request sent at `sent`, by this
  /// daemon or by one that passes the position on. Ignored unless the instance is the lease's
  /// primary and the lease was held at `sent`.
  void RecordPosition(const std::string& service, const std::string& instance,
                      const common::Position& position, common::Instant sent);

  /// @return ids of the group's instances without those that have terminated: a majority is counted
  /// over these.
  std::vector<std::string> QuorumMembers(const std::string& service, common::Instant now) const;

  /// @return ids of the group's instances that may hold the only copy of a commit: all but those
  /// that have been unlisted and unreachable for a while and whose absence the floor covers.
  std::vector<std::string> CommitHolders(const std::string& service, common::Instant now) const;

  /// @return the commit holders without the primary.
  std::vector<std::string> Replicas(const std::string& service, common::Instant now) const;

  /// @return the id of the known primary; before one is known, that of the instance whose entry
  /// claims to be primary, or empty.
  std::string PrimaryHint(const GroupState& state) const;

  /// @return true if a round of this daemon confirmed a new primary since the last call.
  bool ConsumePrimaryChanged() { return std::exchange(primary_changed_, false); }

  /// @return true if this daemon renewed a lease since the last call, by a round or by the
  /// leadership record.
  bool ConsumeLeaseRenewed() { return std::exchange(lease_renewed_, false); }

  /// @return true if a primary became suspected, or ceased to be, since the last call.
  bool ConsumeSuspicionChanged() { return std::exchange(suspicion_changed_, false); }

  /// Starts a round now, even if none is due.
  void StartRoundNow(const std::string& service, common::Instant now);

  /// Merges a peer's reports.
  /// @param counted_from local time that the message's ages count from, if known.
  /// @return true if a lease was released, which the peer should be notified of at once.
  bool ApplyReports(const PeerMessage& message, std::optional<common::Instant> counted_from);

  /// Applies that a promoted instance reported to lead a term, which the leadership record did not
  /// name as replaced at `recorded`. Begins the lease from then, also if no majority answers.
  void ConfirmPromoted(const std::string& service, const group::Confirmation& promoted);

  /// Starts a new era of the store's history. The record may lack replacements that were begun in
  /// the former era.
  void BeginEra(common::Instant now);

  /// Applies the leadership record as it was at `asked` or later. Begins or renews the lease from
  /// `asked` for each group for which the record has no replacement of the primary's term or a
  /// later one.
  void RenewFromRecord(const model::LeadershipRecord& record, common::Instant asked);

  /// @return true if a read of the leadership record is due because a round has proposed a primary:
  /// at once on the group's prober and after StartRoundNow, otherwise once the prober's heartbeat
  /// should have arrived.
  bool NeedsRecord(common::Instant now) const;

  /// @return the longest time since the lease of a watched group was renewed.
  common::Duration OldestLeaseAge(common::Instant now) const;

  /// Records that all instances that the store listed at `as_of` are known.
  void RecordMembersKnown(common::Instant as_of);

  /// @return true if the members of some watched group may not all be known.
  bool MembersIncomplete() const;

  /// Sets whether this daemon is registered in the store. Only registered daemons hold leases,
  /// since a promoter waits for those alone.
  void SetRegistered(bool registered) { registered_ = registered; }

  /// @return ids of the replicas that are listed or reachable. The others that count are in the
  /// store's record, which each daemon reads itself.
  std::vector<std::string> PresentReplicas(const GroupState& state) const;

  /// @return ids of holders that are not counted as they seem to have ended, though nothing shows
  /// that they have: no connection to them was refused. The primary may still reach them.
  std::vector<std::string> SilentHolders(const GroupState& state, common::Instant now) const;

  /// @return true if commits of the term may be acknowledged to callers: this daemon holds a lease
  /// of it, so a promoting daemon still waits for this one.
  bool MayAcknowledge(const std::string& service, common::Term term, common::Instant now) const;

  /// Records a commit that this daemon acknowledges to a caller.
  /// @param before position of the primary that was known when the commit was sent.
  /// @param after position that the primary reported with its answer.
  void RecordAcknowledged(const std::string& service, const common::Position& before,
                          const common::Position& after);

  /// Applies the store's record of a group's commit holders, as it was at `asked` or later. Holders
  /// that are not listed are connected to.
  void ApplyHolderRecord(const std::string& service, const model::HolderRecord& record,
                         const model::Revision& revision, common::Instant asked,
                         common::Instant now);

  /// @return the record that the store should have, according to this daemon.
  model::HolderRecord WantedHolderRecord(const GroupState& state, common::Instant now) const;

  /// Handles a write acknowledged by the instance.
  void OnWriteAnswered(const std::string& service, const std::string& instance);

  /// @return true if the primary leaves writes unanswered, so that no more should be sent there.
  bool WritesStalled(const std::string& service, common::Instant now) const;

  /// @return the reports for the other daemons: of all groups, or only of degraded ones.
  std::vector<GroupReport> Reports(bool all, common::Instant now) const;

  /// Releases the lease of all terms below `term`. @return true if any was not released before.
  bool ReleaseTermsBelow(GroupState& state, common::Term term);

  /// Handles an instance that restarted under its id, or lost its log.
  void OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now);

  /// Handles the end of a pause of this process. Messages that were missed during the pause are no
  /// sign of a failure.
  void OnPauseEnded(common::Instant now);

  /// @return true if this daemon queries the group's instances on behalf of all daemons.
  bool IsProber(const std::string& service) const;

  /// Starts the rounds that are due and evaluates the primaries of the watched groups.
  void Tick(common::Instant now);

 private:
  /// Records a sample of the primary's position, taken while the lease was held.
  void RecordSample(GroupState& state, const group::PositionSample& sample);
  /// @return true if the group's report goes to all daemons.
  static bool IsDegraded(const GroupState& state, common::Instant now);
  void UpdateWatched(GroupState& state, common::Instant now);
  void StartRound(GroupState& state, common::Instant now);
  void OnRoundAnswer(const std::string& service, const std::string& instance,
                     group::RoundNumber round, const model::InstanceStatus& status,
                     common::Instant started);
  /// @return true if a primary is proposed that the leadership record has not rejected.
  static bool AwaitsRecord(const GroupState& state);
  std::vector<std::string> RoundTargets(GroupState& state, bool all, common::Instant now);
  /// Updates which instances are absent, and the floor that covers absent ones.
  void UpdateHolders(GroupState& state, common::Instant now);
  /// Computes which groups this daemon watches, if that may have changed.
  void UpdateWatchedGroups(common::Instant now);
  void EvaluatePrimary(GroupState& state, common::Instant now);
  /// @return true if this daemon has open connections to a majority of the group's members.
  bool ReachesMajority(const GroupState& state, common::Instant now) const;
  static bool HasTerminated(const Backend& backend, common::Instant now);
  std::string SuspicionReason(const GroupState& state, common::Instant now) const;

  const ProxySettings& settings_;
  BackendSet& backends_;
  const relay::role_map& roles_;
  Outbox& outbox_;
  std::map<std::string, GroupState> groups_;
  /// The groups that this daemon watches. Most daemons of a deployment of 1,000 groups watch none,
  /// so a tick must not walk all groups. The pointers stay valid because map entries do not move.
  std::vector<GroupState*> watched_;
  std::uint64_t seen_watch_changes_ = 0;  // of the backends, when `watched_` was computed
  std::size_t seen_group_count_ = 0;      // the number of groups at that time
  bool primary_changed_ = false;
  bool lease_renewed_ = false;
  bool suspicion_changed_ = false;
  bool registered_ = false;
  /// Time from which on no replacement can take effect that the record lacks.
  common::Instant record_complete_from_{0};
};

}  // namespace valvekeel::proxy
