#include "host/host_settings.h"

#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace valvekeel::host {
namespace {

using common::Duration;
using settings::Schema;
using settings::SettingError;

constexpr std::int64_t kMaxMs = 3'600'000;
constexpr double kMaxCores = 1'024;
constexpr double kThousandthsPerCore = 1'000;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void AddTime(Schema& schema, const std::string& key, const std::string& description,
             std::int64_t min, Duration* target) {
  schema.Integer(key, "ms", description, min, kMaxMs, Milliseconds(*target),
                 [target](std::int64_t value) { *target = std::chrono::milliseconds(value); });
}

/// Values of `daemon.features` that this daemon supports.
constexpr const char* kTenantsFeature = "tenants";
constexpr const char* kQuotaFeature = "quota";
constexpr double kMaxSlack = 1e9;

/// Adds the settings of tenant identification and rate limits.
void AddTenantSettings(Schema& schema, tenants::tenant_policy& out) {
  schema.TextList("daemon.features",
                  "what the deployment uses: tenants (callers are known by keys), quota (tenants' "
                  "rates are limited); others are ignored",
                  [&out](const std::vector<std::string>& value) {
                    for (const std::string& feature : value) {
                      out.keys_required = out.keys_required || feature == kTenantsFeature;
                      out.rates_limited = out.rates_limited || feature == kQuotaFeature;
                    }
                  });
  AddTime(
      schema, "tenants.revocation_limit_ms",
      "from a key's removal until no daemon serves it, in touch with the store or not; 0: no bound",
      0, &out.revocation_limit);
  schema.Real("tenants.rate_slack", "operations",
              "that may pass beyond a limit at once, since counts come late", 0.0, kMaxSlack,
              out.rate_slack, [&out](double value) { out.rate_slack = value; });
}

/// Adds the settings that limit which instances get requests: evacuated zones and warm-up.
void AddPlacementSettings(Schema& schema, proxy::ProxySettings& out) {
  constexpr double kMaxOverage = 100;
  AddTime(
      schema, "evacuation.limit_ms",
      "from an evacuation's acknowledgement until nothing goes to the zone's instances; 0: zones "
      "are not evacuated",
      0, &out.evacuation_limit);
  schema.Real(
      "warm_up.overage", "", "times the rate of a starting instance that may reach it in a second",
      1.0, kMaxOverage, out.warm_up.overage, [&out](double value) { out.warm_up.overage = value; });
  schema.Real("warm_up.slack", "requests", "that may reach a starting instance besides", 0.0,
              kMaxSlack, out.warm_up.slack, [&out](double value) { out.warm_up.slack = value; });
}

/// Adds an integer setting with a minimum of 1.
template <typename Whole>
void AddCount(Schema& schema, const std::string& key, const std::string& unit,
              const std::string& description, Whole* target) {
  schema.Integer(key, unit, description, 1, 100'000, static_cast<std::int64_t>(*target),
                 [target](std::int64_t value) { *target = static_cast<Whole>(value); });
}

/// Unparsed values of settings: addresses and regions.
struct AddressTexts {
  std::string callers;
  std::string health;
  std::string admin;
  std::string peer;
  std::string store;
  std::string promotion;
  std::vector<std::string> seeds;
  std::vector<std::string> zone_regions;  // "zone=region"
};

void AddAddress(Schema& schema, const std::string& key, const std::string& description,
                std::string* target) {
  schema.Text(key, description + ", host:port", "", true,
              [target](const std::string& value) { *target = value; });
}

