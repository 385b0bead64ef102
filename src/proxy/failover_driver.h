// Starts and drives replacements of primaries.
//
// Owns: this daemon's leadership and its attempts, one a group at most. Invariant: only a daemon
// that reaches the metadata store starts an attempt; of several the current holder goes first, then
// the others in order of their names. Pure. Thread: its host's.
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
#include "proxy/outbox.h"
#include "proxy/peer_table.h"
#include "proxy/proxy_settings.h"
#include "relay/role_map.h"

namespace valvekeel::proxy {

/// The daemons in the store, by name.
using RegisteredDaemons = std::map<std::string, model::DaemonEntry>;

class FailoverDriver {
 public:
  FailoverDriver(const ProxySettings& settings, BackendSet& backends, GroupSet& groups,
                 const access::rule_set& access, const PeerTable& peers,
                 const membership::live_view& view, const relay::role_map& roles, Outbox& outbox);

  /// Takes the leadership record as the store has it. @param revision of number 0 if there is none.
  void OnRecordRead(const model::LeadershipRecord& record, const model::Revision& revision,
                    common::Instant now);

  /// The store's history is of this era now: claims of an earlier one are gone from it.
  void BeginEra(std::uint64_t era, common::Instant now) { leadership_.BeginEra(era, now); }

  /// An instance has started again under its id: it holds nothing that attempts know of it.
  void OnMemberRestarted(const model::InstanceEntry& entry, common::Instant now);

  void OnRecordWritten(CallNumber call, const failover::WriteResult& result, common::Instant now);
  void OnPromotionAnswered(CallNumber call, failover::PromotionStatus status, common::Instant now);

  /// @param configuration in force. @param registered all daemons in the store.
  void Tick(const model::Configuration& configuration, const RegisteredDaemons& registered,
            bool store_connected, common::Instant now);

  /// @return true if an attempt is in progress here.
  bool HasAttempts() const { return !attempts_.empty(); }

  /// @return true since the last call if the other daemons should hear of a fence at once.
  bool ConsumeFenceAnnounced() { return std::exchange(fence_announced_, false); }

 private:
  /// Why a primary should be replaced.
  struct ReplacementCause {
    std::string reason;  // empty: it should not
    /// Of a replacement that is worth nothing unless the new primary suits better than this.
    std::optional<model::LeaderFitness> better_than;
  };
  /// After replacements by plan that failed, until the next.
  struct PlannedPause {
    common::Duration length{0};
    common::Instant until{0};
  };
  /// Notes how an attempt ended, for the pause before the next replacement by plan.
  void RecordPlannedResult(const std::string& service, bool finished, common::Instant now);
  struct PendingReplacement {
    common::Instant since{0};
    ReplacementCause cause;
  };

  ReplacementCause CauseOf(const GroupState& group, common::Instant now) const;
  /// @return the need that follows from how well the primary suits, if another suits better.
  ReplacementCause FitnessCause(const GroupState& group, const Backend& primary,
                                common::Instant now) const;
  /// @return true if the service is to be looked at now: while it is replaced, or is to be, at
  /// once.
  bool ShouldEvaluate(const std::string& service, bool all) const;
  bool IsSuspectedByEnough(const GroupState& group, common::Instant now) const;
  bool IsTurn(const PendingReplacement& wish, common::Instant now) const;
  failover::GroupView ViewOf(const GroupState& group, const model::Service& service,
                             const RegisteredDaemons& registered, common::Term new_term,
                             const ReplacementCause& need, common::Instant now) const;
  /// @return the daemons that may hold a lease of a term below, and have not said that they let go.
  std::set<std::string> UnreleasedDaemons(const std::string& service,
                                          const RegisteredDaemons& registered,
                                          common::Term new_term, common::Instant now) const;
  std::size_t MaxReportedReplicas(const std::string& service, common::Instant now) const;
  void ExecuteAll(GroupState& group, const std::vector<failover::AttemptAction>& actions,
                  common::Instant now);
  void Do(GroupState& group, const failover::SendControl& action, common::Instant now);
  void Do(GroupState& group, const failover::AnnounceFence& action, common::Instant now);
  void Do(GroupState& group, const failover::WriteRecord& action, common::Instant now);
  void Do(GroupState& group, const failover::RequestPromotion& action, common::Instant now);
  void Do(GroupState& group, const failover::AttemptNote& action, common::Instant now);
  /// Takes a replacement that never came about out of the leadership record.
  /// Logs which replicas a replacement waits for.
  void LogInfeasible(const failover::GroupView& view, const std::string& reason);
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
  Outbox& outbox_;
  failover::Leadership leadership_;
  std::map<std::string, std::unique_ptr<failover::Attempt>> attempts_;  // by service
  std::map<std::string, PendingReplacement> pending_replacements_;      // by service
  std::map<std::string, common::Instant> not_before_;                   // by service
  std::map<std::string, PlannedPause> planned_pauses_;                  // by service
  std::map<CallNumber, std::string> record_writes_;                     // service by call
  std::map<CallNumber, std::string> promotions_;                        // service by call
  common::Instant evaluation_due_{0};
  bool any_primary_suspected_ = false;  // to some live daemon, at the last look
  bool store_connected_ = false;
  bool fence_announced_ = false;
};

}  // namespace valvekeel::proxy
