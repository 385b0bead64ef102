// What gateways ask of pool owners and what they answer.
//
// Owns: the typed requests and replies and their encoding. Invariant: a reply names the request it
// answers; kRefused means that no byte of the request went to a database connection. Thread: any.
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
  bool describe_only = false;  // return parameter types and columns, do not run
};

/// A setting of the caller's session, applied before its statements run.
struct SessionSetting {
  std::string name;
  std::string value;

  bool operator==(const SessionSetting&) const = default;
};

/// What the statements of a batch may do.
enum class Access : std::uint8_t {
  kRead,   // nothing but reads; any instance that is fresh enough serves it
  kWrite,  // the primary only; its commit is confirmed before the answer
};

/// Statements up to one Sync, run on one connection.
struct BatchRequest {
  RequestNumber number = 0;
  std::string database;
  std::string instance;
  std::string share_group;
  SessionNumber session = 0;
  Access access = Access::kWrite;
  bool continues = false;             // on the connection where the session's transaction is open
  std::int64_t budget_us = 0;         // microseconds until it must have started
  common::Position required;          // what the instance must have replayed
  std::int64_t read_wait_us = 0;      // longest wait for the position, microseconds
  std::int64_t max_staleness_us = 0;  // longest replay lag accepted, microseconds, 0 for any
  bool opens_transaction = false;     // the first statement is BEGIN
  bool changes_settings = false;      // the statements change settings of the connection
  std::string request_id;             // recorded in the caller's transaction; empty: none
  std::vector<SessionSetting> settings;
  std::vector<Statement> statements;
};

/// One statement's answer, as bytes of the caller's protocol.
struct StatementAnswer {
  std::string description;  // RowDescription or ParameterDescription and it; may be empty
  std::string rows;         // DataRow messages and CommandComplete
  std::optional<wire::ErrorFields> error;
};

enum class Outcome : std::uint8_t {
  kDone,     // ran; the answers say how it went
  kRefused,  // certainly did not run
  kUnknown,  // may have run; never sent again unless it only reads
};

/// Why a batch was refused, as far as the gateway acts on it.
enum class Refusal : std::uint8_t {
  kNone,
  kOverloaded,       // no capacity before its deadline
  kUnreachable,      // the instance cannot be reached
  kNotPrimary,       // the instance does not take writes
  kBehind,           // the instance has not replayed the position and will not in time
  kLeaving,          // the instance takes no new work
  kTransactionLost,  // the session's open transaction is gone, rolled back
  kStopping,         // the owner is stopping
};

struct BatchReply {
  RequestNumber number = 0;
  Outcome outcome = Outcome::kRefused;
  Refusal refusal = Refusal::kNone;
  std::string reason;
  std::int64_t retry_after_us = 0;
  std::vector<StatementAnswer> answers;
  wire::TransactionStatus status = wire::TransactionStatus::kIdle;
  common::Position position;  // of the data read, or of the confirmed commit
  common::Position replayed;  // hint: what the instance has replayed
};

/// Asks the primary's owner for a position that covers every write acknowledged so far.
struct BarrierRequest {
  RequestNumber number = 0;
  std::string database;
  std::string instance;
  std::int64_t budget_us = 0;
};

struct BarrierReply {
  RequestNumber number = 0;
  bool confirmed = false;
  std::string reason;
  common::Position position;
};

/// Ends a session's open transaction: its caller is gone.
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

/// Why bytes from a peer are not a message.
struct MessageError {
  std::string reason;
};

nlohmann::json ToJson(const PoolMessage& message);
common::Result<PoolMessage, MessageError> FromJson(const nlohmann::json& value);

}  // namespace valvekeel::pool
