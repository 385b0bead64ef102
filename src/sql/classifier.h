// Tells what a statement may do, from PostgreSQL's own parse tree.
//
// Owns: the list of functions known to be reads. Invariant: a statement that is not certainly a
// read is a write; the database checks again (25006). Thread: any.
#pragma once

#include <string>
#include <vector>

#include "sql/parse_tree.h"

namespace valvekeel::sql {

enum class StatementKind {
  kRead,
  kWrite,
  kBegin,
  kCommit,
  kRollback,
  kSet,    // of a setting, by name and value
  kReset,  // of a setting to its default; no name: of all
  kShow,
  kUnsupported,  // would leave state on a shared connection
};

struct Classification {
  StatementKind kind = StatementKind::kWrite;
  bool read_only = false;  // of kBegin
  bool local = false;      // SET LOCAL: ends with the transaction
  std::string name;        // of the setting, or what is not supported
  std::string value;       // of the setting
};

/// @return what one statement may do.
Classification Classify(const ParsedStatement& statement);

}  // namespace valvekeel::sql
