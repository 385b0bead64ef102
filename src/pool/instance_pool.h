// Pool of one instance's connections: admits and runs batches, monitors the instance and confirms
// commits.
//
// Owns: every connection of this daemon to the instance, the sessions' open transactions on them,
// and the monitor's observations. Invariant: a connection belongs to one session from the start of
// a transaction until it is idle again; a batch is refused as not run only before its first byte
// is sent, or if it is a read whose rows are discarded; no commit is reported as done before a
// majority has confirmed it. Not thread-safe: runs on the event loop's thread.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backend/connection.h"
#include "configuration/specs.h"
#include "confirmation/majority_confirmation.h"
#include "monitor/replay_predictor.h"
#include "pool/admission.h"
#include "pool/protocol.h"

namespace valvekeel::pool {

/// Settings of pools; see docs/operators/pool.md.
struct PoolSettings {
  common::Duration probe_interval{500'000};
  common::Duration probe_timeout{1'000'000};
  common::Duration connect_timeout{2'000'000};
  common::Duration confirm_timeout{3'000'000};
  common::Duration confirm_probe_interval{500};  // between probes of a replica that is behind
  common::Duration idle_transaction_timeout{60'000'000};
  std::uint32_t openings_at_once = 4;
  std::uint32_t reserved_connections = 4;  // for probes, confirmations and other owners
  std::size_t largest_answer_bytes = std::size_t{64} << 20U;
  std::string user = "valvekeel";
  bool confirm_commits = true;  // false only in tests
  bool check_positions = true;  // false only in tests and baselines
};

/// Counters for metrics and reports, since the start of the pool.
struct PoolCounters {
  std::uint64_t batches = 0;
  std::uint64_t reads_served = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t confirmed = 0;
  std::uint64_t superseded = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_lost = 0;
  std::uint64_t behind = 0;
};

/// Identifies a session across gateways and their incarnations.
struct SessionKey {
  cluster::MemberId gateway;
  std::uint64_t incarnation = 0;
  SessionNumber session = 0;

  auto operator<=>(const SessionKey&) const = default;
};

/// Called when a probe shows another role or term, or the instance is reachable again.
using TopologyHandler = std::function<void(const std::string& database, const std::string& instance,
                                           const monitor::Observation& observation)>;

/// Runs batches on one instance; see the file comment.
class InstancePool : public std::enable_shared_from_this<InstancePool> {
 public:
  InstancePool(asio::io_context& loop, PoolSettings settings, TopologyHandler on_topology);
  ~InstancePool();
  InstancePool(const InstancePool&) = delete;
  InstancePool& operator=(const InstancePool&) = delete;

  /// Starts monitoring. @param instance id within the database group.
  void Start(const configuration::DatabaseSpec& database, const std::string& instance);

  /// Applies changed specifications.
  void Configure(const configuration::DatabaseSpec& database);
  void SetShare(const configuration::ShareGroupSpec& group);

  /// Sets the highest known term of the database group; an instance of an earlier term is refused.
  void SetKnownTerm(common::Term term) { known_term_ = std::max(known_term_, term); }

  /// Runs a batch for a session and, for a write, waits until its commit is confirmed.
  asio::awaitable<BatchReply> Execute(SessionKey session, BatchRequest request);

  /// @return a position that covers every write acknowledged before the call.
  asio::awaitable<BarrierReply> Barrier(BarrierRequest request);

  /// Rolls back the open transaction of a session, if any.
  void Release(const SessionKey& session);

  /// Rolls back the open transactions of all sessions of a gateway.
  void ReleaseGateway(const cluster::MemberId& gateway);

  /// @return true if a transaction of the session is open on this pool.
  bool HasOpenTransaction(const SessionKey& session) const { return pinned_.contains(session); }

  /// Cancels the statement that the session is running.
  void Cancel(const SessionKey& session);

  /// Refuses new work; open transactions go on.
  void Drain() { draining_ = true; }

  /// Closes the pooled connections and stops monitoring and confirmation.
  void Stop();

  /// @return number of batches and open transactions in progress.
  std::size_t InFlight() const { return in_flight_ + pinned_.size(); }

  const PoolCounters& Counters() const { return counters_; }
  const Admission& AdmissionState() const { return admission_; }
  const monitor::ReplayPredictor& Replay() const { return replay_; }
  const configuration::InstanceSpec& Spec() const { return spec_; }
  std::size_t Connections() const { return connections_.size(); }
  std::size_t Pinned() const { return pinned_.size(); }

