/**
 * @file Which region a zone lies in.
 *
 * Owns: the map that the settings tell. Invariant: none. Pure. Thread: any.
 */
#pragma once

#include <map>
#include <set>
#include <string>

namespace valvekeel::regions {

class region_directory {
 public:
  /** @param by_zone  the region of each zone of the deployment */
  explicit region_directory(std::map<std::string, std::string> by_zone);

  /** @return the zone's region, empty if it is not known. */
  const std::string& region_of(const std::string& zone) const;

  /** @return all regions of the deployment. */
  const std::set<std::string>& all() const { return this->names; }

 private:
  std::map<std::string, std::string> by_zone;
  std::set<std::string> names;
};

}  // namespace valvekeel::regions
