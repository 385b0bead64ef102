// Classifies SQL statements by their effect, from PostgreSQL's own parse tree.
//
// Owns: the list of functions that are known to be read-only. Invariant: a statement that is not
// certainly a read is classified as a write. The database checks this again: it rejects a write in
// a read-only transaction with SQLSTATE 25006. No I/O; safe on any thread.
#pragma once

#include <string>
#include <vector>

#include "sql/parse_tree.h"

namespace valvekeel::sql {

/// What a statement may do, as far as routing depends on it.
enum class StatementKind {
  kRead,
  kWrite,
  kBegin,
  kCommit,
  kRollback,
  kSet,    // sets a setting, by name and value
  kReset,  // resets a setting to its default, or all settings if the name is empty
  kShow,
  kUnsupported,  // would leave session state on a shared connection, or is not supported otherwise
};

/// Kind of a statement, with the options that handling it needs.
struct Classification {
  StatementKind kind = StatementKind::kWrite;
  bool read_only = false;  // kBegin: the transaction is read-only
  bool local = false;      // kSet: the setting ends with the transaction (SET LOCAL)
  std::string name;        // name of the setting; kUnsupported: the unsupported feature
  std::string value;       // kSet: new value of the setting
};

/// @return the classification of one statement.
Classification Classify(const ParsedStatement& statement);

}  // namespace valvekeel::sql
