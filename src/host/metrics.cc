#include "host/metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace valvekeel::host {
namespace {

constexpr double kSecond = 1e6;
/// Tenants with an entry of their own, those refused most: labels must not grow with the tenants.
constexpr std::size_t kTenantsShown = 10;

const char* ConsistencyName(model::Consistency consistency) {
  switch (consistency) {
    case model::Consistency::kPrimary:
      return "primary";
    case model::Consistency::kBoundedStaleness:
      return "bounded_staleness";
    case model::Consistency::kReadYourWrites:
      return "read_your_writes";
  }
  return "unknown";
}

prometheus::Histogram::BucketBoundaries Boundaries() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2};
}

double Seconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / kSecond;
}

}  // namespace

Metrics::Metrics()
    : statement_seconds_(prometheus::BuildHistogram()
                             .Name("valvekeel_statement_seconds")
                             .Help("Time of statements that an instance answered, by stage")
                             .Register(registry_)) {}

void Metrics::Observe(const proxy::StatementTimes& times) {
  const std::string consistency = ConsistencyName(times.consistency);
  statement_seconds_.Add({{"consistency", consistency}, {"stage", "wait"}}, Boundaries())
      .Observe(Seconds(times.waited));
  statement_seconds_.Add({{"consistency", consistency}, {"stage", "instance"}}, Boundaries())
      .Observe(Seconds(times.instance));
}

void Metrics::Gauge(const std::string& name, const std::string& help,
                    const std::map<std::string, std::string>& labels, double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels).Set(value);
}

void Metrics::TenantGauges(proxy::Proxy& proxy, common::Instant now) {
  const tenants::admission& admission = proxy.Admission();
  const tenants::admission_counters& counters = admission.counters();
  const std::string turned_away = "valvekeel_turned_away_total";
  const std::string help = "Requests and sessions turned away before anything ran";
  Gauge(turned_away, help, {{"reason", "unknown_key"}}, static_cast<double>(counters.unknown_key));
  Gauge(turned_away, help, {{"reason", "unproven"}}, static_cast<double>(counters.unproven));
  Gauge(turned_away, help, {{"reason", "over_limit"}}, static_cast<double>(counters.over_limit));
  const auto age = admission.proof().age(admission.configuration_version(), now);
  if (admission.proof().required() && age) {
    Gauge("valvekeel_proof_age_seconds", "Time since the configuration was known to be the newest",
          {}, Seconds(*age));
  }
  std::vector<std::pair<std::uint64_t, std::string>> refused;
  for (const auto& [tenant, count] : admission.limiter().refused()) {
    refused.emplace_back(count, tenant);
  }
  std::sort(refused.rbegin(), refused.rend());
  refused.resize(std::min(refused.size(), kTenantsShown));
  for (const auto& [count, tenant] : refused) {
    Gauge("valvekeel_over_limit_total", "Operations over their tenant's limit",
          {{"tenant", tenant}}, static_cast<double>(count));
  }
}

void Metrics::EvacuationGauges(const proxy::Proxy& proxy, common::Instant now) {
  const auto& view = proxy.Evacuations().newest();
  if (!view) {
    return;
  }
  Gauge("valvekeel_evacuated_zones", "Zones that operators have evacuated", {},
        static_cast<double>(view->zones.size()));
  Gauge("valvekeel_evacuations_age_seconds", "Time since that is known to have held", {},
        Seconds(now - view->read_at));
}

