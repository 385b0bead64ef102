#include "host/host_settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "host/catalog_copy_json.h"

namespace valvekeel::host {
namespace {

/// A file that the destructor removes.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) { std::ofstream(path) << text; }
  ~TemporaryFile() { std::remove(path.c_str()); }

  const std::string path = std::tmpnam(nullptr);
};

const char* const kValid = R"(
[daemon]
name = "d1"
zone = "z1"
seeds = ["10.1.0.8:8782", "10.2.0.6:8782"]
[listen]
callers = "10.1.0.8:8784"
health = "10.1.0.8:8785"
admin = "10.1.0.8:8782"
peer = "10.1.0.8:7440"
[store]
address = "10.200.1.7:8783"
[promotion]
address = "10.200.0.160:8783"
)";

}  // namespace

TEST_CASE("Settings as in the platform's template are loaded", "[host]") {
  const TemporaryFile file(kValid);
  const auto loaded = LoadHostSettings(file.path, {"daemon.stop_grace_ms=5000"});
  REQUIRE(common::IsOk(loaded));
  const HostSettings& settings = common::ValueOf(loaded);
  CHECK(settings.proxy.stop_grace == std::chrono::seconds(5));
  // A seed with this daemon's own address is not another daemon.
  REQUIRE(settings.proxy.seed_peers.size() == 1);
  CHECK(settings.proxy.seed_peers[0] == common::Endpoint{"10.2.0.6", 7440});
}

TEST_CASE("Early refusal is off unless it is switched on", "[host]") {
  const TemporaryFile file(kValid);
  const auto usual = LoadHostSettings(file.path, {});
  REQUIRE(common::IsOk(usual));
  CHECK_FALSE(common::ValueOf(usual).proxy.early_refusal);
  const auto loaded = LoadHostSettings(file.path, {"requests.early_refusal=true"});
  REQUIRE(common::IsOk(loaded));
  CHECK(common::ValueOf(loaded).proxy.early_refusal);
}

TEST_CASE("All errors in the settings are reported at once", "[host]") {
  const TemporaryFile file(
      "[daemon]\nname = \"d1\"\nzone = 3\nzoone = \"x\"\n[listen]\n"
      "callers = \"nowhere\"\nhealth = \"1.2.3.4:99999\"\n");
  const auto loaded = LoadHostSettings(file.path, {"requests.hold_fraction=70"});
  REQUIRE_FALSE(common::IsOk(loaded));
  std::string all;
  for (const auto& error : common::ErrorOf(loaded)) {
    all += settings::Describe(error) + "\n";
  }
  for (const std::string part : {"daemon.zone", "daemon.zoone", "\"nowhere\" is not host:port",
                                 "listen.health", "store.address", "requests.hold_fraction"}) {
    INFO(part);
    CHECK(all.find(part) != std::string::npos);
  }
}

TEST_CASE("A decoded catalog copy equals the encoded one", "[host]") {
  proxy::CatalogCopy copy;
  copy.configuration.version = 9;
  model::Route route;
  route.database = "db";
  route.service = "group";
  route.consistency = model::Consistency::kReadYourWrites;
  route.timeout = common::Duration(800'000);
  copy.configuration.routes["db"] = route;
  copy.configuration.services["group"] = {"group", 34, 1};
  copy.instances.push_back({"i-1", "group", {"10.0.0.1", 80}, "z", 3, true, false});
  copy.daemons.push_back({"d1", "z", {"10.0.0.2", 7440}});
  const auto read = DecodeCatalogCopy(EncodeCatalogCopy(copy));
  REQUIRE(read);
  CHECK(read->configuration.version == 9);
  CHECK(read->configuration.routes.at("db").consistency == model::Consistency::kReadYourWrites);
  CHECK(read->configuration.services.at("group").max_connections == 34);
  CHECK(read->instances.at(0).draining);
  CHECK(read->daemons.at(0).peer == common::Endpoint{"10.0.0.2", 7440});
  CHECK_FALSE(DecodeCatalogCopy("{}"));
  CHECK_FALSE(DecodeCatalogCopy("nothing"));
}

TEST_CASE("Regions of zones, evacuation and warm-up settings are loaded", "[host][access]") {
  const TemporaryFile file(kValid);
  const auto loaded = LoadHostSettings(
      file.path, {"daemon.zone_regions=[\"z1=north\", \"z2=south\"]", "evacuation.limit_ms=5000",
                  "warm_up.overage=1.5", "warm_up.slack=5"});
  REQUIRE(common::IsOk(loaded));
  const proxy::ProxySettings& settings = common::ValueOf(loaded).proxy;
  CHECK(settings.region == "north");
  CHECK(settings.regions.at("z2") == "south");
  CHECK(settings.evacuation_limit == std::chrono::seconds(5));
  CHECK(settings.warm_up.overage == 1.5);
  CHECK(settings.warm_up.slack == 5);
}

TEST_CASE("An invalid region, or a missing one for this zone, is reported", "[host][access]") {
  const TemporaryFile file(kValid);
  const auto loaded = LoadHostSettings(file.path, {"daemon.zone_regions=[\"z2=south\", \"z3\"]"});
  REQUIRE_FALSE(common::IsOk(loaded));
  std::string all;
  for (const auto& error : common::ErrorOf(loaded)) {
    all += settings::Describe(error) + "\n";
  }
  CHECK(all.find("\"z3\" is not zone=region") != std::string::npos);
  CHECK(all.find("this daemon's zone has no region") != std::string::npos);
}

}  // namespace valvekeel::host
