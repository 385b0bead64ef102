// The command that replays a trace of load through the decisions on waiting work.

#include <absl/strings/str_format.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "operator/commands.h"
#include "waiting/replay.h"
#include "waiting/trace.h"

namespace valvekeel::operator_tools {
namespace {

using nlohmann::json;

constexpr int kFinding = 1;
constexpr int kUnreadable = 2;
constexpr const char* kAll = "*";
constexpr const char* kFigures[] = {"callers",  "in_time",      "late",      "refused",
                                    "refusals", "held_in_vain", "refusal_ms"};
constexpr const char* kFiguresOfAll[] = {"most_waiting", "most_returning"};

/// A policy's name and outcome.
struct Played {
  const char* name = "";
  waiting::replay_result result;
};

std::string ShownTenant(const std::string& tenant) { return tenant.empty() ? "-" : tenant; }

json FiguresOf(const waiting::replay_result& result, const std::string& tenant) {
  json figures = json::object();
  for (const char* name : kFigures) {
    figures[name] = waiting::figure(result, tenant, name).value_or(0);
  }
  return figures;
}

json ResultJson(const waiting::replay_result& result) {
  json all = FiguresOf(result, kAll);
  for (const char* name : kFiguresOfAll) {
    all[name] = waiting::figure(result, kAll, name).value_or(0);
  }
  json tenants = json::object();
  for (const auto& [tenant, outcome] : result.by_tenant) {
    tenants[ShownTenant(tenant)] = FiguresOf(result, ShownTenant(tenant));
  }
  return {{"all", std::move(all)}, {"tenants", std::move(tenants)}};
}

void PrintRow(const Played& played, const std::string& tenant) {
  std::cout << absl::StrFormat("%-10s %-16s", played.name, tenant);
  for (const char* name : kFigures) {
    std::cout << absl::StrFormat(" %12.0f",
                                 waiting::figure(played.result, tenant, name).value_or(0));
  }
  std::cout << "\n";
}

void PrintTable(const std::vector<Played>& all) {
  std::cout << absl::StrFormat("%-10s %-16s", "decisions", "tenant");
  for (const char* name : kFigures) {
    std::cout << absl::StrFormat(" %12s", name);
  }
  std::cout << "\n";
  for (const Played& played : all) {
    PrintRow(played, kAll);
    for (const auto& [tenant, outcome] : played.result.by_tenant) {
      PrintRow(played, ShownTenant(tenant));
    }
    std::cout << absl::StrFormat("%-10s most waiting %u, most back within 50 ms %u\n", played.name,
                                 played.result.most_waiting, played.result.most_returning);
  }
}

std::string Text(const waiting::expected_outcome& expected) {
  return absl::StrFormat("%s of %s %s %g", expected.figure, expected.tenant,
                         expected.at_least ? "at least" : "at most", expected.value);
}

}  // namespace

int RunReplayWaiting(const std::string& path, OutputFormat format) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return kUnreadable;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto parsed = waiting::parse_trace(text);
  if (!common::IsOk(parsed)) {
    const waiting::trace_error& error = common::ErrorOf(parsed);
    std::cerr << path << ":" << error.line << ": " << error.reason << "\n";
    return kUnreadable;
  }
  const waiting::trace& trace = common::ValueOf(parsed);
  const std::vector<Played> played = {
      {"standing", waiting::replay(trace, waiting::policy::baseline)},
      {"fair", waiting::replay(trace, waiting::policy::fair)}};
  const auto missed = waiting::unmet_expectations(trace, played.back().result);
  if (format == OutputFormat::kJson) {
    json out = json::object();
    for (const Played& each : played) {
      out[each.name] = ResultJson(each.result);
    }
    out["missed"] = json::array();
    for (const waiting::expected_outcome& each : missed) {
      out["missed"].push_back(Text(each));
    }
    std::cout << out.dump() << "\n";
  } else {
    PrintTable(played);
    for (const waiting::expected_outcome& each : missed) {
      std::cout << "missed: " << Text(each) << "\n";
    }
  }
  return missed.empty() ? 0 : kFinding;
}

}  // namespace valvekeel::operator_tools
