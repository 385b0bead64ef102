#include "pool/run_plan.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "common/text.h"

namespace valvekeel::pool {
namespace {

constexpr std::size_t kMaxInternalStatements = 3;  // BEGIN, the request id, COMMIT

Statement RecordRequestStatement(const std::string& request_id) {
  Statement statement = TextStatement(
      absl::StrCat("INSERT INTO ", common::ToAbsl(kRequestTable), " (id) VALUES ($1)"));
  statement.parameters.emplace_back(request_id);
  return statement;
}

Statement SetConfigStatement(const SessionSetting& setting) {
  Statement statement = TextStatement("SELECT set_config($1, $2, false)");
  statement.parameters.emplace_back(setting.name);
  statement.parameters.emplace_back(setting.value);
  return statement;
}

/// Appends an internal statement. @return its index in `plan.commands`.
std::size_t AddInternal(Statement statement, RunPlan& plan) {
  plan.internal.push_back(std::move(statement));
  plan.commands.push_back({&plan.internal.back(), false});
  return plan.commands.size() - 1;
}

}  // namespace

Statement TextStatement(std::string text) {
  Statement statement;
  statement.text = std::move(text);
  return statement;
}

std::vector<Statement> SettingsStatements(const std::vector<SessionSetting>& settings) {
  std::vector<Statement> statements = {TextStatement("RESET ALL")};
  for (const SessionSetting& setting : settings) {
    statements.push_back(SetConfigStatement(setting));
  }
  return statements;
}

RunPlan BuildRunPlan(const BatchRequest& request, const RunPlanOptions& options) {
  RunPlan plan;
  plan.internal.reserve(kMaxInternalStatements);
  if (options.check_position) {
    plan.position_check = plan.commands.size();
    plan.commands.push_back({&backend::ProbeStatement(), true});
  }
  const bool add_transaction =
      options.record_request && !options.in_transaction && !request.opens_transaction;
  if (add_transaction) {
    AddInternal(TextStatement("BEGIN"), plan);
  }
  const std::size_t record_index = request.opens_transaction ? 1 : 0;
  for (std::size_t i = 0; i <= request.statements.size(); ++i) {
    if (options.record_request && i == record_index) {
      plan.request_record = AddInternal(RecordRequestStatement(request.request_id), plan);
    }
    if (i < request.statements.size()) {
      plan.caller_statements.push_back(plan.commands.size());
      plan.commands.push_back({&request.statements[i], false});
    }
  }
  if (add_transaction) {
    plan.added_commit = AddInternal(TextStatement("COMMIT"), plan);
  }
  plan.commands.back().sync_after = true;
  plan.final_probe = plan.commands.size();
  plan.commands.push_back({&backend::ProbeStatement(), true});
  return plan;
}

}  // namespace valvekeel::pool
