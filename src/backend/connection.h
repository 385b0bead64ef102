// One connection to a database instance, through libpq without blocking.
//
// Owns: the libpq connection and its place on the event loop. Invariant: at most one batch runs at
// a time; after any error of the connection itself it is closed and never used again. Thread: the
// event loop's.
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

/// Why a connection could not be used.
enum class ConnectionFault : std::uint8_t {
  kRefused,             // the instance does not answer or refuses
  kTooManyConnections,  // the instance has no connection left (53300)
  kLost,                // the connection ended while in use
  kTimedOut,
};

struct ConnectionError {
  ConnectionFault fault = ConnectionFault::kLost;
  std::string message;
};

/// One query of a run, with what is made of its result.
struct Command {
  const pool::Statement* statement = nullptr;
  bool sync_after = false;  // ends an implicit transaction
};

/// Raw result of one command.
struct CommandResult {
  pool::StatementAnswer answer;
  std::vector<std::vector<wire::WireValue>> values;  // of internal queries only
  bool skipped = false;                              // an earlier command of the run failed
};

class Connection {
 public:
  /// @param address of the instance. @param database, user as PostgreSQL knows them.
  Connection(asio::io_context& loop, const cluster::Endpoint& address, const std::string& database,
             const std::string& user);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Opens the connection. @param timeout longest time to wait.
  asio::awaitable<std::optional<ConnectionError>> Open(std::chrono::microseconds timeout);

  /// Runs the commands in one round trip. @param keep_values keep the values of results too.
  /// @return a result per command, or why the connection is gone: what had been sent may have run.
  asio::awaitable<common::Result<std::vector<CommandResult>, ConnectionError>> Run(
      std::vector<Command> commands, bool keep_values);

  /// Asks for role, term and positions. @return nothing if the answer cannot be read.
  asio::awaitable<common::Result<monitor::Observation, ConnectionError>> Probe();

  /// Ends a run in progress by closing the connection under it.
  void Abort();

  wire::TransactionStatus Status() const;
  bool IsUsable() const { return usable_; }

  /// @return a handle to cancel the statement in progress, to be used on another thread.
  std::unique_ptr<PGcancel, void (*)(PGcancel*)> CancelHandle() const;

  // Session settings in force, to skip applying them again; nothing if they are not known.
  std::optional<std::vector<pool::SessionSetting>> applied_settings =
      std::vector<pool::SessionSetting>{};
  // Highest position that this connection has seen replayed; positions never go back within a
  // connection, since an instance that is rebuilt closes its connections.
  common::Position highest_replayed;

 private:
  asio::awaitable<bool> WaitReadable();
  asio::awaitable<bool> WaitWritable();
  asio::awaitable<bool> FlushOutput();
  asio::awaitable<bool> PrepareProbe();
  asio::awaitable<PGresult*> NextResult(bool* lost);
  bool SendCommand(const Command& command);
  bool Attach();
  void Close();
  ConnectionError Lost();

  asio::io_context& loop_;
  std::string conninfo_;
  PGconn* connection_ = nullptr;
  asio::posix::stream_descriptor descriptor_;
  bool usable_ = false;
};

/// The statement that Probe runs; also pipelined beside a batch.
const pool::Statement& ProbeStatement();

/// @return the observation in the values of a probe's only row, or nothing.
std::optional<monitor::Observation> ReadObservation(const CommandResult& result);

}  // namespace valvekeel::backend