void AddSettings(Schema& schema, HostSettings& out, AddressTexts& texts) {
  schema.Text("daemon.name", "name of this daemon, unique among all", "", true,
              [&out](const std::string& value) { out.proxy.name = value; });
  schema.Text("daemon.zone", "zone in which this daemon runs", "", true,
              [&out](const std::string& value) { out.proxy.zone = value; });
  schema.Real("daemon.processor_share", "cores",
              "this machine's share of a processor core, 0 if unknown: larger ones get more work",
              0.0, kMaxCores, 0.0, [&out](double value) {
                out.proxy.capacity =
                    static_cast<std::uint32_t>(std::lround(value * kThousandthsPerCore));
              });
  AddAddress(schema, "listen.callers", "where callers connect", &texts.callers);
  AddAddress(schema, "listen.health", "where readiness is asked for", &texts.health);
  schema.Text("listen.health_path", "path that answers 200 if ready, else 503", out.health_path,
              false, [&out](const std::string& value) { out.health_path = value; });
  AddAddress(schema, "listen.admin", "metrics, status and the catalog for other daemons",
             &texts.admin);
  AddAddress(schema, "listen.peer",
             "heartbeats of other daemons (UDP) and sessions that they hand over (TCP)",
             &texts.peer);
  AddAddress(schema, "store.address", "the metadata store", &texts.store);
  AddAddress(schema, "promotion.address", "the promotion service", &texts.promotion);
  schema.TextList("daemon.seeds", "admin addresses of daemons that may be running",
                  [&texts](const std::vector<std::string>& value) { texts.seeds = value; });
  schema.Choice("daemon.first_start",
                "whether all daemons start for the first time: they greet each other first",
                {"true", "false", ""}, "false",
                [&out](const std::string& value) { out.proxy.first_start = value == "true"; });
  AddTime(schema, "daemon.stop_grace_ms", "time from the stop signal until the process is killed",
          1, &out.proxy.stop_grace);
  AddTime(schema, "daemon.drain_limit_ms", "longest use of an instance that leaves", 1,
          &out.proxy.drain_limit);
  AddTime(schema, "store.watch_wait_ms", "longest wait of a watch", 100, &out.proxy.watch_wait);
  AddTime(schema, "store.relaxed_watch_wait_ms",
          "large deployments: longest wait of a watch, but for coordinators", 100,
          &out.proxy.relaxed_watch_wait);
  AddTime(schema, "peers.heartbeat_ms", "time between heartbeats to a live daemon", 10,
          &out.proxy.heartbeat_interval);
  AddTime(schema, "peers.coordinator_heartbeat_ms",
          "large deployments: time between heartbeats among coordinators", 10,
          &out.proxy.coordinator_heartbeat_interval);
  AddTime(
      schema, "peers.standby_heartbeat_ms",
      "large deployments: time between heartbeats of an owner and a coordinator that doesn't act",
      10, &out.proxy.standby_heartbeat_interval);
  AddTime(schema, "peers.owner_heartbeat_ms",
          "large deployments: time between heartbeats of an owner to its hubs", 10,
          &out.proxy.owner_heartbeat_interval);
  AddTime(schema, "peers.hub_heartbeat_ms",
          "large deployments: time between heartbeats of other daemons and hubs, and among hubs",
          10, &out.proxy.view.hub_interval);
  AddCount(schema, "peers.hubs_per_zone", "daemons",
           "large deployments: daemons of a zone that hear all others of it",
           &out.proxy.view.hubs_per_zone);
  AddTenantSettings(schema, out.proxy.tenants);
  AddPlacementSettings(schema, out.proxy);
  schema.TextList("daemon.zone_regions", "region of each zone of the deployment, as zone=region",
                  [&texts](const std::vector<std::string>& value) { texts.zone_regions = value; });
  AddCount(schema, "relay.most_meshed_daemons", "daemons",
           "up to so many, all coordinate and send heartbeats at full pace",
           &out.proxy.roles.most_meshed_daemons);
  AddCount(schema, "relay.coordinators", "daemons",
           "large deployments: daemons that watch every group and replace primaries",
           &out.proxy.roles.coordinators);
  AddCount(schema, "relay.owners_per_zone", "daemons",
           "daemons of a zone that hold connections to a service's instances",
           &out.proxy.roles.owners_per_zone);
  AddCount(schema, "relay.owner_pool", "daemons",
           "daemons of a zone, the largest first, among whom the owners of all services are chosen",
           &out.proxy.roles.owner_pool);
  schema.Real("relay.owner_pool_share", "",
              "share of the zone's processors that this pool has at least; it grows by doubling",
              0.0, 1.0, out.proxy.roles.owner_pool_share,
              [&out](double value) { out.proxy.roles.owner_pool_share = value; });
  AddCount(schema, "relay.direct_again_connections", "connections",
           "large deployments: share from which on a service with owners does without them",
           &out.proxy.roles.direct_again_connections);
  AddCount(schema, "relay.least_direct_connections", "connections",
           "share of an instance's connections below which a service gets owners",
           &out.proxy.roles.least_direct_connections);
  AddCount(schema, "relay.reserved_connections", "connections",
           "connections of an instance that no daemon's share contains",
           &out.proxy.roles.reserved_connections);
  AddTime(schema, "groups.lease_round_ms", "time between rounds that renew the read lease", 10,
          &out.proxy.lease_round_interval);
  schema.Real("requests.hold_fraction", "",
              "share of the target latency for which a statement may wait for an instance", 0.0,
              10.0, out.proxy.hold_fraction,
              [&out](double value) { out.proxy.hold_fraction = value; });
  schema.Choice("requests.early_refusal",
                "whether a statement is refused as soon as its turn is not expected in that time",
                {"true", "false"}, out.proxy.early_refusal ? "true" : "false",
                [&out](const std::string& value) { out.proxy.early_refusal = value == "true"; });
  schema.Integer("requests.most_sessions", "sessions", "callers' sessions at once", 1, 1'000'000,
                 static_cast<std::int64_t>(out.max_sessions), [&out](std::int64_t value) {
                   out.max_sessions = static_cast<std::size_t>(value);
                 });
  schema.Integer("log.lines_per_event", "lines/s", "lines of one event in a second", 1, 100'000,
                 out.log.lines_per_event, [&out](std::int64_t value) {
                   out.log.lines_per_event = static_cast<std::uint32_t>(value);
                 });
}

