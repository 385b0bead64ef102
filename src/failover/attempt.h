// Replaces the primary of one group, step by step.
//
//   claim     write the leadership record
//   fence     pause replication at so many replicas that the old primary can't get a commit
//             acknowledged, and that every majority of the group contains a paused one;
//             the old primary is demoted too if it answers
//   release   wait until every daemon has released its read lease of the old primary, or until
//             the lease time has passed; unless the daemons then know what they acknowledged, until
//             the store has listed the instances since; instances that become known are fenced too;
//             choose the candidate
//   record    write the leadership record again, with the candidate
//   promote   ask the platform to promote the candidate
//   verify    wait until the candidate reports that it is the primary
//
// If the store is restored from an older copy, the claim may be lost. The attempt then starts again
// with a claim in the new era.
//
// Owns: the state of one attempt. Invariant: the promotion is requested only while the leadership
// allows it, with the candidate of the highest position among the fenced replicas; so many of the
// recorded and listed ones are fenced that one of them holds every acknowledged commit, and it
// holds all that daemons report to have acknowledged. No I/O and no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/position.h"
#include "common/time.h"
#include "failover/leadership.h"
#include "group/acknowledged_commits.h"
#include "model/leader_fitness.h"
#include "model/reply.h"
#include "model/request.h"

namespace valvekeel::failover {

/// One instance of the group.
struct MemberView {
  std::string id;
  bool draining = false;
  bool reachable = false;
  bool terminated = false;  // not counted as a replica; still fenced if it restarts
  bool unlisted = false;    // no longer in the catalog; may still hold the only copy of a commit
  model::LeaderFitness fitness = model::LeaderFitness::kFit;
};

/// Local view of the group.
struct GroupView {
  std::string service;
  common::Term term = 0;  // of the known primary
  std::string primary;    // empty if none is known
  std::uint32_t sync_replicas = 0;
  std::vector<MemberView> members;
  bool one_fence_is_enough = false;   // for tests of the checkers only
  std::size_t reported_replicas = 0;  // highest count reported by other daemons
  common::Position commit_floor;      // the candidate must hold it, because of terminated replicas
  group::AcknowledgedBounds acknowledged;  // as reported by this and the other daemons
  /// All daemons report complete bounds. Those of daemons that have released their lease are final.
  bool acknowledged_complete = false;
  std::optional<common::Instant> holders_as_of;  // when the record of commit holders was asked for
  std::optional<common::Instant> members_as_of;  // when a list of all instances was asked for
  /// Instances that are not counted, though the old primary may still reach them. With any, only
  /// the positions that the daemons have seen speak for what they hold.
  std::vector<std::string> silent_holders;
  /// No daemon can lease the old primary's term again, although the primary may be well.
  bool primary_unusable = false;
  bool primary_restarted = false;  // under its id, perhaps without its log
  std::size_t lost_logs = 0;  // restarted replicas that may have held the only copy of a commit
  std::set<std::string> unreleased_daemons;  // may still read from the old primary
  /// Set for a planned replacement: the candidate must have a higher fitness than this.
  std::optional<model::LeaderFitness> fitness_to_exceed;
};

/// Sends a control request to an instance.
struct SendControl {
  std::string instance;
  model::ControlRequest request;
};

/// Asks all daemons to release their read leases for the replaced primary's term.
struct RequestLeaseRelease {
  common::Term replaced_term = 0;
};

/// Writes the leadership record, if it still has the expected revision.
struct WriteRecord {
  ConditionalWrite write;
};

/// Asks the store for the present list of instances.
struct RequestInstanceList {};

/// Asks the platform to promote the candidate.
struct RequestPromotion {
  std::string candidate;
  std::string holder;
  std::uint64_t token = 0;
  common::Instant valid_until{0};  // it must not be sent at this time or later
};

/// An entry for the log.
struct AttemptLogEntry {
  std::string step;
  std::string detail;
};

using AttemptAction = std::variant<SendControl, RequestLeaseRelease, WriteRecord,
                                   RequestInstanceList, RequestPromotion, AttemptLogEntry>;

/// How the platform answered a promotion request.
enum class PromotionStatus : std::uint8_t { kAccepted, kNotRunning, kRefused, kNoAnswer };

/// @return the status's name in logs.
const char* PromotionStatusName(PromotionStatus status);

/// Steps of an attempt, in order; the last two are its ends.
enum class Step : std::uint8_t {
  kClaim,
  kFence,
  kRelease,
  kRecord,
  kPromote,
  kVerify,
  kFinished,
  kGivenUp,
};

/// @return the step's name in logs.
const char* StepName(Step step);

/// How many replicas must be fenced for a replacement, and how many can be.
struct FenceCount {
  std::size_t needed = 0;
  std::size_t reachable = 0;
  std::size_t replicas = 0;  // in total
};

/// One attempt to replace the primary of a group. The caller carries out the returned actions and
/// passes their results back.
class Attempt {
 public:
  /// @param leadership of this daemon; must outlive the attempt.
  Attempt(std::string service, Leadership& leadership, common::Instant now);

