#include "host/catalog_copy_json.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "bounded_json/bounded_json.h"
#include "bounded_json/checked_value.h"

namespace valvekeel::host {
namespace {

using bounded_json::to_unsigned;
using nlohmann::json;

json ToJson(const common::Endpoint& endpoint) {
  return json::array({endpoint.host, endpoint.port});
}

common::Endpoint EndpointFrom(const json& value) {
  return {value.at(0).get<std::string>(), to_unsigned<std::uint16_t>(value.at(1))};
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
  route.consistency = ConsistencyFromJson(value.at("consistency"));
  route.timeout = DurationFromJson(value.at("timeout_us"));
  route.target_latency = DurationFromJson(value.at("target_latency_us"));
  route.priority = to_unsigned<std::uint32_t>(value.at("priority"));
  route.max_staleness = DurationFromJson(value.at("max_staleness_us"));
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
  service.max_connections = to_unsigned<std::uint32_t>(value.at(1));
  service.sync_replicas = to_unsigned<std::uint32_t>(value.at(2));
  service.warm_up.time = DurationFromJson(value.at(3));
  service.warm_up.rate = RateFromJson(value.at(4));
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
  configuration.version = to_unsigned<std::uint64_t>(value.at("version"));
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
  configuration.transaction_idle = DurationFromJson(value.at("transaction_idle_us"));
  return configuration;
}

json ToJson(const model::InstanceEntry& entry) {
  return json::array({entry.id, entry.service, ToJson(entry.address), entry.zone, entry.slots,
                      entry.draining, entry.primary, entry.warm_up_left.count(),
                      entry.incarnation});
}

model::InstanceEntry InstanceFrom(const json& value) {
  constexpr std::size_t kIncarnation = 8;
  model::InstanceEntry entry = {value.at(0).get<std::string>(),
                                value.at(1).get<std::string>(),
                                EndpointFrom(value.at(2)),
                                value.at(3).get<std::string>(),
                                to_unsigned<std::uint32_t>(value.at(4)),
                                value.at(5).get<bool>(),
                                value.at(6).get<bool>(),
                                DurationFromJson(value.at(7))};
  // Daemons of earlier versions do not send the incarnation.
  entry.incarnation =
      value.size() > kIncarnation ? to_unsigned<std::uint64_t>(value.at(kIncarnation)) : 0;
  return entry;
}

}  // namespace

common::Duration DurationFromJson(const json& value) {
  const bool negative = value.is_number_integer() && value < 0;
  const bool too_long = value.is_number_integer() && value > bounded_json::MAX_DURATION.count();
  return negative   ? common::Duration(0)
         : too_long ? bounded_json::MAX_DURATION
                    : bounded_json::to_duration(value);
}

double RateFromJson(const json& value) {
  return bounded_json::to_nonnegative(value, std::numeric_limits<double>::max());
}

model::Consistency ConsistencyFromJson(const json& value) {
  constexpr auto kLast = static_cast<std::uint8_t>(model::Consistency::kReadYourWrites);
  return static_cast<model::Consistency>(to_unsigned<std::uint8_t>(value, kLast));
}

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
  tenant.priority = to_unsigned<std::uint32_t>(value.at(2));
  tenant.rate = RateFromJson(value.at(3));
  tenant.burst = RateFromJson(value.at(4));
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
  // Names of other writers may hold bytes that are not UTF-8.
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text) {
  const auto parsed = bounded_json::parse(text);
  if (!parsed) {
    return std::nullopt;
  }
  try {
    const json& whole = *parsed;
    proxy::CatalogCopy copy;
    copy.configuration = ConfigurationFrom(whole.at("configuration"));
    for (const json& each : whole.at("instances")) {
      copy.instances.push_back(InstanceFrom(each));
    }
    for (const json& each : whole.at("daemons")) {
      copy.daemons.push_back({each.at(0).get<std::string>(), each.at(1).get<std::string>(),
                              EndpointFrom(each.at(2)), to_unsigned<std::uint32_t>(each.at(3))});
    }
    return copy;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace valvekeel::host
