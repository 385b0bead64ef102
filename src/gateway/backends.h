// Interface through which a gateway uses the rest of the daemon: topology, execution of batches,
// position barriers and cancellation.
//
// Execute answers every request exactly once. All calls are made on the event loop's thread.
#pragma once

#include <asio/awaitable.hpp>
#include <optional>
#include <string>

#include "common/time.h"
#include "configuration/specs.h"
#include "pool/protocol.h"
#include "routing/read_write_split.h"

namespace valvekeel::gateway {

class Backends {
 public:
  Backends() = default;
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;
  virtual ~Backends() = default;

  /// @return the current view of the database group, or nothing if it is not declared.
  virtual std::optional<routing::DatabaseView> View(const std::string& database) const = 0;

  /// @return the group of callers with this name, or nothing if it is not declared.
  virtual std::optional<configuration::ShareGroupSpec> ShareGroup(
      const std::string& name) const = 0;

  /// Runs a batch at the owner of the instance named in it.
  virtual asio::awaitable<pool::BatchReply> Execute(pool::BatchRequest request) = 0;

  /// Asks the owner of the instance named in it for a position barrier.
  virtual asio::awaitable<pool::BarrierReply> Barrier(pool::BarrierRequest request) = 0;

  /// Ends the session's open transaction at the instance; it is rolled back.
  virtual void Release(const pool::ReleaseRequest& request) = 0;
  /// Cancels the session's statement if the instance named in the request is running it.
  virtual void Cancel(const pool::CancelStatementRequest& request) = 0;

  /// Waits until the database group's topology or configuration changes, or the limit has
  /// passed.
  virtual asio::awaitable<void> WaitForChange(std::string database, common::Duration limit) = 0;

  /// Records the position that an instance has replayed, for the routing of reads.
  virtual void RecordReplayed(const std::string& database, const std::string& instance,
                              common::Position replayed) = 0;
  /// Records that an instance is unreachable, so that routing avoids it for a while.
  virtual void RecordUnreachable(const std::string& database, const std::string& instance) = 0;
};

}  // namespace valvekeel::gateway
