#include "settings/schema.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "configuration/specs.h"
#include "daemon/daemon_settings.h"

namespace valvekeel::settings {
namespace {

/// A file that the destructor removes.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) { std::ofstream(path) << text; }
  ~TemporaryFile() { std::remove(path.c_str()); }

  const std::string path = std::tmpnam(nullptr);
};

}  // namespace

TEST_CASE("All errors of a settings file are reported at once, with line and key", "[settings]") {
  const TemporaryFile file(
      "[daemon]\nid = \"a\"\nzone = 3\nplatfrom = \"x\"\nplatform = \"127.0.0.1\"\n"
      "[pool]\nprobe_interval_ms = 0\nuser = \"u\"\n[routing]\nretry_fraction = \"much\"\n");
  const auto loaded = daemon::LoadDaemonSettings(file.path, {});
  REQUIRE_FALSE(common::IsOk(loaded));
  std::string all;
  for (const SettingError& error : common::ErrorOf(loaded)) {
    all += Describe(error) + "\n";
  }
  INFO(all);
  CHECK(all.find(":3: daemon.zone: is not a text") != std::string::npos);
  CHECK(all.find(":4: daemon.platfrom: is not a known setting") != std::string::npos);
  CHECK(all.find(":7: pool.probe_interval_ms: 0 is outside 5 to") != std::string::npos);
  CHECK(all.find(":10: routing.retry_fraction: is not a number") != std::string::npos);
  CHECK(all.find("daemon.platform: \"127.0.0.1\" is not host:port") != std::string::npos);
}

TEST_CASE("Overrides take precedence over the file and are checked like it", "[settings]") {
  const TemporaryFile file(
      "[daemon]\nid = \"a\"\nzone = \"z\"\nplatform = \"127.0.0.1:80\"\nseeds = [\"1.2.3.4:5\"]\n");
  auto loaded = daemon::LoadDaemonSettings(file.path, {"daemon.id=b", "pool.probe_interval_ms=77"});
  REQUIRE(common::IsOk(loaded));
  CHECK(common::ValueOf(loaded).id == "b");
  CHECK(common::ValueOf(loaded).pool.probe_interval == std::chrono::milliseconds(77));
  CHECK(common::ValueOf(loaded).seeds.size() == 1);
  CHECK_FALSE(common::IsOk(daemon::LoadDaemonSettings(file.path, {"pool.nothing=1"})));
  CHECK_FALSE(common::IsOk(daemon::LoadDaemonSettings(file.path, {"rubbish"})));
}

TEST_CASE("A broken file and a missing required key are reported", "[settings]") {
  const TemporaryFile broken("[daemon\nid = 1\n");
  const auto loaded = daemon::LoadDaemonSettings(broken.path, {});
  REQUIRE_FALSE(common::IsOk(loaded));
  CHECK(common::ErrorOf(loaded).front().line == 1);
  const TemporaryFile empty("");
  CHECK(common::ErrorOf(daemon::LoadDaemonSettings(empty.path, {})).size() == 3);
}

TEST_CASE("Errors of a specification name every invalid field", "[settings]") {
  const auto database = configuration::ReadDatabaseSpec(
      "db", {{"instances",
              {{{"id", "0"}, {"zone", "a"}, {"host", "127.0.0.1"}, {"port", 70000}, {"slotz", 3}},
               {{"id", "0"}, {"zone", ""}, {"host", "h"}, {"port", 1}, {"intent", "gone"}}}}});
  REQUIRE_FALSE(common::IsOk(database));
  std::string fields;
  for (const auto& error : common::ErrorOf(database)) {
    fields += error.field + " ";
  }
  for (const char* field : {"instances[0].port", "instances[0].slotz", "instances[1].id",
                            "instances[1].zone", "instances[1].intent"}) {
    CHECK(fields.find(field) != std::string::npos);
  }
  CHECK_FALSE(common::IsOk(configuration::ReadShareGroupSpec(
      "g", {{"share", -1}, {"databases", {"db"}}, {"minimum", 3}, {"maximum", 2}})));
}

}  // namespace valvekeel::settings
