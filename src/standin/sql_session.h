// The stand-in database's small SQL, evaluated over PostgreSQL's parse trees.
//
// Owns: one session's open transaction and row locks. Invariant: a transaction's changes are seen
// by others only after its commit; a failed transaction changes nothing. Thread: its host's.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sql/parse_tree.h"
#include "standin/database_group.h"
#include "wire/messages.h"

namespace valvekeel::standin {

struct ResultColumn {
  std::string name;
  ColumnType type = ColumnType::kText;
};

/// What one statement returned.
struct ResultSet {
  std::vector<ResultColumn> columns;  // none: the statement returns no rows
  std::vector<Row> rows;
  std::string tag;
};

struct EvaluationScope;

using StatementResult = common::Result<ResultSet, SqlError>;

/// Rows and keys that open transactions of one instance hold.
class LockTable {
 public:
  /// @return false if another owner holds the lock.
  bool Acquire(const std::string& name, const void* owner);
  void ReleaseAll(const void* owner);

 private:
  std::map<std::string, const void*> holders_;
};

/// Runs statements of one connection on one instance.
class SqlSession {
 public:
  /// @param group outlives every call. @param locks shared by the instance's sessions.
  SqlSession(DatabaseGroup& group, std::size_t instance, std::shared_ptr<LockTable> locks);
  ~SqlSession();
  SqlSession(const SqlSession&) = delete;
  SqlSession& operator=(const SqlSession&) = delete;

  /// Runs one statement. Outside a block the caller ends the implicit transaction with
  /// FinishImplicit.
  StatementResult Execute(const sql::ParsedStatement& statement,
                          const std::vector<Value>& parameters, common::Instant now);

  /// @return the columns the statement would return.
  common::Result<std::vector<ResultColumn>, SqlError> Describe(
      const sql::ParsedStatement& statement);

  /// Commits, or after an error rolls back, the statements run outside a transaction block.
  /// @return an error if the commit is refused.
  std::optional<SqlError> FinishImplicit(common::Instant now);

  /// Rolls back whatever is open.
  void Abort();

  wire::TransactionStatus Status() const { return status_; }

 private:
  friend class Evaluator;
  using PendingRows = std::map<RowId, std::optional<Row>>;

  StatementResult Dispatch(const sql::ParsedStatement& statement,
                           const std::vector<Value>& parameters, common::Instant now);
  StatementResult RunTransactionStatement(const nlohmann::json& node, common::Instant now);
  StatementResult RunSelect(const nlohmann::json& node, const std::vector<Value>& parameters);
  StatementResult RunInsert(const nlohmann::json& node, const std::vector<Value>& parameters);
  StatementResult RunUpdate(const nlohmann::json& node, const std::vector<Value>& parameters);
  StatementResult RunDelete(const nlohmann::json& node, const std::vector<Value>& parameters);
  StatementResult RunCreate(const nlohmann::json& node);
  StatementResult RunDrop(const nlohmann::json& node);
  StatementResult RunShow(const nlohmann::json& node);
  void KeepConfigured(const std::vector<nlohmann::json>& expressions, const EvaluationScope& scope);
  StatementResult RunSet(const nlohmann::json& node);

  common::Result<Row, SqlError> BuildRow(const Table& table, const nlohmann::json& node,
                                         const nlohmann::json& values,
                                         const std::vector<Value>& parameters);
  bool KeyExists(const std::string& name, const Table& table, const std::string& key);
  std::optional<SqlError> WriteRefusal() const;
  std::optional<SqlError> LockRow(const std::string& table, RowId row);
  std::optional<SqlError> LockKey(const std::string& table, const std::string& key);
  common::Result<std::vector<RowId>, SqlError> Matching(const std::string& name, const Table& table,
                                                        const nlohmann::json& node,
                                                        const std::vector<Value>& parameters);
  const Row* VisibleRow(const std::string& name, const Table& table, RowId row) const;
  std::vector<RowId> VisibleRows(const std::string& name, const Table& table) const;
  const Table* FindTable(const std::string& name) const;
  void Write(const std::string& table, RowId row, std::optional<Row> content);
  std::optional<SqlError> CommitPending(common::Instant now);
  void DropPending();

  DatabaseGroup& group_;
  std::size_t instance_;
  std::shared_ptr<LockTable> locks_;
  wire::TransactionStatus status_ = wire::TransactionStatus::kIdle;
  bool read_only_ = false;
  bool implicit_failed_ = false;
  std::map<std::string, PendingRows> pending_;
  std::vector<Change> changes_;
  std::map<std::string, std::string> settings_;
};

}  // namespace valvekeel::standin
