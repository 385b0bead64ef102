#include "relay/lost_commands.h"

#include <cstddef>

namespace valvekeel::relay {
namespace {

using model::CommandKind;
using model::ErrorCode;

/** The transaction that commands run in, if there is one. */
struct running_transaction {
  bool open = false;
  bool failed = false;  // its end rolls back
  bool wrote = false;
  bool begun = false;  // by a command that may be refused yet: what follows may stand alone

  /** Goes past a command. @return true if the command may have kept something. */
  bool pass(CommandKind kind) {
    if (kind == CommandKind::kCommit || kind == CommandKind::kRollback) {
      const bool kept = kind == CommandKind::kCommit && this->wrote && !this->failed;
      *this = {};
      return kept;
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
  std::vector<ErrorCode> outcomes;
  std::size_t in_doubt = 0;  // commands up to the last one that may have kept something
  for (const forwarded_command& command : commands) {
    const bool single_read =
        !transaction.open && !transaction.begun && command.kind == CommandKind::kRead;
    // The end of the owner's side of the session rolls back whatever is open.
    outcomes.push_back(single_read ? ErrorCode::kFailed : ErrorCode::kAborted);
    if (transaction.pass(command.kind)) {
      in_doubt = outcomes.size();
    }
  }
  for (std::size_t index = 0; index < in_doubt; ++index) {
    outcomes[index] = ErrorCode::kInDoubt;
  }
  return outcomes;
}

}  // namespace valvekeel::relay
