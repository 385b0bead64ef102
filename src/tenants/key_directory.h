/**
 * @file Maps API keys to the tenants that own them.
 *
 * Owns: the map from keys to tenants of one version of the configuration. Invariant: a key belongs
 * to one tenant. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "tenants/key_digest.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

/** The tenants of one configuration by key. */
class key_directory {
 public:
  /** Replaces all tenants. */
  void set(const std::map<std::string, tenant>& tenants);

  /** @return the tenant's name, null if no tenant has the key. Valid until the next `set`. */
  const std::string* find(const key_digest& key) const;

 private:
  std::unordered_map<key_digest, std::string, key_digest_hash> by_key;
};

}  // namespace valvekeel::tenants
