#include "standin/projection.h"

#include <string>
#include <utility>

namespace valvekeel::standin {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::ValueOf;
using nlohmann::json;

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

}  // namespace

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

common::Result<Row, SqlError> Project(const Projection& projection, const EvaluationScope& scope,
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

}  // namespace valvekeel::standin
