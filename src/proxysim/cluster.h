// A whole simulated deployment: daemons, groups, store, promotion service.
//
// Owns: all of them. Invariant: promotions carry tokens that never fall, and one token belongs to
// one holder; else ONE is reported. Thread: one.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxysim/daemon_host.h"
#include "proxysim/database_group.h"
#include "proxysim/history.h"
#include "proxysim/key_history.h"
#include "proxysim/store.h"
#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// Size and figures of a deployment.
struct ClusterShape {
  std::size_t daemons = 6;
  std::size_t zones = 3;
  std::size_t groups = 3;
  GroupShape group;
  proxy::Mechanisms mechanisms;
  relay::role_policy roles;
  std::size_t tenants = 0;         // 0: callers need no keys
  tenants::tenant_policy tenancy;  // in force if there are tenants
  bool first_start = false;        // of the whole deployment
  bool record_load = false;        // the daemons' load, to be replayed
  bool encode_messages = false;    // the bytes of heartbeats are counted
};

class Cluster {
 public:
  Cluster(std::uint64_t seed, const ClusterShape& shape);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  World& Surroundings() { return world_; }
  History& Record() { return history_; }
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

  /// Writes an instance's entry as it would itself.
  void Announce(const DatabaseGroup& group, const SimulatedInstance& instance);

  /// A daemon asks the platform to promote.
  void Promote(const std::string& daemon, const proxy::Promote& promotion,
               const std::function<void(failover::PromotionStatus)>& handler);

  /// Called with each line of a daemon's log, if set.
  std::function<void(const std::string& daemon, const proxy::LogEvent&)> on_log;

 private:
  void AnnounceAll(DatabaseGroup& group);
  void WriteConfiguration();
  void GiveKey(const std::string& key, const std::string& tenant);
  void MakeTenants();

  World world_;
  History history_;
  KeyHistory keys_;
  SimulatedStore store_;
  ClusterShape shape_;
  model::Configuration configuration_;
  std::map<std::string, std::unique_ptr<DatabaseGroup>> groups_;
  std::vector<std::unique_ptr<DaemonHost>> daemons_;
  std::uint64_t highest_token_ = 0;
  std::map<std::uint64_t, std::string> token_holders_;
  std::map<std::string, std::string> announced_;  // last state by instance
};

/// @return the name of a zone.
std::string ZoneName(std::size_t number);

/// @return the name of a tenant.
std::string TenantName(std::size_t number);

}  // namespace valvekeel::proxysim
