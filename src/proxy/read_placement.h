// Selects the instances that may serve a read, in order of expected cost.
//
// Invariant: an instance other than the usable primary is returned only together with the position
// that its log must contain. No I/O and no clock; not thread-safe.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "access/rule_set.h"
#include "common/position.h"
#include "proxy/backend_set.h"
#include "proxy/caller_session.h"
#include "proxy/group_set.h"
#include "proxy/proxy_settings.h"

namespace valvekeel::proxy {

/// An instance on which a read may run.
struct Placement {
  std::string instance;
  std::optional<common::Position> required;  // that the instance must contain
  common::Duration age{0};                   // of the newest commit that must be contained
  bool is_own_commit = false;                // that commit is one of the session
  double cost_us = 0;                        // expected time and network price, for ordering
};

/// Consistency that a read requires, and the session's last commit.
struct ReadParameters {
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration max_staleness{0};
  common::Instant arrived{0};
  common::Position own_commit;
  common::Instant own_commit_at{0};
};

/// Ranks a group's instances for a read.
class ReadPlacement {
 public:
  ReadPlacement(const ProxySettings& settings, const BackendSet& backends,
                const access::rule_set& access)
      : settings_(settings), backends_(backends), access_(access) {}

  /// @param usable_primary empty if there is none now. @return placements in order of cost,
  /// followed by those on instances that serve only what exceeds the capacity of the others.
  std::vector<Placement> Candidates(const GroupState& group, const std::string& usable_primary,
                                    const std::vector<std::string>& members,
                                    const ReadParameters& read, const access::work& work,
                                    common::Instant now) const;

  /// The position that a replica must contain for a read.
  struct Requirement {
    common::Position position;
    common::Duration age{0};     // time since the newest commit that it covers was acknowledged
    bool is_own_commit = false;  // the position is that of a commit of the session
  };

  /// @return the requirement, or nothing if none is known; then only the primary can serve the
  /// read.
  static std::optional<Requirement> FindRequirement(const GroupState& group,
                                                    const ReadParameters& read,
                                                    common::Instant now);

  /// @return true if the instance accepts new work.
  bool AcceptsWork(const Backend& backend, common::Instant now) const;

 private:
  /// @return the network cost of a zone, in microseconds.
  double NetworkCost(const std::string& zone) const;
  double Cost(const Backend& backend, common::Instant now) const;
  /// @return the placement, without regard to the access rules; nothing if the read can't run
  /// there.
  std::optional<Placement> PlacementOn(const Backend& backend, bool primary,
                                       const GroupState& group,
                                       const std::optional<Requirement>& required,
                                       common::Instant now) const;

  const ProxySettings& settings_;
  const BackendSet& backends_;
  const access::rule_set& access_;
};

}  // namespace valvekeel::proxy
