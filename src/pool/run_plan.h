// The commands that one batch becomes on its connection.
//
// Owns: the internal statements around those of the caller. Invariant: the caller's statements keep
// their order and stand in one implicit transaction; what is added never changes their answers.
// Pure. Thread: any.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "backend/connection.h"
#include "pool/protocol.h"

namespace valvekeel::pool {

/// Table in which request ids are recorded.
inline constexpr std::string_view kRequestTable = "valvekeel_requests";

/// What the connection's state asks for beside the caller's statements.
struct RunPlanOptions {
  bool in_transaction = false;  // the session's transaction is open on the connection
  bool check_position = false;  // the connection has not seen the needed position yet
  bool record_request = false;  // the request id is not in the transaction yet
};

/// Commands of one run, with the places of those that matter afterwards.
struct RunPlan {
  std::vector<Statement> internal;  // reserved before use, so that pointers stay valid
  std::vector<backend::Command> commands;
  std::optional<std::size_t> check;   // position check before the batch
  std::optional<std::size_t> record;  // recording of the request id
  std::vector<std::size_t> caller;    // the caller's statements
  std::optional<std::size_t> commit;  // commit added around the caller's statements
  std::size_t after = 0;              // observation after the batch
};

/// @param request outlives the plan, which points to its statements.
RunPlan BuildRunPlan(const BatchRequest& request, const RunPlanOptions& needs);

/// @return a statement without parameters.
Statement TextStatement(std::string text);

/// @return the statements that put a session's settings in force on a connection, and no others.
std::vector<Statement> SettingsStatements(const std::vector<SessionSetting>& settings);

}  // namespace valvekeel::pool
