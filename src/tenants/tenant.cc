#include "tenants/tenant.h"

#include "common/stable_hash.h"

namespace valvekeel::tenants {
namespace {

constexpr double MICROSECONDS_IN_SECOND = 1e6;

}  // namespace

std::uint32_t id_of(const std::string& tenant) {
  return static_cast<std::uint32_t>(common::StableHash("tenant", tenant));
}

double allowed_in_window(const tenant& of, const tenant_policy& policy) {
  const double seconds = static_cast<double>(policy.rate_window.count()) / MICROSECONDS_IN_SECOND;
  return of.rate * seconds + of.burst;
}

}  // namespace valvekeel::tenants
