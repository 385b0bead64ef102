// PostgreSQL's own parser (libpg_query), with a bounded cache by text.
//
// Owns: the cached parse trees. Invariant: a tree is never changed after it is made. Thread: the
// thread that owns the ParseCache; trees may be shared.
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
  nlohmann::json node;    // the statement's own tree
  std::string text;       // the statement's part of the query text
};

/// All statements of a query text, in order.
using ParseTree = std::vector<ParsedStatement>;

/// Syntax error as PostgreSQL's parser reports it.
struct SyntaxError {
  std::string message;
  int cursor = 0;  // 1-based byte position, 0 if not known
};

using ParseResult = common::Result<std::shared_ptr<const ParseTree>, SyntaxError>;

/// Parses a query text without a cache.
ParseResult ParseSql(std::string_view text);

/// Keeps the trees of the most recently used texts.
class ParseCache {
 public:
  /// @param capacity number of texts kept. @param maximum_text_bytes longer texts are not kept.
  ParseCache(std::size_t capacity, std::size_t maximum_text_bytes)
      : capacity_(capacity), maximum_text_bytes_(maximum_text_bytes) {}

  /// @return the tree of the text or the syntax error; errors are not cached.
  ParseResult Parse(const std::string& text);

 private:
  using Entry = std::pair<std::string, std::shared_ptr<const ParseTree>>;

  std::size_t capacity_;
  std::size_t maximum_text_bytes_;
  std::list<Entry> recent_;
  std::unordered_map<std::string_view, std::list<Entry>::iterator> by_text_;
};

}  // namespace valvekeel::sql
