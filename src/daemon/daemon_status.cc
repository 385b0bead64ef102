// What a daemon tells about itself: status for operators, counters for Prometheus.

#include <absl/strings/str_cat.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

#include "daemon/daemon.h"

namespace valvekeel::daemon {
namespace {

using nlohmann::json;
using replicated::Entry;
using replicated::EntryKind;

constexpr const char* kMetricsType = "text/plain; version=0.0.4";

json PositionJson(const common::Position& position) {
  return {{"term", position.term}, {"lsn", common::FormatLsn(position.lsn)}};
}

}  // namespace

void Daemon::RouteHttp() {
  http_.Route("GET", "/status", [this](const http::Request&) {
    // Names that other daemons sent may hold bytes that are not UTF-8.
    return http::Reply{200, Status().dump(-1, ' ', false, json::error_handler_t::replace)};
  });
  http_.Route("GET", "/metrics", [this](const http::Request&) {
    return http::Reply{200, Metrics(), kMetricsType};
  });
}

json Daemon::Status() const {
  json status = {{"id", self_.id},
                 {"zone", self_.zone},
                 {"incarnation", node_->Self().incarnation},
                 {"joined", node_->Joined()},
                 {"relay", !watchers_.empty()},
                 {"platform_reachable", platform_reachable_},
                 {"stopping", stopping_},
                 {"table_hash", absl::StrCat(absl::Hex(node_->Table().RootHash()))},
                 {"sessions", gateway_->SessionCount()},
                 {"busy_sessions", gateway_->BusySessions()}};
  json members = json::array();
  for (const cluster::Member& member : node_->AllMembers()) {
    members.push_back(
        {{"id", member.id}, {"zone", member.zone}, {"state", cluster::StateName(member.state)}});
  }
  json databases = json::array();
  for (const auto& [name, spec] : directory_->Databases()) {
    const auto view = directory_->View(name);
    const Entry* entry = node_->Table().Find({EntryKind::kDatabase, name});
    databases.push_back({{"name", name},
                         {"term", view->term},
                         {"primary", view->primary},
                         {"version", entry == nullptr ? 0 : entry->version.major}});
  }
  json groups = json::array();
  for (const auto& [name, group] : directory_->ShareGroups()) {
    const Entry* entry = node_->Table().Find({EntryKind::kShareGroup, name});
    groups.push_back({{"name", name},
                      {"share", group.share},
                      {"version", entry == nullptr ? 0 : entry->version.major}});
  }
  json pools = json::array();
  for (const auto& [key, owned] : pools_) {
    const pool::InstancePool& pool = *owned.pool;
    const auto& latest = pool.Replay().Latest();
    json usage = json::array();
    for (const pool::GroupUsage& group : pool.AdmissionState().Usage()) {
      usage.push_back({{"group", group.group},
                       {"queued", group.queued},
                       {"running", group.running},
                       {"slot_time_us", group.total_slot_time.count()},
                       {"started", group.started},
                       {"refused", group.refused}});
    }
    const common::Position replayed =
        latest ? common::Position{latest->term, latest->replayed} : common::Position{};
    pools.push_back({{"database", key.first},
                     {"instance", key.second},
                     {"role", !latest               ? "unreachable"
                              : latest->in_recovery ? "replica"
                                                    : "primary"},
                     {"replayed", PositionJson(replayed)},
                     {"replay_lag_us", pool.Replay().ReplayLag().count()},
                     {"connections", pool.Connections()},
                     {"open_transactions", pool.Pinned()},
                     {"in_flight", pool.InFlight()},
                     {"groups", std::move(usage)}});
  }
  status["members"] = std::move(members);
  status["databases"] = std::move(databases);
  status["share_groups"] = std::move(groups);
  status["pools"] = std::move(pools);
  return status;
}

std::string Daemon::Metrics() const {
  prometheus::Registry registry;
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(
        static_cast<double>(value));
  };
  const auto gauge = [&](const char* name, const char* help, std::size_t value) {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(
        static_cast<double>(value));
  };
  const gateway::RoutingCounters& routing = gateway_->Routing();
  counter("valvekeel_reads_total", "Batches that only read", routing.reads);
  counter("valvekeel_reads_on_replicas_total", "Of these, served by replicas",
          routing.reads_on_replicas);
  counter("valvekeel_writes_total", "Batches that may write", routing.writes);
  counter("valvekeel_retries_total", "Attempts after the first", routing.retries);
  counter("valvekeel_barriers_total", "Position barriers for sessions without a token",
          routing.barriers);
  counter("valvekeel_refused_total", "Batches refused as not run", routing.refused);
  counter("valvekeel_unknown_total", "Batches answered with an unknown outcome", routing.unknown);
  counter("valvekeel_sessions_total", "Sessions accepted", gateway_->AcceptedSessions());
  counter("valvekeel_late_replies_total", "Answers that nobody waited for", client_.LateReplies());
  const peer::TrafficCounters& traffic = network_.Counters();
  counter("valvekeel_peer_bytes_sent_total", "Bytes sent to other daemons", traffic.bytes_sent);
  counter("valvekeel_peer_messages_sent_total", "Messages sent to other daemons",
          traffic.messages_sent);
  gauge("valvekeel_sessions", "Sessions open", gateway_->SessionCount());
  gauge("valvekeel_pools", "Instance pools held", pools_.size());
  pool::PoolCounters sum;
  std::size_t connections = 0;
  for (const auto& [key, owned] : pools_) {
    const pool::PoolCounters& counters = owned.pool->Counters();
    sum.batches += counters.batches;
    sum.confirmed += counters.confirmed;
    sum.superseded += counters.superseded;
    sum.behind += counters.behind;
    sum.connections_opened += counters.connections_opened;
    sum.connections_lost += counters.connections_lost;
    connections += owned.pool->Connections();
  }
  counter("valvekeel_pool_batches_total", "Batches taken by the pools held", sum.batches);
  counter("valvekeel_pool_confirmed_total", "Commits confirmed by a majority", sum.confirmed);
  counter("valvekeel_pool_superseded_total", "Commits of a replaced primary", sum.superseded);
  counter("valvekeel_pool_behind_total", "Reads refused because a replica was behind", sum.behind);
  counter("valvekeel_pool_connections_opened_total", "Connections opened", sum.connections_opened);
  counter("valvekeel_pool_connections_lost_total", "Connections closed or lost",
          sum.connections_lost);
  gauge("valvekeel_pool_connections", "Connections to instances", connections);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry.Collect());
  return out.str();
}

}  // namespace valvekeel::daemon
