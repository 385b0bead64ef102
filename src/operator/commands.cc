#include "operator/commands.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <httplib.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "bounded_json/bounded_json.h"
#include "check/history_check.h"
#include "check/summary.h"
#include "explain/explain.h"
#include "explain/summary.h"
#include "history/event.h"

namespace valvekeel::operator_tools {
namespace {

using nlohmann::json;

constexpr int kFinding = 1;
constexpr int kUnreadable = 2;
constexpr std::int64_t kGapWindowUs = 10'000'000;
constexpr std::size_t kMostShown = 5;  // violations printed for each invariant
constexpr int kHttpOk = 200;
constexpr time_t kAnswerSeconds = 5;

std::optional<std::vector<history::Event>> Load(const std::string& path) {
  auto events = history::ReadHistory(path);
  if (common::IsOk(events)) {
    return std::move(common::ValueOf(events));
  }
  const history::HistoryError& error = common::ErrorOf(events);
  std::cerr << path << ":" << error.line << ": " << error.reason << "\n";
  return std::nullopt;
}

std::optional<explain::LogSet> LoadLogs(const std::vector<std::string>& paths) {
  explain::LogSet logs;
  for (const std::string& path : paths) {
    std::ifstream file;
    if (path != "-") {
      file.open(path);
      if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
      }
    }
    std::istream& input = path == "-" ? std::cin : file;
    explain::ReadLog(std::string(std::istreambuf_iterator<char>(input), {}), logs);
  }
  return logs;
}

json ReportJson(const check::InvariantReport& report) {
  json violations = json::array();
  for (const check::Violation& violation : report.violations) {
    json events = json::array();
    for (const history::Event& event : violation.events) {
      events.push_back(json::parse(history::FormatEvent(event)));
    }
    violations.push_back({{"what", violation.what}, {"events", std::move(events)}});
  }
  return {{"invariant", report.name},
          {"checked", report.checked},
          {"violations", std::move(violations)}};
}

void PrintReport(const check::InvariantReport& report) {
  const char* verdict = "holds";
  if (!report.violations.empty()) {
    verdict = "BROKEN";
  } else if (report.checked == 0) {
    verdict = "nothing to check";
  }
  std::cout << absl::StrFormat("%-30s %9u checked %6u violations  %s\n", report.name,
                               report.checked, report.violations.size(), verdict);
  for (std::size_t i = 0; i < std::min(kMostShown, report.violations.size()); ++i) {
    std::cout << "  " << report.violations[i].what << "\n";
    for (const history::Event& event : report.violations[i].events) {
      std::cout << "    " << history::FormatEvent(event) << "\n";
    }
  }
}

json SummaryJson(const check::Summary& summary) {
  json gaps = json::array();
  for (const check::WriteGap& gap : summary.gaps) {
    gaps.push_back({{"mark", gap.mark}, {"marked_us", gap.marked_us}, {"gap_us", gap.gap_us}});
  }
  return {{"requests", summary.requests},
          {"acknowledged", summary.acknowledged},
          {"errors", summary.errors},
          {"read_us", {{"median", summary.median_read_us}, {"p99", summary.high_read_us}}},
          {"write_us", {{"median", summary.median_write_us}, {"p99", summary.high_write_us}}},
          {"gaps", std::move(gaps)}};
}

void PrintRows(const std::string& title, const json& rows,
               const std::vector<std::string>& columns) {
  std::cout << title << "\n";
  for (const std::string& column : columns) {
    std::cout << absl::StrFormat("  %-14s", column);
  }
  std::cout << "\n";
  for (const json& row : rows) {
    for (const std::string& column : columns) {
      const json& value = row.at(column);
      const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
      std::cout << absl::StrFormat("  %-14s", text);
    }
    std::cout << "\n";
  }
}

/// Throws json::exception for a status of another form.
void PrintStatus(const json& status) {
  std::cout << absl::StrFormat(
      "daemon %s in %s, %d sessions, relay %s, platform %s\n", status.value("id", ""),
      status.value("zone", ""), status.value("sessions", 0),
      status.value("relay", false) ? "yes" : "no",
      status.value("platform_reachable", false) ? "reachable" : "not read");
  PrintRows("members", status.at("members"), {"id", "zone", "state"});
  PrintRows("databases", status.at("databases"), {"name", "term", "primary", "version"});
  PrintRows("share groups", status.at("share_groups"), {"name", "share", "version"});
  PrintRows("pools", status.at("pools"),
            {"database", "instance", "role", "connections", "open_transactions", "in_flight",
             "replay_lag_us"});
}

}  // namespace

