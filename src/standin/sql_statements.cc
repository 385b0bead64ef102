// The statements on tables of a stand-in session; transactions and the rest are in sql_session.cc.

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "common/sqlstate.h"
#include "standin/evaluator.h"
#include "standin/projection.h"
#include "standin/sql_session.h"

namespace valvekeel::standin {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::Result;
using common::ValueOf;
using nlohmann::json;

SqlError MakeError(std::string_view sqlstate, std::string message) {
  return {std::string(sqlstate), std::move(message)};
}

SqlError UnknownTable(const std::string& name) {
  return MakeError(common::kUndefinedTable, absl::StrCat("relation \"", name, "\" does not exist"));
}

std::string RelationName(const json& node) { return node.at("relation").value("relname", ""); }

/// @return the value of "column = constant" for the column, searched through top-level ANDs.
const json* EqualityOperand(const json& where, const std::string& column) {
  if (where.contains("BoolExpr") && where.at("BoolExpr").value("boolop", "") == "AND_EXPR") {
    for (const json& argument : where.at("BoolExpr").at("args")) {
      if (const json* operand = EqualityOperand(argument, column)) {
        return operand;
      }
    }
    return nullptr;
  }
  if (!where.contains("A_Expr")) {
    return nullptr;
  }
  const json& node = where.at("A_Expr");
  const bool equality = node.value("kind", "") == "AEXPR_OP" && node.contains("lexpr") &&
                        Evaluator::LastName(node.at("name")) == "=";
  if (!equality || !node.at("lexpr").contains("ColumnRef")) {
    return nullptr;
  }
  const json& right = node.at("rexpr");
  const bool constant = right.contains("A_Const") || right.contains("ParamRef");
  const bool same = Evaluator::LastName(node.at("lexpr").at("ColumnRef").at("fields")) == column;
  return constant && same ? &right : nullptr;
}

}  // namespace

Result<std::vector<RowId>, SqlError> SqlSession::Matching(const std::string& name,
                                                          const Table& table, const json& node,
                                                          const std::vector<Value>& parameters) {
  if (!node.contains("whereClause")) {
    return VisibleRows(name, table);
  }
  const json& where = node.at("whereClause");
  const Evaluator evaluator(group_.At(instance_));
  EvaluationScope scope;
  scope.table = &table.definition;
  scope.parameters = &parameters;
  std::vector<RowId> candidates;
  const bool written = pending_.contains(name);
  const json* operand = nullptr;
  if (table.definition.primary_key && !written) {
    operand = EqualityOperand(where, table.definition.columns[*table.definition.primary_key].name);
  }
  if (operand != nullptr) {
    const EvaluationResult key = evaluator.Evaluate(*operand, scope);
    if (!IsOk(key)) {
      return ErrorOf(key);
    }
    const auto found = table.by_key.find(ToText(ValueOf(key)).value_or(""));
    if (found != table.by_key.end()) {
      candidates.push_back(found->second);
    }
  } else {
    candidates = VisibleRows(name, table);
  }
  std::vector<RowId> matching;
  for (const RowId id : candidates) {
    scope.row = VisibleRow(name, table, id);
    const EvaluationResult holds = evaluator.Evaluate(where, scope);
    if (!IsOk(holds)) {
      return ErrorOf(holds);
    }
    if (IsTrue(ValueOf(holds))) {
      matching.push_back(id);
    }
  }
  return matching;
}

void SqlSession::KeepConfigured(const std::vector<json>& expressions,
                                const EvaluationScope& scope) {
  const Evaluator evaluator(group_.At(instance_));
  for (const json& expression : expressions) {
    if (!expression.contains("FuncCall")) {
      continue;
    }
    const json& call = expression.at("FuncCall");
    if (Evaluator::LastName(call.at("funcname")) != "set_config") {
      continue;
    }
    const EvaluationResult name = evaluator.Evaluate(call.at("args").at(0), scope);
    const EvaluationResult value = evaluator.Evaluate(call.at("args").at(1), scope);
    if (IsOk(name) && IsOk(value)) {
      settings_[ToText(ValueOf(name)).value_or("")] = ToText(ValueOf(value)).value_or("");
    }
  }
}

