// Defines the settings of the proxy's decision code.
//
// Owns: the values with their defaults. The settings' schema checks the ranges. Thread-safe: values
// only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "common/time.h"
#include "membership/live_view.h"
#include "relay/role_map.h"
#include "tenants/tenant.h"
#include "warm_up/warm_up_rule.h"

namespace valvekeel::proxy {

/// Interval between calls of Proxy::Tick.
inline constexpr common::Duration kTick{10'000};

/// Safety mechanisms that tests switch off to verify that the simulator's checkers detect their
/// absence. No setting of the daemon controls them.
struct Mechanisms {
  bool read_lease = true;            // reads at a primary need a lease
  bool required_positions = true;    // replicas must hold the position that a read needs
  bool enough_fences = true;         // more than one replica is fenced before a promotion
  bool session_reset = true;         // a connection is set to the values of its session
  bool tenant_connections = true;    // a connection serves one tenant
  bool unknown_outcomes = true;      // a write whose answer is lost is not retried
  bool evacuation_bound = true;      // requests to instances of an evacuated zone end in time
  bool warm_up_limit = true;         // recently started instances get few requests
  bool allowed_regions = true;       // requests run only in the regions allowed for them
  bool acknowledged_commits = true;  // a promoted instance holds what daemons have acknowledged
  bool covered_restarts = true;      // bounds of earlier processes need a position asked for since
  bool confirmed_session_state = true;  // a connection's values change with the instance's answer
  bool promotion_deadline = true;       // no promotion is sent after the right to it has ended
  bool confirmed_promotions = true;     // a promoter's own record begins the new primary's lease
  bool recorded_holders = true;         // commit holders are kept in the store
  bool instance_incarnations = true;    // the log of an instance counts as lost when it restarts
};

struct ProxySettings {
  std::string name;                             // of this daemon
  std::string zone;                             // of this daemon
  std::string region;                           // of that zone; empty if no regions are configured
  std::map<std::string, std::string> regions;   // region by zone, of all zones of the deployment
  std::uint64_t incarnation = 0;                // of this process, set by the host
  common::Endpoint peer;                        // address of this daemon for the others
  std::uint16_t admin_port = 0;                 // for FetchCatalog, the same on all daemons
  std::vector<common::Endpoint> seed_peers;     // addresses to send the first heartbeats to
  std::vector<common::Endpoint> seed_catalogs;  // addresses of the same daemons for FetchCatalog
  bool first_start = false;                // all daemons start for the first time, at the same time
  common::Duration stop_grace{6'000'000};  // from the stop signal to the kill signal
  common::Duration drain_limit{7'000'000};       // longest use of a draining instance
  common::Duration watch_wait{3'000'000};        // longest duration of a watch of the store
  common::Duration slow_watch_wait{15'000'000};  // for collections whose changes may arrive late
  /// In a large deployment, for all daemons but coordinators: the longest duration of a watch, and
  /// the pause between watches of collections whose changes may arrive late.
  common::Duration relaxed_watch_wait{20'000'000};
  common::Duration relaxed_pause{2'000'000};
  /// In a large deployment, for the coordinator that reads the leadership record: the longest
  /// duration of a watch. Its reads detect an unresponsive store; this limit covers the loss of a
  /// single watch.
  common::Duration coordinator_watch_wait{5'000'000};
  /// For a daemon that other daemons notify of changes in the store: the pause between two lists,
  /// and the longest time between calls without a notification.
  common::Duration notified_list_pause{500'000};
  common::Duration notified_watch_wait{60'000'000};
  common::Duration heartbeat_interval{250'000};
  /// Heartbeat intervals in a large deployment: among coordinators; between a standby coordinator
  /// and the owners, which notify it of important changes at once; and from an owner to its hubs,
  /// which is short since callers wait until the loss of an owner is detected.
  common::Duration coordinator_heartbeat_interval{500'000};
  common::Duration standby_heartbeat_interval{1'000'000};
  common::Duration owner_heartbeat_interval{250'000};
  std::uint32_t capacity = 0;  // of this machine, in thousandths of a processor core; 0 if unknown
  membership::view_policy view;
  relay::role_policy roles;
  common::Duration lease_round_interval{400'000};
  /// Share of the target latency for which a statement may be queued for an instance before it is
  /// refused.
  double hold_fraction = 0.25;
  /// Refuses a statement at once if it is not expected to be sent within that time.
  bool early_refusal = false;
  tenants::tenant_policy tenants;
  /// Limit from the acknowledgement of an evacuation until nothing is sent to the zone's instances
  /// any more. 0: zones cannot be evacuated, and evacuations are not read from the store.
  common::Duration evacuation_limit{0};
  /// Requests tolerated beyond the rate of a starting instance (model::WarmUp), in any second.
  warm_up::tolerance warm_up;
  Mechanisms mechanisms;
};

}  // namespace valvekeel::proxy
