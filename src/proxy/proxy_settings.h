// Settings of the proxy's decision code.
//
// Owns: the values with their defaults. Invariant: none; the settings' schema checks ranges.
// Thread: any (values only).
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

/// How often Proxy::Tick is to be called.
inline constexpr common::Duration kTick{10'000};

/// Mechanisms that tests switch off to see that the simulator's checkers notice. No setting of the
/// daemon reaches them.
struct Mechanisms {
  bool read_lease = true;             // reads at a primary need a lease
  bool required_positions = true;     // replicas must hold what a read needs
  bool enough_fences = true;          // more than one replica is fenced before a promotion
  bool session_reset = true;          // a connection's values are those of its session
  bool tenant_connections = true;     // a connection serves one tenant
  bool unknown_outcomes = true;       // a write whose answer is lost is not sent again
  bool evacuation_bound = true;       // instances of an evacuated zone close in time
  bool warm_up_limit = true;          // instances that have just started get few requests
  bool allowed_regions = true;        // work stays in the regions where it may run
  bool instance_incarnations = true;  // what a restarted instance held before counts as lost
};

struct ProxySettings {
  std::string name;                             // of this daemon
  std::string zone;                             // in which it runs
  std::string region;                           // of that zone; empty if regions are not told
  std::map<std::string, std::string> regions;   // by zone, of all zones of the deployment
  std::uint64_t incarnation = 0;                // of this life, chosen by the host
  common::Endpoint peer;                        // own address for other daemons
  std::uint16_t admin_port = 0;                 // for FetchCatalog, alike on all daemons
  std::vector<common::Endpoint> seed_peers;     // daemons that may be there, for heartbeats
  std::vector<common::Endpoint> seed_catalogs;  // the same daemons, for FetchCatalog
  bool first_start = false;                     // all daemons start for the first time, and at once
  common::Duration stop_grace{6'000'000};       // from the stop signal to the kill
  common::Duration drain_limit{7'000'000};      // longest use of an instance that is leaving
  common::Duration watch_wait{3'000'000};       // longest wait of a watch of the store
  common::Duration slow_watch_wait{15'000'000};  // the same for what may be late
  /// In a large deployment, for all but coordinators: longest wait of a watch, and the pause
  /// between watches of what may be late.
  common::Duration relaxed_watch_wait{20'000'000};
  common::Duration relaxed_pause{2'000'000};
  /// In a large deployment, for the coordinator that reads the leadership record: longest wait of a
  /// watch. That the store is silent shows in its reads; this is for a watch that was lost alone.
  common::Duration coordinator_watch_wait{5'000'000};
  /// For a daemon that hears from others what is new: between two lists, and the time after which
  /// it lists the other daemons again.
  common::Duration notified_list_pause{500'000};
  common::Duration notified_watch_wait{60'000'000};
  common::Duration heartbeat_interval{250'000};
  /// In a large deployment: among coordinators; between a coordinator that does not act for all and
  /// the owners, who tell it at once what matters; and from an owner to its hubs, since callers
  /// wait for the word that an owner was lost.
  common::Duration coordinator_heartbeat_interval{500'000};
  common::Duration standby_heartbeat_interval{1'000'000};
  common::Duration owner_heartbeat_interval{250'000};
  std::uint32_t capacity = 0;  // of this machine, thousandths of a processor core; 0 if unknown
  membership::view_policy view;
  relay::role_policy roles;
  common::Duration lease_round_interval{400'000};
  /// Share of the target latency for which a statement may wait for an instance before it is
  /// refused.
  double hold_fraction = 0.25;
  /// A statement whose turn will not come within that time is refused before it is over.
  bool early_refusal = false;
  tenants::tenant_policy tenants;
  /// From an evacuation's acknowledgement until nothing is sent to the zone's instances; 0:
  /// operators evacuate no zones, and the store is not asked for it.
  common::Duration evacuation_limit{0};
  /// What is tolerated beyond a starting instance's rate (model::WarmUp), in any second.
  warm_up::tolerance warm_up;
  Mechanisms mechanisms;
};

}  // namespace valvekeel::proxy
