#include "tenants/key_directory.h"

namespace valvekeel::tenants {

void key_directory::set(const std::map<std::string, tenant>& tenants) {
  this->by_key.clear();
  for (const auto& [name, each] : tenants) {
    for (const key_digest& key : each.keys) {
      this->by_key[key] = name;
    }
  }
}

const std::string* key_directory::find(const key_digest& key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : &found->second;
}

}  // namespace valvekeel::tenants
