// Tests the translation of store objects into catalog types and back.

#include "catalog_translation.h"

#include <catch2/catch.hpp>

#include "host/catalog_copy_json.h"
#include "proxy/peer_message.h"

namespace valvekeel::platform {
namespace {

using model::Collection;
using nlohmann::json;

json Object(const std::string& name, const json& spec) {
  return {{"meta", {{"name", name}, {"revision", 12}, {"made", 3}, {"finalizers", json::array()}}},
          {"spec", spec},
          {"status", nullptr}};
}

json Route(const std::string& host, const std::string& kind) {
  return {{"name", "r1"},
          {"host", host},
          {"path_prefix", "/"},
          {"kind", kind},
          {"timeout_ms", 800},
          {"target_latency_ms", 250},
          {"priority", 2},
          {"service", "group"},
          {"attempts", 2},
          {"unknown", "x"},
          {"max_staleness_ms", 2500}};
}

model::CatalogObject Translated(Collection collection, const json& object) {
  auto translated = Translate(collection, object);
  REQUIRE(translated);
  return *std::move(translated);
}

/// An instance's entry as the instance writes it.
json InstanceSpec() {
  return {{"service", "group"},
          {"addr", "10.128.0.9:8080"},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 3},
          {"state", "draining"},
          {"seq", 4},
          {"db_role", "primary"},
          {"warmup_left_ms", 1500},
          {"born", 1778441011418}};
}

}  // namespace

TEST_CASE("All fields of a configuration are translated", "[platform]") {
  const json spec = {{"version", 7},
                     {"routes", {Route("db1", "read_your_writes"), Route("db2", "primary")}},
                     {"services", {{{"name", "group"}, {"max_conns", 34}, {"sync_replicas", 1}}}},
                     {"limits", {{"tx_idle_ms", 3000}}}};
  const auto object = Translated(Collection::kConfiguration, Object("main", spec));
  CHECK(object.revision == 12);
  const auto& configuration = std::get<model::Configuration>(object.payload);
  CHECK(configuration.version == 7);
  CHECK(configuration.routes.at("db1").consistency == model::Consistency::kReadYourWrites);
  CHECK(configuration.routes.at("db1").max_staleness == std::chrono::milliseconds(2500));
  CHECK(configuration.routes.at("db2").consistency == model::Consistency::kPrimary);
  CHECK(configuration.services.at("group").max_connections == 34);
  CHECK(configuration.services.at("group").sync_replicas == 1);
  CHECK(configuration.transaction_idle == std::chrono::milliseconds(3000));
}

TEST_CASE("Tenants are translated, and catalog copies between daemons contain no API key",
          "[platform][tenants]") {
  const std::string key = "bkf83fgfwrz56aw63is4";
  json open_route = Route("db2", "primary");
  open_route["public"] = true;
  const json spec = {{"version", 7},
                     {"routes", {Route("db1", "primary"), open_route}},
                     {"services", {{{"name", "group"}, {"max_conns", 34}}}},
                     {"tenants",
                      {{{"name", "north"},
                        {"api_keys", {key}},
                        {"priority", 1},
                        {"rate_per_s", 196},
                        {"burst", 98.5}}}}};
  const auto object = Translated(Collection::kConfiguration, Object("main", spec));
  proxy::CatalogCopy copy;
  copy.configuration = std::get<model::Configuration>(object.payload);
  const std::string text = host::EncodeCatalogCopy(copy);
  CHECK(text.find(key) == std::string::npos);
  const auto decoded = host::DecodeCatalogCopy(text);
  REQUIRE(decoded);
  const tenants::tenant& north = decoded->configuration.tenants.at("north");
  CHECK(north.keys == std::vector<tenants::key_digest>{tenants::digest_of(key)});
  CHECK(north.rate == 196);
  CHECK(north.burst == 98.5);
  CHECK_FALSE(decoded->configuration.routes.at("db1").is_public);
  CHECK(decoded->configuration.routes.at("db2").is_public);
}

TEST_CASE("A tenant with a negative rate makes the configuration unreadable",
          "[platform][tenants]") {
  const json spec = {{"version", 7},
                     {"routes", json::array()},
                     {"services", json::array()},
                     {"tenants", {{{"name", "north"}, {"rate_per_s", -1}}}}};
  const auto object = Translated(Collection::kConfiguration, Object("main", spec));
  CHECK(std::holds_alternative<std::monostate>(object.payload));
}

TEST_CASE("Proof and rates of a heartbeat survive encoding and decoding", "[platform][tenants]") {
  proxy::PeerMessage message;
  message.proven_version = 9;
  message.proof_age = std::chrono::milliseconds(420);
  message.rates.receiver_is_coordinator = true;
  message.rates.sender_is_allocator = true;
  message.rates.usage = {{7, 30, 41}};
  message.rates.grants = {{7, 1.25, 0.5, 1}};
  const auto read = proxy::DecodePeerMessage(proxy::EncodePeerMessage(message));
  REQUIRE(common::IsOk(read));
  const proxy::PeerMessage& received = common::ValueOf(read);
  CHECK(received.proven_version == 9);
  CHECK(received.proof_age == message.proof_age);
  CHECK(received.rates.receiver_is_coordinator);
  CHECK(received.rates.sender_is_allocator);
  CHECK(received.rates.usage == message.rates.usage);
  CHECK(received.rates.grants == message.rates.grants);
}

