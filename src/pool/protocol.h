// Messages between gateways and the owners of instance pools, and their JSON encoding.
//
// Invariant: a reply carries the number of its request; kRefused means that no byte of the
// caller's statements was sent on a database connection, or that the rows of a read were discarded.
// No I/O and no clock; may be used on any thread.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/position.h"
#include "common/result.h"
#include "wire/messages.h"

namespace valvekeel::pool {

/// Number of a request, counted by the daemon that sends it; unique within its incarnation.
using RequestNumber = std::uint64_t;

/// Number of a caller's session, counted by its gateway; unique within its incarnation.
using SessionNumber = std::uint64_t;

/// One statement with its parameters, as the caller bound it.
struct Statement {
  std::string text;
  std::vector<wire::TypeId> parameter_types;
  std::vector<wire::WireValue> parameters;
  std::vector<wire::FormatCode> parameter_formats;
  wire::FormatCode result_format = wire::kTextFormat;
  bool describe_only = false;  // return parameter types and columns without running it
};

/// A setting of the caller's session, applied before its statements run.
struct SessionSetting {
  std::string name;
  std::string value;

  bool operator==(const SessionSetting&) const = default;
};

/// What the statements of a batch may do.
enum class Access : std::uint8_t {
  kRead,   // reads only; any instance that has replayed the position can serve it
  kWrite,  // primary only; the commit is confirmed before the reply
};

/// Statements up to one Sync message, run on one connection.
struct BatchRequest {
  RequestNumber number = 0;
  std::string database;
  std::string instance;
  std::string share_group;
  SessionNumber session = 0;
  Access access = Access::kWrite;
  bool continues = false;             // runs on the connection of the session's open transaction
  std::int64_t budget_us = 0;         // microseconds within which it must start
  common::Position required;          // position that the instance must have replayed
  std::int64_t read_wait_us = 0;      // longest wait for the position, microseconds
  std::int64_t max_staleness_us = 0;  // longest replay lag accepted, microseconds, 0 for any
  bool opens_transaction = false;     // the first statement is BEGIN
  bool changes_settings = false;      // the statements change settings of the connection
  std::string request_id;             // recorded in the caller's transaction; empty: none
  std::vector<SessionSetting> settings;
  std::vector<Statement> statements;
};

/// One statement's answer, encoded in the caller's wire protocol.
struct StatementAnswer {
  std::string description;  // RowDescription, after any ParameterDescription; may be empty
  std::string rows;         // DataRow messages and CommandComplete
  std::optional<wire::ErrorFields> error;
};

/// What is known about the execution of a batch.
enum class Outcome : std::uint8_t {
  kDone,     // ran; the answers hold the results and errors
  kRefused,  // did not run, or was a read whose rows were discarded
  kUnknown,  // may have run; retried only if it only reads
};

/// Why a batch was refused; the gateway acts on it.
enum class Refusal : std::uint8_t {
  kNone,
  kOverloaded,       // no capacity before its deadline
  kUnreachable,      // the instance cannot be reached
  kNotPrimary,       // the instance does not accept writes
  kBehind,           // the instance will not replay the position in time
  kLeaving,          // the instance is leaving and accepts no new work
  kTransactionLost,  // the session's open transaction was rolled back
  kStopping,         // the owner is stopping
};

/// Reply to a BatchRequest.
struct BatchReply {
  RequestNumber number = 0;
  Outcome outcome = Outcome::kRefused;
  Refusal refusal = Refusal::kNone;
  std::string reason;
  std::int64_t retry_after_us = 0;
  std::vector<StatementAnswer> answers;
  wire::TransactionStatus status = wire::TransactionStatus::kIdle;
  common::Position position;  // of the data read, or of the confirmed commit
  common::Position replayed;  // hint: position that the instance has replayed
};

/// Asks the primary's owner for a position that covers every write acknowledged so far.
struct BarrierRequest {
  RequestNumber number = 0;
  std::string database;
  std::string instance;
  std::int64_t budget_us = 0;
};

/// Reply to a BarrierRequest; the position is valid only if confirmed.
struct BarrierReply {
  RequestNumber number = 0;
  bool confirmed = false;
  std::string reason;
  common::Position position;
};

/// Rolls back a session's open transaction after its caller has disconnected.
struct ReleaseRequest {
  std::string database;
  std::string instance;
  SessionNumber session = 0;
};

/// Cancels the statement that a session is running.
struct CancelStatementRequest {
  std::string database;
  std::string instance;
  SessionNumber session = 0;
};

using PoolMessage = std::variant<BatchRequest, BatchReply, BarrierRequest, BarrierReply,
                                 ReleaseRequest, CancelStatementRequest>;

/// Why a JSON value from a peer is not a valid message.
struct MessageError {
  std::string reason;
};

/// @return the message as an array of its type's index and its fields.
nlohmann::json ToJson(const PoolMessage& message);
common::Result<PoolMessage, MessageError> FromJson(const nlohmann::json& value);

}  // namespace valvekeel::pool
