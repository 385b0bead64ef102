#include "standin/sql_session.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "common/sqlstate.h"
#include "standin/evaluator.h"
#include "standin/projection.h"

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