/// Parses addresses and records an error for each invalid one.
class AddressParser {
 public:
  AddressParser(std::string path, std::vector<SettingError>& errors)
      : path_(std::move(path)), errors_(errors) {}

  void Parse(const std::string& key, const std::string& text, common::Endpoint* target) {
    if (text.empty()) {
      return;  // already reported as missing
    }
    const auto parsed = common::ParseEndpoint(text);
    if (parsed) {
      *target = *parsed;
    } else {
      errors_.push_back({path_, 0, key, "\"" + text + "\" is not host:port"});
    }
  }

 private:
  std::string path_;
  std::vector<SettingError>& errors_;
};

/// Parses texts "zone=region" and records an error for each invalid one.
void ParseZoneRegions(const std::vector<std::string>& texts, const std::string& path,
                      proxy::ProxySettings& out, std::vector<SettingError>& errors) {
  for (const std::string& text : texts) {
    const std::size_t equals = text.find('=');
    const bool valid = equals != std::string::npos && equals > 0 && equals + 1 < text.size();
    if (!valid) {
      errors.push_back({path, 0, "daemon.zone_regions", "\"" + text + "\" is not zone=region"});
      continue;
    }
    out.regions[text.substr(0, equals)] = text.substr(equals + 1);
  }
  const auto own = out.regions.find(out.zone);
  if (own != out.regions.end()) {
    out.region = own->second;
  } else if (!out.regions.empty()) {
    errors.push_back({path, 0, "daemon.zone_regions", "this daemon's zone has no region"});
  }
}

}  // namespace

common::Result<HostSettings, std::vector<SettingError>> LoadHostSettings(
    const std::string& path, const std::vector<std::string>& overrides) {
  HostSettings out;
  AddressTexts texts;
  Schema schema;
  AddSettings(schema, out, texts);
  std::vector<SettingError> errors = schema.Load(path, overrides);
  AddressParser parser(path, errors);
  parser.Parse("listen.callers", texts.callers, &out.callers);
  parser.Parse("listen.health", texts.health, &out.health);
  parser.Parse("listen.admin", texts.admin, &out.admin);
  out.proxy.admin_port = out.admin.port;
  parser.Parse("listen.peer", texts.peer, &out.proxy.peer);
  parser.Parse("store.address", texts.store, &out.store);
  parser.Parse("promotion.address", texts.promotion, &out.promotion);
  ParseZoneRegions(texts.zone_regions, path, out.proxy, errors);
  for (const std::string& text : texts.seeds) {
    common::Endpoint seed;
    parser.Parse("daemon.seeds", text, &seed);
    if (seed.port != 0 && seed.host != out.admin.host) {
      out.proxy.seed_catalogs.push_back(seed);
      out.proxy.seed_peers.push_back({seed.host, out.proxy.peer.port});
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

std::string HostSettingsMarkdown() {
  HostSettings out;
  AddressTexts texts;
  Schema schema;
  AddSettings(schema, out, texts);
  return schema.Markdown();
}

}  // namespace valvekeel::host
