#include "regions/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace valvekeel::regions {

allowed_regions allowed_regions::intersect(const allowed_regions& other) const {
  if (this->is_everywhere) {
    return other;
  }
  if (other.is_everywhere) {
    return *this;
  }
  allowed_regions common;
  common.is_everywhere = false;
  std::set_intersection(this->names.begin(), this->names.end(), other.names.begin(),
                        other.names.end(), std::inserter(common.names, common.names.end()));
  return common;
}

bool allowed_regions::allows_any(const std::set<std::string>& regions) const {
  return std::any_of(regions.begin(), regions.end(),
                     [this](const std::string& region) { return this->allows(region); });
}

}  // namespace valvekeel::regions
