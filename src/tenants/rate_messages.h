/**
 * @file What daemons tell each other about tenants' rates.
 *
 * Owns: the typed values. Invariant: counts of one life of a daemon never fall, so a message that
 * is lost costs nothing but time. Thread: any (values only).
 */
#pragma once

#include <cstdint>
#include <vector>

namespace valvekeel::tenants {

/** Operations of one tenant at one daemon since the daemon's start. */
struct usage_count {
  std::uint32_t tenant = 0;    // see id_of
  std::uint64_t admitted = 0;  // that were let through
  std::uint64_t offered = 0;   // that came, refused ones included

  bool operator==(const usage_count&) const = default;
};

/** What one daemon may let through of a tenant that is near its limit. */
struct rate_grant {
  std::uint32_t tenant = 0;
  double rate = 0;            // operations a second, now
  double fallback_rate = 0;   // the same if the allocator falls silent
  double initial_tokens = 0;  // operations to begin with

  bool operator==(const rate_grant&) const = default;
};

/** The part of a heartbeat that is about tenants' rates. */
struct rate_message {
  bool receiver_is_coordinator = false;  // the sender takes the receiver for a coordinator
  std::vector<usage_count> usage;        // counts that the receiver may lack
  bool sender_is_allocator = false;      // the sender works out the grants for all daemons
  std::vector<rate_grant> grants;  // the receiver's; tenants that are missing are not held back
};

}  // namespace valvekeel::tenants
