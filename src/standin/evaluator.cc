#include "standin/evaluator.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

#include "common/sqlstate.h"
#include "common/text.h"

namespace valvekeel::standin {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::ValueOf;
using nlohmann::json;

constexpr std::string_view kUndefinedColumn = "42703";
constexpr std::string_view kUndefinedFunction = "42883";
constexpr std::string_view kDivisionByZero = "22012";
constexpr std::array<std::string_view, 5> kAggregates = {"count", "sum", "min", "max", "avg"};

SqlError Unsupported(std::string_view what) {
  return {std::string(common::kFeatureNotSupported),
          absl::StrCat("the stand-in database does not support ", common::ToAbsl(what))};
}

Value LsnValue(common::Lsn lsn) { return common::FormatLsn(lsn); }

bool IsComparison(const std::string& name) {
  return name == "=" || name == "<>" || name == "<" || name == ">" || name == "<=" || name == ">=";
}

bool ComparisonHolds(const std::string& name, int order) {
  if (name == "=") {
    return order == 0;
  }
  if (name == "<>") {
    return order != 0;
  }
  if (name == "<") {
    return order < 0;
  }
  if (name == ">") {
    return order > 0;
  }
  return name == "<=" ? order <= 0 : order >= 0;
}

EvaluationResult IntegerArithmetic(char operation, std::int64_t left, std::int64_t right) {
  switch (operation) {
    case '+':
      return Value{left + right};
    case '-':
      return Value{left - right};
    case '*':
      return Value{left * right};
    default:
      break;
  }
  if (right == 0) {
    return SqlError{std::string(kDivisionByZero), "division by zero"};
  }
  return Value{operation == '%' ? left % right : left / right};
}

EvaluationResult Arithmetic(const std::string& name, const Value& left, const Value& right) {
  if (IsNull(left) || IsNull(right)) {
    return Value{};
  }
  if (name == "||") {
    return Value{absl::StrCat(*ToText(left), *ToText(right))};
  }
  if (name.size() != 1 || std::string_view("+-*/%").find(name[0]) == std::string_view::npos) {
    return Unsupported(absl::StrCat("operator ", name));
  }
  const bool real = std::holds_alternative<double>(left) || std::holds_alternative<double>(right);
  const auto type = real ? ColumnType::kDouble : ColumnType::kBigint;
  const auto left_number = Coerce(left, type);
  const auto right_number = Coerce(right, type);
  if (!IsOk(left_number)) {
    return left_number;
  }
  if (!IsOk(right_number)) {
    return right_number;
  }
  if (!real) {
    return IntegerArithmetic(name[0], std::get<std::int64_t>(ValueOf(left_number)),
                             std::get<std::int64_t>(ValueOf(right_number)));
  }
  const double a = std::get<double>(ValueOf(left_number));
  const double b = std::get<double>(ValueOf(right_number));
  switch (name[0]) {
    case '+':
      return Value{a + b};
    case '-':
      return Value{a - b};
    case '*':
      return Value{a * b};
    default:
      return Value{a / b};
  }
}

}  // namespace

bool IsTrue(const Value& value) {
  const auto* flag = std::get_if<bool>(&value);
  return flag != nullptr && *flag;
}

common::Result<ColumnType, SqlError> ReadTypeName(const json& node) {
  const std::string name = Evaluator::LastName(node.at("names"));
  if (name == "text" || name == "varchar" || name == "bpchar" || name == "timestamptz" ||
      name == "timestamp" || name == "pg_lsn" || name == "name") {
    return ColumnType::kText;
  }
  if (name == "int8" || name == "bigserial") {
    return ColumnType::kBigint;
  }
  if (name == "int4" || name == "int2") {
    return ColumnType::kInteger;
  }
  if (name == "bool") {
    return ColumnType::kBoolean;
  }
  if (name == "float8" || name == "float4" || name == "numeric") {
    return ColumnType::kDouble;
  }
  return SqlError{std::string(common::kUndefinedObject),
                  absl::StrCat("type \"", name, "\" is not known to the stand-in database")};
}

std::string Evaluator::LastName(const json& names) {
  const json& last = names.back();
  return last.contains("String") ? last.at("String").value("sval", "") : "";
}

bool Evaluator::IsAggregate(const json& expression) {
  if (!expression.contains("FuncCall")) {
    return false;
  }
  const std::string name = LastName(expression.at("FuncCall").at("funcname"));
  for (const std::string_view aggregate : kAggregates) {
    if (name == aggregate) {
      return true;
    }
  }
  return false;
}

