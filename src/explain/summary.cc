#include "explain/summary.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace valvekeel::explain {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kRetryAfter = "retry_after_ms=";
constexpr std::size_t kMaxTableRows = 12;

std::string Field(const LogLine& line, const std::string& name) {
  const auto found = line.fields.find(name);
  return found != line.fields.end() && found->is_string() ? found->get<std::string>() : "";
}

milliseconds TimeOf(const LogLine& line) {
  return milliseconds(line.fields.value("time_ms", std::int64_t{0}));
}

/// @return the reason without the retry-after time at its start.
std::string StripRetryAfter(const std::string& reason) {
  if (!reason.starts_with(kRetryAfter)) {
    return reason;
  }
  const std::size_t blank = reason.find(' ');
  return blank == std::string::npos ? "" : reason.substr(blank + 1);
}

milliseconds FirstTime(const LogSet& logs) {
  std::optional<milliseconds> first;
  for (const LogLine& line : logs.lines) {
    const milliseconds time = TimeOf(line);
    first = first && *first <= time ? first : time;
  }
  return first.value_or(milliseconds(0));
}

/// Replacements and losses of primaries in one incarnation of a process.
struct ProcessState {
  std::map<std::string, Replacement> open;       // by service
  std::map<std::string, std::int64_t> lost_at;   // monotonic ms, by service
  std::map<std::string, std::int64_t> begun_at;  // monotonic ms, by service
};

class Summarizer {
 public:
  Summarizer(milliseconds first, seconds window) : first_(first), window_(window) {}

  void AddLine(const LogLine& line) {
    ProcessState& state = processes_[{line.process, line.incarnation}];
    const std::string service = Field(line, "service");
    if (line.event == "request_failed" || line.event == "request_turned_away") {
      AddFailure(line, service);
    } else if (line.event == "primary_lost") {
      state.lost_at.try_emplace(service, line.monotonic_ms);
    } else if (line.event == "primary_regained") {
      state.lost_at.erase(service);
    } else if (line.event == "failover_started") {
      BeginReplacement(line, service, state);
    } else if (line.event == "failover_step" && state.open.contains(service)) {
      state.open[service].steps.push_back(
          {Field(line, "step"), TimeSinceBegin(line, service, state)});
    } else if (line.event == "failover_ended" && state.open.contains(service)) {
      EndReplacement(line, service, state);
    }
  }

  LogSummary Finish(std::size_t lines, std::size_t unreadable) {
    for (auto& [process, state] : processes_) {
      for (auto& [service, replacement] : state.open) {
        summary_.replacements.push_back(std::move(replacement));
      }
    }
    std::sort(summary_.replacements.begin(), summary_.replacements.end(),
              [](const Replacement& a, const Replacement& b) {
                return std::tie(a.started, a.process) < std::tie(b.started, b.process);
              });
    summary_.lines = lines;
    summary_.unreadable = unreadable;
    return std::move(summary_);
  }

 private:
  void AddFailure(const LogLine& line, const std::string& service) {
    const auto elapsed = std::chrono::duration_cast<seconds>(TimeOf(line) - first_);
    const FailureGroup group{elapsed / window_ * window_, service, line.process,
                             Field(line, "error"), StripRetryAfter(Field(line, "reason"))};
    ++summary_.failures[group];
    summary_.suppressed[line.process] += line.fields.value("suppressed_before", std::uint64_t{0});
  }

  void BeginReplacement(const LogLine& line, const std::string& service, ProcessState& state) {
    Replacement replacement;
    replacement.process = line.process;
    replacement.service = service;
    replacement.reason = Field(line, "reason");
    replacement.former_primary = Field(line, "primary");
    replacement.started = TimeOf(line) - first_;
    state.open[service] = std::move(replacement);
    state.begun_at[service] = line.monotonic_ms;
  }

  static milliseconds TimeSinceBegin(const LogLine& line, const std::string& service,
                                     ProcessState& state) {
    return milliseconds(line.monotonic_ms - state.begun_at[service]);
  }

  void EndReplacement(const LogLine& line, const std::string& service, ProcessState& state) {
    Replacement replacement = std::move(state.open[service]);
    state.open.erase(service);
    replacement.outcome = Field(line, "outcome");
    replacement.candidate = Field(line, "candidate");
    replacement.duration = TimeSinceBegin(line, service, state);
    const auto lost = state.lost_at.find(service);
    if (lost != state.lost_at.end()) {
      replacement.gap = milliseconds(line.monotonic_ms - lost->second);
    }
    summary_.replacements.push_back(std::move(replacement));
  }

  milliseconds first_;
  seconds window_;
  std::map<std::pair<std::string, std::uint64_t>, ProcessState> processes_;
  LogSummary summary_;
};

using KeyOf = std::function<std::string(const FailureGroup&)>;

