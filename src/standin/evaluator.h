// Expression evaluation over PostgreSQL's parse trees.
//
// Owns: nothing; borrows the row, the table and the parameters. Invariant: has no side effects.
// Thread: its session's.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/database_group.h"
#include "standin/sql_session.h"

namespace valvekeel::standin {

using EvaluationResult = common::Result<Value, SqlError>;

/// What names in an expression refer to.
struct EvaluationScope {
  const TableDefinition* table = nullptr;
  const Row* row = nullptr;
  const std::vector<Row>* group = nullptr;  // rows under an aggregate
  const std::vector<Value>* parameters = nullptr;
};

/// Evaluates expressions for one instance.
class Evaluator {
 public:
  explicit Evaluator(const Instance& instance) : instance_(instance) {}

  /// @return the expression's value or the reason it cannot be evaluated.
  EvaluationResult Evaluate(const nlohmann::json& expression, const EvaluationScope& scope) const;

  /// @return the type that the expression's result has.
  ColumnType TypeOf(const nlohmann::json& expression, const TableDefinition* table) const;

  /// @return the rows and columns of a system view or function in FROM, or nothing.
  std::optional<std::pair<TableDefinition, std::vector<Row>>> SystemRelation(
      const std::string& name) const;

  /// @return true if the expression calls an aggregate function.
  static bool IsAggregate(const nlohmann::json& expression);

  /// @return the last part of a (qualified) name list.
  static std::string LastName(const nlohmann::json& names);

 private:
  EvaluationResult Constant(const nlohmann::json& node) const;
  EvaluationResult Column(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult Operator(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult In(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult Boolean(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult Function(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult SystemFunction(const std::string& name) const;
  EvaluationResult Aggregate(const std::string& name, const nlohmann::json& node,
                             const EvaluationScope& scope) const;
  EvaluationResult Case(const nlohmann::json& node, const EvaluationScope& scope) const;
  EvaluationResult Subselect(const nlohmann::json& node) const;

  const Instance& instance_;
};

/// @return true if the value is the boolean true.
bool IsTrue(const Value& value);

/// @return the column type for a parse tree's type name, or 42704.
common::Result<ColumnType, SqlError> ReadTypeName(const nlohmann::json& node);

}  // namespace valvekeel::standin
