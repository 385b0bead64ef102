// A whole simulated deployment: daemons, groups, store, promotion service.
//
// Owns: all of them. Invariant: promotions carry tokens that never fall, and one token belongs to
// one holder; else ONE is reported. Thread: one.
#pragma once

#include <map>
#include <memory>
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

/// The store's name, as a party that others reach or not.
inline constexpr const char* kStore = "store";

/// Size and figures of a deployment.
struct ClusterShape {
  std::size_t daemons = 6;
  std::size_t zones = 3;
  std::size_t regions = 0;  // over which the zones are spread; 0: regions are not told
  std::size_t groups = 3;
  GroupShape group;
  proxy::Mechanisms mechanisms;
  relay::role_policy roles;
  std::size_t tenants = 0;               // 0: callers need no keys
  tenants::tenant_policy tenancy;        // in force if there are tenants
  common::Duration evacuation_limit{0};  // 0: no zone is evacuated
  bool first_start = false;              // of the whole deployment
  bool use_load_balancer = false;        // callers are sent by a balancer, which notices late
  bool record_load = false;              // the daemons' load, to be replayed
  bool encode_messages = false;          // the bytes of heartbeats are counted
  bool check_configuration = false;      // reports who has a version in force too late
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

  /// Gives a key to a tenant, or takes it away, by a further version of the configuration.
  void ChangeKey(const std::string& key, const std::string& tenant);

  /// Writes a further version of the configuration.
  void ChangeConfiguration();

  /// An operator evacuates a zone, or takes that back.
  void Evacuate(const std::string& zone);
  void EndEvacuation(const std::string& zone);
  bool IsEvacuated(const std::string& zone) const { return evacuations_.IsEvacuated(zone); }
  /// Limits a route's or a tenant's work to regions, by a further version of the configuration.
  void LimitRoute(const std::string& database, const std::vector<std::string>& regions);
  void LimitTenant(const std::string& tenant, const std::vector<std::string>& regions);

  /// @return the region of each zone; empty where regions are not told.
  std::map<std::string, std::string> Regions() const;

  /// @return the zone where an instance stands.
  std::string ZoneOfInstance(const std::string& instance) const;

  /// Reports HOME if a daemon has sent an attempt to a zone where it may not be.
  /// @param what is done with it there
  void CheckRegion(const CallerAttempt& attempt, const std::string& zone, const char* what,
                   const std::string& daemon);

  /// Writes an instance's entry as it would itself.
  void WriteInstanceEntry(const DatabaseGroup& group, const SimulatedInstance& instance);

  /// A daemon asks the platform to promote.
  void Promote(const std::string& daemon, const proxy::Promote& promotion,
               const std::function<void(failover::PromotionStatus)>& handler);

  /// Called with each line of a daemon's log, if set.
  std::function<void(const std::string& daemon, const proxy::LogEvent&)> on_log;

 private:
  void WriteChangedEntries(DatabaseGroup& group);
  void WriteConfiguration();
  void AssignKey(const std::string& key, const std::string& tenant);
  void CreateTenants();
  void RecordDisturbances();
  void CheckConfigurations();
  /// @return true if the daemon serves, undisturbed, and reaches the store both ways.
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
  std::map<std::string, std::string> written_states_;  // last state by instance
};

/// @return the name of a zone.
std::string ZoneName(std::size_t number);

/// @return the name of a region.
std::string RegionName(std::size_t number);

/// @return the name of a tenant.
std::string TenantName(std::size_t number);

}  // namespace valvekeel::proxysim
