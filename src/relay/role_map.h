/**
 * @file Assigns the roles of the daemons: the owners of each service, and the coordinators.
 *
 * The instances of a service accept fewer connections than a large deployment has daemons. There, a
 * few daemons of each zone own a service. Only they connect to its instances, and the other daemons
 * relay their callers' sessions to them. A few coordinators watch every service and replace
 * primaries. In a small deployment each daemon has all roles.
 *
 * Owns: the roles as last computed. Invariant: the same live daemons and services give the same
 * roles on every daemon. No I/O and no clock; not thread-safe.
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

/** Sizes that decide how the daemons divide their work. */
struct role_policy {
  /** Up to so many daemons, all of them coordinate and exchange all state at the full rate. */
  std::size_t most_meshed_daemons = 16;
  std::size_t coordinators = 3;
  /** Daemons that check whether the store is reachable when no coordinator reaches it. */
  std::size_t deputies = 6;
  std::size_t owners_per_zone = 2;
  /** Least number of daemons of a zone among which the owners of all services are chosen. The
   * coordinators exchange heartbeats only with these, so this number must not grow with the zone. A
   * daemon of 0.12 cores serves 75 requests a second with a fifth of its processor time. */
  std::size_t owner_pool = 8;
  /** Least share of a zone's processor capacity in the pool. Owners serve what all daemons of the
   * zone forward. With 300 daemons of 0.25 cores at 75 requests a second each, 8 owners of 100
   * daemons exhaust their processors and serve 29 % of the load, and 64 serve 99 %. */
  double owner_pool_share = 0.25;
  /** Daemons of a zone that are prepared to join the pool. They are listed in the store in advance,
   * because they can't be added while it is unreachable. */
  std::size_t pool_reserve = 4;
  /** Connections of each instance that are left out of the daemons' shares. */
  std::uint32_t reserved_connections = 3;
  /** Up to so many daemons may all connect to every instance. Each handshake occupies a slot for 12
   * to 32 ms, so a hundred of them take about a second of an instance's time. */
  std::size_t most_direct_daemons = 100;
  /** Least number of connections to an instance per daemon. With fewer a service gets owners. */
  std::uint32_t least_direct_connections = 2;
  /** The same for a service that already has owners, in a large deployment. All daemons connect at
   * once when it becomes direct, so one more daemon must not reverse that. */
  std::uint32_t direct_again_connections = 3;
};

/** The roles of all daemons, as computed from the live daemons and the services. */
class role_map {
 public:
  role_map(std::string self, role_policy policy);

  /**
   * Computes the roles.
   *
   * @param live             the live daemons that are not stopping, including this one
   * @param sharing_daemons  number of daemons that may have connections: those recently reachable
   * @param connections      number of connections that an instance accepts, by service
   * @param may_be_direct    false while there may be daemons that are not known yet
   * @return true if an input has changed
   */
  bool update(std::vector<member> live, std::size_t sharing_daemons,
              const std::map<std::string, std::uint32_t>& connections, bool may_be_direct = true);

  /** @return true once the roles have been computed. */
  bool computed() const { return this->is_computed; }

  /** @return true if all daemons have all roles. */
  bool meshed() const { return this->is_meshed; }

  /** @return true if the daemon, or this one, is a coordinator. */
  bool coordinates(const std::string& daemon) const;
  bool coordinates() const { return this->self_coordinates; }

  /** @return the coordinators; the first one acts for all. */
  const std::vector<std::string>& coordinators() const { return this->coordinator_names; }

  /** @return true if every daemon connects to the service's instances itself. */
  bool is_direct(const std::string& service) const;

  /** @return true if the daemon, or this one, owns the service. Every daemon owns a direct service.
   */
  bool owns(const std::string& service, const std::string& daemon) const;
  bool owns(const std::string& service) const;

  /** @return true if the daemon evaluates the state of the service's instances. */
  bool watches(const std::string& service, const std::string& daemon) const;

  /** @return the owners in a zone by rank. */
  const std::vector<std::string>& owners_in(const std::string& service,
                                            const std::string& zone) const;

  /** @return the owners by zone; none if every daemon connects itself. */
  const std::map<std::string, std::vector<std::string>>& owners_by_zone(
      const std::string& service) const;

  /** @return the owners in all zones. */
  const std::vector<std::string>& owners(const std::string& service) const;

  /** @return true if the daemon owns some service or coordinates. */
  bool watches_any(const std::string& daemon) const;
  bool watches_any() const { return this->self_watches; }

  /** @return the number of services whose owners were computed since the last change. */
  std::size_t computed_services() const { return this->owners_cache.size(); }

  /** @return true if this daemon is among the next to coordinate if the coordinators fail. */
  bool is_deputy() const { return this->self_deputy; }

  /** @return true if this daemon is in a pool of owners or among the next to join it. */
  bool is_pool_candidate() const { return this->self_pool_candidate; }

  /** @return all daemons that own some service or coordinate; empty before the first update.
   * Computes the owners of all services. */
  const std::unordered_set<std::string>& watchers() const;

  /**
   * @param serves_sessions  true if sessions of the service run here although this daemon does not
   *                         own it
   * @return the number of connections that this daemon may have to each instance of the service
   */
  std::size_t connection_limit(const std::string& service, bool serves_sessions) const;

 private:
  /** Connection limits of one service. It has no owners if it is direct. */
  struct service_roles {
    std::size_t direct_connections = 1;
    std::size_t owner_connections = 1;
    bool is_direct = true;
  };
  /** The owners of one service. */
  struct service_owners {
    bool self_owns = false;
    std::map<std::string, std::vector<std::string>> by_zone;
    std::vector<std::string> all;
    std::unordered_set<std::string> names;
  };
  using members_by_zone = std::map<std::string, std::vector<member>>;

  void choose_coordinators();
  /** @return the size of a zone's pool. The members are ordered, the largest first. */
  std::size_t pool_size(const std::vector<member>& members) const;
  void choose_pools();
  service_roles roles_of(const std::string& service, std::uint32_t most_connections) const;
  bool becomes_direct(const std::string& service, std::size_t share) const;
  const service_roles* find(const std::string& service) const;
  /**
   * Computes the owners of a service on demand, and caches them until the next update. Most daemons
   * need those of few services. The owners of all of 1,000 services take 24.9 ms, or a fifth of a
   * second on a small machine.
   */
  const service_owners& owners_of(const std::string& service) const;
  /** @return true if the daemon, which is in a pool, owns some service. */
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
  std::size_t owner_count = 0;  // number of owners of each service that is not direct
  std::unordered_map<std::string, service_roles> services;
  // Computed on demand; cleared by an update.
  mutable std::unordered_map<std::string, service_owners> owners_cache;
  mutable std::unordered_map<std::string, bool> owns_any_cache;
  mutable std::unordered_set<std::string> watchers_cache;
};

}  // namespace valvekeel::relay
