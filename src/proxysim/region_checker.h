// Whether work was where it may be, as the simulated store's configurations say.
//
// Owns: every version of the configuration with its time, the regions of the zones. Invariant: it
// shares no code with what the daemons decide by. Thread: one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "model/catalog.h"
#include "proxysim/history.h"

namespace valvekeel::proxysim {

class RegionChecker {
 public:
  explicit RegionChecker(std::map<std::string, std::string> region_by_zone)
      : region_by_zone_(std::move(region_by_zone)) {}

  /// Notes a version that the store has taken.
  void RecordVersion(const model::Configuration& configuration, common::Instant now);

  /// @param known  version that the deciding daemon has in force; nothing if it has ended
  /// @return true if some version that the daemon may go by lets the attempt be in the zone: those
  /// in force within the time in which a version must take hold, and what it knows if it was out of
  /// touch.
  bool Allows(const CallerAttempt& attempt, const std::string& zone,
              const std::optional<std::uint64_t>& known) const;

 private:
  static bool AllowedBy(const model::Configuration& configuration, const CallerAttempt& attempt,
                        const std::string& region);

  std::map<std::string, std::string> region_by_zone_;
  std::vector<std::pair<common::Instant, model::Configuration>> versions_;  // in order of time
};

}  // namespace valvekeel::proxysim