TEST_CASE("An unreadable object has no payload and keeps its name", "[platform]") {
  const auto broken = Translated(Collection::kConfiguration, Object("main", {{"version", "x"}}));
  CHECK(std::holds_alternative<std::monostate>(broken.payload));
  CHECK(broken.name == "main");
  const auto other = Translated(Collection::kConfiguration, Object("draft", {{"version", 1}}));
  CHECK(std::holds_alternative<std::monostate>(other.payload));
  const auto no_port =
      Translated(Collection::kInstances, Object("i-1", {{"service", "g"}, {"addr", "10.0.0.1"}}));
  CHECK(std::holds_alternative<model::UnusableEntry>(no_port.payload));
}

TEST_CASE("An object with a number out of range has no payload", "[platform]") {
  const json number = GENERATE(json(-1), json(1e300), json(4'294'967'296));
  INFO(number);
  const auto daemon =
      Translated(Collection::kDaemons,
                 Object("d-1", {{"zone", "a"}, {"peer", "10.0.0.1:80"}, {"capacity", number}}));
  CHECK(std::holds_alternative<std::monostate>(daemon.payload));
  const auto record = Translated(Collection::kHolders, Object("g", {{"holders", json::object()},
                                                                    {"floor_term", number},
                                                                    {"floor_number", 0},
                                                                    {"lost_logs", 0}}));
  CHECK(std::holds_alternative<std::monostate>(record.payload));
  const auto configuration =
      Translated(Collection::kConfiguration,
                 Object("main", {{"version", 1},
                                 {"routes", json::array()},
                                 {"services", {{{"name", "g"}, {"max_conns", number}}}}}));
  CHECK(std::holds_alternative<std::monostate>(configuration.payload));
}

TEST_CASE("An instance's entry is translated", "[platform]") {
  const auto object = Translated(Collection::kInstances, Object("i-1", InstanceSpec()));
  const auto& entry = std::get<model::InstanceEntry>(object.payload);
  CHECK(entry.id == "i-1");
  CHECK(entry.address == common::Endpoint{"10.128.0.9", 8080});
  CHECK(entry.draining);
  CHECK(entry.primary);
  CHECK(entry.Identity() == model::InstanceIncarnation{"i-1", 1778441011418});
}

TEST_CASE("The leadership record survives encoding and parsing", "[platform]") {
  model::LeadershipRecord record;
  record.holder = "me.1";
  record.token = 4;
  record.sequence = 9;
  record.nonce = "me.1/3";
  record.attempts["group"] = {2, "i-7"};
  const auto [read, revision] = ParseLeadershipRecord(Object("leader", SpecOf(record)));
  CHECK(revision == 12);
  CHECK(read.token == 4);
  CHECK(read.nonce == record.nonce);
  CHECK(read.attempts == record.attempts);
}

TEST_CASE("The record of commit holders survives encoding and parsing", "[platform]") {
  model::HolderRecord record;
  record.holders["i-7"] = {{"10.0.0.7", 5432}, "near"};
  record.floor = {3, 1209};
  record.lost_logs = 1;
  const auto [read, revision] = ParseHolderRecord(Object("group", SpecOf(record)));
  CHECK(revision == 12);
  CHECK(read == record);
}

TEST_CASE("Regions and warm-up are translated and kept in catalog copies between daemons",
          "[platform][access]") {
  json route = Route("db1", "primary");
  route["allowed_regions"] = {"north", "south"};
  const json spec = {
      {"version", 7},
      {"routes", {route, Route("db2", "primary")}},
      {"services",
       {{{"name", "group"}, {"max_conns", 34}, {"warmup_s", 6.5}, {"warmup_per_s", 8.0}}}},
      {"tenants", {{{"name", "t"}, {"allowed_regions", {"south"}}}}}};
  proxy::CatalogCopy copy;
  copy.configuration = std::get<model::Configuration>(
      Translated(Collection::kConfiguration, Object("main", spec)).payload);
  copy.instances.push_back(std::get<model::InstanceEntry>(
      Translated(Collection::kInstances, Object("i-1", InstanceSpec())).payload));
  const auto decoded = host::DecodeCatalogCopy(host::EncodeCatalogCopy(copy));
  REQUIRE(decoded);
  const model::Configuration& configuration = decoded->configuration;
  CHECK(configuration.routes.at("db1").allowed_regions ==
        std::vector<std::string>{"north", "south"});
  CHECK(configuration.routes.at("db2").allowed_regions.empty());
  CHECK(configuration.tenants.at("t").allowed_regions == std::vector<std::string>{"south"});
  CHECK(configuration.services.at("group").warm_up ==
        model::WarmUp{std::chrono::milliseconds(6500), 8});
  REQUIRE(decoded->instances.size() == 1);
  CHECK(decoded->instances.front().warm_up_left == std::chrono::milliseconds(1500));
  CHECK(decoded->instances.front().Identity() == copy.instances.front().Identity());
}

TEST_CASE("An evacuation is identified by its zone, whatever else its object contains",
          "[platform][access]") {
  const auto object = Translated(Collection::kEvacuations, Object("zone-1", json::object()));
  CHECK(std::get<model::ZoneEvacuation>(object.payload).zone == "zone-1");
  CHECK(KindOf(Collection::kEvacuations) == "evacuations");
}

TEST_CASE("A negative warm-up makes a configuration unreadable", "[platform][access]") {
  const json spec = {{"version", 7},
                     {"routes", json::array()},
                     {"services", {{{"name", "group"}, {"warmup_per_s", -1}}}}};
  const auto object = Translated(Collection::kConfiguration, Object("main", spec));
  CHECK(std::holds_alternative<std::monostate>(object.payload));
}

}  // namespace valvekeel::platform
