// A complete simulated deployment: daemons, database groups, store and promotion service.
//
// Owns: all of them. Invariant: the tokens of promotions never decrease, and a token belongs to one
// holder; otherwise the rule ONE is reported. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "proxysim/answer_checker.h"
#include "proxysim/configuration_monitor.h"
#include "proxysim/daemon_host.h"
#include "proxysim/database_group.h"
#include "proxysim/evacuation_monitor.h"
#include "proxysim/history.h"
#include "proxysim/key_history.h"
#include "proxysim/region_checker.h"
#include "proxysim/store.h"
#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// The store's name in the simulated network.
inline constexpr const char* kStore = "store";

/// Size and settings of a deployment.
struct ClusterShape {
  std::size_t daemons = 6;
  std::size_t zones = 3;
  std::size_t regions = 0;  // over which the zones are spread; 0: regions are not configured
  std::size_t groups = 3;
  GroupShape group;
  proxy::Mechanisms mechanisms;
  relay::role_policy roles;
  std::size_t tenants = 0;               // 0: callers need no keys
  tenants::tenant_policy tenancy;        // applies if there are tenants
  common::Duration evacuation_limit{0};  // 0: no zone is evacuated
  bool first_start = false;              // the whole deployment starts for the first time
  bool use_load_balancer = false;        // callers connect through it; it detects stops late
  bool record_load = false;              // records the daemons' load for replay
  bool encode_messages = false;          // encodes heartbeats to count their bytes
  bool check_configuration = false;      // reports daemons that apply a version too late
  bool models_promotion_calls = false;   // connecting to the platform takes time
  bool callers_change_state = false;     // callers set values in transactions, and use names
};

class Cluster {
 public:
  Cluster(std::uint64_t seed, const ClusterShape& shape);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  World& SimWorld() { return world_; }
  History& CallerHistory() { return history_; }
  AnswerChecker& Answers() { return answers_; }
  SimulatedStore& Store() { return store_; }
  std::vector<std::unique_ptr<DaemonHost>>& Daemons() { return daemons_; }
  std::map<std::string, std::unique_ptr<DatabaseGroup>>& Groups() { return groups_; }
  const ClusterShape& Shape() const { return shape_; }

  DatabaseGroup* GroupOfInstance(const std::string& instance);
  DaemonHost* DaemonAt(const common::Endpoint& address);
  model::Configuration CurrentConfiguration() const { return configuration_; }

  const KeyHistory& Keys() const { return keys_; }

  /// Assigns a key to a tenant in a new version of the configuration. @param tenant empty: revoked.
  void ChangeKey(const std::string& key, const std::string& tenant);

  /// Writes a new version of the configuration with the same contents.
  void ChangeConfiguration();

  /// An operator evacuates a zone, or ends its evacuation.
  void Evacuate(const std::string& zone);
  void EndEvacuation(const std::string& zone);
  bool IsEvacuated(const std::string& zone) const { return evacuations_.IsEvacuated(zone); }
  /// Limits a route's or a tenant's work to regions in a new version of the configuration.
  void LimitRoute(const std::string& database, const std::vector<std::string>& regions);
  void LimitTenant(const std::string& tenant, const std::vector<std::string>& regions);

  /// @return the region of each zone; empty if regions are not configured.
  std::map<std::string, std::string> Regions() const;

  /// @return the zone of an instance.
  std::string ZoneOfInstance(const std::string& instance) const;

  /// Reports HOME if a daemon has sent an attempt to a zone in which it is not allowed.
  /// @param what is done with it there: "run" or "held"
  void CheckRegion(const CallerAttempt& attempt, const std::string& zone, const char* what,
                   const std::string& daemon);

  /// Writes an instance's entry to the store, as the instance itself would.
  void WriteInstanceEntry(const DatabaseGroup& group, const SimulatedInstance& instance);

  /// Cuts an instance off from the store and from all daemons; the other instances reach it. Its
  /// entry lapses.
  void CutOffInstance(const std::string& id);

  /// Ends that: the instance writes its entry again.
  void ReconnectInstance(const std::string& id);

  /// A daemon requests a promotion from the platform. Passes kNoAnswer if it is not answered.
  void Promote(const std::string& daemon, const proxy::Promote& promotion,
               const std::function<void(failover::PromotionStatus)>& handler);

  /// While set, callers connect to this daemon only.
  std::string only_daemon;
  /// While set, callers begin no operations.
  bool callers_rest = false;
  /// While set, the opening packet of a connection to the platform is lost, and sent again later.
  bool drops_openings = false;

  /// @return the daemon that holds the right to promote, according to the daemons that live.
  DaemonHost* PromotionHolder();

  /// Called with each line of a daemon's log, if set.
  std::function<void(const std::string& daemon, const proxy::LogEvent&)> on_log;

 private:
  void WriteChangedEntries(DatabaseGroup& group);
  void WriteConfiguration();
  void AssignKey(const std::string& key, const std::string& tenant);
  void CreateTenants();
  void RecordDisturbances();
  void CheckConfigurations();
  /// @return true if the daemon runs normally and its link to the store is open in both directions.
  bool RunsAndReachesStore(const DaemonHost& daemon) const;
  DaemonHost* DaemonNamed(const std::string& name);

  World world_;
  History history_;
  AnswerChecker answers_{world_};
  KeyHistory keys_;
  SimulatedStore store_;
  EvacuationMonitor evacuations_{world_};
  ConfigurationMonitor configurations_{world_};
  ClusterShape shape_;
  RegionChecker regions_;
  model::Configuration configuration_;
  std::map<std::string, std::unique_ptr<DatabaseGroup>> groups_;
  std::vector<std::unique_ptr<DaemonHost>> daemons_;
  std::uint64_t highest_token_ = 0;
  std::uint64_t entry_writes_ = 0;
  std::map<std::uint64_t, std::string> token_holders_;
  std::set<std::string> cut_off_instances_;
  std::map<std::string, std::string> written_states_;  // last state of each instance's entry
};

/// @return the name of a zone.
std::string ZoneName(std::size_t number);

/// @return the name of a region.
std::string RegionName(std::size_t number);

/// @return the name of a tenant.
std::string TenantName(std::size_t number);

}  // namespace valvekeel::proxysim
