// Confirms that commits survive a change of primary before they are acknowledged.
//
// Owns: the commits waiting for confirmation. Invariant: a commit is confirmed only when a majority
// of the group's instances, the primary among them, has reported the commit's term and position in
// answers to probes sent after the commit; then every electable successor holds it. Safety
// depends on no clock: a deadline only ends a wait. No I/O and no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::confirmation {

/// Number of a commit or barrier within one confirmation.
using PendingNumber = std::uint64_t;

/// How a wait for confirmation ended.
enum class ConfirmationResult : std::uint8_t {
  kConfirmed,
  kSuperseded,  // an instance reports a later term
  kTimedOut,
};

/// The end of the wait of one commit or barrier.
struct Resolution {
  PendingNumber number = 0;
  ConfirmationResult result = ConfirmationResult::kTimedOut;
};

/// An instance's answer to a probe.
struct ProbeAnswer {
  common::Term term = 0;
  common::Lsn received = 0;
};

/// Number of a probe; links an answer to the commits that were pending when it was sent.
using ProbeNumber = std::uint64_t;

/// Counts the votes of the other instances of one group.
class MajorityConfirmation {
 public:
  /// @param instances size of the group, the primary included.
  explicit MajorityConfirmation(std::size_t instances) : instances_(instances) {}

  void SetInstances(std::size_t instances) { instances_ = instances; }

  /// Adds a commit that the primary itself has just reported at this position and term.
  /// @param position_needed false for a barrier, which needs only the term to be current.
  /// @return its resolution at once if the primary alone is a majority, else nothing.
  std::vector<Resolution> Add(PendingNumber number, common::Position position, bool position_needed,
                              common::Instant deadline);

  /// @return true if an answer of the instance could confirm a pending commit.
  bool NeedsProbe(const std::string& instance) const;

  /// Registers a probe that is sent to the instance now. Its answer counts for the commits pending
  /// at this time.
  ProbeNumber StartProbe(const std::string& instance);

  std::vector<Resolution> OnProbeAnswer(ProbeNumber probe, const ProbeAnswer& answer);
  void OnProbeFailed(ProbeNumber probe) { probes_.erase(probe); }

  /// Ends the waits whose deadline has passed.
  std::vector<Resolution> Expire(common::Instant now);

  std::size_t PendingCount() const { return pending_.size(); }

 private:
  struct Pending {
    common::Position position;
    bool position_needed = true;
    common::Instant deadline{0};
    std::set<std::string> votes;
  };
  struct Probe {
    std::string instance;
    PendingNumber last_covered = 0;
  };

  bool HasMajority(const Pending& pending) const;

  std::size_t instances_;
  std::map<PendingNumber, Pending> pending_;
  std::map<ProbeNumber, Probe> probes_;
  ProbeNumber next_probe_ = 1;
  PendingNumber last_added_ = 0;
};

}  // namespace valvekeel::confirmation
