// Decides when a primary is replaced, and drives the replacement.
//
// Owns: this daemon's leadership and its attempts, at most one for each group. Invariant: only a
// daemon that reaches the metadata store starts an attempt; of several such daemons the holder of
// the leadership goes first, then the others in the order of their names. No I/O and no clock; not
// thread-safe.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "access/rule_set.h"
#include "failover/attempt.h"
#include "failover/leadership.h"
#include "proxy/backend_set.h"
#include "proxy/group_set.h"
#include "proxy/holder_keeper.h"
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

/// The daemons registered in the store, by name.
using RegisteredDaemons = std::map<std::string, model::DaemonEntry>;

class FailoverDriver {
 public:
  FailoverDriver(const ProxySettings& settings, BackendSet& backends, GroupSet& groups,
                 const access::rule_set& access, const PeerTable& peers,
                 const membership::live_view& view, const relay::role_map& roles,
                 HolderKeeper& holders, Outbox& outbox);

  /// @return true if the leadership record names this daemon.
  bool HoldsLeadership() const { return leadership_.IsHolder(); }

  /// Handles the leadership record as read from the store.
  /// @param revision its revision; number 0 if there is no record.
  void OnRecordRead(const model::LeadershipRecord& record, const model::Revision& revision,
                    common::Instant now);

  /// Starts a new era of the store's history. It lacks claims of earlier eras.
  void BeginEra(std::uint64_t era, common::Instant now) { leadership_.BeginEra(era, now); }

  /// Handles an instance that restarted under its id: it no longer holds the log that attempts rely
  /// on.
  void OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now);

  void OnRecordWritten(CallNumber call, const failover::WriteResult& result, common::Instant now);
  void OnPromotionAnswered(CallNumber call, failover::PromotionStatus status, common::Instant now);

  /// What the store has shown.
  struct StoreView {
    bool connected = false;
    std::optional<common::Instant> members_as_of;  // when a list of all instances was asked for
  };

  /// Advances the attempts and starts those that are due.
  /// @param configuration in force.
  /// @param registered all daemons in the store.
  void Tick(const model::Configuration& configuration, const RegisteredDaemons& registered,
            const StoreView& store, common::Instant now);

  /// @return true if an attempt has requested a list of all instances since the last call.
  bool ConsumeListRequested() { return std::exchange(list_requested_, false); }

  /// @return true if an attempt of this daemon is in progress.
  bool HasAttempts() const { return !attempts_.empty(); }

  /// @return true if a fence was announced since the last call, which the other daemons should be
  /// notified of at once.
  bool ConsumeFenceAnnounced() { return std::exchange(fence_announced_, false); }

 private:
  /// Why a primary should be replaced, if it should.
  struct ReplacementCause {
    std::string reason;  // empty: no replacement
    /// Set for a planned replacement: the new primary must have a higher fitness than this.
    std::optional<model::LeaderFitness> better_than;
  };
  /// Pause after failed planned replacements of a group's primary.
  struct PlannedPause {
    common::Duration length{0};
    common::Instant until{0};
  };
  /// Begins the lease of a promoted primary by the leadership record that this daemon has written.
  void ConfirmPromoted(const failover::Attempt& attempt);
  /// Records how an attempt ended, which sets the pause before the next planned replacement.
  void RecordPlannedResult(const std::string& service, bool finished, common::Instant now);
  struct PendingReplacement {
    common::Instant since{0};
    ReplacementCause cause;
  };

  ReplacementCause CauseOf(const GroupState& group, common::Instant now) const;
  /// @return a cause if another usable instance has a higher fitness than the primary.
  ReplacementCause FitnessCause(const GroupState& group, const Backend& primary,
                                common::Instant now) const;
  /// @return true if the service is to be evaluated now: in each full evaluation (`all`), and
  /// always while a replacement of its primary is pending or in progress.
  bool ShouldEvaluate(const std::string& service, bool all) const;
  bool IsSuspectedByEnough(const GroupState& group, common::Instant now) const;
  bool IsTurn(const PendingReplacement& pending, common::Instant now) const;
  failover::GroupView ViewOf(const GroupState& group, const model::Service& service,
                             const RegisteredDaemons& registered, common::Term new_term,
                             const ReplacementCause& cause, common::Instant now) const;
  /// @return names of the daemons that may hold a lease of a term below `new_term` and have not
  /// reported its release.
  std::set<std::string> UnreleasedDaemons(const std::string& service,
                                          const RegisteredDaemons& registered,
                                          common::Term new_term, common::Instant now) const;
  /// @return names of the other daemons that may hold leases.
  std::set<std::string> OtherDaemons(const RegisteredDaemons& registered,
                                     common::Instant now) const;
  /// @return a live daemon's report of the group, or nullptr.
  const GroupReport* LiveReport(const std::string& daemon, const std::string& service,
                                common::Instant now) const;
  /// @return names of the daemons that do not report complete bounds of what they have
  /// acknowledged, separated by blanks.
  std::string UncoveredDaemons(const GroupState& group, const RegisteredDaemons& registered,
                               common::Instant now) const;
  /// @return bounds of the last commit that any daemon has acknowledged, as far as reported.
  group::AcknowledgedBounds AcknowledgedByAll(const GroupState& group) const;
  void ExecuteAll(GroupState& group, const std::vector<failover::AttemptAction>& actions,
                  common::Instant now);
  void Execute(GroupState& group, const failover::SendControl& action, common::Instant now);
  void Execute(GroupState& group, const failover::RequestLeaseRelease& action, common::Instant now);
  void Execute(GroupState& group, const failover::WriteRecord& action, common::Instant now);
  void Execute(GroupState& group, const failover::RequestInstanceList& action, common::Instant now);
  void Execute(GroupState& group, const failover::RequestPromotion& action, common::Instant now);
  void Execute(GroupState& group, const failover::AttemptLogEntry& action, common::Instant now);
  /// Logs which replicas a replacement waits for.
  void LogInfeasible(const failover::GroupView& view, const std::string& reason);
  /// Removes the entry of a replacement that did not take place from the leadership record.
  void DropStaleEntry(GroupState& group, common::Instant now);
  void AdvanceAttempt(const std::string& service, const model::Configuration& configuration,
                      const RegisteredDaemons& registered, common::Instant now);

  const ProxySettings& settings_;
  BackendSet& backends_;
  GroupSet& groups_;
  const access::rule_set& access_;
  const PeerTable& peers_;
  const membership::live_view& view_;
  const relay::role_map& roles_;
  HolderKeeper& holders_;
  Outbox& outbox_;
  failover::Leadership leadership_;
  std::map<std::string, std::unique_ptr<failover::Attempt>> attempts_;  // by service
  std::map<std::string, PendingReplacement> pending_replacements_;      // by service
  std::map<std::string, common::Instant> not_before_;                   // by service
  std::map<std::string, PlannedPause> planned_pauses_;                  // by service
  std::map<CallNumber, std::string> record_writes_;                     // service by call
  std::map<CallNumber, std::string> promotions_;                        // service by call
  common::Instant evaluation_due_{0};
  bool any_primary_suspected_ = false;  // by a live daemon, at the last evaluation
  StoreView store_;
  bool list_requested_ = false;
  bool fence_announced_ = false;
};

}  // namespace valvekeel::proxy
