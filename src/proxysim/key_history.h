// Records which tenant each key belonged to over time, according to the simulated store.
//
// Owns: the tenants of all keys over time. Invariant: the times of one key increase. Not
// thread-safe.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"

namespace valvekeel::proxysim {

class KeyHistory {
 public:
  /// Records that a key belongs to a tenant from now on. @param tenant empty: to no tenant.
  void Set(const std::string& key, const std::string& tenant, common::Instant now);

  /// @return the key's tenant now, empty if it has none.
  std::string TenantOf(const std::string& key) const;

  /// @return true if the key belonged to the tenant at some time between the two times.
  bool HeldWithin(const std::string& key, const std::string& tenant, common::Instant from,
                  common::Instant to) const;

  /// @return all keys that ever belonged to a tenant.
  std::vector<std::string> Keys() const;

 private:
  std::map<std::string, std::vector<std::pair<common::Instant, std::string>>> holders_;
};

}  // namespace valvekeel::proxysim
