/**
 * @file Decides in which zones the work of each route and tenant may run.
 *
 * Owns: the allowed regions of routes and tenants in the newest configuration. Invariant: if a
 * route and a tenant both name regions, work runs only in regions that both allow. The tenant of a
 * public route's caller is not identified, so its regions do not apply. No I/O and no clock; not
 * thread-safe.
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

/** The allowed regions of the newest configuration. */
class region_policy {
 public:
  explicit region_policy(region_directory directory);

  /**
   * Applies a new configuration.
   *
   * @return true if the regions of a route or tenant changed
   */
  bool set_configuration(const model::Configuration& configuration);

  /** @return true if some route or tenant names regions; otherwise everything is allowed. */
  bool active() const { return this->is_active; }

  /**
   * @param database  of a route; without a configured route only the tenant's regions apply
   * @param tenant    empty: no tenant's regions apply
   * @return true if work of the route for the tenant may run in the zone
   */
  bool allows(std::string_view database, std::string_view tenant, const std::string& zone) const;

  /** @return true if the deployment has a zone where work of the route for the tenant may run. */
  bool allows_anywhere(std::string_view database, std::string_view tenant) const;

  /**
   * @return true if every route of the service may run in the zone. Also true if no region of the
   * deployment is allowed for all of them, since then no zone is better than another.
   */
  bool allows_leader(std::string_view service, const std::string& zone) const;

 private:
  struct route_regions {
    allowed_regions allowed;
    bool is_public = false;

    bool operator==(const route_regions&) const = default;
  };
  /** Holds no entry for a name that allows every region. */
  template <typename Value>
  using by_name = std::map<std::string, Value, std::less<>>;

  void apply_routes(const model::Configuration& configuration);
  allowed_regions allowed(std::string_view database, std::string_view tenant) const;

  region_directory directory;
  by_name<route_regions> routes;        // by database
  by_name<allowed_regions> tenants;     // by name
  by_name<allowed_regions> by_service;  // regions common to all routes, if the deployment has one
  bool is_active = false;
};

}  // namespace valvekeel::regions
