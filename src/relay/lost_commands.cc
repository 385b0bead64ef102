#include "relay/lost_commands.h"

#include <cstddef>

namespace valvekeel::relay {
namespace {

using model::CommandKind;
using model::ErrorCode;

/** The transaction that commands run in, if there is one. */
struct running_transaction {
  bool open = false;
  bool failed = false;  // its commit rolls back
  bool wrote = false;
  bool begun = false;  // by a BEGIN that may be rejected: later commands may run alone

  /** Advances past a command. @return true if the command may have stored something. */
  bool advance(CommandKind kind) {
    if (kind == CommandKind::kCommit || kind == CommandKind::kRollback) {
      const bool stored = kind == CommandKind::kCommit && this->wrote && !this->failed;
      *this = {};
      return stored;
    }
    if (kind == CommandKind::kBegin || kind == CommandKind::kBeginReadOnly) {
      this->begun = true;
      return false;
    }
    this->wrote = this->wrote || may_write(kind);
    return !this->open && may_write(kind);
  }
};

}  // namespace

bool may_write(CommandKind kind) {
  return kind == CommandKind::kWrite || kind == CommandKind::kExecute;
}

std::vector<ErrorCode> errors_for_lost_commands(const std::deque<forwarded_command>& commands,
                                                model::TransactionState state, bool wrote) {
  running_transaction transaction{state != model::TransactionState::kIdle,
                                  state == model::TransactionState::kFailed, wrote};
  std::vector<ErrorCode> errors;
  std::size_t in_doubt = 0;  // commands up to the last one that may have stored something
  for (const forwarded_command& command : commands) {
    const bool single_read =
        !transaction.open && !transaction.begun && command.kind == CommandKind::kRead;
    // When the owner's side of the session ends, an open transaction is rolled back.
    errors.push_back(single_read ? ErrorCode::kFailed : ErrorCode::kAborted);
    if (transaction.advance(command.kind)) {
      in_doubt = errors.size();
    }
  }
  for (std::size_t index = 0; index < in_doubt; ++index) {
    errors[index] = ErrorCode::kInDoubt;
  }
  return errors;
}

}  // namespace valvekeel::relay
