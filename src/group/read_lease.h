// Read lease: the right to read from the primary of one database group.
//
// A primary that is cut off goes on answering reads after another instance was promoted. A lease
// states that no replacement of its term had taken effect when its evidence was gathered; the
// promoting daemon waits after fencing for the lease time, or until every daemon has released its
// lease.
//
// The leadership record names each replacement before anything is fenced, so a read of it can begin
// a lease. A round of a majority can only extend one: while the fences are in place every majority
// contains a fenced instance, but the promotion lifts them, and a member that hears nothing votes
// for the former primary again. By then every lease that was not released has lapsed, so a lapsed
// lease is never revived by a round.
//
// Owns: the newest confirmation, the primary that a round proposes, and the rounds in progress.
// Invariant: Holds() is true only less than kLeaseTime after evidence that no replacement of the
// lease's term had taken effect, and never for a term that was released. No I/O and no clock; not
// thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/position.h"
#include "common/time.h"
#include "model/reply.h"

namespace valvekeel::group {

/// Number of a round, in which the status of every instance of the group is requested.
using RoundNumber = std::uint64_t;

/// How long after the start of a confirmed round reads from the primary are allowed. A promoting
/// daemon waits this long for daemons that do not report the release of their lease.
inline constexpr common::Duration kLeaseTime{1'000'000};

/// A primary, and since when it is known not to have been replaced.
struct Confirmation {
  common::Term term = 0;
  std::string primary;
  common::Instant started{0};
};

/// The read lease of one group, as this daemon holds it.
class ReadLease {
 public:
  /// Starts a round. @param members size of the group, the primary included.
  RoundNumber StartRound(std::size_t members, common::Instant now);

  /// Handles an instance's answer. A majority extends a lease that held when the round started;
  /// otherwise it only proposes a primary. An answer of a later term releases all earlier ones.
  /// @return true if the lease was extended.
  bool OnAnswer(RoundNumber round, const std::string& instance,
                const model::InstanceStatus& status);

  /// @return the primary of the newest round that could not extend the lease, until evidence from
  /// the leadership record confirms or rejects it.
  const std::optional<Confirmation>& Proposed() const { return proposed_; }

  /// Applies the leadership record, as it was at `asked` or later. Begins or extends the lease of
  /// the proposed or the known primary if its term is above `replaced_term`; rejects a proposal
  /// that isn't.
  /// @param replaced_term highest term whose replacement the record names; 0: none.
  /// @return true if the lease was begun or extended.
  bool ConfirmByRecord(common::Term replaced_term, common::Instant asked);

  /// Applies a confirmation that another daemon reports.
  /// @param confirmation with its start on this host's clock, not later than the real start.
  void Renew(const Confirmation& confirmation);

  /// Releases the leases of all terms up to this one, permanently.
  void Release(common::Term term);

  /// @return true if reads from the primary of the newest confirmation are allowed now.
  bool Holds(common::Instant now) const;

  /// @return true if the lease of this term was held at this time, according to the local view.
  bool HeldAt(common::Instant instant, common::Term term) const;

  const Confirmation& Newest() const { return newest_; }
  common::Term ReleasedTerm() const { return released_term_; }

 private:
  struct Round {
    std::size_t members = 0;
    common::Instant started{0};
    std::map<std::string, model::InstanceStatus> answers;
    common::Position required_position;  // minimum for a primary of its term
  };

  /// @return the primary that a majority of the round follows, if any.
  std::optional<Confirmation> MajorityPrimary(const Round& round) const;
  /// @return the number of answers that know no later term than this one.
  static std::size_t CountVotes(const Round& round, common::Term term);
  /// @return true if the primary's log reaches as far as others of the group have received in its
  /// term. A primary that has restarted under its id may go on leading with less.
  bool HasCompleteLog(const Round& round, const std::string& primary) const;

  Confirmation newest_;
  std::optional<Confirmation> proposed_;
  common::Term released_term_ = 0;
  common::Position highest_received_;  // highest position reported in the reporter's own term
  std::map<RoundNumber, Round> rounds_;
  RoundNumber next_round_ = 1;
};

}  // namespace valvekeel::group