StatementResult SqlSession::RunSelect(const json& node, const std::vector<Value>& parameters) {
  for (const char* clause : {"groupClause", "havingClause", "distinctClause", "withClause",
                             "intoClause", "lockingClause", "larg"}) {
    if (node.contains(clause)) {
      return MakeError(common::kFeatureNotSupported,
                       absl::StrCat("the stand-in database does not support ", clause));
    }
  }
  const Evaluator evaluator(group_.At(instance_));
  EvaluationScope scope;
  scope.parameters = &parameters;
  std::vector<Row> rows;
  TableDefinition definition;
  if (!node.contains("targetList")) {
    return MakeError(common::kFeatureNotSupported, "the stand-in database needs a target list");
  }
  if (node.contains("fromClause")) {
    const json& from = node.at("fromClause").at(0);
    if (node.at("fromClause").size() != 1 || !from.contains("RangeVar")) {
      return MakeError(common::kFeatureNotSupported, "the stand-in database does not join");
    }
    const std::string name = from.at("RangeVar").value("relname", "");
    if (auto system = evaluator.SystemRelation(name)) {
      definition = system->first;
      rows = system->second;
    } else {
      const Table* table = FindTable(name);
      if (table == nullptr) {
        return UnknownTable(name);
      }
      definition = table->definition;
      const auto matching = Matching(name, *table, node, parameters);
      if (!IsOk(matching)) {
        return ErrorOf(matching);
      }
      for (const RowId id : ValueOf(matching)) {
        rows.push_back(*VisibleRow(name, *table, id));
      }
    }
    scope.table = &definition;
  } else {
    rows.emplace_back();
  }
  if (node.contains("sortClause")) {
    const json& sort = node.at("sortClause").at(0).at("SortBy");
    const bool descending = sort.value("sortby_dir", "") == "SORTBY_DESC";
    const auto key = [&](const Row& row) {
      EvaluationScope row_scope = scope;
      row_scope.row = &row;
      const EvaluationResult value = evaluator.Evaluate(sort.at("node"), row_scope);
      return IsOk(value) ? ValueOf(value) : Value{};
    };
    std::stable_sort(rows.begin(), rows.end(), [&](const Row& left, const Row& right) {
      const int order = Compare(key(left), key(right)).value_or(0);
      return descending ? order > 0 : order < 0;
    });
  }
  const Projection projection = BuildProjection(node.at("targetList"), scope.table, evaluator);
  if (scope.table == nullptr) {
    KeepConfigured(projection.expressions, scope);
  }
  const bool aggregate = std::any_of(projection.expressions.begin(), projection.expressions.end(),
                                     [](const json& e) { return Evaluator::IsAggregate(e); });
  if (aggregate) {
    scope.group = &rows;
    const auto row = Project(projection, scope, evaluator);
    if (!IsOk(row)) {
      return ErrorOf(row);
    }
    return ResultSet{projection.columns, {ValueOf(row)}, "SELECT 1"};
  }
  std::size_t limit = rows.size();
  if (node.contains("limitCount")) {
    const EvaluationResult value = evaluator.Evaluate(node.at("limitCount"), scope);
    if (!IsOk(value)) {
      return ErrorOf(value);
    }
    if (const auto* count = std::get_if<std::int64_t>(&ValueOf(value))) {
      limit = std::min(limit, static_cast<std::size_t>(std::max<std::int64_t>(0, *count)));
    }
  }
  ResultSet result;
  result.columns = projection.columns;
  for (std::size_t i = 0; i < limit; ++i) {
    scope.row = &rows[i];
    const auto row = Project(projection, scope, evaluator);
    if (!IsOk(row)) {
      return ErrorOf(row);
    }
    result.rows.push_back(ValueOf(row));
  }
  result.tag = absl::StrCat("SELECT ", result.rows.size());
  return result;
}

Result<Row, SqlError> SqlSession::BuildRow(const Table& table, const json& node, const json& values,
                                           const std::vector<Value>& parameters) {
  const Evaluator evaluator(group_.At(instance_));
  EvaluationScope scope;
  scope.parameters = &parameters;
  Row row(table.definition.columns.size());
  for (std::size_t i = 0; i < values.size(); ++i) {
    std::size_t column = i;
    if (node.contains("cols")) {
      const std::string name =
          i < node.at("cols").size() ? node.at("cols").at(i).at("ResTarget").value("name", "") : "";
      const auto index = table.definition.Find(name);
      if (!index) {
        return MakeError("42703", absl::StrCat("column \"", name, "\" does not exist"));
      }
      column = *index;
    }
    if (column >= row.size()) {
      return MakeError(common::kSyntaxError, "INSERT has more expressions than target columns");
    }
    const EvaluationResult value = evaluator.Evaluate(values.at(i), scope);
    if (!IsOk(value)) {
      return ErrorOf(value);
    }
    auto coerced = Coerce(ValueOf(value), table.definition.columns[column].type);
    if (!IsOk(coerced)) {
      return ErrorOf(coerced);
    }
    row[column] = ValueOf(coerced);
  }
  for (std::size_t i = 0; i < row.size(); ++i) {
    if (table.definition.columns[i].not_null && IsNull(row[i])) {
      return MakeError(
          "23502", absl::StrCat("null value in column \"", table.definition.columns[i].name, "\""));
    }
  }
  return row;
}

bool SqlSession::KeyExists(const std::string& name, const Table& table, const std::string& key) {
  const auto committed = table.by_key.find(key);
  if (committed != table.by_key.end() && VisibleRow(name, table, committed->second) != nullptr) {
    return true;
  }
  const auto pending_table = pending_.find(name);
  if (pending_table == pending_.end()) {
    return false;
  }
  return std::any_of(pending_table->second.begin(), pending_table->second.end(),
                     [&](const auto& entry) {
                       return entry.second && KeyText(table.definition, *entry.second) == key;
                     });
}

