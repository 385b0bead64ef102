// Decides whether work ran in an allowed region, according to the simulated store's configurations.
//
// Owns: every version of the configuration with its time, the regions of the zones. Invariant: it
// shares no code with the daemons' decisions. Not thread-safe.
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

  /// Records a version that was written to the store.
  void RecordVersion(const model::Configuration& configuration, common::Instant now);

  /// @param known  version that the deciding daemon has in force; nothing if it has ended
  /// @return true if a version that the daemon may apply allows the attempt in the zone: the
  /// versions in force within the last kInForceLimit, and those from its known version on, which it
  /// still has if it was disconnected.
  bool Allows(const CallerAttempt& attempt, const std::string& zone,
              const std::optional<std::uint64_t>& known) const;

 private:
  static bool AllowedBy(const model::Configuration& configuration, const CallerAttempt& attempt,
                        const std::string& region);

  std::map<std::string, std::string> region_by_zone_;
  std::vector<std::pair<common::Instant, model::Configuration>> versions_;  // in order of time
};

}  // namespace valvekeel::proxysim
