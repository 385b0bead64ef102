#include "regions/region_directory.h"

#include <utility>

namespace valvekeel::regions {
namespace {

const std::string UNKNOWN;

}  // namespace

region_directory::region_directory(std::map<std::string, std::string> by_zone)
    : by_zone(std::move(by_zone)) {
  for (const auto& [zone, region] : this->by_zone) {
    this->names.insert(region);
  }
}

const std::string& region_directory::region_of(const std::string& zone) const {
  const auto found = this->by_zone.find(zone);
  return found == this->by_zone.end() ? UNKNOWN : found->second;
}

}  // namespace valvekeel::regions
