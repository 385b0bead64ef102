// Exports counters, gauges and latency histograms of a daemon in Prometheus' text format.
//
// Owns: the registry. Invariant: counters never decrease while the process runs. Not thread-safe:
// used on the event loop's thread.
#pragma once

#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "proxy/proxy.h"
#include "runtime/bounded_log.h"

namespace valvekeel::host {

/// Statistics of the heartbeats that the host sends.
struct HeartbeatStats {
  std::size_t largest_bytes = 0;
  std::uint64_t unsent = 0;
};

class Metrics {
 public:
  Metrics();

  /// Adds the durations of a statement to the histograms.
  void Observe(const proxy::StatementTimes& times);

  /// @param unreadable_answers of the store, by call.
  /// @return all metrics in text format, with the current state of the decision code.
  std::string Serialize(proxy::Proxy& proxy, const runtime::BoundedLog& log,
                        const HeartbeatStats& heartbeats,
                        const std::map<std::string, std::uint64_t>& unreadable_answers,
                        common::Instant now);

 private:
  void SetTenantGauges(proxy::Proxy& proxy, common::Instant now);
  void SetEvacuationGauges(const proxy::Proxy& proxy, common::Instant now);
  void SetGauge(const std::string& name, const std::string& help,
                const std::map<std::string, std::string>& labels, double value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& statement_seconds_;
};

}  // namespace valvekeel::host
