/**
 * @file Which daemon does what: who owns a service's connections, who coordinates.
 *
 * A service's instances take fewer connections than a large deployment has daemons. There, a few
 * daemons of each zone own a service: they alone hold connections to its instances, and the others
 * relay their callers' sessions to them. A few coordinators watch every service and replace
 * primaries. In a small deployment each daemon does everything.
 *
 * Owns: the roles as worked out last. Invariant: the same live daemons and services give the same
 * roles on every daemon. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace valvekeel::relay {

/** A live daemon. */
struct member {
  std::string name;
  std::string zone;
  bool store_connected = false;
  std::uint32_t capacity = 0;  // thousandths of a processor core; 0 if unknown

  bool operator==(const member&) const = default;
};

/** From which size on daemons share their work out. */
struct role_policy {
  /** Up to so many daemons, all coordinate and tell each other everything at full pace. */
  std::size_t most_meshed_daemons = 16;
  std::size_t coordinators = 3;
  /** Daemons that look whether the store is there when no coordinator reaches it. */
  std::size_t deputies = 6;
  std::size_t owners_per_zone = 2;
  /** Daemons of a zone among whom all services' owners are chosen: the coordinators exchange
   * heartbeats with these alone, so their number must not grow with the zone's. Measured: a daemon
   * of 0.12 cores serves 75 requests a second with a fifth of it. At least so many. */
  std::size_t owner_pool = 8;
  /** Share of a zone's processors that the pool has at least: owners serve what all daemons of the
   * zone pass on. Measured with 300 daemons of 0.25 cores at 75 requests a second each: with 8 of
   * 100 the owners' processors are spent and 0.29 is served, with 64 it is 0.99. */
  double owner_pool_share = 0.25;
  /** Daemons of a zone that stand ready to join the pool: they are listed in the store beforehand,
   * which they could not be while it is away. */
  std::size_t pool_reserve = 4;
  /** Connections of an instance that no daemon's share contains. */
  std::uint32_t reserved_connections = 3;
  /** Up to so many daemons may all connect to every instance: each handshake holds a slot for 12 to
   * 32 ms on the users' sites, a hundred of them about a second of an instance's time. */
  std::size_t most_direct_daemons = 100;
  /** Share of an instance's connections below which a service gets owners. */
  std::uint32_t least_direct_connections = 2;
  /** The same for a service that has owners already, in a large deployment: all daemons connect at
   * once then, so it must not change back for one daemon more. */
  std::uint32_t direct_again_connections = 3;
};

class role_map {
 public:
  role_map(std::string self, role_policy policy);

  /**
   * Works the roles out.
   *
   * @param live         the daemons that are alive and not stopping, this one included
   * @param sharing      number of daemons that may hold connections: those heard lately
   * @param connections  what an instance takes, by service
   * @param may_be_direct  false while others may be there of whom nothing is known yet
   * @return true if something it depends on has changed
   */
  bool update(std::vector<member> live, std::size_t sharing,
              const std::map<std::string, std::uint32_t>& connections, bool may_be_direct = true);

  /** @return true once the roles were worked out. */
  bool computed() const { return this->is_computed; }

  /** @return true if all daemons do everything. */
  bool meshed() const { return this->is_meshed; }

  bool coordinates(const std::string& daemon) const;
  bool coordinates() const { return this->self_coordinates; }

  /** @return the coordinators, first the one that acts for all. */
  const std::vector<std::string>& coordinators() const { return this->coordinator_names; }

  /** @return true if every daemon connects to the service's instances by itself. */
  bool is_direct(const std::string& service) const;

  bool owns(const std::string& service, const std::string& daemon) const;
  bool owns(const std::string& service) const;

  /** @return true if the daemon forms an opinion about the service's instances. */
  bool watches(const std::string& service, const std::string& daemon) const;

  /** @return the owners in a zone, in the order of their rank. */
  const std::vector<std::string>& owners_in(const std::string& service,
                                            const std::string& zone) const;

  /** @return the owners by zone; nobody where every daemon connects by itself. */
  const std::map<std::string, std::vector<std::string>>& owners_by_zone(
      const std::string& service) const;

  /** @return the owners of all zones. */
  const std::vector<std::string>& owners(const std::string& service) const;

  /** @return true if the daemon owns some service, or coordinates. */
  bool watches_any(const std::string& daemon) const;
  bool watches_any() const { return this->self_watches; }

  /** @return of how many services the owners were worked out since the last change. */
  std::size_t computed_services() const { return this->owners_cache.size(); }

  /** @return true if this daemon is among the first to coordinate if the coordinators can't. */
  bool is_deputy() const { return this->self_deputy; }

  /** @return true if this daemon is in a pool of owners, or among the next to join one. */
  bool is_pool_candidate() const { return this->self_pool_candidate; }

  /** @return all daemons that own some service or coordinate; empty while all do everything. Works
   * out the owners of all services. */
  const std::unordered_set<std::string>& watchers() const;

  /**
   * @param serves_guests  sessions of the service run here although this daemon doesn't own it
   * @return how many connections to an instance of the service this daemon may hold
   */
  std::size_t connection_limit(const std::string& service, bool serves_guests) const;

 private:
  /** Roles around one service; no owners if it is direct. */
  struct service_roles {
    std::size_t direct_connections = 1;
    std::size_t owner_connections = 1;
    bool is_direct = true;
  };
  /** Who owns one service. */
  struct service_owners {
    bool self_owns = false;
    std::map<std::string, std::vector<std::string>> by_zone;
    std::vector<std::string> all;
    std::unordered_set<std::string> names;
  };
  using members_by_zone = std::map<std::string, std::vector<member>>;

  void choose_coordinators();
  /** @return how many of a zone's daemons, the largest of which come first, are its pool. */
  std::size_t pool_size(const std::vector<member>& members) const;
  void choose_pools();
  service_roles roles_of(const std::string& service, std::uint32_t most_connections) const;
  bool becomes_direct(const std::string& service, std::size_t share) const;
  const service_roles* find(const std::string& service) const;
  /**
   * Works out who owns a service, once for each state of the deployment: most daemons ask for few.
   * Of 1,000 services the owners of all take 24.9 ms, a fifth of a second of a small machine.
   */
  const service_owners& owners_of(const std::string& service) const;
  /** @return true if the daemon, one of a pool, owns some service. */
  bool owns_any(const std::string& daemon) const;

  std::string self;
  role_policy policy;
  std::vector<member> live;
  std::size_t sharing_daemons = 1;
  std::map<std::string, std::uint32_t> instance_connections;
  bool is_computed = false;
  bool is_meshed = true;
  bool self_coordinates = true;
  bool self_watches = true;
  bool self_pool_candidate = true;
  bool self_deputy = true;
  bool may_be_direct = true;
  bool any_direct = true;
  std::vector<std::string> coordinator_names;
  members_by_zone pools;
  std::unordered_set<std::string> pool_names;
  std::size_t owner_count = 0;  // of each service that is not direct
  std::unordered_map<std::string, service_roles> services;
  // Worked out when asked for; empty after an update.
  mutable std::unordered_map<std::string, service_owners> owners_cache;
  mutable std::unordered_map<std::string, bool> owns_any_cache;
  mutable std::unordered_set<std::string> watchers_cache;
};

}  // namespace valvekeel::relay
