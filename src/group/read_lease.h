// Right to read at the primary of one database group.
//
// A cut-off primary goes on answering reads after another instance was promoted. A promotion first
// fences so many instances that every majority of the group holds one of them. So while a majority,
// asked no longer than the lease time ago, knew no later term, reads there are still current: the
// promoter waits out the lease time after fencing, or until every daemon has let go.
//
// Owns: the newest confirmed round and the rounds in progress. Invariant: Holds() is true only less
// than kLeaseTime after the start of a round in which a majority reported no term above the
// lease's, and never for a term that was released. Pure. Thread: its host's.
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

/// Number of a round of questions.
using RoundNumber = std::uint64_t;

/// How long after the start of a confirmed round reads at the primary are allowed. A promoter waits
/// this long for daemons that do not say that they let go.
inline constexpr common::Duration kLeaseTime{1'000'000};

/// A confirmed round.
struct Confirmation {
  common::Term term = 0;
  std::string primary;
  common::Instant started{0};
};

class ReadLease {
 public:
  /// Starts a round. @param members size of the group, the primary included.
  RoundNumber StartRound(std::size_t members, common::Instant now);

  /// Takes an instance's answer. @return true if the round is confirmed by it.
  bool OnAnswer(RoundNumber round, const std::string& instance,
                const model::InstanceStatus& status);

  /// Takes a confirmation that another daemon vouches for.
  /// @param confirmation with the start on this host's clock, not later than it really was.
  void Renew(const Confirmation& confirmation);

  /// Lets go of all terms up to this one, for good.
  void Release(common::Term term);

  bool Holds(common::Instant now) const;

  /// @return true if the lease held at this instant, as far as is known now.
  bool HeldAt(common::Instant instant, common::Term term) const;

  const Confirmation& Newest() const { return newest_; }
  common::Term ReleasedTerm() const { return released_term_; }

 private:
  struct Round {
    std::size_t members = 0;
    common::Instant started{0};
    std::map<std::string, model::InstanceStatus> answers;
    common::Position
        required_position;  // that a primary of its term must have reached, when the round started
  };

  bool TryConfirm(const Round& round);
  /// @return true if the primary holds what others of the group have received in its term. One that
  /// has started again under its id may lead on with less.
  bool HasCompleteLog(const Round& round, const std::string& primary) const;

  Confirmation newest_;
  common::Term released_term_ = 0;
  common::Position
      highest_received_;  // highest position heard of an entry of its instance's own term
  std::map<RoundNumber, Round> rounds_;
  RoundNumber next_round_ = 1;
};

}  // namespace valvekeel::group