  /// Runs as many steps as currently possible. @return the actions for the caller to carry out.
  std::vector<AttemptAction> Advance(const GroupView& view, common::Instant now);

  /// Handles an instance's answer to a control request. @param status empty if there was no answer.
  void OnControlAnswer(const std::string& instance, const model::ControlRequest& request,
                       const std::optional<model::InstanceStatus>& status, common::Instant now);

  /// Handles a restart of an instance: its fence is lifted and its log is lost.
  void OnMemberRestarted(const std::string& instance, common::Instant now);

  /// @return how many replicas must be fenced, and how many are reachable.
  static FenceCount CountFences(const GroupView& view);

  /// @return true if enough replicas are reachable to replace the primary, or if what the daemons
  /// have acknowledged may show that one replica is enough.
  static bool IsFeasible(const GroupView& view);

  /// Handles the result of writing the record. @param is_holder the return value of
  /// Leadership::OnWriteResult.
  void OnRecordWritten(bool is_holder);

  /// Handles the answer to the outstanding promotion request; ignored if there is none.
  void OnPromotionAnswer(PromotionStatus status);

  const std::string& Service() const { return service_; }
  Step CurrentStep() const { return step_; }
  bool Ended() const { return step_ == Step::kFinished || step_ == Step::kGivenUp; }
  const std::string& Candidate() const { return candidate_; }
  common::Term ReplacedTerm() const { return old_term_; }

 private:
  struct Fenced {
    common::Position received;
    common::Term term = 0;
  };
  struct SentRequest {
    common::Instant sent{0};
    bool waiting = false;
  };

  using Actions = std::vector<AttemptAction>;

