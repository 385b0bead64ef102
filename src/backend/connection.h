// One non-blocking connection to a database instance, through libpq.
//
// Owns: the libpq connection and the registration of its socket with the event loop. Invariant: at
// most one batch runs at a time; after any error of the connection itself the connection is closed
// and never used again. Not thread-safe; the thread of the event loop uses it.
#pragma once

#include <libpq-fe.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/member.h"
#include "common/result.h"
#include "monitor/replay_predictor.h"
#include "pool/protocol.h"

namespace valvekeel::backend {

/// Why a connection could not be opened or used.
enum class ConnectionFault : std::uint8_t {
  kRefused,  // the instance is unreachable, rejects the connection or returns an unreadable probe
  kTooManyConnections,  // the instance has no free connection slot (SQLSTATE 53300)
  kLost,                // the connection ended while in use
  kTimedOut,            // not open within the timeout
};

/// Failure of the connection itself, not of a statement.
struct ConnectionError {
  ConnectionFault fault = ConnectionFault::kLost;
  std::string message;
};

/// One command of a batch. The statement must outlive the batch.
struct Command {
  const pool::Statement* statement = nullptr;
  bool sync_after = false;  // a Sync follows, which ends an implicit transaction
};

/// Result of one command, encoded for the caller.
struct CommandResult {
  pool::StatementAnswer answer;
  std::vector<std::vector<wire::WireValue>> values;  // filled only if Run keeps values
  bool skipped = false;  // not run, since an earlier command of the batch failed
};

/// A connection in libpq's pipeline mode. Open it once, then run batches until it is not usable.
class Connection {
 public:
  /// @param address address of the instance. @param database, user names in PostgreSQL.
  Connection(asio::io_context& loop, const cluster::Endpoint& address, const std::string& database,
             const std::string& user);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Opens the connection and prepares the probe statement.
  /// @param timeout maximum time to connect. @return the error, or nothing on success.
  asio::awaitable<std::optional<ConnectionError>> Open(std::chrono::microseconds timeout);

  /// Runs the commands in one round trip.
  /// @param keep_values also return the values of the result rows.
  /// @return one result per command, or the error that closed the connection. After such an error
  /// the commands that were already sent may have run.
  asio::awaitable<common::Result<std::vector<CommandResult>, ConnectionError>> Run(
      std::vector<Command> commands, bool keep_values);

  /// Queries role, term and positions of the instance.
  /// @return the observation, or kRefused if the result cannot be read, or the error that closed
  /// the connection.
  asio::awaitable<common::Result<monitor::Observation, ConnectionError>> Probe();

  /// Makes a batch in progress fail by cancelling its waits; the connection is not usable
  /// afterwards.
  void Abort();

  /// @return the transaction status; kIdle if the connection is closed.
  wire::TransactionStatus Status() const;
  bool IsUsable() const { return usable_; }

  /// @return a handle to cancel the statement in progress, for use on another thread; null if the
  /// connection is closed.
  std::unique_ptr<PGcancel, void (*)(PGcancel*)> CancelHandle() const;

  // Session settings applied to this connection, so that they are not applied again; nullopt if
  // unknown.
  std::optional<std::vector<pool::SessionSetting>> applied_settings =
      std::vector<pool::SessionSetting>{};
  // Highest position that the instance reported as replayed on this connection. It never decreases,
  // since a rebuild of the instance closes its connections.
  common::Position highest_replayed;

 private:
  asio::awaitable<bool> WaitReadable();
  asio::awaitable<bool> WaitWritable();
  asio::awaitable<bool> FlushOutput();
  asio::awaitable<bool> PrepareProbe();
  /// Waits for the next result, which may be null; `lost` becomes true if the connection failed.
  asio::awaitable<PGresult*> NextResult(bool* lost);
  bool SendCommand(const Command& command);
  /// Registers libpq's socket, which may change while connecting, with the event loop.
  bool AttachSocket();
  void Close();
  /// Closes the connection. @return kLost with libpq's error message.
  ConnectionError CloseAsLost();

  asio::io_context& loop_;
  std::string conninfo_;
  PGconn* connection_ = nullptr;
  asio::posix::stream_descriptor descriptor_;
  bool usable_ = false;
};

/// @return the statement that Probe runs; it may also be part of a batch.
const pool::Statement& ProbeStatement();

/// @return the observation in the single row of a probe's result, or nothing if it cannot be read.
std::optional<monitor::Observation> ReadObservation(const CommandResult& result);

}  // namespace valvekeel::backend