EvaluationResult Evaluator::Evaluate(const json& expression, const EvaluationScope& scope) const {
  const auto item = expression.items().begin();
  const std::string& type = item.key();
  const json& node = item.value();
  if (type == "A_Const") {
    return Constant(node);
  }
  if (type == "ColumnRef") {
    return Column(node, scope);
  }
  if (type == "ParamRef") {
    const std::size_t number = node.value("number", std::size_t{0});
    if (scope.parameters == nullptr || number == 0 || number > scope.parameters->size()) {
      return SqlError{"42P02", absl::StrCat("there is no parameter $", number)};
    }
    return (*scope.parameters)[number - 1];
  }
  if (type == "A_Expr") {
    return node.value("kind", "") == "AEXPR_IN" ? In(node, scope) : Operator(node, scope);
  }
  if (type == "BoolExpr") {
    return Boolean(node, scope);
  }
  if (type == "FuncCall") {
    return Function(node, scope);
  }
  if (type == "CaseExpr") {
    return Case(node, scope);
  }
  if (type == "SubLink") {
    return Subselect(node);
  }
  if (type == "TypeCast") {
    const EvaluationResult value = Evaluate(node.at("arg"), scope);
    const auto target = ReadTypeName(node.at("typeName"));
    if (!IsOk(value)) {
      return value;
    }
    return IsOk(target) ? Coerce(ValueOf(value), ValueOf(target))
                        : EvaluationResult{ErrorOf(target)};
  }
  if (type == "NullTest") {
    const EvaluationResult value = Evaluate(node.at("arg"), scope);
    if (!IsOk(value)) {
      return value;
    }
    return Value{IsNull(ValueOf(value)) == (node.value("nulltesttype", "") == "IS_NULL")};
  }
  if (type == "CoalesceExpr") {
    for (const json& argument : node.at("args")) {
      EvaluationResult value = Evaluate(argument, scope);
      if (!IsOk(value) || !IsNull(ValueOf(value))) {
        return value;
      }
    }
    return Value{};
  }
  return Unsupported(type);
}

EvaluationResult Evaluator::Constant(const json& node) const {
  if (node.contains("ival")) {
    return Value{node.at("ival").value("ival", std::int64_t{0})};
  }
  if (node.contains("sval")) {
    return Value{node.at("sval").value("sval", std::string())};
  }
  if (node.contains("boolval")) {
    return Value{node.at("boolval").value("boolval", false)};
  }
  if (node.contains("fval")) {
    const std::string text = node.at("fval").value("fval", std::string("0"));
    std::int64_t integer = 0;
    if (absl::SimpleAtoi(text, &integer)) {
      return Value{integer};
    }
    return Coerce(Value{text}, ColumnType::kDouble);
  }
  return Value{};
}

EvaluationResult Evaluator::Column(const json& node, const EvaluationScope& scope) const {
  const std::string name = LastName(node.at("fields"));
  const auto index = scope.table == nullptr ? std::nullopt : scope.table->Find(name);
  if (!index) {
    return SqlError{std::string(kUndefinedColumn),
                    absl::StrCat("column \"", name, "\" does not exist")};
  }
  if (scope.row == nullptr) {
    return SqlError{"42803", absl::StrCat("column \"", name, "\" must be in an aggregate")};
  }
  return (*scope.row)[*index];
}

EvaluationResult Evaluator::Operator(const json& node, const EvaluationScope& scope) const {
  const std::string name = LastName(node.at("name"));
  if (!node.contains("lexpr")) {
    const EvaluationResult right = Evaluate(node.at("rexpr"), scope);
    return IsOk(right) ? Arithmetic(name, Value{std::int64_t{0}}, ValueOf(right)) : right;
  }
  const EvaluationResult left = Evaluate(node.at("lexpr"), scope);
  if (!IsOk(left)) {
    return left;
  }
  const EvaluationResult right = Evaluate(node.at("rexpr"), scope);
  if (!IsOk(right)) {
    return right;
  }
  if (!IsComparison(name)) {
    return Arithmetic(name, ValueOf(left), ValueOf(right));
  }
  const auto order = Compare(ValueOf(left), ValueOf(right));
  return order ? Value{ComparisonHolds(name, *order)} : Value{};
}