  void Enter(Step step, common::Instant now);
  /// @return true if the claim was written in an earlier era than the store's present one.
  bool ClaimIsLost() const;
  void RestartClaim(common::Instant now, Actions& actions);
  void GiveUp(const GroupView& view, const std::string& reason, common::Instant now,
              Actions& actions);
  void Claim(common::Instant now, Actions& actions);
  /// Saves the record's present entry of the service, which the claim is about to overwrite.
  void SaveEarlierAttempt();
  /// @return the service's entry to write to the record when this attempt is given up.
  model::AttemptRecord RecordAfterGiveUp() const;
  /// @return true if an earlier attempt to replace this or a later primary was started. It may have
  /// succeeded.
  bool EarlierReplacementStarted() const { return earlier_attempt_.replaced_term >= old_term_; }
  void Fence(const GroupView& view, common::Instant now, Actions& actions);
  void AwaitRelease(const GroupView& view, common::Instant now, Actions& actions);
  void Record(const GroupView& view, common::Instant now, Actions& actions);
  void Promote(common::Instant now, Actions& actions);
  void Verify(const GroupView& view, common::Instant now, Actions& actions);
  void ApplyFenceAnswer(const std::string& instance, const model::ControlRequest& request,
                        const model::InstanceStatus& status, common::Instant now);
  void SendIfDue(const std::string& instance, const model::ControlRequest& request,
                 common::Duration interval, common::Instant now, Actions& actions);
  void DemoteOldPrimary(const GroupView& view, common::Instant now, Actions& actions);
  /// Sends a fence to each member that is not fenced yet, the old primary excepted.
  void FenceMembers(const GroupView& view, common::Instant now, Actions& actions);
  /// @return true if the candidate holds all that any daemon has acknowledged or ever will: no
  /// other instance can hold an acknowledged commit alone.
  bool HoldsAllAcknowledged(const GroupView& view) const;
  /// @return what the choice of a candidate still waits for, or an empty text.
  std::string PendingCondition(const GroupView& view, common::Instant now) const;
  /// @return true if no daemon can hold a read lease of the old primary any more.
  bool LeasesReleased(const GroupView& view, common::Instant now) const;
  /// Requests what the release step waits for, if it is time to repeat the request.
  void RepeatRequests(const GroupView& view, common::Instant now, Actions& actions);
  /// @return true if the store was asked for all instances at this time or later.
  static bool IsListedSince(common::Instant instant, const GroupView& view);
  void RequestList(common::Instant now, Actions& actions);
  /// @return true if an earlier attempt may have promoted an instance that is not fenced.
  bool EarlierPromotionMayStand(const GroupView& view) const;
  /// @return true if promoting the old primary again may be the only way.
  static bool MayNeedOldPrimary(const GroupView& view);
  /// Requests the release of all leases and waits for it.
  void BeginRelease(const GroupView& view, common::Instant now, Actions& actions);
  /// @return true if the old primary was demoted and fenced and may be promoted again.
  bool OldPrimaryMayLead(const GroupView& view) const;
  void LogWait(const std::string& reason, Actions& actions);
  /// @return what a candidate must hold, and what the fenced instances hold, for the log.
  std::string PositionsText(const GroupView& view) const;
  /// @return ids of the replicas that are counted but not fenced, separated by blanks.
  std::string UnfencedReplicas(const GroupView& view) const;
  void ResumeOtherReplicas(const GroupView& view, Actions& actions);
  std::size_t FencedReplicas(const GroupView& view) const;
  bool ChooseCandidate(const GroupView& view);
  static std::size_t ReplicaCount(const GroupView& view);
  static std::size_t RequiredFences(const GroupView& view);

  std::string service_;
  Leadership& leadership_;
  Step step_ = Step::kClaim;
  common::Instant step_entered_at_{0};
  common::Instant created_at_{0};
  model::AttemptRecord earlier_attempt_;  // entry in the record before this attempt
  std::uint64_t claimed_era_ = 0;
  common::Term old_term_ = 0;
  common::Term fence_term_ = 0;
  bool another_primary_leads_ = false;
  bool old_primary_demoted_ = false;
  std::set<std::string> primaries_of_old_term_;  // the old primary, returned under an unknown id
  std::set<std::string> primaries_of_earlier_terms_;  // returned, still leading
  bool write_failed_ = false;
  bool write_done_ = false;
  std::map<std::string, Fenced> fenced_;
  std::map<std::string, SentRequest> requests_;
  common::Instant fenced_at_{0};
  common::Instant release_requested_at_{0};
  common::Instant released_at_{0};  // when no daemon could hold a lease any more; 0: not yet
  common::Instant list_requested_at_{0};
  std::string waits_for_;  // as logged last
  std::string candidate_;
  bool candidate_holds_all_ = false;  // whatever instances become known
  std::optional<PromotionStatus> promotion_;
  common::Instant promotion_sent_at_{0};
  bool promotion_outstanding_ = false;
  bool promotion_was_sent_ = false;
  std::set<std::string> excluded_candidates_;  // not running, or restarted after the request
  bool candidate_leads_ = false;
};

}  // namespace valvekeel::failover
