#include "catalog_translation.h"

#include <catch2/catch.hpp>

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

}  // namespace

TEST_CASE("A configuration is read whole", "[platform]") {
  const json spec = {{"version", 7},
                     {"routes", {Route("db1", "read_your_writes"), Route("db2", "primary")}},
                     {"services", {{{"name", "group"}, {"max_conns", 34}, {"sync_replicas", 1}}}},
                     {"limits", {{"tx_idle_ms", 3000}}}};
  const auto object = Translate(Collection::kConfiguration, Object("main", spec));
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

TEST_CASE("What cannot be read has no payload and keeps its name", "[platform]") {
  const auto broken = Translate(Collection::kConfiguration, Object("main", {{"version", "x"}}));
  CHECK(std::holds_alternative<std::monostate>(broken.payload));
  CHECK(broken.name == "main");
  const auto other = Translate(Collection::kConfiguration, Object("draft", {{"version", 1}}));
  CHECK(std::holds_alternative<std::monostate>(other.payload));
  const auto no_port =
      Translate(Collection::kInstances, Object("i-1", {{"service", "g"}, {"addr", "10.0.0.1"}}));
  CHECK(std::holds_alternative<std::monostate>(no_port.payload));
}

TEST_CASE("An instance's entry is read", "[platform]") {
  const json spec = {{"service", "group"}, {"addr", "10.128.0.9:8080"}, {"zone", "a"},
                     {"slots", 3},         {"state", "draining"},       {"db_role", "primary"}};
  const auto object = Translate(Collection::kInstances, Object("i-1", spec));
  const auto& entry = std::get<model::InstanceEntry>(object.payload);
  CHECK(entry.id == "i-1");
  CHECK(entry.address == common::Endpoint{"10.128.0.9", 8080});
  CHECK(entry.draining);
  CHECK(entry.primary);
}

TEST_CASE("The leadership record comes back as it was written", "[platform]") {
  model::LeadershipRecord record;
  record.holder = "me.1";
  record.token = 4;
  record.sequence = 9;
  record.nonce = "me.1/3";
  record.attempts["group"] = {2, "i-7"};
  const auto [read, revision] = RecordOf(Object("leader", SpecOf(record)));
  CHECK(revision == 12);
  CHECK(read.token == 4);
  CHECK(read.nonce == record.nonce);
  CHECK(read.attempts == record.attempts);
}

}  // namespace valvekeel::platform
