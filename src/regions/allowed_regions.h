/**
 * @file Defines the set of regions where work may run.
 *
 * Invariant: "everywhere" and "nowhere" are different values; the intersection of two lists without
 * a common region is nowhere. Values only; safe in any thread.
 */
#pragma once

#include <set>
#include <string>
#include <vector>

namespace valvekeel::regions {

/** A set of regions, or all regions. */
class allowed_regions {
 public:
  /** Allows every region. */
  allowed_regions() = default;

  /** @param named  the configured list; an empty one allows every region */
  explicit allowed_regions(const std::vector<std::string>& named)
      : names(named.begin(), named.end()), is_everywhere(named.empty()) {}

  /** @return the regions that this set and the other one both allow. */
  allowed_regions intersect(const allowed_regions& other) const;

  /** @param region  empty if it is unknown; only "everywhere" allows an unknown region */
  bool allows(const std::string& region) const {
    return this->is_everywhere || (!region.empty() && this->names.contains(region));
  }

  bool everywhere() const { return this->is_everywhere; }

  /** @return true if at least one of the regions is allowed. */
  bool allows_any(const std::set<std::string>& regions) const;

  bool operator==(const allowed_regions&) const = default;

 private:
  std::set<std::string> names;
  bool is_everywhere = true;
};

}  // namespace valvekeel::regions
