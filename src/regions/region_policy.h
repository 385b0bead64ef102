/**
 * @file Where the work of each route and tenant may run, by the newest configuration.
 *
 * Owns: the regions that routes and tenants name. Invariant: if a route and a tenant both name
 * regions, both bind; the tenant of a public route's caller is not known and binds nothing. Pure.
 * Thread: its host's.
 */
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "model/catalog.h"
#include "regions/allowed_regions.h"
#include "regions/region_directory.h"

namespace valvekeel::regions {

class region_policy {
 public:
  explicit region_policy(region_directory directory);

  /**
   * Takes a new configuration.
   *
   * @return true if regions changed
   */
  bool set_configuration(const model::Configuration& configuration);

  /** @return true if some route or tenant names regions: else everything is allowed. */
  bool active() const { return this->is_active; }

  /**
   * @param database  of a route; one that is not configured allows what the tenant does
   * @param tenant    empty: no tenant
   * @return true if work of the route for the tenant may run in the zone
   */
  bool allows(std::string_view database, std::string_view tenant, const std::string& zone) const;

  /** @return true if the deployment has a zone where work of the route for the tenant may run. */
  bool allows_anywhere(std::string_view database, std::string_view tenant) const;

  /**
   * @return true if every route of the service may run in the zone; also if no region of the
   * deployment is allowed for all of them, since then none is better than another
   */
  bool allows_leader(std::string_view service, const std::string& zone) const;

 private:
  struct route_regions {
    allowed_regions allowed;
    bool is_public = false;

    bool operator==(const route_regions&) const = default;
  };
  /** Those that allow every region are left out. */
  template <typename Value>
  using by_name = std::map<std::string, Value, std::less<>>;

  void apply_routes(const model::Configuration& configuration);
  allowed_regions allowed(std::string_view database, std::string_view tenant) const;

  region_directory directory;
  by_name<route_regions> routes;        // by database
  by_name<allowed_regions> tenants;     // by name
  by_name<allowed_regions> by_service;  // common to all routes, if the deployment has any of them
  bool is_active = false;
};

}  // namespace valvekeel::regions
