// Read lease: the right to read from the primary of one database group.
//
// A primary that is cut off goes on answering reads after another instance was promoted. Before a
// promotion so many instances are fenced that every majority of the group contains one of them. So
// reads from the primary are current while a majority, queried less than the lease time ago,
// reported no later term: the promoting daemon waits after fencing for the lease time, or until
// every daemon has released its lease.
//
// Owns: the newest confirmed round and the rounds in progress. Invariant: Holds() is true only less
// than kLeaseTime after the start of a round in which a majority reported no term above the
// lease's, and never for a term that was released. No I/O and no clock; not thread-safe.
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

/// A confirmed round.
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

  /// Handles an instance's answer. @return true if it confirms the round.
  bool OnAnswer(RoundNumber round, const std::string& instance,
                const model::InstanceStatus& status);

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

  bool TryConfirm(const Round& round);
  /// @return true if the primary's log reaches as far as others of the group have received in its
  /// term. A primary that has restarted under its id may go on leading with less.
  bool HasCompleteLog(const Round& round, const std::string& primary) const;

  Confirmation newest_;
  common::Term released_term_ = 0;
  common::Position highest_received_;  // highest position reported in the reporter's own term
  std::map<RoundNumber, Round> rounds_;
  RoundNumber next_round_ = 1;
};

}  // namespace valvekeel::group
