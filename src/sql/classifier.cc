#include "sql/classifier.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <string_view>

namespace valvekeel::sql {
namespace {

using nlohmann::json;

/// Functions that neither write nor depend on session state.
const absl::flat_hash_set<std::string_view>& ReadOnlyFunctions() {
  static const absl::flat_hash_set<std::string_view> kFunctions = {"abs",
                                                                   "age",
                                                                   "array_agg",
                                                                   "array_length",
                                                                   "array_to_string",
                                                                   "avg",
                                                                   "bool_and",
                                                                   "bool_or",
                                                                   "btrim",
                                                                   "ceil",
                                                                   "ceiling",
                                                                   "char_length",
                                                                   "concat",
                                                                   "concat_ws",
                                                                   "count",
                                                                   "current_database",
                                                                   "current_schema",
                                                                   "current_schemas",
                                                                   "date_part",
                                                                   "date_trunc",
                                                                   "dense_rank",
                                                                   "exp",
                                                                   "extract",
                                                                   "first_value",
                                                                   "floor",
                                                                   "format",
                                                                   "format_type",
                                                                   "generate_series",
                                                                   "greatest",
                                                                   "initcap",
                                                                   "json_agg",
                                                                   "json_build_object",
                                                                   "jsonb_agg",
                                                                   "jsonb_build_object",
                                                                   "lag",
                                                                   "last_value",
                                                                   "lead",
                                                                   "least",
                                                                   "left",
                                                                   "length",
                                                                   "ln",
                                                                   "log",
                                                                   "lower",
                                                                   "lpad",
                                                                   "ltrim",
                                                                   "max",
                                                                   "md5",
                                                                   "min",
                                                                   "mod",
                                                                   "now",
                                                                   "ntile",
                                                                   "nullif",
                                                                   "obj_description",
                                                                   "pg_get_expr",
                                                                   "pg_get_userbyid",
                                                                   "pg_is_in_recovery",
                                                                   "pg_last_wal_receive_lsn",
                                                                   "pg_last_wal_replay_lsn",
                                                                   "pg_table_is_visible",
                                                                   "position",
                                                                   "power",
                                                                   "quote_ident",
                                                                   "quote_literal",
                                                                   "rank",
                                                                   "regexp_match",
                                                                   "regexp_replace",
                                                                   "replace",
                                                                   "reverse",
                                                                   "right",
                                                                   "round",
                                                                   "row_number",
                                                                   "row_to_json",
                                                                   "rpad",
                                                                   "rtrim",
                                                                   "sign",
                                                                   "split_part",
                                                                   "sqrt",
                                                                   "starts_with",
                                                                   "stddev",
                                                                   "string_agg",
                                                                   "strpos",
                                                                   "substr",
                                                                   "substring",
                                                                   "sum",
                                                                   "to_char",
                                                                   "to_date",
                                                                   "to_json",
                                                                   "to_jsonb",
                                                                   "to_number",
                                                                   "to_timestamp",
                                                                   "translate",
                                                                   "trim",
                                                                   "trunc",
                                                                   "unnest",
                                                                   "upper",
                                                                   "variance",
                                                                   "version",
                                                                   "width_bucket"};
  return kFunctions;
}

/// @return the last part of a qualified name, without its schema; empty if it is not a string.
std::string LastName(const json& names) {
  const json& last = names.back();
  return last.contains("String") ? last.at("String").value("sval", "") : "";
}

/// @return true if no node of this subtree can write. Unknown functions count as writes.
bool OnlyReads(const json& node) {
  if (node.is_array()) {
    for (const json& item : node) {
      if (!OnlyReads(item)) {
        return false;
      }
    }
    return true;
  }
  if (!node.is_object()) {
    return true;
  }
  for (const auto& [key, value] : node.items()) {
    const bool is_write = key == "InsertStmt" || key == "UpdateStmt" || key == "DeleteStmt" ||
                          key == "MergeStmt" || key == "intoClause" || key == "lockingClause";
    if (is_write) {
      return false;
    }
    const bool is_function_call = key == "FuncCall";
    if (is_function_call && !ReadOnlyFunctions().contains(LastName(value.at("funcname")))) {
      return false;
    }
    if (!OnlyReads(value)) {
      return false;
    }
  }
  return true;
}

/// @return true if this subtree calls a function that leaves state in the session: a session-level
/// advisory lock.
bool CallsSessionFunction(const json& node) {
  if (node.is_array() || node.is_object()) {
    if (node.is_object() && node.contains("FuncCall")) {
      const std::string name = LastName(node.at("FuncCall").at("funcname"));
      const bool is_session_lock =
          name.rfind("pg_advisory_lock", 0) == 0 || name.rfind("pg_try_advisory_lock", 0) == 0;
      if (is_session_lock) {
        return true;
      }
    }
    for (const json& item : node) {
      if (CallsSessionFunction(item)) {
        return true;
      }
    }
  }
  return false;
}

/// @return the text of a constant, with or without a type cast; empty for any other expression.
std::string ConstantText(const json& node) {
  if (node.contains("TypeCast")) {
    return ConstantText(node.at("TypeCast").at("arg"));
  }
  if (!node.contains("A_Const")) {
    return {};
  }
  const json& constant = node.at("A_Const");
  if (constant.contains("ival")) {
    return absl::StrCat(constant.at("ival").value("ival", 0));
  }
  if (constant.contains("sval")) {
    return constant.at("sval").value("sval", "");
  }
  if (constant.contains("fval")) {
    return constant.at("fval").value("fval", "");
  }
  if (constant.contains("boolval")) {
    return constant.at("boolval").value("boolval", false) ? "on" : "off";
  }
  return {};
}

Classification MakeUnsupported(std::string what) {
  Classification classification;
  classification.kind = StatementKind::kUnsupported;
  classification.name = std::move(what);
  return classification;
}

Classification ClassifyTransaction(const json& node) {
  Classification classification;
  const std::string kind = node.value("kind", "");
  if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
    classification.kind = StatementKind::kBegin;
    for (const json& option : node.value("options", json::array())) {
      const json& element = option.at("DefElem");
      if (element.value("defname", "") == "transaction_read_only") {
        classification.read_only = ConstantText(element.at("arg")) != "0";
      }
    }
    return classification;
  }
  if (kind == "TRANS_STMT_COMMIT" || kind == "TRANS_STMT_ROLLBACK") {
    if (node.value("chain", false)) {
      return MakeUnsupported("AND CHAIN");
    }
    classification.kind =
        kind == "TRANS_STMT_COMMIT" ? StatementKind::kCommit : StatementKind::kRollback;
    return classification;
  }
  const bool is_savepoint = kind == "TRANS_STMT_SAVEPOINT" || kind == "TRANS_STMT_RELEASE" ||
                            kind == "TRANS_STMT_ROLLBACK_TO";
  return is_savepoint ? classification : MakeUnsupported("two-phase commit");
}

Classification ClassifySetting(const json& node) {
  Classification classification;
  classification.name = node.value("name", "");
  classification.local = node.value("is_local", false);
  const std::string kind = node.value("kind", "");
  if (kind == "VAR_RESET" || kind == "VAR_RESET_ALL" || kind == "VAR_SET_DEFAULT") {
    classification.kind = StatementKind::kReset;
    return classification;
  }
  if (kind == "VAR_SET_MULTI" || kind == "VAR_SET_CURRENT") {
    // SET TRANSACTION and similar statements affect only the open transaction.
    classification.local = true;
  }
  classification.kind = StatementKind::kSet;
  for (const json& argument : node.value("args", json::array())) {
    absl::StrAppend(&classification.value, classification.value.empty() ? "" : ",",
                    ConstantText(argument));
  }
  return classification;
}

Classification ClassifySelect(const ParsedStatement& statement) {
  Classification classification;
  if (CallsSessionFunction(statement.node)) {
    return MakeUnsupported("session advisory locks");
  }
  classification.kind = OnlyReads(statement.node) ? StatementKind::kRead : StatementKind::kWrite;
  return classification;
}

}  // namespace

