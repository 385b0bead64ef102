// Holds the state of one caller's session.
//
// Owns: the session's values, prepared statements, transaction and commands. Invariant: at most one
// command is in progress; a transaction's connection is set from its first statement until its end.
// Plain values; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/position.h"
#include "common/time.h"
#include "model/catalog.h"
#include "model/command.h"
#include "proxy/actions.h"
#include "proxy/backend.h"
#include "tenants/key_digest.h"

namespace valvekeel::proxy {

/// A command as received from the caller.
struct CallerCommand {
  std::string request_id;
  model::Command command;
};

enum class OperationPhase : std::uint8_t {
  kQueued,     // waits for an instance that can take it
  kPreparing,  // the connection is being brought to the session's state
  kRunning,    // the caller's command was sent
};

/// The command in progress.
struct Operation {
  CallerCommand caller_command;
  model::Route route;
  common::Instant arrived{0};
  common::Instant deadline{0};        // end of the statement's time-out
  common::Instant queue_deadline{0};  // refused if it has not started by then
  common::Instant not_before{0};      // end of the pause after a refusal by an instance
  OperationPhase phase = OperationPhase::kQueued;
  std::string instance;
  ConnectionNumber connection = 0;
  common::Instant sent{0};
  std::string tenant;  // for whom it runs; set when a start is tried
  std::optional<ConnectionNumber> opening_connection;  // connection opened for it
  std::size_t unanswered_preparations = 0;             // sent before the statement
  std::optional<common::Position> required_position;   // that the instance's log must contain
  std::uint32_t attempts = 0;
  std::uint32_t resends = 0;                  // after no answer came
  common::Duration required_position_age{0};  // of the newest commit that it covers
  bool required_is_own_commit = false;        // that commit is the session's own
  std::set<std::string> avoided_instances;    // could not serve it
  const char* last_refusal = "no instance";
  bool waits_only_for_slot = false;               // when it was last tried
  std::optional<common::Duration> expected_wait;  // forecast when it was refused
};

struct Transaction {
  bool open = false;
  bool read_only = false;
  bool failed = false;             // the caller may only end it
  bool has_run_statement = false;  // a statement has run in it
  bool has_written = false;        // a write has run in it
  bool instance_closed = false;    // while a statement ran there
  std::string begin_request_id;
  model::Route route;
  common::Instant began{0};
  common::Instant last_active{0};
  std::string instance;
  std::string tenant;  // for whom it runs
  std::optional<ConnectionNumber> connection;
};

struct CallerSession {
  SessionNumber number = 0;
  std::string database;
  tenants::key_digest key;  // identifies the caller
  bool accepted = false;
  bool handed_over = false;                         // by another daemon
  bool accepts_end_request = false;                 // that daemon ends it, once idle, if asked to
  std::optional<common::Instant> end_requested_at;  // when that daemon was asked to end it
  common::Instant started{0};
  bool received_command = false;     // at least one
  bool congested = false;            // no command starts until its answers have been sent
  const char* end_reason = nullptr;  // set once it is being ended: no more commands run
  SessionValues values;
  std::map<std::string, model::PreparedStatement> prepared;
  Transaction transaction;
  std::optional<Operation> operation;
  std::deque<CallerCommand> pending_commands;
  common::Position own_commit;  // last acknowledged commit of the session
  common::Instant own_commit_at{0};
  /// Arrival of the first operation refused since the last success.
  std::optional<common::Instant> refused_since;
};

}  // namespace valvekeel::proxy
