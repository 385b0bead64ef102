#include "host/metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace valvekeel::host {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Only the tenants refused most often get a label, so that the number of time series stays bounded
/// with any number of tenants.
constexpr std::size_t kMaxTenantLabels = 10;

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

prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2};
}

double Seconds(common::Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

Metrics::Metrics()
    : statement_seconds_(prometheus::BuildHistogram()
                             .Name("valvekeel_statement_seconds")
                             .Help("Time of statements that an instance answered, by stage")
                             .Register(registry_)) {}

void Metrics::Observe(const proxy::StatementTimes& times) {
  const std::string consistency = ConsistencyName(times.consistency);
  statement_seconds_.Add({{"consistency", consistency}, {"stage", "wait"}}, LatencyBuckets())
      .Observe(Seconds(times.waited));
  statement_seconds_.Add({{"consistency", consistency}, {"stage", "instance"}}, LatencyBuckets())
      .Observe(Seconds(times.instance));
}

void Metrics::SetGauge(const std::string& name, const std::string& help,
                       const std::map<std::string, std::string>& labels, double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels).Set(value);
}

void Metrics::SetTenantGauges(proxy::Proxy& proxy, common::Instant now) {
  const tenants::admission& admission = proxy.Admission();
  const tenants::admission_counters& counters = admission.counters();
  const std::string name = "valvekeel_turned_away_total";
  const std::string help = "Requests and sessions turned away before anything ran";
  SetGauge(name, help, {{"reason", "unknown_key"}}, static_cast<double>(counters.unknown_key));
  SetGauge(name, help, {{"reason", "unproven"}}, static_cast<double>(counters.unproven));
  SetGauge(name, help, {{"reason", "over_limit"}}, static_cast<double>(counters.over_limit));
  const auto age = admission.proof().age(admission.configuration_version(), now);
  if (admission.proof().required() && age) {
    SetGauge("valvekeel_proof_age_seconds",
             "Time since the configuration was known to be the newest", {}, Seconds(*age));
  }
  std::vector<std::pair<std::uint64_t, std::string>> refused;
  for (const auto& [tenant, count] : admission.limiter().refused()) {
    refused.emplace_back(count, tenant);
  }
  std::sort(refused.rbegin(), refused.rend());
  refused.resize(std::min(refused.size(), kMaxTenantLabels));
  for (const auto& [count, tenant] : refused) {
    SetGauge("valvekeel_over_limit_total", "Operations over their tenant's limit",
             {{"tenant", tenant}}, static_cast<double>(count));
  }
}

void Metrics::SetEvacuationGauges(const proxy::Proxy& proxy, common::Instant now) {
  const auto& view = proxy.Evacuations().newest();
  if (!view) {
    return;
  }
  SetGauge("valvekeel_evacuated_zones", "Zones that operators have evacuated", {},
           static_cast<double>(view->zones.size()));
  SetGauge("valvekeel_evacuations_age_seconds", "Time since that is known to have held", {},
           Seconds(now - view->read_at));
}

