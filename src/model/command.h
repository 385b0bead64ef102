// Commands of a caller's session, independent of the protocol they arrive in.
//
// Owns: the typed commands. Invariant: what a caller asked for is kept unchanged in `arguments`, so
// that an instance receives exactly that. Thread: any (values only).
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace valvekeel::model {

enum class CommandKind : std::uint8_t {
  kBegin,          // transaction that may write
  kBeginReadOnly,  // transaction that only reads
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,         // sets a value of the session
  kPrepare,     // names a statement
  kExecute,     // runs a named statement
  kDeallocate,  // forgets a named statement
  kInvalid,     // could not be read
};

/// What a prepared statement runs.
struct PreparedStatement {
  bool writes = false;
  std::string text;

  auto operator<=>(const PreparedStatement&) const = default;
};

struct Command {
  CommandKind kind = CommandKind::kInvalid;
  std::string name;            // of the value or of the prepared statement
  std::string arguments;       // all that follows the verb or the name, unchanged
  PreparedStatement prepared;  // of kPrepare
};

/// @return true if the command ends or starts a transaction or runs on data.
inline bool RunsOnInstance(CommandKind kind) {
  return kind == CommandKind::kRead || kind == CommandKind::kWrite ||
         kind == CommandKind::kExecute || kind == CommandKind::kCommit;
}

}  // namespace valvekeel::model
