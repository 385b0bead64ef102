#include "standin/sql_session.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "common/sqlstate.h"
#include "standin/evaluator.h"

namespace valvekeel::standin {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::Result;
using common::ValueOf;
using nlohmann::json;
using wire::TransactionStatus;

SqlError MakeError(std::string_view sqlstate, std::string message) {
  return {std::string(sqlstate), std::move(message)};
}

SqlError UnknownTable(const std::string& name) {
  return MakeError(common::kUndefinedTable, absl::StrCat("relation \"", name, "\" does not exist"));
}

bool ReadOnlyOption(const json& node) {
  if (!node.contains("options")) {
    return false;
  }
  for (const json& option : node.at("options")) {
    const json& element = option.at("DefElem");
    if (element.value("defname", "") == "transaction_read_only") {
      return element.at("arg").at("A_Const").at("ival").value("ival", 0) != 0;
    }
  }
  return false;
}

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

bool IsStar(const json& target) {
  const json& value = target.at("ResTarget").at("val");
  return value.contains("ColumnRef") &&
         value.at("ColumnRef").at("fields").back().contains("A_Star");
}

std::string TargetName(const json& target) {
  const json& node = target.at("ResTarget");
  if (node.contains("name")) {
    return node.at("name");
  }
  const json* value = &node.at("val");
  while (value->contains("TypeCast")) {
    value = &value->at("TypeCast").at("arg");
  }
  if (value->contains("ColumnRef")) {
    return Evaluator::LastName(value->at("ColumnRef").at("fields"));
  }
  if (value->contains("FuncCall")) {
    return Evaluator::LastName(value->at("FuncCall").at("funcname"));
  }
  return "?column?";
}

/// Output columns of a target list with the expression that gives each.
struct Projection {
  std::vector<ResultColumn> columns;
  std::vector<json> expressions;
};

Projection BuildProjection(const json& targets, const TableDefinition* table,
                           const Evaluator& evaluator) {
  Projection projection;
  for (const json& target : targets) {
    if (IsStar(target) && table != nullptr) {
      for (const Column& column : table->columns) {
        projection.columns.push_back({column.name, column.type});
        projection.expressions.push_back(
            {{"ColumnRef", {{"fields", {{{"String", {{"sval", column.name}}}}}}}}});
      }
      continue;
    }
    const json& expression = target.at("ResTarget").at("val");
    projection.columns.push_back({TargetName(target), evaluator.TypeOf(expression, table)});
    projection.expressions.push_back(expression);
  }
  return projection;
}

Result<Row, SqlError> Project(const Projection& projection, const EvaluationScope& scope,
                              const Evaluator& evaluator) {
  Row row;
  for (const json& expression : projection.expressions) {
    EvaluationResult value = evaluator.Evaluate(expression, scope);
    if (!IsOk(value)) {
      return ErrorOf(value);
    }
    row.push_back(std::move(ValueOf(value)));
  }
  return row;
}

std::string RelationName(const json& node) { return node.at("relation").value("relname", ""); }

}  // namespace

bool LockTable::Acquire(const std::string& name, const void* owner) {
  const auto [holder, added] = holders_.try_emplace(name, owner);
  return added || holder->second == owner;
}

void LockTable::ReleaseAll(const void* owner) {
  std::erase_if(holders_, [owner](const auto& entry) { return entry.second == owner; });
}

SqlSession::SqlSession(DatabaseGroup& group, std::size_t instance, std::shared_ptr<LockTable> locks)
    : group_(group), instance_(instance), locks_(std::move(locks)) {}

SqlSession::~SqlSession() { DropPending(); }

const Table* SqlSession::FindTable(const std::string& name) const {
  const auto& tables = group_.At(instance_).tables.tables;
  const auto found = tables.find(name);
  return found == tables.end() ? nullptr : &found->second;
}

StatementResult SqlSession::Execute(const sql::ParsedStatement& statement,
                                    const std::vector<Value>& parameters, common::Instant now) {
  const bool ends_block = statement.node_type == "TransactionStmt";
  if (status_ == TransactionStatus::kFailed && !ends_block) {
    return MakeError(common::kInFailedTransaction,
                     "current transaction is aborted, commands ignored until end of block");
  }
  StatementResult result = Dispatch(statement, parameters, now);
  if (!IsOk(result)) {
    if (status_ == TransactionStatus::kInTransaction) {
      status_ = TransactionStatus::kFailed;
      DropPending();
    } else if (status_ == TransactionStatus::kIdle) {
      implicit_failed_ = true;
    }
  }
  return result;
}

