// Routes a session's batch to an instance and decides whether it is retried.
//
// Owns: the retry budgets. A batch that may have run is retried only if it only reads or its caller
// marked it repeatable. Every batch gets one final answer, at the latest when it is no longer
// retried. All calls are made on the event loop's thread.
#pragma once

#include <asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "common/time.h"
#include "gateway/backends.h"
#include "routing/read_write_split.h"
#include "routing/retry_budget.h"

namespace valvekeel::gateway {

/// Settings of routing; see docs/operators/routing.md.
struct RoutingSettings {
  std::string zone;
  routing::ReadPolicy read_policy = routing::ReadPolicy::kByPosition;
  common::Duration read_wait{150'000};   // maximum wait for a replica to catch up
  common::Duration change_poll{20'000};  // maximum wait for a topology change between attempts
  double retry_fraction = 0.2;
  double retry_reserve = 100.0;
  std::size_t max_waiting_writes = 1000;  // writes that may wait for a primary at the same time
};

/// Routing state of a session, kept between its batches.
struct SessionRoute {
  pool::SessionNumber number = 0;
  std::string database;
  std::string share_group;
  common::Position required;   // minimum position that its reads must see
  bool barrier_needed = true;  // no minimum position is known yet
  std::string preferred_replica;
  std::string transaction_instance;  // instance of its open transaction, empty if none
  bool transaction_wrote = false;
  common::Duration budget{10'000'000};  // time within which a batch must have started
  common::Duration max_staleness{0};    // 0: any
  bool repeatable = false;
  std::string request_id;
};

/// Statements that a session submits together, with what routing needs to know of them.
struct SessionBatch {
  std::vector<pool::Statement> statements;
  std::vector<pool::SessionSetting> settings;
  bool reads_only = false;
  bool opens_read_only = false;  // starts a READ ONLY transaction
  bool changes_settings = false;
  bool records_request = false;    // it writes: the session's request id is sent with it
  bool opens_transaction = false;  // the first statement is BEGIN
  bool may_commit = true;          // false: a lost connection always rolls it back
};

/// Final answer to a batch.
struct RoutedReply {
  pool::BatchReply reply;
  std::optional<wire::ErrorFields> error;  // set unless the batch ran
  bool committed = false;                  // a write was confirmed
};

/// Counters for metrics and reports.
struct RoutingCounters {
  std::uint64_t reads = 0;
  std::uint64_t reads_on_replicas = 0;
  std::uint64_t writes = 0;
  std::uint64_t retries = 0;
  std::uint64_t barriers = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
};

/// Runs batches of all sessions of one gateway.
class BatchRouter {
 public:
  BatchRouter(Backends& backends, RoutingSettings settings)
      : backends_(backends), settings_(std::move(settings)), split_(settings_.read_policy) {}

  /// Runs the batch and updates the session's route. The reply holds an error if the batch was
  /// refused or its outcome is unknown.
  asio::awaitable<RoutedReply> Run(SessionRoute& route, SessionBatch batch);

  const RoutingCounters& Counters() const { return counters_; }

 private:
  asio::awaitable<pool::BatchReply> RunInTransaction(const SessionRoute& route,
                                                     pool::BatchRequest request);
  asio::awaitable<pool::BatchReply> RunRead(SessionRoute& route, pool::BatchRequest request,
                                            common::Instant deadline);
  asio::awaitable<pool::BatchReply> RunWrite(SessionRoute& route, pool::BatchRequest request,
                                             common::Instant deadline);
  /// Asks the primary for its position until it confirms one or the deadline has passed.
  /// @return true if a position was confirmed; the route then requires it.
  asio::awaitable<bool> ConfirmBarrier(SessionRoute& route, common::Instant deadline);
  routing::RetryBudget& BudgetOf(const std::string& group);
  void RecordOutcome(const SessionRoute& route, const pool::BatchReply& reply,
                     const std::string& instance);

  Backends& backends_;
  RoutingSettings settings_;
  routing::ReadWriteSplit split_;
  RoutingCounters counters_;
  std::map<std::string, routing::RetryBudget> budgets_;
  std::size_t waiting_writes_ = 0;
};

}  // namespace valvekeel::gateway