int RunCheck(const std::string& path, OutputFormat format) {
  const auto events = Load(path);
  if (!events) {
    return kUnreadable;
  }
  const auto reports = check::CheckHistory(*events, check::CheckLimits{});
  const bool holds = check::AllHold(reports);
  if (format == OutputFormat::kJson) {
    json list = json::array();
    for (const check::InvariantReport& report : reports) {
      list.push_back(ReportJson(report));
    }
    std::cout << json{{"holds", holds}, {"invariants", std::move(list)}}.dump() << "\n";
  } else {
    for (const check::InvariantReport& report : reports) {
      PrintReport(report);
    }
    std::cout << (holds ? "verdict: every invariant holds\n" : "verdict: BROKEN\n");
  }
  return holds ? 0 : kFinding;
}

int RunReport(const std::string& path, OutputFormat format) {
  const auto events = Load(path);
  if (!events) {
    return kUnreadable;
  }
  const check::Summary summary = check::Summarize(*events, kGapWindowUs);
  if (format == OutputFormat::kJson) {
    std::cout << SummaryJson(summary).dump() << "\n";
    return 0;
  }
  std::cout << absl::StrFormat("requests      %u\nacknowledged  %u\n", summary.requests,
                               summary.acknowledged);
  for (const auto& [sqlstate, count] : summary.errors) {
    std::cout << absl::StrFormat("error %-7s %u\n", sqlstate, count);
  }
  std::cout << absl::StrFormat("reads   median %d us, 99%% %d us\n", summary.median_read_us,
                               summary.high_read_us);
  std::cout << absl::StrFormat("writes  median %d us, 99%% %d us\n", summary.median_write_us,
                               summary.high_write_us);
  for (const check::WriteGap& gap : summary.gaps) {
    std::cout << absl::StrFormat("gap of writes around %s: %d us\n", gap.mark, gap.gap_us);
  }
  return 0;
}

int RunStatus(const std::string& address, OutputFormat format) {
  const std::vector<std::string> parts = absl::StrSplit(address, ':');
  if (parts.size() != 2) {
    std::cerr << "\"" << address << "\" is not host:port\n";
    return kUnreadable;
  }
  httplib::Client client("http://" + address);
  client.set_connection_timeout(kAnswerSeconds);
  client.set_read_timeout(kAnswerSeconds);
  const auto answer = client.Get("/status");
  if (!answer || answer->status != kHttpOk) {
    std::cerr << "the daemon at " << address << " does not answer\n";
    return kFinding;
  }
  const auto status = bounded_json::parse(answer->body);
  if (format == OutputFormat::kJson || !status || !status->is_object()) {
    std::cout << answer->body << "\n";
    return 0;
  }
  try {
    PrintStatus(*status);
  } catch (const json::exception& error) {
    std::cerr << "the status of " << address << " cannot be read: " << error.what() << "\n";
    return kUnreadable;
  }
  return 0;
}

int RunExplain(const std::string& request, const std::vector<std::string>& paths,
               OutputFormat format) {
  const auto logs = LoadLogs(paths);
  if (!logs) {
    return kUnreadable;
  }
  const explain::Explanation account = explain::Explain(*logs, request);
  std::cout << (format == OutputFormat::kJson
                    ? explain::FormatJson(account, logs->unreadable) + "\n"
                    : explain::FormatText(account, logs->unreadable));
  return account.request_lines.empty() ? kFinding : 0;
}

int RunSummary(const std::vector<std::string>& paths, std::chrono::seconds window,
               OutputFormat format) {
  const auto logs = LoadLogs(paths);
  if (!logs) {
    return kUnreadable;
  }
  const explain::LogSummary summary = explain::Summarize(*logs, window);
  std::cout << (format == OutputFormat::kJson ? explain::FormatJson(summary) + "\n"
                                              : explain::FormatText(summary));
  return summary.lines == 0 ? kUnreadable : 0;
}

}  // namespace valvekeel::operator_tools