std::string Metrics::Text(proxy::Proxy& proxy, const runtime::BoundedLog& log,
                          const HeartbeatFigures& heartbeats, common::Instant now) {
  Gauge("valvekeel_largest_heartbeat_bytes", "Largest heartbeat sent in this life", {},
        static_cast<double>(heartbeats.largest));
  Gauge("valvekeel_unsent_heartbeats_total", "Heartbeats that the system did not take", {},
        static_cast<double>(heartbeats.unsent));
  const proxy::DispatchCounters& counters = proxy.Dispatch().Counters();
  Gauge("valvekeel_commands_total", "Commands of callers", {},
        static_cast<double>(counters.commands));
  Gauge("valvekeel_statements_succeeded_total", "Statements that an instance ran", {},
        static_cast<double>(counters.succeeded));
  Gauge("valvekeel_reads_total", "Reads answered", {{"instance", "replica"}},
        static_cast<double>(counters.replica_reads));
  Gauge("valvekeel_reads_total", "Reads answered", {{"instance", "primary"}},
        static_cast<double>(counters.primary_reads));
  Gauge("valvekeel_retries_total", "Statements tried again after a promise", {},
        static_cast<double>(counters.retries));
  Gauge("valvekeel_resent_reads_total", "Reads sent again for want of an answer", {},
        static_cast<double>(counters.resent_reads));
  TenantGauges(proxy, now);
  EvacuationGauges(proxy, now);
  for (const auto& [reason, count] : counters.blocked) {
    Gauge("valvekeel_barred_total",
          "Requests refused and transactions rolled back for want of an instance that may run them",
          {{"reason", reason}}, static_cast<double>(count));
  }
  Gauge("valvekeel_cold_instances", "Instances that are spared since they have just started", {},
        static_cast<double>(proxy.ColdInstances()));
  Gauge("valvekeel_cold_requests_total", "Requests sent to such instances", {},
        static_cast<double>(proxy.WarmUps().cold_requests()));
  Gauge("valvekeel_store_era", "Era of the store's history, 0 if it tells none", {},
        static_cast<double>(proxy.CatalogView().Era()));
  Gauge("valvekeel_store_era_changes_total", "Returns of the store from an older copy", {},
        static_cast<double>(proxy.CatalogView().EraChanges()));
  for (const auto& [reason, count] : proxy.CatalogView().UnusableEntries()) {
    Gauge("valvekeel_unusable_entries_total", "Entries of the store that named no instance to use",
          {{"reason", reason}}, static_cast<double>(count));
  }
  for (const auto& [code, count] : counters.errors) {
    Gauge("valvekeel_errors_total", "Errors answered to callers", {{"code", code}},
          static_cast<double>(count));
  }
  Gauge("valvekeel_sessions", "Callers' sessions", {},
        static_cast<double>(proxy.Dispatch().SessionCount()));
  Gauge("valvekeel_waiting", "Statements waiting for an instance", {},
        static_cast<double>(proxy.Dispatch().QueuedCount()));
  const std::string refused_waiting = "valvekeel_refused_waiting_total";
  const std::string help = "Statements refused that waited for an instance";
  Gauge(refused_waiting, help, {{"reason", "early"}}, static_cast<double>(counters.refused_early));
  for (const auto& [reason, count] : counters.refused_at_queue_deadline) {
    Gauge(refused_waiting, help, {{"reason", reason}}, static_cast<double>(count));
  }
  const relay::relay_counters& relayed = proxy.Relay().Sessions().counters();
  Gauge("valvekeel_relayed_sessions", "Sessions that another daemon serves", {},
        static_cast<double>(proxy.Relay().Sessions().size()));
  Gauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner", {{"outcome", "started"}},
        static_cast<double>(relayed.started));
  Gauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner", {{"outcome", "retried"}},
        static_cast<double>(relayed.retried));
  Gauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner",
        {{"outcome", "served_here"}}, static_cast<double>(relayed.served_locally));
  Gauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner", {{"outcome", "moved"}},
        static_cast<double>(relayed.moved));
  Gauge("valvekeel_sessions_outside_regions_total", "Sessions that no region may run", {},
        static_cast<double>(proxy.Relay().RefusedOutsideRegions()));
  for (const auto& [reason, count] : counters.blocked) {
    Gauge("valvekeel_barred_total", "Requests refused or ended by rules on where work may run",
          {{"reason", reason}}, static_cast<double>(count));
  }
  Gauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner", {{"outcome", "lost"}},
        static_cast<double>(relayed.lost));
  Gauge("valvekeel_coordinates", "1 if this daemon may replace primaries", {},
        proxy.Roles().coordinates() ? 1 : 0);
  Gauge("valvekeel_configuration_version", "Version in force", {},
        static_cast<double>(proxy.CatalogView().Configuration().version));
  Gauge("valvekeel_store_connected", "1 if the metadata store answers", {},
        proxy.CatalogView().Connected() ? 1 : 0);
  Gauge("valvekeel_live_daemons", "Other daemons heard", {},
        static_cast<double>(proxy.CountOtherLiveDaemons(now)));
  for (const auto& [service, group] : proxy.Groups().All()) {
    Gauge("valvekeel_group_term", "Term of the known primary", {{"service", service}},
          group.lease.Newest().term);
    Gauge("valvekeel_lease_age_seconds", "Age of the read lease's round", {{"service", service}},
          Seconds(now - group.lease.Newest().started));
  }
  for (const auto& [id, backend] : proxy.Backends().All()) {
    Gauge("valvekeel_connections", "Connections to the instance", {{"instance", id}},
          static_cast<double>(backend.Connections().size()));
    Gauge("valvekeel_requests_in_flight", "Connections with a request outstanding",
          {{"instance", id}}, static_cast<double>(backend.BusyCount()));
  }
  Gauge("valvekeel_log_lines_dropped_total", "Log lines lost to a slow reader", {},
        static_cast<double>(log.Dropped()));
  Gauge("valvekeel_log_lines_suppressed_total", "Log lines over the limit of their event", {},
        static_cast<double>(log.Suppressed()));
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace valvekeel::host
