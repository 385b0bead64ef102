// Requests that the proxy sends to an instance over one of its connections.
//
// Owns: the typed requests. Invariant: an empty request id marks a request of the proxy's own.
// Values only; safe in any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/position.h"
#include "model/command.h"

namespace valvekeel::model {

/// A caller's command, or a command that the proxy runs on the caller's behalf.
struct SessionRequest {
  std::string request_id;  // the caller's, empty for the proxy's own
  Command command;
  std::optional<common::Position> required;  // the request fails if the log lacks it
};

enum class ControlKind : std::uint8_t {
  kResetSession,       // drops session variables and prepared statements
  kStatus,             // requests the InstanceStatus
  kPauseReplication,   // fences a replica: it receives nothing until resumed or promoted
  kResumeReplication,  // lifts the fence
  kDemote,             // turns a primary of a lower term into a replica
};

/// A request of the proxy that is not part of a session.
struct ControlRequest {
  ControlKind kind = ControlKind::kStatus;
  common::Term term = 0;  // of kPauseReplication and kDemote
};

using InstanceRequest = std::variant<SessionRequest, ControlRequest>;

}  // namespace valvekeel::model
