// A simulated group of instances with a replicated log, fences, demotion and promotion.
//
// Owns: the instances, their logs and their connections. Invariant: positions of a log increase by
// one; two logs with the same entry at a position agree on all entries before it. Not thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/position.h"
#include "model/catalog.h"
#include "model/reply.h"
#include "model/request.h"
#include "proxysim/cold_request_counter.h"
#include "proxysim/history.h"
#include "proxysim/key_history.h"
#include "proxysim/world.h"
#include "warm_up/warm_up_rule.h"

namespace valvekeel::proxysim {

/// A commit in a log.
struct LogEntry {
  common::Term term = 0;
  std::string id;  // request id of the caller's attempt
};

/// Maximum time from a key's removal until no daemon serves it any more.
inline constexpr common::Duration kRevocationLimit{5'000'000};

/// The instance's side of a connection.
struct ServerConnection {
  std::string daemon;
  std::string tenant;                               // for which the connection was opened
  std::function<void(const model::Reply&)> answer;  // sends a reply to the daemon
  std::function<void()> reset;  // reports to the daemon that the connection is closed
  std::map<std::string, std::string> values;
  std::map<std::string, model::PreparedStatement> prepared;
  model::TransactionState state = model::TransactionState::kIdle;
  bool read_only = false;
  bool began_as_primary = false;
  std::uint64_t session = 0;  // of the transaction
  std::string writer;  // request id of the attempt that wrote in the transaction, empty if none
  std::deque<model::InstanceRequest> queue;
  bool busy = false;
};

struct SimulatedInstance {
  std::string id;
  bool alive = true;
  bool primary = false;
  bool draining = false;
  common::Term term = 1;
  common::Term fenced_term = 0;
  std::vector<LogEntry> log;
  std::size_t applied = 0;  // number of entries visible to reads
  common::Duration lag{8'000};
  bool replication_blocked = false;  // receives no log entries
  std::map<std::uint64_t, ServerConnection> connections;
  std::size_t running_requests = 0;
  common::Instant cold_until{0};
  std::uint64_t incarnation = 1;  // increases when it restarts without its data
};

/// Limits of a simulated group.
struct GroupShape {
  std::size_t instances = 3;
  std::size_t slots = 3;
  std::size_t queue_limit = 24;
  std::size_t max_connections = 34;
  std::uint32_t sync_replicas = 1;
  common::Duration promotion_time{300'000};
  model::WarmUp warm_up;         // of instances that start during the run; off by default
  warm_up::tolerance tolerance;  // requests allowed beyond the warm-up rate
  /// A promotion lifts all fences of the group, also at replicas that don't receive from the new
  /// primary; otherwise a fence lasts until they do.
  bool promotion_lifts_fences = false;
  double refused_preparations = 0;  // share of SET, PARSE and RESET that are refused
  /// A restarted primary sends its log to the replicas at once; otherwise with its next commit.
  bool sends_log_at_restart = false;
};

class DatabaseGroup {
 public:
  DatabaseGroup(World& world, History& history, std::string service, GroupShape shape);

  const std::string& Service() const { return service_; }
  const GroupShape& Shape() const { return shape_; }
  std::map<std::string, SimulatedInstance>& Instances() { return instances_; }
  SimulatedInstance* Primary();

  /// Opens a connection. @return the error if it is rejected.
  std::optional<model::ErrorCode> Connect(const std::string& instance, std::uint64_t number,
                                          ServerConnection connection);
  void Disconnect(const std::string& instance, std::uint64_t number);
  void Request(const std::string& instance, std::uint64_t number,
               const model::InstanceRequest& request);

  /// Makes the instance the primary of the next term after promotion_time. @return false if it is
  /// not running.
  bool Promote(const std::string& instance);

  /// Ends an instance. @param silent daemons get no reset of their connections.
  void Crash(const std::string& instance, bool silent);
  void Restart(const std::string& instance);

  /// Restarts an instance under its id without its data. @param leads it starts as the primary of
  /// its former term, otherwise as a replica.
  void RestartEmpty(const std::string& instance, bool leads);

  /// Restarts a crashed instance with its log under another id.
  void RestartRenamed(const std::string& instance, const std::string& id);
  void AddReplica(const std::string& id);
  void RemoveInstance(const std::string& id);

  /// Sets the share of the primary's answers that are lost from now on.
  void SetLostAnswerShare(double share) {
    world_.RecordFault(service_);
    lost_answers_ = share;
  }

  const KeyHistory* keys = nullptr;  // against which keys are checked, if set
  /// Called when the set of instances or the state that they report changes.
  std::function<void()> on_change;
  /// Called for each caller's request that arrives, if set.
  std::function<void(const std::string& instance, const std::string& daemon)> on_request;

 private:
  struct PendingCommit {
    std::size_t index = 0;
    std::set<std::string> replicas;
    std::function<void()> done;
    std::string instance;
  };

  /// Begins the warm-up of an instance that starts now.
  void StartWarmUp(SimulatedInstance& instance);
  /// Checks the number of callers' requests that a cold instance receives (FAILBACK).
  void CheckWarmUpLimit(const SimulatedInstance& instance, const model::InstanceRequest& request);
  void RunNext(SimulatedInstance& instance, std::uint64_t number);
  void Execute(const std::string& instance, std::uint64_t number,
               const model::InstanceRequest& request);
  void SendReply(const std::string& instance, std::uint64_t number, model::Reply reply);
  model::Reply ExecuteControl(SimulatedInstance& instance, ServerConnection& connection,
                              const model::ControlRequest& request);
  model::Reply ExecuteSession(SimulatedInstance& instance, ServerConnection& connection,
                              const model::SessionRequest& request);
  void CheckConnection(const SimulatedInstance& instance, const ServerConnection& connection,
                       const CallerAttempt& attempt);
  /// Checks that the caller's key belongs to the connection's tenant, or did within
  /// kRevocationLimit.
  void CheckKey(const ServerConnection& connection, const CallerAttempt& attempt);
  void CheckRead(const SimulatedInstance& instance, const CallerAttempt& attempt);
  void Commit(SimulatedInstance& instance, std::uint64_t number, const std::string& id);
  void Replicate(const std::string& from);
  void ReceiveLog(const std::string& from, const std::string& to);
  void BecomePrimary(const std::string& id);
  void TruncateTo(SimulatedInstance& instance, const SimulatedInstance& leader);
  bool LogContains(const SimulatedInstance& instance, const AcknowledgedCommit& commit,
                   std::size_t entries) const;
  /// @return the error if the instance refuses to change the connection's session state.
  std::optional<model::Reply> RefusePreparation(const SimulatedInstance& instance,
                                                ServerConnection& connection);
  /// Resolves an execution of a name. @return nothing if the name is not known.
  std::optional<model::Command> Resolve(const ServerConnection& connection,
                                        const CallerAttempt& attempt,
                                        const model::Command& command);
  model::Reply ErrorReply(const ServerConnection& connection, model::ErrorCode code) const;
  common::Position PositionOf(const SimulatedInstance& instance, std::size_t entries) const;
  model::InstanceStatus StatusOf(const SimulatedInstance& instance) const;

  World& world_;
  History& history_;
  std::string service_;
  GroupShape shape_;
  std::map<std::string, SimulatedInstance> instances_;
  std::vector<PendingCommit> pending_;
  double lost_answers_ = 0;
  ColdRequestCounter cold_requests_;
};

}  // namespace valvekeel::proxysim
