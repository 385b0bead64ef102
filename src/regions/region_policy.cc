#include "regions/region_policy.h"

#include <utility>

namespace valvekeel::regions {

region_policy::region_policy(region_directory directory) : directory(std::move(directory)) {}

bool region_policy::set_configuration(const model::Configuration& configuration) {
  const auto routes_before = std::exchange(this->routes, {});
  const auto tenants_before = std::exchange(this->tenants, {});
  this->apply_routes(configuration);
  for (const auto& [name, tenant] : configuration.tenants) {
    if (!tenant.allowed_regions.empty()) {
      this->tenants.emplace(name, allowed_regions(tenant.allowed_regions));
    }
  }
  this->is_active = !this->by_service.empty() || !this->tenants.empty();
  for (const auto& [database, route] : this->routes) {
    this->is_active = this->is_active || !route.allowed.everywhere();
  }
  return this->routes != routes_before || this->tenants != tenants_before;
}

void region_policy::apply_routes(const model::Configuration& configuration) {
  by_name<allowed_regions> common;
  for (const auto& [database, route] : configuration.routes) {
    const allowed_regions allowed(route.allowed_regions);
    if (!allowed.everywhere() || route.is_public) {
      this->routes.emplace(database, route_regions{allowed, route.is_public});
    }
    allowed_regions& of_service = common[route.service];
    of_service = of_service.intersect(allowed);
  }
  this->by_service.clear();
  for (const auto& [service, allowed] : common) {
    if (!allowed.everywhere() && allowed.allows_any(this->directory.all())) {
      this->by_service.emplace(service, allowed);
    }
  }
}

bool region_policy::allows(std::string_view database, std::string_view tenant,
                           const std::string& zone) const {
  if (!this->is_active) {
    return true;
  }
  const std::string& region = this->directory.region_of(zone);
  const auto route = this->routes.find(database);
  if (route != this->routes.end() && !route->second.allowed.allows(region)) {
    return false;
  }
  const bool is_public = route != this->routes.end() && route->second.is_public;
  const auto of_tenant = this->tenants.find(tenant);
  return is_public || of_tenant == this->tenants.end() || of_tenant->second.allows(region);
}

allowed_regions region_policy::allowed(std::string_view database, std::string_view tenant) const {
  const auto route = this->routes.find(database);
  const allowed_regions of_route =
      route == this->routes.end() ? allowed_regions() : route->second.allowed;
  const bool is_public = route != this->routes.end() && route->second.is_public;
  const auto of_tenant = this->tenants.find(tenant);
  return is_public || of_tenant == this->tenants.end() ? of_route
                                                       : of_route.intersect(of_tenant->second);
}

bool region_policy::allows_anywhere(std::string_view database, std::string_view tenant) const {
  if (!this->is_active) {
    return true;
  }
  const allowed_regions both = this->allowed(database, tenant);
  return both.everywhere() || both.allows_any(this->directory.all());
}

bool region_policy::allows_leader(std::string_view service, const std::string& zone) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() || found->second.allows(this->directory.region_of(zone));
}

}  // namespace valvekeel::regions
