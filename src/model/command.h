// Commands of a caller's session, independent of the protocol they arrive in.
//
// Owns: the typed commands. Invariant: `arguments` holds the caller's text unchanged, so that an
// instance receives exactly that. Values only; safe in any thread.
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
  kSet,         // sets a session variable
  kPrepare,     // names a statement
  kExecute,     // runs a named statement
  kDeallocate,  // drops a named statement
  kInvalid,     // could not be parsed
};

/// The statement that a prepared statement runs.
struct PreparedStatement {
  bool writes = false;
  std::string text;

  auto operator<=>(const PreparedStatement&) const = default;
};

/// One command of a session.
struct Command {
  CommandKind kind = CommandKind::kInvalid;
  std::string name;            // of the session variable or of the prepared statement
  std::string arguments;       // all text after the verb or the name, unchanged
  PreparedStatement prepared;  // of kPrepare
};

/// @return true if the command runs on data or ends a transaction by a commit.
inline bool RunsOnInstance(CommandKind kind) {
  return kind == CommandKind::kRead || kind == CommandKind::kWrite ||
         kind == CommandKind::kExecute || kind == CommandKind::kCommit;
}

}  // namespace valvekeel::model