Classification Classify(const ParsedStatement& statement) {
  const std::string& type = statement.node_type;
  Classification classification;
  if (type == "SelectStmt") {
    return ClassifySelect(statement);
  }
  if (type == "TransactionStmt") {
    return ClassifyTransaction(statement.node);
  }
  if (type == "VariableSetStmt") {
    return ClassifySetting(statement.node);
  }
  if (type == "VariableShowStmt") {
    classification.kind = StatementKind::kShow;
    classification.name = statement.node.value("name", "");
    return classification;
  }
  if (type == "ExplainStmt") {
    classification.kind = OnlyReads(statement.node) ? StatementKind::kRead : StatementKind::kWrite;
    return classification;
  }
  if (type == "CopyStmt") {
    return MakeUnsupported("COPY");
  }
  if (type == "ListenStmt" || type == "NotifyStmt" || type == "UnlistenStmt") {
    return MakeUnsupported("LISTEN and NOTIFY");
  }
  if (type == "PrepareStmt" || type == "ExecuteStmt" || type == "DeallocateStmt") {
    return MakeUnsupported("PREPARE and EXECUTE in SQL; use the protocol's prepared statements");
  }
  if (type == "DiscardStmt") {
    classification.kind = StatementKind::kReset;
    return classification;
  }
  const bool is_temporary = type == "CreateStmt" && statement.node.contains("relation") &&
                            statement.node.at("relation").value("relpersistence", "p") == "t";
  return is_temporary ? MakeUnsupported("temporary tables") : classification;
}

}  // namespace valvekeel::sql
