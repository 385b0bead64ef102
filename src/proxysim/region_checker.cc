#include "proxysim/region_checker.h"

#include <algorithm>

namespace valvekeel::proxysim {
namespace {

/// Maximum time from the write of a version until it is in force, as users require.
constexpr common::Duration kInForceLimit{5'000'000};

bool Includes(const std::vector<std::string>& regions, const std::string& region) {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

void RegionChecker::RecordVersion(const model::Configuration& configuration, common::Instant now) {
  versions_.emplace_back(now, configuration);
}

bool RegionChecker::AllowedBy(const model::Configuration& configuration,
                              const CallerAttempt& attempt, const std::string& region) {
  const auto route = configuration.routes.find(attempt.database);
  if (route != configuration.routes.end() && !Includes(route->second.allowed_regions, region)) {
    return false;
  }
  const tenants::key_digest key = tenants::digest_of(attempt.key);
  return std::all_of(configuration.tenants.begin(), configuration.tenants.end(),
                     [&](const auto& each) {
                       const auto& keys = each.second.keys;
                       const bool holds = std::find(keys.begin(), keys.end(), key) != keys.end();
                       return !holds || Includes(each.second.allowed_regions, region);
                     });
}

bool RegionChecker::Allows(const CallerAttempt& attempt, const std::string& zone,
                           const std::optional<std::uint64_t>& known) const {
  const auto region = region_by_zone_.find(zone);
  const std::string name = region == region_by_zone_.end() ? "" : region->second;
  const common::Instant from = attempt.sent - kInForceLimit;
  for (std::size_t index = 0; index < versions_.size(); ++index) {
    const bool replaced_before = index + 1 < versions_.size() && versions_[index + 1].first < from;
    const bool still_known = known && versions_[index].second.version >= *known;
    if ((!replaced_before || still_known) && AllowedBy(versions_[index].second, attempt, name)) {
      return true;
    }
  }
  return false;
}

}  // namespace valvekeel::proxysim
