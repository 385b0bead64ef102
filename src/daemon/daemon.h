// One valvekeeld: ties membership, configuration, pools and the gateway to sockets and timers.
//
// Owns: every module of the process. Invariant: holds no decision logic of its own; it carries
// events to the modules and their actions out. Thread: the event loop's.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "cluster/node.h"
#include "daemon/daemon_settings.h"
#include "daemon/directory.h"
#include "daemon/pool_client.h"
#include "gateway/backends.h"
#include "gateway/server.h"
#include "http/loop_server.h"
#include "object_store/watcher.h"
#include "peer/network.h"
#include "pool/instance_pool.h"

namespace valvekeel::daemon {

struct StartError {
  std::string reason;
};

class Daemon : public gateway::Backends {
 public:
  Daemon(asio::io_context& loop, DaemonSettings settings);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds all ports and joins the cluster. @return nothing, or why it cannot start.
  std::optional<StartError> Start();

  /// Begins a planned stop. @param done called when nothing is in progress any more.
  void Stop(std::function<void()> done);

  // gateway::Backends
  std::optional<routing::DatabaseView> View(const std::string& database) const override;
  std::optional<configuration::ShareGroupSpec> ShareGroup(const std::string& name) const override;
  asio::awaitable<pool::BatchReply> Execute(pool::BatchRequest request) override;
  asio::awaitable<pool::BarrierReply> Barrier(pool::BarrierRequest request) override;
  void Release(const pool::ReleaseRequest& request) override;
  void Cancel(const pool::CancelStatementRequest& request) override;
  asio::awaitable<void> WaitForChange(std::string database, common::Duration limit) override;
  void RecordReplayed(const std::string& database, const std::string& instance,
                      common::Position replayed) override;
  void RecordUnreachable(const std::string& database, const std::string& instance) override;

  /// @return the state of this daemon for `valvekeel status`.
  nlohmann::json Status() const;

 private:
  using PoolKey = std::pair<std::string, std::string>;  // database, instance
  struct OwnedPool {
    std::shared_ptr<pool::InstancePool> pool;
    common::Instant last_used{0};
  };
  struct ChangeWaiter {
    explicit ChangeWaiter(asio::io_context& loop) : timer(loop) {}
    asio::steady_timer timer;
    std::string database;
  };

  void Tick();
  void RunActions(const cluster::Actions& actions);
  void OnChanged(const replicated::Entry& entry);
  void OnPeerMessage(const std::shared_ptr<peer::Link>& link, peer::Channel channel,
                     const nlohmann::json& body);
  void OnPoolMessage(const std::shared_ptr<peer::Link>& link, pool::PoolMessage message);
  void OnOutgoingLost(const cluster::MemberId& member, bool connected);
  void OnTopology(const std::string& database, const std::string& instance,
                  const monitor::Observation& observation);
  void AdoptPools(common::Instant now);
  void ReconcilePools();
  void ReconcileRelay();
  void ApplyObject(const object_store::Object& object, bool deleted);
  void ApplyList(const std::string& kind, const object_store::ObjectList& list);
  std::shared_ptr<pool::InstancePool> PoolFor(const std::string& database,
                                              const std::string& instance);
  std::shared_ptr<pool::InstancePool> FindPool(const std::string& database,
                                               const std::string& instance) const;
  std::optional<cluster::Member> OwnerOf(const std::string& database,
                                         const std::string& instance) const;
  std::optional<cluster::Member> HolderOf(const std::string& database, const std::string& instance,
                                          pool::SessionNumber session) const;
  void WakeChangeWaiters(const std::set<std::string>& databases);
  void RouteHttp();
  std::string Metrics() const;
  void CheckStopped();
  pool::SessionKey LocalKey(pool::SessionNumber session) const;

  asio::io_context& loop_;
  DaemonSettings settings_;
  cluster::Member self_;
  peer::Network network_;
  std::optional<cluster::Node> node_;
  std::optional<Directory> directory_;
  PoolClient client_;
  std::optional<gateway::Server> gateway_;
  http::LoopServer http_;
  std::map<PoolKey, OwnedPool> pools_;
  std::map<pool::SessionNumber, cluster::Member> transaction_owners_;  // of this gateway's sessions
  std::map<std::string, std::unique_ptr<object_store::Watcher>> watchers_;  // by kind
  std::list<std::shared_ptr<ChangeWaiter>> change_waiters_;
  asio::steady_timer ticker_;
  bool platform_reachable_ = false;
  bool pools_stale_ = true;         // instances may have become this daemon's own
  bool adoption_restarts_ = false;  // something changed while they were being looked through
  std::string adopted_up_to_;       // last database looked at
  bool stopping_ = false;
  common::Instant stop_deadline_{0};
  common::Instant farewell_deadline_{0};
  std::function<void()> stopped_;
};

}  // namespace valvekeel::daemon
