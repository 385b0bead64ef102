#include "explain/explain.h"

#include <algorithm>
#include <sstream>
#include <tuple>

#include "bounded_json/bounded_json.h"

namespace valvekeel::explain {
namespace {

using nlohmann::json;

/// Events within this time before the request's end count as context; evacuations always do.
constexpr std::int64_t kContextWindowMs = 3000;

std::string Field(const LogLine& line, const std::string& name) {
  const auto found = line.fields.find(name);
  return found != line.fields.end() && found->is_string() ? found->get<std::string>() : "";
}

bool IsEvacuation(const LogLine& line) {
  return line.event == "evacuation_known" || line.event == "evacuation_over";
}

bool IsContext(const LogLine& line, const std::string& service, const std::string& instance) {
  const bool of_service = !service.empty() && Field(line, "service") == service;
  const bool of_instance = !instance.empty() && Field(line, "instance") == instance;
  const bool of_store = line.event == "store_lost" || line.event == "thawed" ||
                        line.event == "keys_unproven" || line.event == "configuration_in_force" ||
                        line.event == "regions_changed";
  return (of_service || of_instance || of_store || IsEvacuation(line)) &&
         Field(line, "request").empty();
}

/// @return a short description of an error code.
std::string DescribeError(const std::string& error) {
  if (error == "busy") {
    return "refused, nothing ran; the caller was told when to come back";
  }
  if (error == "in_doubt") {
    return "sent and perhaps committed once; it was not sent again";
  }
  if (error == "aborted") {
    return "its transaction was rolled back, nothing is kept";
  }
  if (error == "timeout") {
    return "a read ran out of its statement's time";
  }
  return "answered with " + error;
}

/// @return the reason for which a request was rejected: its key or its tenant's limit.
std::string RejectionCause(const LogLine& line) {
  const std::string reason = Field(line, "reason");
  const std::string tenant = Field(line, "tenant");
  std::string cause = "turned away, nothing ran: " + reason;
  cause += tenant.empty() ? "" : " (tenant " + tenant + ")";
  cause += "; configuration " + Field(line, "version") + ", known to be the newest " +
           Field(line, "proof_age_ms") + " ms before";
  const std::string retry_after = Field(line, "retry_after_ms");
  cause += retry_after.empty() || retry_after == "0"
               ? ""
               : "; the caller was told to come back in " + retry_after + " ms";
  return cause;
}

/// @return the evacuation that caused a refusal; empty if there is none.
std::string DescribeEvacuation(const Explanation& explanation) {
  const LogLine& last = explanation.request_lines.back();
  if (Field(last, "reason").find("evacuated") == std::string::npos) {
    return "";
  }
  for (auto line = explanation.context.rbegin(); line != explanation.context.rend(); ++line) {
    if (line->event == "evacuation_known") {
      return "; before that evacuation_known (zone " + Field(*line, "zone") + ")";
    }
  }
  return "";
}

/// @return the daemon's forecast of the wait of a request that it refused; empty if it has none.
std::string DescribeForecast(const LogLine& line) {
  const std::string forecast = Field(line, "forecast_ms");
  if (forecast.empty()) {
    return "";
  }
  const bool early = Field(line, "reason").find("refused early") != std::string::npos;
  return std::string("; ") +
         (early ? "its turn was expected in " : "one that came then would have waited for ") +
         forecast + " ms, it had waited for " + Field(line, "held_ms") + " ms";
}

std::string CauseOf(const Explanation& explanation) {
  const LogLine& last = explanation.request_lines.back();
  if (last.event == "transaction_barred") {
    return "its transaction was rolled back, since its instance " + Field(last, "instance") +
           " may get nothing more: " + Field(last, "reason") + DescribeEvacuation(explanation);
  }
  if (last.event == "request_turned_away") {
    return RejectionCause(last);
  }
  if (last.event != "request_failed") {
    return "it was " + last.event + " at " + Field(last, "instance") +
           "; no failure of it is on record, so it succeeded or its caller left";
  }
  std::string cause = DescribeError(Field(last, "error")) + ": " + Field(last, "reason");
  cause += DescribeForecast(last);
  const std::string instance = Field(last, "instance");
  if (!instance.empty()) {
    cause += " (last instance " + instance + ")";
  }
  const std::string evacuation = DescribeEvacuation(explanation);
  if (!evacuation.empty()) {
    return cause + evacuation;
  }
  for (auto line = explanation.context.rbegin(); line != explanation.context.rend(); ++line) {
    const bool is_cause = line->event == "primary_lost" || line->event == "instance_lost" ||
                          line->event == "failover_started" || line->event == "store_lost" ||
                          line->event == "instance_draining" || line->event == "instance_cold" ||
                          line->event == "thawed" || line->event == "regions_changed";
    if (is_cause) {
      cause += "; before that " + line->event;
      const bool cold = line->event == "instance_cold";
      const std::string reason = Field(*line, cold ? "known_by" : "reason");
      cause += reason.empty() ? "" : " (" + reason + ")";
      break;
    }
  }
  return cause;
}

json ToJson(const LogLine& line) { return line.fields; }

std::string ToText(const LogLine& line) {
  std::string text = line.process + " #" + std::to_string(line.sequence) + " " +
                     std::to_string(line.monotonic_ms) + " ms " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    static const std::vector<std::string> kShown = {"seq",  "time_ms", "mono_ms", "process",
                                                    "life", "event",   "level"};
    if (std::find(kShown.begin(), kShown.end(), name) == kShown.end()) {
      text += " ";
      text += name;
      text += "=";
      text += value.is_string() ? value.get<std::string>() : value.dump();
    }
  }
  return text;
}

/// @return true if the field is missing or an integer.
bool IsIntegerIfGiven(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_number_integer();
}

/// @return true if the value is a line of a log, with fields of the expected types.
bool IsLine(const json& value) {
  const auto is_text = [&](const char* name) {
    return value.contains(name) && value.at(name).is_string();
  };
  return value.is_object() && is_text("process") && is_text("event") && value.contains("seq") &&
         value.at("seq").is_number_unsigned() && IsIntegerIfGiven(value, "life") &&
         IsIntegerIfGiven(value, "mono_ms") && IsIntegerIfGiven(value, "time_ms") &&
         IsIntegerIfGiven(value, "suppressed_before");
}

}  // namespace

