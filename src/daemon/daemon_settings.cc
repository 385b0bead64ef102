#include "daemon/daemon_settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <chrono>
#include <utility>

namespace valvekeel::daemon {
namespace {

using common::Duration;
using settings::Schema;
using settings::SettingError;

constexpr std::int64_t kMostPort = 65535;
constexpr std::int64_t kLongestMs = 3'600'000;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void Port(Schema& schema, std::string key, std::string meaning, std::uint16_t* target) {
  schema.Integer(std::move(key), "port", std::move(meaning), 0, kMostPort, *target,
                 [target](std::int64_t value) { *target = static_cast<std::uint16_t>(value); });
}

void Time(Schema& schema, std::string key, std::string meaning, std::int64_t lowest,
          Duration* target) {
  schema.Integer(std::move(key), "ms", std::move(meaning), lowest, kLongestMs,
                 Milliseconds(*target),
                 [target](std::int64_t value) { *target = std::chrono::milliseconds(value); });
}

template <typename Count>
void Number(Schema& schema, const std::string& key, const std::string& unit,
            const std::string& meaning, std::int64_t lowest, std::int64_t highest, Count* target) {
  schema.Integer(key, unit, meaning, lowest, highest, static_cast<std::int64_t>(*target),
                 [target](std::int64_t value) { *target = static_cast<Count>(value); });
}

/// Addresses as texts, before they are checked.
struct AddressTexts {
  std::vector<std::string> seeds;
  std::string platform;
};

void AddDaemonKeys(Schema& schema, DaemonSettings& out, AddressTexts& texts) {
  schema.Text("daemon.id", "name of this daemon, unique in the cluster", "", true,
              [&out](const std::string& value) { out.id = value; });
  schema.Text("daemon.zone", "zone in which this daemon runs", "", true,
              [&out](const std::string& value) { out.zone = value; });
  schema.Text("daemon.host", "IP address that all ports listen on", out.host, false,
              [&out](const std::string& value) { out.host = value; });
  Port(schema, "daemon.caller_port", "port for callers, 0 lets the system choose",
       &out.caller_port);
  Port(schema, "daemon.peer_port", "port for other daemons, 0 lets the system choose",
       &out.peer_port);
  Port(schema, "daemon.http_port", "port for status, metrics and operators, 0 as above",
       &out.http_port);
  schema.TextList("daemon.seeds", "addresses host:port of daemons to join through",
                  [&texts](const std::vector<std::string>& value) { texts.seeds = value; });
  schema.Text("daemon.platform", "address host:port of the platform's object API", "", true,
              [&texts](const std::string& value) { texts.platform = value; });
  schema.Text("daemon.announce", "file to write the bound addresses to", "", false,
              [&out](const std::string& value) { out.announce = value; });
  schema.Choice(
      "daemon.log_level", "least level that is logged", {"debug", "info", "warning", "error"},
      "info", [&out](const std::string& value) { runtime::ParseLogLevel(value, &out.log_level); });
  Time(schema, "daemon.stop_grace_ms",
       "longest time that a planned stop waits for work in progress", 0, &out.stop_grace);
}

void AddMembershipKeys(Schema& schema, cluster::NodeSettings& node) {
  constexpr std::int64_t kMostSuccessors = 10;
  Time(schema, "membership.heartbeat_interval_ms", "time between heartbeats", 10,
       &node.heartbeat_interval);
  Time(schema, "membership.suspect_after_ms", "silence after which a member is suspected", 100,
       &node.suspect_after);
  Time(schema, "membership.fail_after_ms", "time a suspected member has to refute", 100,
       &node.fail_after);
  Number(schema, "membership.ring_successors", "members", "members that get this one's heartbeats",
         1, kMostSuccessors, &node.ring_successors);
  Number(schema, "membership.tree_fanout", "members", "branches of the dissemination tree", 1,
         kMostSuccessors, &node.tree_fanout);
  Number(schema, "membership.bridges_per_zone", "members", "members that link a zone to the others",
         1, kMostSuccessors, &node.bridges_per_zone);
  Number(schema, "membership.relays_per_zone", "members",
         "members of a zone that read the platform", 1, kMostSuccessors, &node.relays_per_zone);
}

void AddPoolKeys(Schema& schema, pool::PoolSettings& pool) {
  constexpr std::int64_t kMostOpenings = 100;
  constexpr std::int64_t kMostReserved = 1000;
  constexpr std::int64_t kMostAnswer = std::int64_t{1} << 30U;
  Time(schema, "pool.probe_interval_ms", "time between probes of an instance", 5,
       &pool.probe_interval);
  Time(schema, "pool.probe_timeout_ms", "silence after which an instance counts as lost", 10,
       &pool.probe_timeout);
  Time(schema, "pool.connect_timeout_ms", "longest time to open a connection", 10,
       &pool.connect_timeout);
  Time(schema, "pool.confirm_timeout_ms", "longest time to confirm a commit", 10,
       &pool.confirm_timeout);
  Time(schema, "pool.idle_transaction_timeout_ms", "idle time after which a transaction is ended",
       100, &pool.idle_transaction_timeout);
  Number(schema, "pool.openings_at_once", "connections", "connections being opened at one time", 1,
         kMostOpenings, &pool.openings_at_once);
  Number(schema, "pool.reserved_connections", "connections",
         "connections of an instance kept for probes and confirmations", 0, kMostReserved,
         &pool.reserved_connections);
  Number(schema, "pool.largest_answer_bytes", "bytes", "largest answer to one batch", 1024,
         kMostAnswer, &pool.largest_answer_bytes);
  schema.Text("pool.user", "user name for the databases", pool.user, false,
              [&pool](const std::string& value) { pool.user = value; });
}

void AddGatewayKeys(Schema& schema, DaemonSettings& out) {
  constexpr std::int64_t kMostWrites = 1'000'000;
  constexpr std::int64_t kMostMessage = std::int64_t{1} << 30U;
  Time(schema, "routing.read_wait_ms", "longest wait for a replica to replay a position", 0,
       &out.routing.read_wait);
  Time(schema, "routing.change_poll_ms", "longest pause before a batch is tried again", 1,
       &out.routing.change_poll);
  schema.Real("routing.retry_fraction", "retries per request", "retries that requests earn", 0.0,
              1.0, out.routing.retry_fraction,
              [&out](double value) { out.routing.retry_fraction = value; });
  schema.Real("routing.retry_reserve", "retries", "retries that may be saved up", 1.0, 1e6,
              out.routing.retry_reserve,
              [&out](double value) { out.routing.retry_reserve = value; });
  Number(schema, "routing.waiting_writes", "writes", "writes that may wait for a primary", 0,
         kMostWrites, &out.routing.max_waiting_writes);
  schema.Choice("routing.read_policy", "position, or primary for measurements against a baseline",
                {"position", "primary"}, "position", [&out](const std::string& value) {
                  out.routing.read_policy = value == "primary" ? routing::ReadPolicy::kPrimaryOnly
                                                               : routing::ReadPolicy::kByPosition;
                });
  Number(schema, "gateway.largest_message_bytes", "bytes", "largest message of a caller", 1024,
         kMostMessage, &out.sessions.max_message_bytes);
  Number(schema, "gateway.largest_pipeline", "messages", "messages of a caller before a Sync", 10,
         kMostWrites, &out.sessions.max_pipeline_messages);
  Number(schema, "gateway.prepared_statements", "statements", "prepared statements of a session", 1,
         kMostWrites, &out.sessions.max_prepared_statements);
  Time(schema, "gateway.default_deadline_ms", "time until a request must have started", 1,
       &out.sessions.default_deadline);
}

void AddKeys(Schema& schema, DaemonSettings& out, AddressTexts& texts) {
  AddDaemonKeys(schema, out, texts);
  AddMembershipKeys(schema, out.node);
  AddPoolKeys(schema, out.pool);
  AddGatewayKeys(schema, out);
}

}  // namespace

common::Result<DaemonSettings, std::vector<SettingError>> LoadDaemonSettings(
    const std::string& path, const std::vector<std::string>& overrides) {
  DaemonSettings out;
  AddressTexts texts;
  Schema schema;
  AddKeys(schema, out, texts);
  std::vector<SettingError> errors = schema.Load(path, overrides);
  for (const std::string& text : texts.seeds) {
    const auto seed = common::ParseEndpoint(text);
    if (seed) {
      out.seeds.push_back(*seed);
    } else {
      errors.push_back({path, 0, "daemon.seeds", "\"" + text + "\" is not host:port"});
    }
  }
  if (!texts.platform.empty()) {
    const auto platform = common::ParseEndpoint(texts.platform);
    if (platform) {
      out.platform = *platform;
    } else {
      errors.push_back({path, 0, "daemon.platform", "\"" + texts.platform + "\" is not host:port"});
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  out.routing.zone = out.zone;
  return out;
}

std::string DaemonSettingsMarkdown() {
  DaemonSettings out;
  AddressTexts texts;
  Schema schema;
  AddKeys(schema, out, texts);
  return schema.Markdown();
}

}  // namespace valvekeel::daemon