StatementResult SqlSession::RunInsert(const json& node, const std::vector<Value>& parameters) {
  const std::string name = RelationName(node);
  const Table* table = FindTable(name);
  if (table == nullptr) {
    return UnknownTable(name);
  }
  const json& select = node.at("selectStmt").at("SelectStmt");
  if (!select.contains("valuesLists")) {
    return MakeError(common::kFeatureNotSupported, "the stand-in database inserts only VALUES");
  }
  const bool skip_conflicts =
      node.contains("onConflictClause") &&
      node.at("onConflictClause").value("action", "") == "ONCONFLICT_NOTHING";
  ResultSet result;
  const Evaluator evaluator(group_.At(instance_));
  Projection projection;
  if (node.contains("returningList")) {
    projection = BuildProjection(node.at("returningList"), &table->definition, evaluator);
    result.columns = projection.columns;
  }
  std::size_t inserted = 0;
  for (const json& values : select.at("valuesLists")) {
    auto row = BuildRow(*table, node, values.at("List").at("items"), parameters);
    if (!IsOk(row)) {
      return ErrorOf(row);
    }
    if (table->definition.primary_key) {
      const std::string key = KeyText(table->definition, ValueOf(row));
      if (KeyExists(name, *table, key)) {
        if (skip_conflicts) {
          continue;
        }
        return MakeError(common::kUniqueViolation,
                         absl::StrCat("duplicate key value violates unique constraint of \"", name,
                                      "\": ", key));
      }
      if (const auto conflict = LockKey(name, key)) {
        return *conflict;
      }
    }
    EvaluationScope scope;
    scope.table = &table->definition;
    scope.row = &ValueOf(row);
    scope.parameters = &parameters;
    if (!projection.columns.empty()) {
      const auto returned = Project(projection, scope, evaluator);
      if (!IsOk(returned)) {
        return ErrorOf(returned);
      }
      result.rows.push_back(ValueOf(returned));
    }
    Write(name, group_.At(instance_).tables.next_row++, std::move(ValueOf(row)));
    ++inserted;
  }
  result.tag = absl::StrCat("INSERT 0 ", inserted);
  return result;
}

StatementResult SqlSession::RunUpdate(const json& node, const std::vector<Value>& parameters) {
  const std::string name = RelationName(node);
  const Table* table = FindTable(name);
  if (table == nullptr) {
    return UnknownTable(name);
  }
  const auto matching = Matching(name, *table, node, parameters);
  if (!IsOk(matching)) {
    return ErrorOf(matching);
  }
  const Evaluator evaluator(group_.At(instance_));
  Projection projection;
  ResultSet result;
  if (node.contains("returningList")) {
    projection = BuildProjection(node.at("returningList"), &table->definition, evaluator);
    result.columns = projection.columns;
  }
  for (const RowId id : ValueOf(matching)) {
    if (const auto conflict = LockRow(name, id)) {
      return *conflict;
    }
    const Row old_row = *VisibleRow(name, *table, id);
    Row new_row = old_row;
    EvaluationScope scope;
    scope.table = &table->definition;
    scope.row = &old_row;
    scope.parameters = &parameters;
    for (const json& target : node.at("targetList")) {
      const auto column = table->definition.Find(target.at("ResTarget").value("name", ""));
      if (!column) {
        return MakeError("42703", "column of the SET list does not exist");
      }
      const EvaluationResult value = evaluator.Evaluate(target.at("ResTarget").at("val"), scope);
      if (!IsOk(value)) {
        return ErrorOf(value);
      }
      const auto coerced = Coerce(ValueOf(value), table->definition.columns[*column].type);
      if (!IsOk(coerced)) {
        return ErrorOf(coerced);
      }
      new_row[*column] = ValueOf(coerced);
    }
    if (!projection.columns.empty()) {
      scope.row = &new_row;
      const auto returned = Project(projection, scope, evaluator);
      if (!IsOk(returned)) {
        return ErrorOf(returned);
      }
      result.rows.push_back(ValueOf(returned));
    }
    Write(name, id, std::move(new_row));
  }
  result.tag = absl::StrCat("UPDATE ", ValueOf(matching).size());
  return result;
}

StatementResult SqlSession::RunDelete(const json& node, const std::vector<Value>& parameters) {
  const std::string name = RelationName(node);
  const Table* table = FindTable(name);
  if (table == nullptr) {
    return UnknownTable(name);
  }
  const auto matching = Matching(name, *table, node, parameters);
  if (!IsOk(matching)) {
    return ErrorOf(matching);
  }
  for (const RowId id : ValueOf(matching)) {
    if (const auto conflict = LockRow(name, id)) {
      return *conflict;
    }
    Write(name, id, std::nullopt);
  }
  return ResultSet{{}, {}, absl::StrCat("DELETE ", ValueOf(matching).size())};
}

}  // namespace valvekeel::standin
