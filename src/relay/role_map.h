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
#include <vector>

namespace valvekeel::relay {

/** A live daemon. */
struct member {
  std::string name;
  std::string zone;
  bool store_connected = false;
};

/** From which size on daemons share their work out. */
struct role_policy {
  /** Up to so many daemons, all coordinate and tell each other everything at full pace. */
  std::size_t most_meshed_daemons = 16;
  std::size_t coordinators = 3;
  std::size_t owners_per_zone = 2;
  /** Connections of an instance that no daemon's share contains. */
  std::uint32_t reserved_connections = 3;
  /** Share of an instance's connections below which a service gets owners. */
  std::uint32_t least_direct_connections = 2;
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
   */
  void update(std::vector<member> live, std::size_t sharing,
              const std::map<std::string, std::uint32_t>& connections);

  /** @return true once the roles were worked out. */
  bool known() const { return this->is_known; }

  /** @return true if all daemons do everything. */
  bool meshed() const { return this->is_meshed; }

  bool coordinates(const std::string& daemon) const;
  bool coordinates() const { return this->coordinates(this->self); }

  /** @return the coordinators, first the one that acts for all. */
  const std::vector<std::string>& coordinators() const { return this->coordinator_names; }

  /** @return true if every daemon connects to the service's instances by itself. */
  bool direct(const std::string& service) const;

  bool owns(const std::string& service, const std::string& daemon) const;
  bool owns(const std::string& service) const { return this->owns(service, this->self); }

  /** @return true if the daemon forms an opinion about the service's instances. */
  bool watches(const std::string& service, const std::string& daemon) const;

  /** @return the owners in a zone, in the order of their rank. */
  std::vector<std::string> owners_in(const std::string& service, const std::string& zone) const;

  /** @return the owners of all zones. */
  std::vector<std::string> owners(const std::string& service) const;

  /** @return true if the daemon owns some service, or coordinates. */
  bool watches_any(const std::string& daemon) const;

  /**
   * @param serves_guests  sessions of the service run here although this daemon doesn't own it
   * @return how many connections to an instance of the service this daemon may hold
   */
  std::size_t connections(const std::string& service, bool serves_guests) const;

 private:
  /** Roles around one service; no owners if it is direct. */
  struct service_roles {
    std::size_t direct_connections = 1;
    std::size_t owner_connections = 1;
    bool is_direct = true;
    std::map<std::string, std::vector<std::string>> owners_by_zone;
  };

  std::vector<std::string> ranked(const std::string& object, const std::vector<member>& among,
                                  std::size_t count) const;
  service_roles roles_of(const std::string& service, std::uint32_t most_connections) const;

  std::string self;
  role_policy policy;
  std::vector<member> live;
  std::size_t sharing = 1;
  bool is_known = false;
  bool is_meshed = true;
  std::vector<std::string> coordinator_names;
  std::map<std::string, service_roles> services;
};

}  // namespace valvekeel::relay