void ReadLog(const std::string& text, LogSet& logs) {
  std::istringstream stream(text);
  for (std::string raw; std::getline(stream, raw);) {
    const std::size_t brace = raw.find('{');
    if (brace == std::string::npos) {
      logs.unreadable += raw.empty() ? 0 : 1;
      continue;
    }
    const auto read = bounded_json::parse(std::string_view(raw).substr(brace));
    if (!read || !IsLine(*read)) {
      ++logs.unreadable;
      continue;
    }
    const json& parsed = *read;
    LogLine line;
    line.process = parsed.at("process").get<std::string>();
    line.incarnation = parsed.value("life", std::uint64_t{0});
    line.sequence = parsed.at("seq").get<std::uint64_t>();
    line.monotonic_ms = parsed.value("mono_ms", std::int64_t{0});
    line.event = parsed.at("event").get<std::string>();
    line.fields = parsed;
    logs.lines.push_back(std::move(line));
  }
}

Explanation Explain(const LogSet& logs, const std::string& request) {
  Explanation explanation;
  explanation.request = request;
  for (const LogLine& line : logs.lines) {
    if (Field(line, "request") == request) {
      explanation.request_lines.push_back(line);
    }
  }
  const auto order = [](const LogLine& a, const LogLine& b) {
    return std::tie(a.process, a.incarnation, a.sequence) <
           std::tie(b.process, b.incarnation, b.sequence);
  };
  std::sort(explanation.request_lines.begin(), explanation.request_lines.end(), order);
  if (explanation.request_lines.empty()) {
    return explanation;
  }
  const LogLine& last = explanation.request_lines.back();
  for (const LogLine& line : logs.lines) {
    const bool before =
        line.process == last.process && line.incarnation == last.incarnation &&
        line.sequence < last.sequence &&
        (line.monotonic_ms >= last.monotonic_ms - kContextWindowMs || IsEvacuation(line));
    if (before && IsContext(line, Field(last, "service"), Field(last, "instance"))) {
      explanation.context.push_back(line);
    }
  }
  std::sort(explanation.context.begin(), explanation.context.end(), order);
  explanation.cause = CauseOf(explanation);
  return explanation;
}

std::string FormatText(const Explanation& explanation, std::size_t unreadable) {
  std::string text = "request " + explanation.request + "\n";
  if (explanation.request_lines.empty()) {
    text +=
        "no line names it: it succeeded at its first instance, or its line was over the limit\n";
  }
  if (!explanation.context.empty()) {
    text += "what its daemon had learned:\n";
    for (const LogLine& line : explanation.context) {
      text += "  ";
      text += ToText(line) + "\n";
    }
  }
  if (!explanation.request_lines.empty()) {
    text += "the request:\n";
    for (const LogLine& line : explanation.request_lines) {
      text += "  ";
      text += ToText(line) + "\n";
    }
    text += "cause: ";
    text += explanation.cause + "\n";
  }
  text += "lines not read: " + std::to_string(unreadable) + "\n";
  return text;
}

std::string FormatJson(const Explanation& explanation, std::size_t unreadable) {
  json own = json::array();
  for (const LogLine& line : explanation.request_lines) {
    own.push_back(ToJson(line));
  }
  json context = json::array();
  for (const LogLine& line : explanation.context) {
    context.push_back(ToJson(line));
  }
  return json{{"request", explanation.request},
              {"lines", std::move(own)},
              {"context", std::move(context)},
              {"cause", explanation.cause},
              {"lines_not_read", unreadable}}
      .dump(2);
}

}  // namespace valvekeel::explain
