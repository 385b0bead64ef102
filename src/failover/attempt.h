// One replacement of a group's primary, step by step.
//
//   claim     write the leadership record
//   fence     pause replication at so many replicas that the old primary can't get a commit
//             acknowledged, and that every majority of the group holds one that was paused
//             the old primary is demoted too if it answers
//   release   wait until every daemon let go of reads at the old primary, or the lease time
//   record    write the leadership record again, with the candidate
//   promote   ask the platform to promote the candidate
//   verify    wait until the candidate says that it leads
//
// If the store returns from an older copy, the claim may be gone from it: the attempt begins anew
// with a claim in the new history.
//
// Owns: the state of one attempt. Invariant: the promotion is asked for only while the leadership
// allows it, with the candidate of the highest position among the fenced replicas; these are so
// many that one of them holds every acknowledged commit. Pure. Thread: its host's.
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
#include "model/leader_fitness.h"
#include "model/reply.h"
#include "model/request.h"

namespace valvekeel::failover {

/// One instance of the group.
struct MemberView {
  std::string id;
  bool draining = false;
  bool reachable = false;
  bool terminated = false;  // counts as ended; fenced all the same should it come back
  bool unlisted = false;    // no longer listed; may still hold the only copy of a commit
  model::LeaderFitness fitness = model::LeaderFitness::kFit;
};

/// What the daemon knows of the group.
struct GroupView {
  std::string service;
  common::Term term = 0;  // of the known primary
  std::string primary;    // empty if none is known
  std::uint32_t sync_replicas = 0;
  std::vector<MemberView> members;
  bool one_fence_is_enough = false;   // for tests of the checkers only
  std::size_t reported_replicas = 0;  // as other daemons count them
  common::Position minimum_position;  // that the candidate must hold, for replicas that ended
  std::size_t lost_logs = 0;          // replicas that may have held the only copy of a commit
  std::set<std::string> unreleased_daemons;  // daemons that may still read at the old primary
  /// The replacement is planned: it is worth nothing unless the new primary suits better than this.
  std::optional<model::LeaderFitness> fitness_to_exceed;
};

/// Sends a control request to an instance.
struct SendControl {
  std::string instance;
  model::ControlRequest request;
};

/// Tells all daemons to let go of the replaced primary's term.
struct RequestLeaseRelease {
  common::Term replaced_term = 0;
};

struct WriteRecord {
  ConditionalWrite write;
};

/// Asks the platform to promote.
struct RequestPromotion {
  std::string candidate;
  std::string holder;
  std::uint64_t token = 0;
};

/// A line for the log.
struct AttemptLogEntry {
  std::string step;
  std::string detail;
};

using AttemptAction =
    std::variant<SendControl, RequestLeaseRelease, WriteRecord, RequestPromotion, AttemptLogEntry>;

enum class PromotionStatus : std::uint8_t { kAccepted, kNotRunning, kRefused, kNoAnswer };

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

/// What a replacement needs of the replicas, and what there is.
struct FenceCount {
  std::size_t needed = 0;
  std::size_t reachable = 0;
  std::size_t replicas = 0;  // that are counted here
};

class Attempt {
 public:
  /// @param leadership of this daemon, outlives the attempt.
  Attempt(std::string service, Leadership& leadership, common::Instant now);

  /// Goes on as far as possible. @return what is to be done.
  std::vector<AttemptAction> Advance(const GroupView& view, common::Instant now);

  /// Takes an instance's answer to a control request, nothing if there was none.
  void OnControlAnswer(const std::string& instance, const model::ControlRequest& request,
                       const std::optional<model::InstanceStatus>& status, common::Instant now);

  /// An instance has started again: its fence is gone, and so is what it held.
  void OnMemberRestarted(const std::string& instance, common::Instant now);

  /// @return how many replicas must be fenced, and how many answer.
  static FenceCount CountFences(const GroupView& view);

  /// @return true if so many replicas answer that the primary could be replaced.
  static bool IsFeasible(const GroupView& view);

  /// Takes the result of the record's write. @param held as Leadership::Written returned.
  void OnRecordWritten(bool held);

  void OnPromotionAnswer(PromotionStatus status);

  const std::string& Service() const { return service_; }
  Step CurrentStep() const { return step_; }
  bool Ended() const { return step_ == Step::kFinished || step_ == Step::kGivenUp; }
  const std::string& Candidate() const { return candidate_; }
  common::Term ReplacedTerm() const { return old_term_; }

 private:
  struct Fenced {
    common::Position received;
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
  /// Keeps what the record tells of the service now: the claim is about to be written over it.
  void SaveEarlierAttempt();
  /// @return what the record should tell of the service once this attempt is given up.
  model::AttemptRecord RecordAfterGiveUp() const;
  /// @return true if another replacement of the same primary was begun before, and perhaps done.
  bool EarlierReplacementStarted() const { return earlier_attempt_.replaced_term >= old_term_; }
  void Fence(const GroupView& view, common::Instant now, Actions& actions);
  void AwaitRelease(const GroupView& view, common::Instant now, Actions& actions);
  void Record(const GroupView& view, common::Instant now, Actions& actions);
  void Promote(common::Instant now, Actions& actions);
  void Verify(const GroupView& view, common::Instant now, Actions& actions);
  void ApplyFenceAnswer(const std::string& instance, const model::ControlRequest& request,
                        const model::InstanceStatus& status, common::Instant now);
  void SendIfDue(const std::string& instance, const model::ControlRequest& request,
                 common::Duration pause, common::Instant now, Actions& actions);
  void DemoteOldPrimary(const GroupView& view, common::Instant now, Actions& actions);
  void FenceReturnedReplicas(const GroupView& view, common::Instant now, Actions& actions);
  void ResumeOtherReplicas(const GroupView& view, Actions& actions);
  std::size_t FencedReplicas(const GroupView& view) const;
  bool ChooseCandidate(const GroupView& view);
  static std::size_t ReplicaCount(const GroupView& view);
  static std::size_t RequiredFences(const GroupView& view);

  std::string service_;
  Leadership& leadership_;
  Step step_ = Step::kClaim;
  common::Instant step_entered_at_{0};
  model::AttemptRecord earlier_attempt_;  // what the record told of the service before this attempt
  std::uint64_t claimed_era_ = 0;
  common::Term old_term_ = 0;
  common::Term fence_term_ = 0;
  bool another_primary_leads_ = false;
  bool old_primary_demoted_ = false;
  std::set<std::string>
      primaries_of_old_term_;  // the old primary, back under an id that was not known
  std::set<std::string>
      primaries_of_earlier_terms_;  // replaced before, and back without knowing it
  bool write_failed_ = false;
  bool write_done_ = false;
  std::map<std::string, Fenced> fenced_;
  std::map<std::string, SentRequest> requests_;
  common::Instant fenced_at_{0};
  common::Instant release_requested_at_{0};
  std::string candidate_;
  std::optional<PromotionStatus> promotion_;
  common::Instant promotion_sent_at_{0};
  bool promotion_outstanding_ = false;
  bool promotion_was_sent_ = false;
  std::set<std::string> excluded_candidates_;  // candidates that do not run
  bool candidate_leads_ = false;
};

}  // namespace valvekeel::failover
