/**
 * @file Maps zones to regions.
 *
 * Owns: the map from the settings, which never changes. No I/O and no clock; safe in any thread.
 */
#pragma once

#include <map>
#include <set>
#include <string>

namespace valvekeel::regions {

/** The regions of the deployment and their zones. */
class region_directory {
 public:
  /** @param by_zone  the region of each zone of the deployment */
  explicit region_directory(std::map<std::string, std::string> by_zone);

  /** @return the zone's region; empty if the zone is not in the settings. */
  const std::string& region_of(const std::string& zone) const;

  /** @return all regions of the deployment. */
  const std::set<std::string>& all() const { return this->names; }

 private:
  std::map<std::string, std::string> by_zone;
  std::set<std::string> names;
};

}  // namespace valvekeel::regions