std::string Metrics::Serialize(proxy::Proxy& proxy, const runtime::BoundedLog& log,
                               const HeartbeatStats& heartbeats,
                               const std::map<std::string, std::uint64_t>& unreadable_answers,
                               common::Instant now) {
  SetGauge("valvekeel_largest_heartbeat_bytes", "Largest heartbeat sent in this life", {},
           static_cast<double>(heartbeats.largest_bytes));
  SetGauge("valvekeel_unsent_heartbeats_total", "Heartbeats that the system did not take", {},
           static_cast<double>(heartbeats.unsent));
  const proxy::DispatchCounters& counters = proxy.Dispatch().Counters();
  SetGauge("valvekeel_commands_total", "Commands of callers", {},
           static_cast<double>(counters.commands));
  SetGauge("valvekeel_statements_succeeded_total", "Statements that an instance ran", {},
           static_cast<double>(counters.succeeded));
  SetGauge("valvekeel_reads_total", "Reads answered", {{"instance", "replica"}},
           static_cast<double>(counters.replica_reads));
  SetGauge("valvekeel_reads_total", "Reads answered", {{"instance", "primary"}},
           static_cast<double>(counters.primary_reads));
  SetGauge("valvekeel_retries_total", "Statements tried again after a promise", {},
           static_cast<double>(counters.retries));
  SetGauge("valvekeel_resent_reads_total", "Reads sent again for want of an answer", {},
           static_cast<double>(counters.resent_reads));
  SetTenantGauges(proxy, now);
  SetEvacuationGauges(proxy, now);
  for (const auto& [reason, count] : counters.blocked) {
    SetGauge(
        "valvekeel_barred_total",
        "Requests refused and transactions rolled back for want of an instance that may run them",
        {{"reason", reason}}, static_cast<double>(count));
  }
  SetGauge("valvekeel_cold_instances", "Instances that are spared since they have just started", {},
           static_cast<double>(proxy.ColdInstances()));
  SetGauge("valvekeel_cold_requests_total", "Requests sent to such instances", {},
           static_cast<double>(proxy.WarmUps().cold_requests()));
  SetGauge("valvekeel_store_era", "Era of the store's history, 0 if it tells none", {},
           static_cast<double>(proxy.CatalogView().Era()));
  SetGauge("valvekeel_store_era_changes_total", "Returns of the store from an older copy", {},
           static_cast<double>(proxy.CatalogView().EraChanges()));
  for (const auto& [reason, count] : proxy.CatalogView().UnusableEntries()) {
    SetGauge("valvekeel_unusable_entries_total",
             "Entries of the store that named no instance to use", {{"reason", reason}},
             static_cast<double>(count));
  }
  for (const auto& [call, count] : unreadable_answers) {
    SetGauge("valvekeel_store_answers_unreadable_total",
             "Answers of the store that could not be read", {{"call", call}},
             static_cast<double>(count));
  }
  for (const auto& [code, count] : counters.errors) {
    SetGauge("valvekeel_errors_total", "Errors answered to callers", {{"code", code}},
             static_cast<double>(count));
  }
  SetGauge("valvekeel_sessions", "Callers' sessions", {},
           static_cast<double>(proxy.Dispatch().SessionCount()));
  SetGauge("valvekeel_waiting", "Statements waiting for an instance", {},
           static_cast<double>(proxy.Dispatch().QueuedCount()));
  const std::string refused_waiting = "valvekeel_refused_waiting_total";
  const std::string help = "Statements refused that waited for an instance";
  SetGauge(refused_waiting, help, {{"reason", "early"}},
           static_cast<double>(counters.refused_early));
  for (const auto& [reason, count] : counters.refused_at_queue_deadline) {
    SetGauge(refused_waiting, help, {{"reason", reason}}, static_cast<double>(count));
  }
  const relay::relay_counters& relayed = proxy.Relay().Sessions().counters();
  SetGauge("valvekeel_relayed_sessions", "Sessions that another daemon serves", {},
           static_cast<double>(proxy.Relay().Sessions().size()));
  SetGauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner",
           {{"outcome", "started"}}, static_cast<double>(relayed.started));
  SetGauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner",
           {{"outcome", "retried"}}, static_cast<double>(relayed.retried));
  SetGauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner",
           {{"outcome", "served_here"}}, static_cast<double>(relayed.served_locally));
  SetGauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner",
           {{"outcome", "moved"}}, static_cast<double>(relayed.moved));
  SetGauge("valvekeel_sessions_outside_regions_total", "Sessions that no region may run", {},
           static_cast<double>(proxy.Relay().RefusedOutsideRegions()));
  for (const auto& [reason, count] : counters.blocked) {
    SetGauge("valvekeel_barred_total", "Requests refused or ended by rules on where work may run",
             {{"reason", reason}}, static_cast<double>(count));
  }
  SetGauge("valvekeel_relayed_sessions_total", "Sessions handed to an owner", {{"outcome", "lost"}},
           static_cast<double>(relayed.lost));
  SetGauge("valvekeel_coordinates", "1 if this daemon may replace primaries", {},
           proxy.Roles().coordinates() ? 1 : 0);
  SetGauge("valvekeel_configuration_version", "Version in force", {},
           static_cast<double>(proxy.CatalogView().Configuration().version));
  SetGauge("valvekeel_store_connected", "1 if the metadata store answers", {},
           proxy.CatalogView().Connected() ? 1 : 0);
  SetGauge("valvekeel_live_daemons", "Other daemons heard", {},
           static_cast<double>(proxy.CountOtherLiveDaemons(now)));
  for (const auto& [service, group] : proxy.Groups().All()) {
    SetGauge("valvekeel_group_term", "Term of the known primary", {{"service", service}},
             group.lease.Newest().term);
    SetGauge("valvekeel_lease_age_seconds", "Age of the read lease's round", {{"service", service}},
             Seconds(now - group.lease.Newest().started));
  }
  for (const auto& [id, backend] : proxy.Backends().All()) {
    SetGauge("valvekeel_connections", "Connections to the instance", {{"instance", id}},
             static_cast<double>(backend.Connections().size()));
    SetGauge("valvekeel_requests_in_flight", "Connections with a request outstanding",
             {{"instance", id}}, static_cast<double>(backend.BusyCount()));
  }
  SetGauge("valvekeel_log_lines_dropped_total", "Log lines lost to a slow reader", {},
           static_cast<double>(log.Dropped()));
  SetGauge("valvekeel_log_lines_suppressed_total", "Log lines over the limit of their event", {},
           static_cast<double>(log.Suppressed()));
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace valvekeel::host
