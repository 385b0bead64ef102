// Parses SQL with PostgreSQL's own parser (libpg_query) and caches the parse trees by query text.
//
// Owns: the cached parse trees. Invariant: a tree is immutable once built, so threads may share it.
// ParseCache is not thread-safe.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/result.h"

namespace valvekeel::sql {

/// One statement of a query text.
struct ParsedStatement {
  std::string node_type;  // such as "SelectStmt"
  nlohmann::json node;    // parse tree of this statement
  std::string text;       // the part of the query text that holds this statement
};

/// All statements of a query text, in order.
using ParseTree = std::vector<ParsedStatement>;

/// Syntax error reported by PostgreSQL's parser.
struct SyntaxError {
  std::string message;
  int cursor = 0;  // 1-based byte position in the query text, 0 if unknown
};

using ParseResult = common::Result<std::shared_ptr<const ParseTree>, SyntaxError>;

/// Parses a query text without a cache. @return its statements in order, or the syntax error.
ParseResult ParseSql(std::string_view text);

/// Least-recently-used cache of parse trees, keyed by query text.
class ParseCache {
 public:
  /// @param capacity maximum number of cached texts.
  /// @param maximum_text_bytes length in bytes above which a text is not cached.
  ParseCache(std::size_t capacity, std::size_t maximum_text_bytes)
      : capacity_(capacity), maximum_text_bytes_(maximum_text_bytes) {}

  /// @return the parse tree of the text or the syntax error. Errors are not cached.
  ParseResult Parse(const std::string& text);

 private:
  using Entry = std::pair<std::string, std::shared_ptr<const ParseTree>>;

  std::size_t capacity_;
  std::size_t maximum_text_bytes_;
  std::list<Entry> recent_;  // most recently used first
  // The keys refer to the texts in `recent_`.
  std::unordered_map<std::string_view, std::list<Entry>::iterator> by_text_;
};

}  // namespace valvekeel::sql
