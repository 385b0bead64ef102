#include "host/configuration_copy.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "host/catalog_copy_json.h"

namespace valvekeel::host {
namespace {

model::Configuration MakeConfiguration(std::size_t services, std::size_t routes_of_each) {
  model::Configuration configuration;
  configuration.version = 7;
  configuration.transaction_idle = std::chrono::seconds(3);
  for (std::size_t number = 0; number < services; ++number) {
    model::Service service;
    service.name = "service" + std::to_string(number);
    service.max_connections = 428;
    service.sync_replicas = 1;
    configuration.services[service.name] = service;
    for (std::size_t each = 0; each < routes_of_each; ++each) {
      model::Route route;
      route.database = "database" + std::to_string(number) + "x" + std::to_string(each);
      route.service = service.name;
      route.consistency = static_cast<model::Consistency>(each % 3);
      route.timeout = std::chrono::milliseconds(800);
      route.target_latency = std::chrono::milliseconds(150);
      route.priority = 1;
      route.max_staleness = std::chrono::milliseconds(1'500);
      configuration.routes[route.database] = route;
    }
  }
  return configuration;
}

std::string ToCbor(const nlohmann::json& value) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

/// @return the encoded configuration with one value replaced.
std::string WithValue(const char* field, const nlohmann::json& value) {
  nlohmann::json whole =
      nlohmann::json::from_cbor(EncodeConfigurationCopy(MakeConfiguration(1, 1)));
  whole.at(nlohmann::json::json_pointer(field)) = value;
  return ToCbor(whole);
}

}  // namespace

TEST_CASE("A decoded configuration equals the encoded one", "[host]") {
  model::Configuration configuration = MakeConfiguration(3, 3);
  configuration.routes.begin()->second.allowed_regions = {"north"};
  configuration.routes.begin()->second.is_public = true;
  configuration.services.begin()->second.warm_up = {std::chrono::seconds(6), 8.5};
  tenants::tenant tenant;
  tenant.name = "t";
  tenant.rate = 3.5;
  tenant.keys.push_back(tenants::digest_of("a key"));
  configuration.tenants["t"] = tenant;
  const auto read = DecodeConfigurationCopy(EncodeConfigurationCopy(configuration));
  REQUIRE(read);
  CHECK(read->version == 7);
  CHECK(read->transaction_idle == std::chrono::seconds(3));
  CHECK(read->services.size() == 3);
  CHECK(read->services.at("service0").warm_up == configuration.services.at("service0").warm_up);
  CHECK(read->services.at("service1").max_connections == 428);
  CHECK(read->services.at("service1").sync_replicas == 1);
  REQUIRE(read->routes.size() == 9);
  const model::Route& first = read->routes.at("database0x0");
  CHECK(first.allowed_regions == std::vector<std::string>{"north"});
  CHECK(first.is_public);
  const model::Route& last = read->routes.at("database2x2");
  CHECK(last.database == "database2x2");
  CHECK(last.service == "service2");
  CHECK(last.consistency == model::Consistency::kReadYourWrites);
  CHECK(last.timeout == std::chrono::milliseconds(800));
  CHECK(last.max_staleness == std::chrono::milliseconds(1'500));
  CHECK_FALSE(last.is_public);
  CHECK(read->tenants.at("t").keys == tenant.keys);
  CHECK(read->tenants.at("t").rate == 3.5);
}

TEST_CASE("A configuration of 1,000 services fits into 100 KB", "[host]") {
  // A hub sends it to 200 daemons within the 8 s in which it must be in force, also over a link of
  // 20 Mbit/s, which carries 20 MB in that time.
  constexpr std::size_t kMaxBytes = 100'000;
  CHECK(EncodeConfigurationCopy(MakeConfiguration(1'000, 3)).size() < kMaxBytes);
}

TEST_CASE("Invalid bytes are not decoded to a configuration", "[host]") {
  CHECK_FALSE(DecodeConfigurationCopy(""));
  CHECK_FALSE(DecodeConfigurationCopy("x"));
  const std::string bytes = EncodeConfigurationCopy(MakeConfiguration(2, 2));
  CHECK_FALSE(DecodeConfigurationCopy(bytes.substr(0, bytes.size() / 2)));
}

// The answer of another daemon to a fetch ended the process: the decoder recursed until the stack
// overflowed.
TEST_CASE("A copy of deeply nested items is rejected", "[host]") {
  constexpr std::size_t kDepth = 1'000'000;
  CHECK_FALSE(DecodeConfigurationCopy(std::string(kDepth, '\x81')));
  CHECK_FALSE(DecodeConfigurationCopy(std::string(kDepth, '\x7F')));
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_FALSE(DecodeCatalogCopy(nested));
  CHECK_FALSE(DecodeCatalogCopy(R"({"configuration":{"version":1},"instances":)" + nested + "}"));
}

TEST_CASE("Values of a copied configuration that do not fit are rejected or limited", "[host]") {
  REQUIRE(DecodeConfigurationCopy(WithValue("/version", 7)));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/version", 1e300)));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/service_kinds/0/0", std::uint64_t{1} << 32U)));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/service_kinds/0/3", -1.0)));
  CHECK_FALSE(DecodeConfigurationCopy(
      WithValue("/service_kinds/0/3", std::numeric_limits<double>::quiet_NaN())));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/route_kinds/0/0", 3)));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/routes/0/2", 1)));
  CHECK_FALSE(DecodeConfigurationCopy(WithValue("/idle_us", 1e300)));
  const auto longest = DecodeConfigurationCopy(
      WithValue("/route_kinds/0/1", std::numeric_limits<std::int64_t>::max()));
  REQUIRE(longest);
  CHECK(longest->routes.begin()->second.timeout == std::chrono::hours(24 * 365 * 100));
  const auto negative = DecodeConfigurationCopy(
      WithValue("/route_kinds/0/1", std::numeric_limits<std::int64_t>::min()));
  REQUIRE(negative);
  CHECK(negative->routes.begin()->second.timeout == std::chrono::microseconds(0));
}

// The exception of a text that is not UTF-8 ended the process that was asked for its copy.
TEST_CASE("A copy of names that are not UTF-8 is encoded", "[host]") {
  model::Configuration configuration = MakeConfiguration(1, 1);
  configuration.routes.begin()->second.allowed_regions = {"\xFF"};
  const auto read = DecodeConfigurationCopy(EncodeConfigurationCopy(configuration));
  REQUIRE(read);
  CHECK(read->routes.begin()->second.allowed_regions.front() == "\xFF");
  proxy::CatalogCopy copy;
  copy.configuration = configuration;
  CHECK(DecodeCatalogCopy(EncodeCatalogCopy(copy)));
}

TEST_CASE("A configuration is encoded once for each version", "[host]") {
  ConfigurationCopyCache cache;
  model::Configuration configuration = MakeConfiguration(1, 1);
  const std::string* first = &cache.Encode(configuration);
  const std::string before = *first;
  configuration.services["service0"].max_connections = 9;
  CHECK(cache.Encode(configuration) == before);
  ++configuration.version;
  CHECK(cache.Encode(configuration) != before);
}

}  // namespace valvekeel::host
