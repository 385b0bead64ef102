#include "tenants/tenant.h"

#include "common/stable_hash.h"

namespace valvekeel::tenants {

std::uint32_t tenant_id_of(const std::string& tenant) {
  return static_cast<std::uint32_t>(common::StableHash("tenant", tenant));
}

}  // namespace valvekeel::tenants