StatementResult SqlSession::Dispatch(const sql::ParsedStatement& statement,
                                     const std::vector<Value>& parameters, common::Instant now) {
  const std::string& type = statement.node_type;
  const json& node = statement.node;
  if (type == "SelectStmt") {
    return RunSelect(node, parameters);
  }
  if (type == "TransactionStmt") {
    return RunTransactionStatement(node, now);
  }
  if (type == "VariableShowStmt") {
    return RunShow(node);
  }
  if (type == "VariableSetStmt") {
    return RunSet(node);
  }
  if (type == "DiscardStmt") {
    settings_.clear();
    return ResultSet{{}, {}, "DISCARD ALL"};
  }
  const bool write = type == "InsertStmt" || type == "UpdateStmt" || type == "DeleteStmt" ||
                     type == "CreateStmt" || type == "DropStmt";
  if (!write) {
    return MakeError(common::kFeatureNotSupported,
                     absl::StrCat("the stand-in database does not support ", type));
  }
  if (const auto refusal = WriteRefusal()) {
    return *refusal;
  }
  if (type == "InsertStmt") {
    return RunInsert(node, parameters);
  }
  if (type == "UpdateStmt") {
    return RunUpdate(node, parameters);
  }
  if (type == "DeleteStmt") {
    return RunDelete(node, parameters);
  }
  return type == "CreateStmt" ? RunCreate(node) : RunDrop(node);
}

Result<std::vector<ResultColumn>, SqlError> SqlSession::Describe(
    const sql::ParsedStatement& statement) {
  const Evaluator evaluator(group_.At(instance_));
  if (statement.node_type == "VariableShowStmt") {
    return std::vector<ResultColumn>{{statement.node.value("name", ""), ColumnType::kText}};
  }
  const bool select = statement.node_type == "SelectStmt";
  const char* list = select ? "targetList" : "returningList";
  if (!statement.node.contains(list) || (!select && statement.node_type == "CreateStmt")) {
    return std::vector<ResultColumn>{};
  }
  const TableDefinition* definition = nullptr;
  std::string name;
  if (!select) {
    name = RelationName(statement.node);
  } else if (statement.node.contains("fromClause")) {
    const json& from = statement.node.at("fromClause").at(0);
    name = from.contains("RangeVar") ? from.at("RangeVar").value("relname", "") : "";
  }
  std::optional<std::pair<TableDefinition, std::vector<Row>>> system;
  if (!name.empty()) {
    system = evaluator.SystemRelation(name);
    const Table* table = FindTable(name);
    if (table == nullptr && !system) {
      return UnknownTable(name);
    }
    definition = system ? &system->first : &table->definition;
  }
  return BuildProjection(statement.node.at(list), definition, evaluator).columns;
}

StatementResult SqlSession::RunTransactionStatement(const json& node, common::Instant now) {
  const std::string kind = node.value("kind", "");
  if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
    if (status_ == TransactionStatus::kIdle) {
      status_ = TransactionStatus::kInTransaction;
      read_only_ = ReadOnlyOption(node);
    }
    return ResultSet{{}, {}, "BEGIN"};
  }
  if (kind == "TRANS_STMT_COMMIT") {
    const bool failed = status_ == TransactionStatus::kFailed;
    status_ = TransactionStatus::kIdle;
    read_only_ = false;
    if (failed) {
      return ResultSet{{}, {}, "ROLLBACK"};
    }
    if (const auto error = CommitPending(now)) {
      return *error;
    }
    return ResultSet{{}, {}, "COMMIT"};
  }
  if (kind == "TRANS_STMT_ROLLBACK") {
    status_ = TransactionStatus::kIdle;
    read_only_ = false;
    DropPending();
    return ResultSet{{}, {}, "ROLLBACK"};
  }
  return MakeError(common::kFeatureNotSupported,
                   absl::StrCat("the stand-in database does not support ", kind));
}

std::optional<SqlError> SqlSession::FinishImplicit(common::Instant now) {
  if (status_ != TransactionStatus::kIdle) {
    return std::nullopt;
  }
  if (implicit_failed_) {
    implicit_failed_ = false;
    DropPending();
    return std::nullopt;
  }
  return CommitPending(now);
}

void SqlSession::Abort() {
  status_ = TransactionStatus::kIdle;
  read_only_ = false;
  implicit_failed_ = false;
  DropPending();
}

std::optional<SqlError> SqlSession::CommitPending(common::Instant now) {
  if (changes_.empty()) {
    DropPending();
    return std::nullopt;
  }
  if (group_.At(instance_).state.in_recovery) {
    DropPending();
    return MakeError(common::kReadOnlyTransaction, "cannot commit during recovery");
  }
  group_.Commit(instance_, std::move(changes_), now);
  DropPending();
  return std::nullopt;
}

void SqlSession::DropPending() {
  pending_.clear();
  changes_.clear();
  locks_->ReleaseAll(this);
}

std::optional<SqlError> SqlSession::WriteRefusal() const {
  if (read_only_ || group_.At(instance_).state.in_recovery) {
    return MakeError(common::kReadOnlyTransaction,
                     "cannot execute this statement in a read-only transaction");
  }
  return std::nullopt;
}

std::optional<SqlError> SqlSession::LockRow(const std::string& table, RowId row) {
  if (locks_->Acquire(absl::StrCat(table, "#", row), this)) {
    return std::nullopt;
  }
  return MakeError("40001", "could not serialize access due to concurrent update");
}