EvaluationResult Evaluator::In(const json& node, const EvaluationScope& scope) const {
  const EvaluationResult left = Evaluate(node.at("lexpr"), scope);
  if (!IsOk(left)) {
    return left;
  }
  for (const json& item : node.at("rexpr").at("List").at("items")) {
    const EvaluationResult value = Evaluate(item, scope);
    if (!IsOk(value)) {
      return value;
    }
    if (Compare(ValueOf(left), ValueOf(value)) == 0) {
      return Value{LastName(node.at("name")) == "="};
    }
  }
  return Value{LastName(node.at("name")) != "="};
}

EvaluationResult Evaluator::Boolean(const json& node, const EvaluationScope& scope) const {
  const std::string operation = node.value("boolop", "");
  bool unknown = false;
  for (const json& argument : node.at("args")) {
    const EvaluationResult value = Evaluate(argument, scope);
    if (!IsOk(value)) {
      return value;
    }
    if (IsNull(ValueOf(value))) {
      unknown = true;
      continue;
    }
    const bool holds = IsTrue(ValueOf(value));
    if (operation == "NOT_EXPR") {
      return Value{!holds};
    }
    if (holds == (operation == "OR_EXPR")) {
      return Value{holds};
    }
  }
  return unknown ? Value{} : Value{operation == "AND_EXPR"};
}

EvaluationResult Evaluator::Case(const json& node, const EvaluationScope& scope) const {
  for (const json& entry : node.at("args")) {
    const json& when = entry.at("CaseWhen");
    const EvaluationResult condition = Evaluate(when.at("expr"), scope);
    if (!IsOk(condition)) {
      return condition;
    }
    if (IsTrue(ValueOf(condition))) {
      return Evaluate(when.at("result"), scope);
    }
  }
  return node.contains("defresult") ? Evaluate(node.at("defresult"), scope) : Value{};
}

EvaluationResult Evaluator::Subselect(const json& node) const {
  const json& select = node.at("subselect").at("SelectStmt");
  if (node.value("subLinkType", "") != "EXPR_SUBLINK" || !select.contains("fromClause")) {
    return Unsupported("this kind of sub-select");
  }
  const json& from = select.at("fromClause").at(0);
  std::string name;
  if (from.contains("RangeVar")) {
    name = from.at("RangeVar").value("relname", "");
  } else if (from.contains("RangeFunction")) {
    const json& function = from.at("RangeFunction").at("functions").at(0).at("List").at("items");
    name = LastName(function.at(0).at("FuncCall").at("funcname"));
  }
  const auto relation = SystemRelation(name);
  if (!relation) {
    return Unsupported("sub-selects from tables");
  }
  if (relation->second.empty()) {
    return Value{};
  }
  EvaluationScope scope;
  scope.table = &relation->first;
  scope.row = &relation->second.front();
  return Evaluate(select.at("targetList").at(0).at("ResTarget").at("val"), scope);
}

std::optional<std::pair<TableDefinition, std::vector<Row>>> Evaluator::SystemRelation(
    const std::string& name) const {
  const InstanceState& state = instance_.state;
  TableDefinition definition;
  std::vector<Row> rows;
  if (name == "pg_control_checkpoint") {
    definition.columns = {{"timeline_id", ColumnType::kInteger}};
    rows.push_back({Value{static_cast<std::int64_t>(state.term)}});
    return std::make_pair(std::move(definition), std::move(rows));
  }
  if (name == "pg_stat_wal_receiver") {
    definition.columns = {{"received_tli", ColumnType::kInteger}};
    if (state.in_recovery) {
      rows.push_back({Value{static_cast<std::int64_t>(state.term)}});
    }
    return std::make_pair(std::move(definition), std::move(rows));
  }
  return std::nullopt;
}

EvaluationResult Evaluator::SystemFunction(const std::string& name) const {
  const InstanceState& state = instance_.state;
  if (name == "pg_is_in_recovery") {
    return Value{state.in_recovery};
  }
  if (name == "pg_current_wal_lsn") {
    if (state.in_recovery) {
      return SqlError{"55000", "recovery is in progress"};
    }
    return LsnValue(state.received);
  }
  if (name == "pg_last_wal_receive_lsn") {
    return state.in_recovery ? LsnValue(state.received) : Value{};
  }
  if (name == "pg_last_wal_replay_lsn") {
    return state.in_recovery ? LsnValue(state.replayed) : Value{};
  }
  if (name == "version") {
    return Value{std::string("PostgreSQL 15 (valvekeel stand-in)")};
  }
  return SqlError{std::string(kUndefinedFunction),
                  absl::StrCat("function ", name, "() is not known to the stand-in database")};
}

