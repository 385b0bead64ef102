#include "host/catalog_copy_json.h"

#include <nlohmann/json.hpp>

namespace valvekeel::host {
namespace {

using nlohmann::json;

json ToJson(const common::Endpoint& endpoint) {
  return json::array({endpoint.host, endpoint.port});
}

common::Endpoint EndpointFrom(const json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::uint16_t>()};
}

json ToJson(const model::Route& route) {
  return {{"database", route.database},
          {"service", route.service},
          {"consistency", static_cast<int>(route.consistency)},
          {"timeout_us", route.timeout.count()},
          {"target_latency_us", route.target_latency.count()},
          {"priority", route.priority},
          {"max_staleness_us", route.max_staleness.count()},
          {"public", route.is_public},
          {"allowed_regions", route.allowed_regions}};
}

model::Route RouteFrom(const json& value) {
  model::Route route;
  route.database = value.at("database").get<std::string>();
  route.service = value.at("service").get<std::string>();
  route.consistency = static_cast<model::Consistency>(value.at("consistency").get<int>());
  route.timeout = common::Duration(value.at("timeout_us").get<std::int64_t>());
  route.target_latency = common::Duration(value.at("target_latency_us").get<std::int64_t>());
  route.priority = value.at("priority").get<std::uint32_t>();
  route.max_staleness = common::Duration(value.at("max_staleness_us").get<std::int64_t>());
  route.is_public = value.at("public").get<bool>();
  route.allowed_regions = value.at("allowed_regions").get<std::vector<std::string>>();
  return route;
}

json ToJson(const model::Service& service) {
  return json::array({service.name, service.max_connections, service.sync_replicas,
                      service.warm_up.time.count(), service.warm_up.rate});
}

model::Service ServiceFrom(const json& value) {
  model::Service service;
  service.name = value.at(0).get<std::string>();
  service.max_connections = value.at(1).get<std::uint32_t>();
  service.sync_replicas = value.at(2).get<std::uint32_t>();
  service.warm_up.time = common::Duration(value.at(3).get<std::int64_t>());
  service.warm_up.rate = value.at(4).get<double>();
  return service;
}

json ToJson(const model::Configuration& configuration) {
  json routes = json::array();
  for (const auto& [database, route] : configuration.routes) {
    routes.push_back(ToJson(route));
  }
  json services = json::array();
  for (const auto& [name, service] : configuration.services) {
    services.push_back(ToJson(service));
  }
  json tenants = json::array();
  for (const auto& [name, tenant] : configuration.tenants) {
    tenants.push_back(TenantToJson(tenant));
  }
  return {{"version", configuration.version},
          {"tenants", std::move(tenants)},
          {"routes", std::move(routes)},
          {"services", std::move(services)},
          {"transaction_idle_us", configuration.transaction_idle.count()}};
}

model::Configuration ConfigurationFrom(const json& value) {
  model::Configuration configuration;
  configuration.version = value.at("version").get<std::uint64_t>();
  for (const json& each : value.at("routes")) {
    const model::Route route = RouteFrom(each);
    configuration.routes[route.database] = route;
  }
  for (const json& each : value.at("services")) {
    const model::Service service = ServiceFrom(each);
    configuration.services[service.name] = service;
  }
  for (const json& each : value.at("tenants")) {
    tenants::tenant tenant = TenantFromJson(each);
    configuration.tenants[tenant.name] = std::move(tenant);
  }
  configuration.transaction_idle =
      common::Duration(value.at("transaction_idle_us").get<std::int64_t>());
  return configuration;
}

json ToJson(const model::InstanceEntry& entry) {
  return json::array({entry.id, entry.service, ToJson(entry.address), entry.zone, entry.slots,
                      entry.draining, entry.primary, entry.warm_up_left.count(),
                      entry.incarnation});
}

model::InstanceEntry InstanceFrom(const json& value) {
  constexpr std::size_t kIncarnation = 8;
  model::InstanceEntry entry = {
      value.at(0).get<std::string>(),   value.at(1).get<std::string>(),
      EndpointFrom(value.at(2)),        value.at(3).get<std::string>(),
      value.at(4).get<std::uint32_t>(), value.at(5).get<bool>(),
      value.at(6).get<bool>(),          common::Duration(value.at(7).get<std::int64_t>())};
  // Daemons of earlier versions do not send the incarnation.
  entry.incarnation = value.size() > kIncarnation ? value.at(kIncarnation).get<std::uint64_t>() : 0;
  return entry;
}

}  // namespace

json TenantToJson(const tenants::tenant& tenant) {
  json keys = json::array();
  for (const tenants::key_digest& key : tenant.keys) {
    keys.push_back(tenants::to_hex(key));
  }
  return json::array({tenant.name, std::move(keys), tenant.priority, tenant.rate, tenant.burst,
                      tenant.allowed_regions});
}

tenants::tenant TenantFromJson(const json& value) {
  tenants::tenant tenant;
  tenant.name = value.at(0).get<std::string>();
  for (const json& digits : value.at(1)) {
    // An unreadable digest is skipped, so callers that use this key are rejected.
    if (const auto key = tenants::from_hex(digits.get_ref<const std::string&>())) {
      tenant.keys.push_back(*key);
    }
  }
  tenant.priority = value.at(2).get<std::uint32_t>();
  tenant.rate = value.at(3).get<double>();
  tenant.burst = value.at(4).get<double>();
  tenant.allowed_regions = value.at(5).get<std::vector<std::string>>();
  return tenant;
}

std::string EncodeCatalogCopy(const proxy::CatalogCopy& copy) {
  json instances = json::array();
  for (const model::InstanceEntry& entry : copy.instances) {
    instances.push_back(ToJson(entry));
  }
  json daemons = json::array();
  for (const model::DaemonEntry& entry : copy.daemons) {
    daemons.push_back(json::array({entry.name, entry.zone, ToJson(entry.peer), entry.capacity}));
  }
  const json whole = {{"configuration", ToJson(copy.configuration)},
                      {"instances", std::move(instances)},
                      {"daemons", std::move(daemons)}};
  return whole.dump();
}

std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text) {
  try {
    const json whole = json::parse(text);
    proxy::CatalogCopy copy;
    copy.configuration = ConfigurationFrom(whole.at("configuration"));
    for (const json& each : whole.at("instances")) {
      copy.instances.push_back(InstanceFrom(each));
    }
    for (const json& each : whole.at("daemons")) {
      copy.daemons.push_back({each.at(0).get<std::string>(), each.at(1).get<std::string>(),
                              EndpointFrom(each.at(2)), each.at(3).get<std::uint32_t>()});
    }
    return copy;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace valvekeel::host
