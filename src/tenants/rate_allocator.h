/**
 * @file How much of each tenant's rate each daemon may use, worked out by one daemon for all.
 *
 * The coordinator that acts for all sums what the daemons let through in the last window. A tenant
 * below a part of its limit is left alone. Above it, what the limit leaves is shared among the
 * daemons by what their callers ask for. The other coordinators hear the counts as well, so that
 * one of them knows the past when it takes over.
 *
 * Owns: the counts of the last window by tenant and the demand by daemon. Invariant: the grants of
 * a tenant add up to no more than `rate_for` allows. Pure. Thread: its host's.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "tenants/rate_messages.h"
#include "tenants/tenant.h"

namespace valvekeel::tenants {

class rate_allocator {
 public:
  explicit rate_allocator(const tenant_policy& policy) : policy(policy) {}

  /** Takes the tenants of a new configuration. */
  void set_tenants(const std::map<std::string, tenant>& tenants, common::Instant now);

  /**
   * Takes a daemon's counts.
   *
   * @param incarnation  of the daemon: another life counts from zero
   */
  void note_usage(const std::string& daemon, std::uint64_t incarnation,
                  const std::vector<usage_count>& counts, common::Instant now);

  /** Moves on in time. @return true if the grants of some tenant changed by much: all daemons
   * should hear of it now. */
  bool tick(common::Instant now);

  /** @return what a daemon may let through of the tenants that are held back. */
  std::vector<rate_grant> grants_for(const std::string& daemon) const;

  /** @return operations of a tenant in the last window, as far as they were told. */
  double used(const std::string& tenant) const;

 private:
  static constexpr std::size_t WINDOW_SLICES = 20;
  /** One more, since the present one is not full: what is counted is never less than a window. */
  static constexpr std::size_t SLICES = WINDOW_SLICES + 1;

  /** The life of a daemon whose counts come. */
  struct daemon_life {
    std::uint64_t incarnation = 0;
    common::Instant heard{0};
    bool heard_from_start = false;  // an earlier life was heard: this one counts from zero
  };
  /** One daemon's part in a tenant. */
  struct part {
    usage_count last;
    double demand = 0;  // operations a second, lately
    common::Instant demand_at{0};
    std::uint64_t incarnation = 0;
  };
  struct state {
    std::string name;
    double rate = 0;
    double allowed = 0;  // in a window
    std::array<double, SLICES> slices{};
    std::unordered_map<std::string, part> parts;
    bool is_held_back = false;
    double granted = 0;          // operations a second, to all daemons
    common::Instant told_at{0};  // when all were to hear of it at once
  };

  double used(const state& of) const;
  double demand(const state& of, common::Instant now) const;
  double rate_for(const state& of) const;
  void advance(common::Instant now);
  /** Counts operations that were let through evenly since an instant. */
  void spread(state& of, double operations, common::Instant since, common::Instant now);
  void judge(state& of, common::Instant now);
  common::Duration slice() const;

  const tenant_policy& policy;
  std::unordered_map<std::uint32_t, state> states;     // by the tenant's id
  std::unordered_map<std::string, daemon_life> lives;  // by daemon
  std::size_t current = 0;                             // slice that is being filled
  std::optional<common::Instant> slice_began;
  bool changed = false;
  common::Instant now{0};  // of the last tick
};

}  // namespace valvekeel::tenants
