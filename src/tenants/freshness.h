/**
 * @file Tracks how long the local configuration may be used to admit keys.
 *
 * A proof states: at a given time of this daemon's clock, or later, the store held no version of
 * the configuration above the given one. It comes from a read that the store never answers from a
 * stale state, made by this daemon or reported by another one; its time is the time at which the
 * read was sent. With that version or a later one in use, every key that was removed before that
 * time is known to be removed. A key that is still present may therefore be admitted until the
 * revocation limit, counted from that time, has passed. See docs/PROOFS.md.
 *
 * Owns: the recorded proofs. Invariant: the time of a proof is never later than the read that it
 * stands for. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/time.h"

namespace valvekeel::tenants {

/** The newest version of the configuration in the store at the time of a read. */
struct version_proof {
  std::uint64_t version = 0;
  common::Instant read_at{0};
};

/** The proofs of the last few versions, and the time for which they hold. */
class freshness {
 public:
  /** @param limit  time after which a proof has expired; 0: no proof is needed */
  explicit freshness(common::Duration limit) : limit(limit) {}

  bool required() const { return this->limit.count() > 0; }

  /** Stores a proof from a read of this daemon or of another one. */
  void record_proof(const version_proof& proof);

  /** @return the proof of the newest version, whatever version this daemon uses. */
  std::optional<version_proof> newest_proof() const;

  /** @return the latest time at which the store is known to hold no version above this one. */
  std::optional<common::Instant> proven_at(std::uint64_t version) const;

  /** @return true if the keys of this version may be admitted now. */
  bool is_fresh(std::uint64_t version, common::Instant now) const;

  /** @return the time since the newest proof that covers the version; nothing without a proof. */
  std::optional<common::Duration> age(std::uint64_t version, common::Instant now) const;

 private:
  common::Duration limit;
  std::map<std::uint64_t, common::Instant> proofs;  // by version, the last few
};

}  // namespace valvekeel::tenants
