#include "host/configuration_copy.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "bounded_json/bounded_json.h"
#include "bounded_json/checked_value.h"
#include "host/catalog_copy_json.h"

namespace valvekeel::host {
namespace {

using bounded_json::to_unsigned;
using nlohmann::json;

/// Assigns an index to each distinct value, in the order of first use.
class ValueTable {
 public:
  std::size_t IndexOf(const json& value) {
    std::string encoded;
    json::to_cbor(value, encoded);
    const auto [found, added] = indexes_.try_emplace(std::move(encoded), values_.size());
    if (added) {
      values_.push_back(value);
    }
    return found->second;
  }

  json TakeValues() { return std::move(values_); }

 private:
  std::map<std::string, std::size_t> indexes_;  // by the encoded value
  json values_ = json::array();
};

/// @return the fields of a route that are equal in many routes.
json KindOf(const model::Route& route) {
  return json::array({static_cast<int>(route.consistency), route.timeout.count(),
                      route.target_latency.count(), route.priority, route.max_staleness.count(),
                      route.is_public, route.allowed_regions});
}

model::Route RouteOfKind(const json& kind) {
  model::Route route;
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return kind.at(field++); };
  route.consistency = ConsistencyFromJson(next());
  route.timeout = DurationFromJson(next());
  route.target_latency = DurationFromJson(next());
  route.priority = to_unsigned<std::uint32_t>(next());
  route.max_staleness = DurationFromJson(next());
  route.is_public = next().get<bool>();
  route.allowed_regions = next().get<std::vector<std::string>>();
  return route;
}

/// @return the fields of a service that are equal in many services.
json KindOf(const model::Service& service) {
  return json::array({service.max_connections, service.sync_replicas, service.warm_up.time.count(),
                      service.warm_up.rate});
}

model::Service ServiceOfKind(const json& kind) {
  model::Service service;
  service.max_connections = to_unsigned<std::uint32_t>(kind.at(0));
  service.sync_replicas = to_unsigned<std::uint32_t>(kind.at(1));
  service.warm_up.time = DurationFromJson(kind.at(2));
  service.warm_up.rate = RateFromJson(kind.at(3));
  return service;
}

json ServicesToJson(const model::Configuration& configuration, ValueTable& kinds) {
  json services = json::array();
  for (const auto& [name, service] : configuration.services) {
    services.push_back(json::array({name, kinds.IndexOf(KindOf(service))}));
  }
  return services;
}

json RoutesToJson(const model::Configuration& configuration, ValueTable& kinds, ValueTable& names) {
  json routes = json::array();
  for (const auto& [database, route] : configuration.routes) {
    routes.push_back(
        json::array({database, names.IndexOf(route.service), kinds.IndexOf(KindOf(route))}));
  }
  return routes;
}

model::Configuration ConfigurationFrom(const json& whole) {
  model::Configuration configuration;
  configuration.version = to_unsigned<std::uint64_t>(whole.at("version"));
  configuration.transaction_idle = DurationFromJson(whole.at("idle_us"));
  const json& service_kinds = whole.at("service_kinds");
  for (const json& each : whole.at("services")) {
    model::Service service = ServiceOfKind(service_kinds.at(to_unsigned<std::size_t>(each.at(1))));
    service.name = each.at(0).get<std::string>();
    configuration.services.emplace_hint(configuration.services.end(), service.name,
                                        std::move(service));
  }
  std::vector<model::Route> kinds;
  for (const json& kind : whole.at("route_kinds")) {
    kinds.push_back(RouteOfKind(kind));
  }
  const json& names = whole.at("names");
  for (const json& each : whole.at("routes")) {
    model::Route route = kinds.at(to_unsigned<std::size_t>(each.at(2)));
    route.database = each.at(0).get<std::string>();
    route.service = names.at(to_unsigned<std::size_t>(each.at(1))).get<std::string>();
    configuration.routes.emplace_hint(configuration.routes.end(), route.database, std::move(route));
  }
  for (const json& each : whole.at("tenants")) {
    tenants::tenant tenant = TenantFromJson(each);
    configuration.tenants[tenant.name] = std::move(tenant);
  }
  return configuration;
}

}  // namespace

std::string EncodeConfigurationCopy(const model::Configuration& configuration) {
  ValueTable service_kinds;
  ValueTable route_kinds;
  ValueTable names;
  json tenants = json::array();
  for (const auto& [name, tenant] : configuration.tenants) {
    tenants.push_back(TenantToJson(tenant));
  }
  json whole = {{"version", configuration.version},
                {"idle_us", configuration.transaction_idle.count()},
                {"services", ServicesToJson(configuration, service_kinds)},
                {"routes", RoutesToJson(configuration, route_kinds, names)},
                {"tenants", std::move(tenants)}};
  whole["service_kinds"] = service_kinds.TakeValues();
  whole["route_kinds"] = route_kinds.TakeValues();
  whole["names"] = names.TakeValues();
  std::string bytes;
  json::to_cbor(whole, bytes);
  return bytes;
}

std::optional<model::Configuration> DecodeConfigurationCopy(std::string_view bytes) {
  const auto whole = bounded_json::parse_cbor(bytes);
  if (!whole) {
    return std::nullopt;
  }
  try {
    return ConfigurationFrom(*whole);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

const std::string& ConfigurationCopyCache::Encode(const model::Configuration& configuration) {
  if (bytes_.empty() || version_ != configuration.version) {
    version_ = configuration.version;
    bytes_ = EncodeConfigurationCopy(configuration);
  }
  return bytes_;
}

}  // namespace valvekeel::host