std::optional<SqlError> SqlSession::LockKey(const std::string& table, const std::string& key) {
  if (locks_->Acquire(absl::StrCat(table, "=", key), this)) {
    return std::nullopt;
  }
  return MakeError("40001", "could not serialize access due to a concurrent insert");
}

const Row* SqlSession::VisibleRow(const std::string& name, const Table& table, RowId row) const {
  const auto pending_table = pending_.find(name);
  if (pending_table != pending_.end()) {
    const auto pending_row = pending_table->second.find(row);
    if (pending_row != pending_table->second.end()) {
      return pending_row->second ? &*pending_row->second : nullptr;
    }
  }
  const auto found = table.rows.find(row);
  return found == table.rows.end() ? nullptr : &found->second;
}

std::vector<RowId> SqlSession::VisibleRows(const std::string& name, const Table& table) const {
  std::vector<RowId> ids;
  for (const auto& [id, row] : table.rows) {
    if (VisibleRow(name, table, id) != nullptr) {
      ids.push_back(id);
    }
  }
  const auto pending_table = pending_.find(name);
  if (pending_table != pending_.end()) {
    for (const auto& [id, row] : pending_table->second) {
      if (row && !table.rows.contains(id)) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

void SqlSession::Write(const std::string& table, RowId row, std::optional<Row> content) {
  pending_[table][row] = content;
  Change change;
  change.table = table;
  change.row = row;
  change.content = std::move(content);
  changes_.push_back(std::move(change));
}

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

StatementResult SqlSession::RunCreate(const json& node) {
  const std::string name = RelationName(node);
  const bool pending = std::any_of(changes_.begin(), changes_.end(), [&](const Change& change) {
    return change.created && change.table == name;
  });
  if (FindTable(name) != nullptr || pending) {
    if (node.value("if_not_exists", false)) {
      return ResultSet{{}, {}, "CREATE TABLE"};
    }
    return MakeError("42P07", absl::StrCat("relation \"", name, "\" already exists"));
  }
  TableDefinition definition;
  for (const json& element : node.value("tableElts", json::array())) {
    if (!element.contains("ColumnDef")) {
      return MakeError(common::kFeatureNotSupported, "the stand-in takes only column constraints");
    }
    const json& column_node = element.at("ColumnDef");
    const auto type = ReadTypeName(column_node.at("typeName"));
    if (!IsOk(type)) {
      return ErrorOf(type);
    }
    Column column{column_node.value("colname", ""), ValueOf(type), false};
    for (const json& constraint : column_node.value("constraints", json::array())) {
      const std::string kind = constraint.at("Constraint").value("contype", "");
      column.not_null = column.not_null || kind == "CONSTR_NOTNULL" || kind == "CONSTR_PRIMARY";
      if (kind == "CONSTR_PRIMARY") {
        definition.primary_key = definition.columns.size();
      }
    }
    definition.columns.push_back(std::move(column));
  }
  Change change;
  change.table = name;
  change.created = std::move(definition);
  changes_.push_back(std::move(change));
  return ResultSet{{}, {}, "CREATE TABLE"};
}

StatementResult SqlSession::RunDrop(const json& node) {
  for (const json& object : node.at("objects")) {
    const json& list = object.contains("List") ? object.at("List").at("items") : json::array();
    const std::string name = list.empty() ? "" : Evaluator::LastName(list);
    if (FindTable(name) == nullptr) {
      if (node.value("missing_ok", false)) {
        continue;
      }
      return UnknownTable(name);
    }
    Change change;
    change.table = name;
    change.dropped = true;
    changes_.push_back(std::move(change));
  }
  return ResultSet{{}, {}, "DROP TABLE"};
}

StatementResult SqlSession::RunShow(const json& node) {
  const std::string name = node.value("name", "");
  const auto found = settings_.find(name);
  std::string value = found == settings_.end() ? "" : found->second;
  if (name == "transaction_read_only") {
    value = read_only_ || group_.At(instance_).state.in_recovery ? "on" : "off";
  }
  return ResultSet{{{name, ColumnType::kText}}, {{Value{value}}}, "SHOW"};
}

StatementResult SqlSession::RunSet(const json& node) {
  const std::string kind = node.value("kind", "");
  const std::string name = node.value("name", "");
  if (kind == "VAR_RESET_ALL") {
    settings_.clear();
    return ResultSet{{}, {}, "RESET"};
  }
  std::string value;
  for (const json& argument : node.value("args", json::array())) {
    const Evaluator evaluator(group_.At(instance_));
    const EvaluationResult evaluated = evaluator.Evaluate(argument, {});
    if (!IsOk(evaluated)) {
      return ErrorOf(evaluated);
    }
    absl::StrAppend(&value, value.empty() ? "" : ",", ToText(ValueOf(evaluated)).value_or(""));
  }
  settings_[name] = value;
  return ResultSet{{}, {}, absl::StartsWith(kind, "VAR_RESET") ? "RESET" : "SET"};
}

}  // namespace valvekeel::standin
