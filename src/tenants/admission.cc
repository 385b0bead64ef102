#include "tenants/admission.h"

namespace valvekeel::tenants {
namespace {

/** Retry-after time of an operation that is refused because the keys are unproven. A daemon that
 * has just started gets a proof within a few calls to the store; on one that is cut off from the
 * store earlier retries would be refused again. */
constexpr common::Duration UNPROVEN_RETRY_AFTER{300'000};

}  // namespace

admission::admission(const tenant_policy& policy)
    : policy(policy),
      proofs(policy.keys_required ? policy.revocation_limit : common::Duration(0)),
      rates(policy) {}

void admission::set_configuration(std::uint64_t version,
                                  const std::map<std::string, tenant>& tenants) {
  this->version = version;
  this->keys.set(tenants);
  this->rates.set_tenants(tenants);
}

admission_result admission::identify(bool is_public, const key_digest& key,
                                     common::Instant now) const {
  admission_result result;
  if (is_public || !this->policy.keys_required) {
    return result;
  }
  const auto age = this->proofs.age(this->version, now);
  result.proof_age = age.value_or(common::Duration(-1));
  if (this->is_unproven(now)) {
    // A key that the local configuration lacks may be a new one.
    result.outcome = admission_outcome::unproven;
    result.retry_after = UNPROVEN_RETRY_AFTER;
    return result;
  }
  const std::string* tenant = this->keys.find(key);
  if (tenant == nullptr) {
    result.outcome = admission_outcome::unknown_key;
    return result;
  }
  result.tenant = *tenant;
  return result;
}

std::string admission::tenant_of(const key_digest& key) const {
  const std::string* tenant = this->keys.find(key);
  return tenant == nullptr ? "" : *tenant;
}

admission_result admission::admit(bool is_public, const key_digest& key, common::Instant now) {
  admission_result result = this->identify(is_public, key, now);
  if (result.outcome != admission_outcome::admitted || result.tenant.empty()) {
    return result;
  }
  const auto wait = this->rates.admit(result.tenant, now);
  if (wait) {
    result.outcome = admission_outcome::over_limit;
    result.retry_after = *wait;
  }
  return result;
}

void admission::record_refusal(admission_outcome outcome) {
  switch (outcome) {
    case admission_outcome::unknown_key:
      ++this->counts.unknown_key;
      return;
    case admission_outcome::unproven:
      ++this->counts.unproven;
      return;
    case admission_outcome::over_limit:
      ++this->counts.over_limit;
      return;
    case admission_outcome::admitted:
      return;
  }
}

}  // namespace valvekeel::tenants
