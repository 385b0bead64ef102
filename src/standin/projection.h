// Output columns of a target list and their values.
//
// Owns: nothing. Invariant: a projection has as many expressions as columns. Thread: any.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "standin/evaluator.h"
#include "standin/sql_session.h"

namespace valvekeel::standin {

/// Output columns with the expression that gives each.
struct Projection {
  std::vector<ResultColumn> columns;
  std::vector<nlohmann::json> expressions;
};

/// @param table what a star stands for, null without FROM.
Projection BuildProjection(const nlohmann::json& targets, const TableDefinition* table,
                           const Evaluator& evaluator);

/// @return one output row.
common::Result<Row, SqlError> Project(const Projection& projection, const EvaluationScope& scope,
                                      const Evaluator& evaluator);

}  // namespace valvekeel::standin
