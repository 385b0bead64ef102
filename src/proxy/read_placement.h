// Chooses the instances that may serve a read, best first.
//
// Owns: nothing. Invariant: an instance other than the usable primary is offered only together with
// the position that its log must hold. Pure. Thread: its host's.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "proxy/backend_set.h"
#include "proxy/caller_session.h"
#include "proxy/group_set.h"

namespace valvekeel::proxy {

/// One place where a read may run.
struct Placement {
  std::string instance;
  std::optional<common::Position> required;  // of a replica
  double cost_us = 0;                        // expected time and price, for ordering
};

struct ReadNeed {
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration max_staleness{0};
  common::Instant arrived{0};
  common::Position own_commit;
  common::Instant own_commit_at{0};
};

class ReadPlacement {
 public:
  ReadPlacement(const std::string& zone, const BackendSet& backends)
      : zone_(zone), backends_(backends) {}

  /// @param usable_primary empty if there is none now. @return places in order of cost.
  std::vector<Placement> Candidates(const GroupState& group, const std::string& usable_primary,
                                    const std::vector<std::string>& members, const ReadNeed& need,
                                    common::Instant now) const;

  /// @return the position that a replica must hold for the read, or nothing if none is known.
  static std::optional<common::Position> Required(const GroupState& group, const ReadNeed& need);

  /// @return true if the instance takes new work.
  static bool TakesWork(const Backend& backend, common::Instant now);

 private:
  double Cost(const Backend& backend, common::Instant now) const;

  const std::string& zone_;
  const BackendSet& backends_;
};

}  // namespace valvekeel::proxy
