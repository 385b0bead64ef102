// Chooses the instances that may serve a read, best first.
//
// Owns: nothing. Invariant: an instance other than the usable primary is offered only together with
// the position that its log must hold. Pure. Thread: its host's.
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

/// One place where a read may run.
struct Placement {
  std::string instance;
  std::optional<common::Position> required;  // that the instance must hold
  common::Duration age{0};                   // of the newest commit that must be there
  bool is_own_commit = false;                // that commit is the session's own
  double cost_us = 0;                        // expected time and price, for ordering
};

struct ReadParameters {
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration max_staleness{0};
  common::Instant arrived{0};
  common::Position own_commit;
  common::Instant own_commit_at{0};
};

class ReadPlacement {
 public:
  ReadPlacement(const ProxySettings& settings, const BackendSet& backends,
                const access::rule_set& access)
      : settings_(settings), backends_(backends), access_(access) {}

  /// @param usable_primary empty if there is none now. @return places in order of cost; behind
  /// them those that take only what the others have no room for.
  std::vector<Placement> Candidates(const GroupState& group, const std::string& usable_primary,
                                    const std::vector<std::string>& members,
                                    const ReadParameters& read, const access::work& work,
                                    common::Instant now) const;

  /// What a replica must hold for a read.
  struct Requirement {
    common::Position position;
    common::Duration age{0};     // since the newest commit that it covers was acknowledged
    bool is_own_commit = false;  // it is the session's own commit
  };

  /// @return the requirement, or nothing if none is known: then only the primary will do.
  static std::optional<Requirement> FindRequirement(const GroupState& group,
                                                    const ReadParameters& read,
                                                    common::Instant now);

  /// @return true if the instance takes new work.
  bool AcceptsWork(const Backend& backend, common::Instant now) const;

 private:
  /// @return what the way to a zone adds to the cost.
  double NetworkCost(const std::string& zone) const;
  double Cost(const Backend& backend, common::Instant now) const;
  /// @return the place, without regard to the access rules; nothing if the read can't run there.
  std::optional<Placement> PlacementOn(const Backend& backend, bool primary,
                                       const GroupState& group,
                                       const std::optional<Requirement>& required,
                                       common::Instant now) const;

  const ProxySettings& settings_;
  const BackendSet& backends_;
  const access::rule_set& access_;
};

}  // namespace valvekeel::proxy
