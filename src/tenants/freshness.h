/**
 * @file Until when the configuration in force may be used to admit keys.
 *
 * A proof says: at an instant of this daemon's own clock, or later, no version above the named one
 * was in the store. It comes from a read of the store that is never answered from an old state,
 * made by this daemon or by another that told it; the instant is the one at which the read was
 * sent. With that version in force, or a later one, keys taken away up to that instant are known to
 * be gone. So a key that is still known serves until the revocation limit, counted from the
 * instant, is over. See docs/PROOFS.md.
 *
 * Owns: the proofs heard. Invariant: an instant is never later than the read that it stands for.
 * Pure. Thread: its host's.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/time.h"

namespace valvekeel::tenants {

/** The store's newest version of the configuration at an instant. */
struct version_proof {
  std::uint64_t version = 0;
  common::Instant read_at{0};
};

class freshness {
 public:
  /** @param limit  time after which a proof is worth nothing; 0: no proof is needed */
  explicit freshness(common::Duration limit) : limit(limit) {}

  bool required() const { return this->limit.count() > 0; }

  /** Takes a proof, of this daemon's own read or another's. */
  void record_proof(const version_proof& proof);

  /** @return the newest proof heard, whatever version is in force here. */
  std::optional<version_proof> newest_proof() const;

  /** @return the newest instant at which no version above this one was in the store. */
  std::optional<common::Instant> proven_at(std::uint64_t version) const;

  /** @return true if keys of this version may be admitted now. */
  bool is_fresh(std::uint64_t version, common::Instant now) const;

  /** @return time since the newest proof that covers the version; nothing if there was none. */
  std::optional<common::Duration> age(std::uint64_t version, common::Instant now) const;

 private:
  common::Duration limit;
  std::map<std::uint64_t, common::Instant> proofs;  // by version, the last few
};

}  // namespace valvekeel::tenants
