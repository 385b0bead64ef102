// What the proxy asks of an instance over one of its connections.
//
// Owns: the typed requests. Invariant: an empty request id marks a request of the proxy's own.
// Thread: any (values only).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/position.h"
#include "model/command.h"

namespace valvekeel::model {

/// A caller's command, or one that the proxy runs on the caller's behalf.
struct SessionRequest {
  std::string request_id;  // the caller's, empty for the proxy's own
  Command command;
  std::optional<common::Position> required;  // refused if the log lacks it
};

enum class ControlKind : std::uint8_t {
  kResetSession,       // drops values and prepared statements
  kStatus,             // asks for InstanceStatus
  kPauseReplication,   // fences a replica: it receives nothing until resumed or promoted
  kResumeReplication,  // lifts the fence
  kDemote,             // turns a primary of a lower term into a replica
};

struct ControlRequest {
  ControlKind kind = ControlKind::kStatus;
  common::Term term = 0;  // of kPauseReplication and kDemote
};

using InstanceRequest = std::variant<SessionRequest, ControlRequest>;

}  // namespace valvekeel::model
