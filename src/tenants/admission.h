/**
 * @file Decides whether a caller's operation may run, and for which tenant.
 *
 * Owns: the valid keys, the proofs of how recent they are, and the counts against rate limits.
 * Invariant: with keys required, an operation is admitted only if its key is valid in the local
 * configuration and a recent proof shows that this configuration was the newest one in the store.
 * No I/O and no clock; not thread-safe.
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
  unproven,     // the local keys may be out of date
  over_limit,   // the tenant's rate is exhausted
};

/** The decision about a caller's operation. */
struct admission_result {
  admission_outcome outcome = admission_outcome::admitted;
  std::string tenant;               // empty on a public route, and where no keys are used
  common::Duration retry_after{0};  // how long the caller waits before it retries
  common::Duration proof_age{-1};   // time since the keys were proven valid; negative: never
};

/** Refusals by reason, for metrics. */
struct admission_counters {
  std::uint64_t unknown_key = 0;
  std::uint64_t unproven = 0;
  std::uint64_t over_limit = 0;
};

/** Checks keys and rate limits of callers' operations. */
class admission {
 public:
  explicit admission(const tenant_policy& policy);

  /** Applies the tenants of a new configuration. */
  void set_configuration(std::uint64_t version, const std::map<std::string, tenant>& tenants);

  /** Determines the tenant of a caller's operation without counting the operation. */
  admission_result identify(bool is_public, const key_digest& key, common::Instant now) const;

  /**
   * Looks the key up in the local configuration without a check of how recent that is, so the
   * result must not be used to admit an operation.
   *
   * @return the tenant that has the key; empty if there is none
   */
  std::string tenant_of(const key_digest& key) const;

  /** Like identify, for a new operation, which counts against the tenant's rate limit. */
  admission_result admit(bool is_public, const key_digest& key, common::Instant now);

  /** Counts a refusal by its reason; the outcome `admitted` counts nothing. */
  void record_refusal(admission_outcome outcome);

  /** @return true if no operation with a key can be admitted now because the proof is too old. */
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
