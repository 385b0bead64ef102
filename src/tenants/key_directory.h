/**
 * @file Which tenant a key belongs to.
 *
 * Owns: the map from keys to tenants of one version of the configuration. Invariant: a key belongs
 * to one tenant. Pure. Thread: its host's.
 */
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "tenants/key_digest.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

class key_directory {
 public:
  /** Takes all tenants anew. */
  void set(const std::map<std::string, tenant>& tenants);

  /** @return the tenant's name, nothing if the key is not in force. */
  const std::string* find(const key_digest& key) const;

 private:
  std::unordered_map<key_digest, std::string, key_digest_hash> by_key;
};

}  // namespace valvekeel::tenants
