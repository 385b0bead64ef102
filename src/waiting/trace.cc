// Parses and writes traces of load.

#include "waiting/trace.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <optional>
#include <sstream>

namespace valvekeel::waiting {
namespace {

constexpr double MICROSECONDS_IN_MILLISECOND = 1'000;
constexpr const char* NO_TENANT = "-";
constexpr std::size_t MAX_ARRIVALS = 1'000'000;

using words = std::vector<std::string>;

words split(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  words found;
  for (std::string word; stream >> word;) {
    found.push_back(word);
  }
  return found;
}

std::optional<double> parse_number(const std::string& text) {
  double value = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = failure == std::errc() && end == text.data() + text.size();
  return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::optional<common::Duration> parse_milliseconds(const std::string& text) {
  const auto value = parse_number(text);
  if (!value) {
    return std::nullopt;
  }
  return common::Duration(std::llround(*value * MICROSECONDS_IN_MILLISECOND));
}

std::string format_milliseconds(common::Duration duration) {
  std::ostringstream text;
  text << static_cast<double>(duration.count()) / MICROSECONDS_IN_MILLISECOND;
  return text.str();
}

std::optional<need> parse_need(const std::string& text) {
  if (text == "any") {
    return need::any;
  }
  return text == "primary" ? std::optional(need::primary) : std::nullopt;
}

const char* name_of(need needs) { return needs == need::any ? "any" : "primary"; }

/** @return the times of FROM..TO/STEP, FROM+COUNT or a single time; nothing if invalid. */
std::optional<std::vector<common::Instant>> parse_times(const std::string& text) {
  const std::size_t plus = text.find('+');
  const std::size_t dots = text.find("..");
  const std::size_t slash = text.find('/');
  if (plus != std::string::npos) {
    const auto at = parse_milliseconds(text.substr(0, plus));
    const auto count = parse_number(text.substr(plus + 1));
    if (!at || !count || *count > MAX_ARRIVALS) {
      return std::nullopt;
    }
    return std::vector<common::Instant>(static_cast<std::size_t>(*count), *at);
  }
  if (dots == std::string::npos || slash == std::string::npos || slash < dots) {
    const auto at = parse_milliseconds(text);
    return at ? std::optional(std::vector<common::Instant>{*at}) : std::nullopt;
  }
  const auto from = parse_milliseconds(text.substr(0, dots));
  const auto until = parse_milliseconds(text.substr(dots + 2, slash - dots - 2));
  const auto step = parse_milliseconds(text.substr(slash + 1));
  const bool valid = from && until && step && *step > common::Duration(0) && *until >= *from &&
                     static_cast<std::size_t>((*until - *from) / *step) < MAX_ARRIVALS;
  if (!valid) {
    return std::nullopt;
  }
  std::vector<common::Instant> times;
  for (common::Instant at = *from; at < *until; at += *step) {
    times.push_back(at);
  }
  return times;
}

bool parse_tenant(const words& line, trace& out) {
  const auto rate = parse_number(line[2]);
  const auto priority = parse_number(line[3]);
  if (!rate || !priority) {
    return false;
  }
  tenants::tenant& tenant = out.tenants[line[1]];
  tenant.name = line[1];
  tenant.rate = *rate;
  tenant.priority = static_cast<std::uint32_t>(*priority);
  return true;
}

bool parse_callers(const words& line, trace& out) {
  const auto retries = parse_number(line[1]);
  const auto deadline = parse_milliseconds(line[2]);
  if (!retries || !deadline) {
    return false;
  }
  out.retries = static_cast<std::uint32_t>(*retries);
  out.deadline = *deadline;
  return true;
}

bool parse_capacity(const words& line, trace& out) {
  const auto at = parse_milliseconds(line[1]);
  const auto needs = parse_need(line[3]);
  const auto slots = parse_number(line[4]);
  if (!at || !needs || !slots) {
    return false;
  }
  out.capacities.push_back({*at, line[2], *needs, static_cast<std::size_t>(*slots)});
  return true;
}

bool parse_arrival(const words& line, trace& out) {
  const auto times = parse_times(line[1]);
  const auto needs = parse_need(line[3]);
  const auto priority = parse_number(line[5]);
  const auto target_latency = parse_milliseconds(line[6]);
  const auto max_wait = parse_milliseconds(line[7]);
  const auto work = parse_milliseconds(line[8]);
  if (!times || !needs || !priority || !target_latency || !max_wait || !work) {
    return false;
  }
  const std::string tenant = line[4] == NO_TENANT ? "" : line[4];
  for (const common::Instant at : *times) {
    out.arrivals.push_back({at, line[2], *needs, tenant, static_cast<std::uint32_t>(*priority),
                            *target_latency, *max_wait, *work});
  }
  return out.arrivals.size() <= MAX_ARRIVALS;
}

bool parse_expectation(const words& line, trace& out) {
  const auto value = parse_number(line[4]);
  const bool at_least = line[3] == "at_least";
  if (!value || (!at_least && line[3] != "at_most")) {
    return false;
  }
  out.expectations.push_back({line[1], line[2], at_least, *value});
  return true;
}

/** A kind of line: its number of words and its parser. */
struct line_kind {
  std::size_t word_count = 0;
  bool (*parse)(const words& line, trace& out) = nullptr;
};

const std::map<std::string, line_kind>& line_kinds() {
  static const std::map<std::string, line_kind> KINDS = {{"tenant", {4, parse_tenant}},
                                                         {"callers", {3, parse_callers}},
                                                         {"capacity", {5, parse_capacity}},
                                                         {"arrive", {9, parse_arrival}},
                                                         {"expect", {5, parse_expectation}}};
  return KINDS;
}

}  // namespace

common::Result<trace, trace_error> parse_trace(const std::string& text) {
  trace out;
  std::istringstream stream(text);
  std::size_t line_number = 0;
  for (std::string raw; std::getline(stream, raw);) {
    ++line_number;
    const words line = split(raw);
    if (line.empty()) {
      continue;
    }
    const auto kind = line_kinds().find(line.front());
    if (kind == line_kinds().end()) {
      return trace_error{line_number, "unknown word " + line.front()};
    }
    if (line.size() != kind->second.word_count || !kind->second.parse(line, out)) {
      return trace_error{line_number, "not a valid line of " + line.front()};
    }
  }
  const auto earlier = [](const auto& a, const auto& b) { return a.at < b.at; };
  std::stable_sort(out.arrivals.begin(), out.arrivals.end(), earlier);
  std::stable_sort(out.capacities.begin(), out.capacities.end(), earlier);
  return out;
}

std::string format(const arrival& of) {
  return "arrive " + format_milliseconds(of.at) + " " + of.service + " " + name_of(of.needs) + " " +
         (of.tenant.empty() ? NO_TENANT : of.tenant) + " " + std::to_string(of.priority) + " " +
         format_milliseconds(of.target_latency) + " " + format_milliseconds(of.max_wait) + " " +
         format_milliseconds(of.work);
}

std::string format(const capacity_change& of) {
  return "capacity " + format_milliseconds(of.at) + " " + of.service + " " + name_of(of.needs) +
         " " + std::to_string(of.slots);
}

}  // namespace valvekeel::waiting
