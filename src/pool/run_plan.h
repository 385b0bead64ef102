// Builds the commands that run one batch on a database connection.
//
// Owns: the internal statements added around those of the caller. Invariant: the caller's
// statements keep their order and run in one implicit transaction; the added statements never
// change their answers. No I/O and no clock; may be used on any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "backend/connection.h"
#include "pool/protocol.h"

namespace valvekeel::pool {

/// Table in which request ids are recorded.
inline constexpr std::string_view kRequestTable = "valvekeel_requests";

/// State of the connection that decides which internal statements a plan contains.
struct RunPlanOptions {
  bool in_transaction = false;  // the session's transaction is open on the connection
  bool check_position = false;  // the connection may not have replayed the required position
  bool record_request = false;  // the request id is not yet recorded in the transaction
};

/// Commands of one run; the other members are indexes into `commands` for reading the results.
struct RunPlan {
  std::vector<Statement> internal;  // capacity is reserved first: `commands` points to it
  std::vector<backend::Command> commands;
  std::optional<std::size_t> position_check;   // position check before the batch
  std::optional<std::size_t> request_record;   // INSERT of the request id
  std::vector<std::size_t> caller_statements;  // the caller's statements
  std::optional<std::size_t> added_commit;     // COMMIT added after the caller's statements
  std::size_t final_probe = 0;                 // probe after the batch
};

/// @param request must outlive the plan, which points to its statements.
RunPlan BuildRunPlan(const BatchRequest& request, const RunPlanOptions& options);

/// @return a statement without parameters.
Statement TextStatement(std::string text);

/// @return the statements that reset a connection's settings and apply those of a session.
std::vector<Statement> SettingsStatements(const std::vector<SessionSetting>& settings);

}  // namespace valvekeel::pool
