/**
 * @file Errors for commands whose owner was lost before it answered.
 *
 * Invariant: an error that promises that nothing was stored is returned only if neither the command
 * nor a later one may have stored something. A caller that retries all its work after such an error
 * must not execute it twice. Pure functions; safe on any thread.
 */
#pragma once

#include <deque>
#include <vector>

#include "common/time.h"
#include "model/command.h"
#include "model/reply.h"

namespace valvekeel::relay {

/** A command that was forwarded to an owner. */
struct forwarded_command {
  model::CommandKind kind = model::CommandKind::kInvalid;
  common::Instant sent{0};
};

/** @return true if the command may write. The effect of a prepared statement is unknown here. */
bool may_write(model::CommandKind kind);

/**
 * Determines the error for each unanswered command.
 *
 * @param commands  the forwarded commands, the oldest first
 * @param state     the transaction state after the last answer
 * @param wrote     true if a write was answered in the open transaction
 * @return for each command the error that states what is known about its outcome
 */
std::vector<model::ErrorCode> errors_for_lost_commands(
    const std::deque<forwarded_command>& commands, model::TransactionState state, bool wrote);

}  // namespace valvekeel::relay
