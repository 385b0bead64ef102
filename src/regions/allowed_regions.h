/**
 * @file The regions where work may run.
 *
 * Owns: the typed value. Invariant: "everywhere" and "nowhere" are different values: what two lists
 * without a common region leave is nowhere. Pure. Thread: any (values only).
 */
#pragma once

#include <set>
#include <string>
#include <vector>

namespace valvekeel::regions {

class allowed_regions {
 public:
  /** Everywhere. */
  allowed_regions() = default;

  /** @param named  as configured: an empty list allows every region */
  explicit allowed_regions(const std::vector<std::string>& named)
      : names(named.begin(), named.end()), is_everywhere(named.empty()) {}

  /** @return the regions that both allow. */
  allowed_regions intersect(const allowed_regions& other) const;

  /** @param region  empty if it is not known: then only "everywhere" allows it */
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