EvaluationResult Evaluator::Function(const json& node, const EvaluationScope& scope) const {
  const std::string name = LastName(node.at("funcname"));
  if (IsAggregate(json{{"FuncCall", node}})) {
    return Aggregate(name, node, scope);
  }
  std::vector<Value> arguments;
  if (node.contains("args")) {
    for (const json& argument : node.at("args")) {
      EvaluationResult value = Evaluate(argument, scope);
      if (!IsOk(value)) {
        return value;
      }
      arguments.push_back(ValueOf(value));
    }
  }
  if (name == "set_config" && arguments.size() == 3) {
    return arguments[1];
  }
  if ((name == "lower" || name == "upper" || name == "length") && arguments.size() == 1) {
    if (IsNull(arguments[0])) {
      return Value{};
    }
    const std::string text = *ToText(arguments[0]);
    if (name == "length") {
      return Value{static_cast<std::int64_t>(text.size())};
    }
    return Value{name == "lower" ? absl::AsciiStrToLower(text) : absl::AsciiStrToUpper(text)};
  }
  return SystemFunction(name);
}

EvaluationResult Evaluator::Aggregate(const std::string& name, const json& node,
                                      const EvaluationScope& scope) const {
  if (scope.group == nullptr) {
    return SqlError{"42803", "aggregate functions are not allowed here"};
  }
  std::int64_t count = 0;
  Value total;
  for (const Row& row : *scope.group) {
    EvaluationScope row_scope = scope;
    row_scope.row = &row;
    row_scope.group = nullptr;
    if (node.value("agg_star", false)) {
      ++count;
      continue;
    }
    const EvaluationResult value = Evaluate(node.at("args").at(0), row_scope);
    if (!IsOk(value)) {
      return value;
    }
    if (IsNull(ValueOf(value))) {
      continue;
    }
    ++count;
    const bool adds = name == "sum" || name == "avg";
    const int wanted_order = name == "min" ? -1 : 1;
    if (!IsNull(total) && adds) {
      total = ValueOf(Arithmetic("+", total, ValueOf(value)));
    } else if (IsNull(total) || Compare(ValueOf(value), total) == wanted_order) {
      total = ValueOf(value);
    }
  }
  if (name == "count") {
    return Value{count};
  }
  if (name == "avg" && count > 0) {
    return Value{std::get<double>(ValueOf(Coerce(total, ColumnType::kDouble))) /
                 static_cast<double>(count)};
  }
  return total;
}

ColumnType Evaluator::TypeOf(const json& expression, const TableDefinition* table) const {
  const auto item = expression.items().begin();
  const std::string& type = item.key();
  const json& node = item.value();
  if (type == "ColumnRef" && table != nullptr) {
    const auto index = table->Find(LastName(node.at("fields")));
    return index ? table->columns[*index].type : ColumnType::kText;
  }
  if (type == "A_Const") {
    if (node.contains("ival")) {
      return ColumnType::kInteger;
    }
    if (node.contains("fval")) {
      return ColumnType::kDouble;
    }
    return node.contains("boolval") ? ColumnType::kBoolean : ColumnType::kText;
  }
  if (type == "TypeCast") {
    const auto target = ReadTypeName(node.at("typeName"));
    return IsOk(target) ? ValueOf(target) : ColumnType::kText;
  }
  if (type == "BoolExpr" || type == "NullTest") {
    return ColumnType::kBoolean;
  }
  if (type == "A_Expr") {
    const std::string name = LastName(node.at("name"));
    if (IsComparison(name) || !node.contains("lexpr")) {
      return IsComparison(name) ? ColumnType::kBoolean : TypeOf(node.at("rexpr"), table);
    }
    return name == "||" ? ColumnType::kText : TypeOf(node.at("lexpr"), table);
  }
  if (type == "FuncCall") {
    const std::string name = LastName(node.at("funcname"));
    if (name == "count" || name == "length") {
      return ColumnType::kBigint;
    }
    if (name == "pg_is_in_recovery") {
      return ColumnType::kBoolean;
    }
    if (name == "avg") {
      return ColumnType::kDouble;
    }
    if (IsAggregate(expression) && node.contains("args")) {
      const ColumnType argument = TypeOf(node.at("args").at(0), table);
      return name == "sum" && argument == ColumnType::kInteger ? ColumnType::kBigint : argument;
    }
  }
  if (type == "CoalesceExpr") {
    return TypeOf(node.at("args").at(0), table);
  }
  return ColumnType::kText;
}

}  // namespace valvekeel::standin
