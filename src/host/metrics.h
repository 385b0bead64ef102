// Counters, gauges and latency histograms of a daemon, in Prometheus' text form.
//
// Owns: the registry. Invariant: counters never fall within one life. Thread: the event loop's.
#pragma once

#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "proxy/proxy.h"
#include "runtime/bounded_log.h"

namespace valvekeel::host {

/// Heartbeats as the host sends them.
struct HeartbeatFigures {
  std::size_t largest = 0;  // bytes
  std::uint64_t unsent = 0;
};

class Metrics {
 public:
  Metrics();

  /// Notes how long a statement took.
  void Observe(const proxy::StatementTimes& times);

  /// @return all figures as text, with the state of the decision code as it is now.
  std::string Text(proxy::Proxy& proxy, const runtime::BoundedLog& log,
                   const HeartbeatFigures& heartbeats, common::Instant now);

 private:
  void TenantGauges(proxy::Proxy& proxy, common::Instant now);
  void EvacuationGauges(const proxy::Proxy& proxy, common::Instant now);
  void Gauge(const std::string& name, const std::string& help,
             const std::map<std::string, std::string>& labels, double value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& statement_seconds_;
};

}  // namespace valvekeel::host
