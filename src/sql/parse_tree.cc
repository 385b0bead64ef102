#include "sql/parse_tree.h"

#include <pg_query.h>

#include <utility>

namespace valvekeel::sql {
namespace {

/// @return the part of the query text that holds the statement of this entry of "stmts". A length
/// of 0 means that the statement reaches to the end of the text.
std::string StatementText(std::string_view text, const nlohmann::json& entry) {
  const std::size_t location = entry.value("stmt_location", std::size_t{0});
  const std::size_t length = entry.value("stmt_len", std::size_t{0});
  const std::string_view statement_text =
      text.substr(location, length == 0 ? std::string_view::npos : length);
  return std::string(statement_text);
}

/// @param tree_text the parse tree as JSON, as libpg_query returns it.
ParseTree BuildTree(std::string_view text, const char* tree_text) {
  const nlohmann::json document = nlohmann::json::parse(tree_text);
  ParseTree tree;
  if (!document.contains("stmts")) {
    return tree;
  }
  for (const nlohmann::json& entry : document.at("stmts")) {
    const auto statement = entry.at("stmt").items().begin();
    tree.push_back({statement.key(), statement.value(), StatementText(text, entry)});
  }
  return tree;
}

}  // namespace

ParseResult ParseSql(std::string_view text) {
  const std::string null_terminated(text);
  const PgQueryParseResult parsed = pg_query_parse(null_terminated.c_str());
  ParseResult result = SyntaxError{};
  if (parsed.error != nullptr) {
    result = SyntaxError{parsed.error->message, parsed.error->cursorpos};
  } else {
    result = std::make_shared<const ParseTree>(BuildTree(text, parsed.parse_tree));
  }
  pg_query_free_parse_result(parsed);
  return result;
}

ParseResult ParseCache::Parse(const std::string& text) {
  const auto found = by_text_.find(text);
  if (found != by_text_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return found->second->second;
  }
  ParseResult parsed = ParseSql(text);
  if (!common::IsOk(parsed) || text.size() > maximum_text_bytes_) {
    return parsed;
  }
  recent_.emplace_front(text, common::ValueOf(parsed));
  by_text_[recent_.front().first] = recent_.begin();
  if (recent_.size() > capacity_) {
    by_text_.erase(recent_.back().first);
    recent_.pop_back();
  }
  return parsed;
}

}  // namespace valvekeel::sql