/// @return the numbers of failures by one of their fields, in descending order.
std::vector<std::pair<std::string, std::uint64_t>> CountBy(const LogSummary& summary,
                                                           const KeyOf& key) {
  std::map<std::string, std::uint64_t> counts;
  for (const auto& [group, count] : summary.failures) {
    counts[key(group)] += count;
  }
  std::vector<std::pair<std::string, std::uint64_t>> order(counts.begin(), counts.end());
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.second > b.second; });
  return order;
}

std::string Table(const std::string& title, const LogSummary& summary, const KeyOf& key) {
  std::string text = title + "\n";
  std::size_t shown = 0;
  for (const auto& [name, count] : CountBy(summary, key)) {
    if (++shown > kMaxTableRows) {
      text += "  ...\n";
      break;
    }
    text += "  " + std::to_string(count) + "  " + name + "\n";
  }
  return text;
}

std::string ToText(const Replacement& replacement) {
  std::string text = "  " + std::to_string(replacement.started.count()) + " ms " +
                     replacement.process + " " + replacement.service + " (" + replacement.reason +
                     "): " + replacement.former_primary + " -> " + replacement.candidate + ", " +
                     (replacement.outcome.empty() ? "not ended" : replacement.outcome) + " in " +
                     std::to_string(replacement.duration.count()) + " ms";
  if (replacement.gap) {
    text += ", lost for " + std::to_string(replacement.gap->count()) + " ms";
  }
  text += "\n";
  for (const ReplacementStep& step : replacement.steps) {
    text += "      +" + std::to_string(step.after.count()) + " ms " + step.name + "\n";
  }
  return text;
}

json ToJson(const Replacement& replacement) {
  json steps = json::array();
  for (const ReplacementStep& step : replacement.steps) {
    steps.push_back({{"step", step.name}, {"after_ms", step.after.count()}});
  }
  json object = {{"process", replacement.process},
                 {"service", replacement.service},
                 {"reason", replacement.reason},
                 {"former", replacement.former_primary},
                 {"candidate", replacement.candidate},
                 {"outcome", replacement.outcome},
                 {"started_ms", replacement.started.count()},
                 {"took_ms", replacement.duration.count()},
                 {"steps", std::move(steps)}};
  if (replacement.gap) {
    object["gap_ms"] = replacement.gap->count();
  }
  return object;
}

std::uint64_t Total(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t total = 0;
  for (const auto& [name, count] : counts) {
    total += count;
  }
  return total;
}

}  // namespace

LogSummary Summarize(const LogSet& logs, seconds window) {
  std::vector<const LogLine*> order;
  for (const LogLine& line : logs.lines) {
    order.push_back(&line);
  }
  std::sort(order.begin(), order.end(), [](const LogLine* a, const LogLine* b) {
    return std::tie(a->process, a->incarnation, a->sequence) <
           std::tie(b->process, b->incarnation, b->sequence);
  });
  Summarizer summarizer(FirstTime(logs), std::max(window, seconds(1)));
  for (const LogLine* line : order) {
    summarizer.AddLine(*line);
  }
  return summarizer.Finish(logs.lines.size(), logs.unreadable);
}

std::string FormatText(const LogSummary& summary) {
  std::string text;
  text += Table("failed requests by reason", summary,
                [](const FailureGroup& group) { return group.error + ": " + group.reason; });
  text += Table("by service", summary, [](const FailureGroup& group) { return group.service; });
  text += Table("by daemon", summary, [](const FailureGroup& group) { return group.process; });
  text += Table("by window", summary, [](const FailureGroup& group) {
    return "from " + std::to_string(group.window.count()) + " s";
  });
  text +=
      "failed requests that the logs left out: " + std::to_string(Total(summary.suppressed)) + "\n";
  text += "replacements of primaries\n";
  for (const Replacement& replacement : summary.replacements) {
    text += ToText(replacement);
  }
  text += "lines read: " + std::to_string(summary.lines) +
          ", not read: " + std::to_string(summary.unreadable) + "\n";
  return text;
}

std::string FormatJson(const LogSummary& summary) {
  json failures = json::array();
  for (const auto& [group, count] : summary.failures) {
    failures.push_back({{"window_s", group.window.count()},
                        {"service", group.service},
                        {"process", group.process},
                        {"error", group.error},
                        {"reason", group.reason},
                        {"count", count}});
  }
  json replacements = json::array();
  for (const Replacement& replacement : summary.replacements) {
    replacements.push_back(ToJson(replacement));
  }
  return json{{"failures", std::move(failures)},
              {"left_out", summary.suppressed},
              {"replacements", std::move(replacements)},
              {"lines", summary.lines},
              {"lines_not_read", summary.unreadable}}
      .dump(2);
}

}  // namespace valvekeel::explain
