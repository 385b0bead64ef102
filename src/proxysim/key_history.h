// Which tenant held which key when, as the simulated store has taken it.
//
// Owns: the holders of all keys over time. Invariant: times of one key rise. Thread: one.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"

namespace valvekeel::proxysim {

class KeyHistory {
 public:
  /// Notes that a key belongs to a tenant from now on. @param tenant empty: to nobody.
  void Set(const std::string& key, const std::string& tenant, common::Instant now);

  /// @return the key's tenant now, empty if it has none.
  std::string TenantOf(const std::string& key) const;

  /// @return true if the tenant held the key at some time within the span.
  bool HeldWithin(const std::string& key, const std::string& tenant, common::Instant from,
                  common::Instant to) const;

  /// @return names of all keys that ever were.
  std::vector<std::string> Keys() const;

 private:
  std::map<std::string, std::vector<std::pair<common::Instant, std::string>>> holders_;
};

}  // namespace valvekeel::proxysim