 private:
  using ConnectionPointer = std::shared_ptr<backend::Connection>;
  struct PinnedTransaction {
    ConnectionPointer connection;
    bool recorded = false;  // its request id is recorded in the transaction
    bool busy = false;
    common::Instant last_used{0};
  };
  struct RunningBatch {
    ConnectionPointer connection;
    bool released = false;  // its caller disconnected; rolled back when the batch ends
  };
  struct Waiter {
    explicit Waiter(asio::io_context& loop) : timer(loop) {}
    asio::steady_timer timer;
    bool done = false;
    bool failed = false;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  asio::awaitable<void> Monitor();
  asio::awaitable<void> RunConfirmer(std::string peer);
  asio::awaitable<void> WaitOn(WaiterPointer waiter, common::Duration limit);
  static void Wake(const WaiterPointer& waiter, bool failed);

  asio::awaitable<std::optional<BatchReply>> WaitForPosition(const BatchRequest& request,
                                                             common::Instant deadline);
  asio::awaitable<std::optional<BatchReply>> WaitForSlot(const BatchRequest& request, Ticket ticket,
                                                         common::Instant deadline);
  asio::awaitable<common::Result<ConnectionPointer, BatchReply>> AcquireConnection(
      common::Instant deadline);
  asio::awaitable<std::optional<BatchReply>> ApplySettings(ConnectionPointer connection,
                                                           const BatchRequest& request);
  asio::awaitable<void> EnsureRequestTable(common::Instant deadline);
  /// What a run did with the request id.
  struct RecordingResult {
    bool recorded = false;          // the run included an INSERT of the request id
    bool already_recorded = false;  // the request id was recorded before the run
  };
  asio::awaitable<BatchReply> RunOn(ConnectionPointer connection, const BatchRequest& request,
                                    PinnedTransaction* pinned, RecordingResult* recording);
  asio::awaitable<std::optional<common::Position>> CurrentPosition(common::Instant deadline);
  asio::awaitable<BatchReply> ConfirmReply(const BatchRequest& request, BatchReply reply,
                                           bool already_recorded, common::Instant deadline);
  asio::awaitable<BatchReply> ExecuteAdmitted(SessionKey session, const BatchRequest& request,
                                              common::Instant deadline);
  asio::awaitable<confirmation::ConfirmationResult> Confirm(common::Position position,
                                                            bool position_needed,
                                                            common::Duration limit);
  void CompleteConfirmations(const std::vector<confirmation::Resolution>& resolutions);
  void Observe(const monitor::Observation& observation);
  asio::awaitable<void> WaitForFirstProbe(common::Instant deadline);
  void ObserveInBand(const monitor::Observation& observation);
  void OnInstanceLost();
  asio::awaitable<common::Result<monitor::Observation, backend::ConnectionError>> ProbeInTime(
      ConnectionPointer connection);
  void FinishTicket(Ticket ticket);
  void ReturnConnection(ConnectionPointer connection);
  void Discard(const ConnectionPointer& connection);
  void PinConnection(const SessionKey& session, const ConnectionPointer& connection, bool recorded);
  void ExpireIdleTransactions(common::Instant now);
  void StartConfirmers();
  std::optional<BatchReply> RefuseNewWork(const BatchRequest& request) const;
  ConnectionPointer NewConnection() const;
  ConnectionPointer NewConnection(const configuration::InstanceSpec& spec) const;

  asio::io_context& loop_;
  PoolSettings settings_;
  TopologyHandler on_topology_;
  std::string database_;
  configuration::DatabaseSpec database_spec_;
  configuration::InstanceSpec spec_;
  bool stopped_ = false;
  bool draining_ = false;
  std::size_t in_flight_ = 0;
  PoolCounters counters_;

  Admission admission_;
  Ticket next_ticket_ = 1;
  std::map<Ticket, WaiterPointer> waiting_tickets_;

  std::set<ConnectionPointer> connections_;  // idle, in use or opening
  std::vector<ConnectionPointer> idle_;
  std::list<WaiterPointer> waiting_connections_;
  std::uint32_t opening_ = 0;
  bool request_table_ready_ = false;
  std::map<SessionKey, PinnedTransaction> pinned_;
  std::map<SessionKey, RunningBatch> running_;

  monitor::ReplayPredictor replay_;
  std::list<WaiterPointer> waiting_positions_;
  WaiterPointer monitor_wait_;
  bool reachable_ = false;
  common::Instant observed_at_{0};
  bool probed_ = false;  // the first probe has succeeded or failed
  common::Term known_term_ = 0;

  confirmation::MajorityConfirmation confirmation_{1};
  confirmation::PendingNumber next_pending_ = 1;
  std::map<confirmation::PendingNumber, std::pair<WaiterPointer, confirmation::ConfirmationResult>>
      confirming_;
  std::map<std::string, WaiterPointer> confirmers_;  // by peer instance; wakes the coroutine
};

}  // namespace valvekeel::pool
