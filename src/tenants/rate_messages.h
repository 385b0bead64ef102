/**
 * @file Defines the messages about tenants' rates that daemons exchange in heartbeats.
 *
 * Invariant: the counts of one incarnation of a daemon never decrease, so a lost message only
 * delays them until the next one. Values only; safe in any thread.
 */
#pragma once

#include <cstdint>
#include <vector>

namespace valvekeel::tenants {

/** Operations of one tenant at one daemon since the daemon's start. */
struct usage_count {
  std::uint32_t tenant = 0;    // see tenant_id_of
  std::uint64_t admitted = 0;  // admitted operations, those sent again included
  std::uint64_t offered = 0;   // operations that arrived, refused ones included

  bool operator==(const usage_count&) const = default;
};

/** What one daemon may admit of a tenant that is near its limit. */
struct rate_grant {
  std::uint32_t tenant = 0;
  double rate = 0;            // operations a second, while grants arrive
  double fallback_rate = 0;   // operations a second without new grants
  double initial_tokens = 0;  // operations that may come at once at first

  bool operator==(const rate_grant&) const = default;
};

/** The part of a heartbeat that is about tenants' rates. */
struct rate_message {
  bool receiver_is_coordinator = false;  // in the sender's view
  std::vector<usage_count> usage;        // counts that the receiver may not have yet
  bool sender_is_allocator = false;      // the sender computes all grants
  std::vector<rate_grant> grants;        // for the receiver; absent tenants are not throttled
};

}  // namespace valvekeel::tenants
