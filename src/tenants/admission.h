/**
 * @file Whether a caller's operation may run, and for which tenant.
 *
 * Owns: the keys in force, how fresh they are known to be, and the counts against limits.
 * Invariant: with keys required, nothing is admitted on a key that is not in force, nor without
 * proof that it was a moment ago. Pure. Thread: its host's.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "tenants/freshness.h"
#include "tenants/key_directory.h"
#include "tenants/rate_limiter.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

enum class admission_outcome : std::uint8_t {
  admitted,
  unknown_key,  // no tenant has the key
  unproven,     // the keys in force may be out of date
  over_limit,   // the tenant's rate is used up
};

/** What was decided about a caller. */
struct admission_result {
  admission_outcome outcome = admission_outcome::admitted;
  std::string tenant;               // empty on a public route, and where no keys are used
  common::Duration retry_after{0};  // time until another try is worth it
  common::Duration proof_age{-1};   // since the keys were known to be in force; negative: never
};

/** Counters for metrics. */
struct admission_counters {
  std::uint64_t unknown_key = 0;
  std::uint64_t unproven = 0;
  std::uint64_t over_limit = 0;
};

class admission {
 public:
  explicit admission(const tenant_policy& policy);

  /** Takes a new configuration's tenants. */
  void set_configuration(std::uint64_t version, const std::map<std::string, tenant>& tenants);

  /** Finds out for whom a caller's statement would run, without counting it. */
  admission_result identify(bool is_public, const key_digest& key, common::Instant now) const;

  /** @return the tenant that has the key, as far as is known here; empty if there is none. Admits
   * nothing. */
  std::string tenant_of(const key_digest& key) const;

  /** The same as identify for a new operation, which counts against the tenant's limit. */
  admission_result admit(bool is_public, const key_digest& key, common::Instant now);

  /** Counts a refusal that followed from a result. */
  void record_refusal(admission_outcome outcome);

  /** @return true if nothing keyed can be admitted now for want of proof. */
  bool is_unproven(common::Instant now) const { return !this->proofs.is_fresh(this->version, now); }

  freshness& proof() { return this->proofs; }
  const freshness& proof() const { return this->proofs; }
  rate_limiter& limiter() { return this->rates; }
  const rate_limiter& limiter() const { return this->rates; }
  std::uint64_t configuration_version() const { return this->version; }
  const admission_counters& counters() const { return this->counts; }

 private:
  const tenant_policy& policy;
  key_directory keys;
  freshness proofs;
  rate_limiter rates;
  std::uint64_t version = 0;
  admission_counters counts;
};

}  // namespace valvekeel::tenants
