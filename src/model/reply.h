// Replies of instances and replies to callers.
//
// Owns: the error codes with their guarantees. Invariant: a code for which GuaranteesNoEffect is
// true is sent to a caller only if the request has and will have no effect. Values only; safe in
// any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::model {

enum class ErrorCode : std::uint8_t {
  kBusy,                // no capacity
  kLagging,             // the log has not reached the required position
  kReadOnly,            // the instance is not the primary
  kWrongInstance,       // another instance answers at the address
  kTooManyConnections,  // the instance accepts no further connection
  kAborted,             // the transaction was rolled back
  kFailed,              // ran and failed
  kTimeout,             // deadline passed; may have run
  kInDoubt,             // sent; the outcome is unknown
  kUnknownStatement,    // no prepared statement of that name
  kUnknownDatabase,
  kMalformed,
  kTooLarge,
  kDenied,
};

/// @return true if the code guarantees that the request has no lasting effect.
bool GuaranteesNoEffect(ErrorCode code);

/// @return the code's name in logs and metrics.
const char* ErrorCodeName(ErrorCode code);

enum class TransactionState : std::uint8_t { kIdle, kOpen, kFailed };

/// Status that an instance reports about itself.
struct InstanceStatus {
  bool primary = false;
  common::Term term = 0;
  common::Position received;
  common::Term fenced_term = 0;  // replication is paused up to this term, 0 if it is not
  common::Duration lag{0};
  std::uint32_t busy_slots = 0;
  std::uint32_t connections = 0;
};

/// Reply to one request: rows, and either a signature or an error.
struct Reply {
  std::vector<std::string> rows;
  bool succeeded = false;
  std::string signature;  // of the instance, "-" if the proxy itself replied
  ErrorCode error = ErrorCode::kFailed;
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  std::optional<common::Position> position;  // of the instance's log
  std::optional<InstanceStatus> status;      // of a status request
};

}  // namespace valvekeel::model
