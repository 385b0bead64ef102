/**
 * @file What is known of commands whose owner was lost before it answered.
 *
 * Owns: nothing. Invariant: a promise that nothing is kept is made only where neither the command
 * nor one after it may have kept something: a caller that tries its whole work again because of it
 * must not run twice. Pure. Thread: any (values only).
 */
#pragma once

#include <deque>
#include <vector>

#include "common/time.h"
#include "model/command.h"
#include "model/reply.h"

namespace valvekeel::relay {

/** A command that was passed on to an owner. */
struct forwarded_command {
  model::CommandKind kind = model::CommandKind::kInvalid;
  common::Instant sent{0};
};

/** @return true if the command may write. What a prepared statement does is not known here. */
bool may_write(model::CommandKind kind);

/**
 * @param commands  that were passed on, the oldest first
 * @param state  after the last answer
 * @param wrote  whether a write was answered in the transaction that is open
 * @return for each command the error that says what is known of it
 */
std::vector<model::ErrorCode> errors_for_lost_commands(
    const std::deque<forwarded_command>& commands, model::TransactionState state, bool wrote);

}  // namespace valvekeel::relay
