#include "explain/summary.h"

#include <catch2/catch.hpp>

namespace valvekeel::explain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kLog =
    R"({"process":"d1","life":1,"seq":1,"time_ms":1000,"mono_ms":10,"event":"primary_lost","service":"g"}
{"process":"d1","life":1,"seq":2,"time_ms":1100,"mono_ms":110,"event":"failover_started","service":"g","reason":"lost","primary":"p"}
{"process":"d1","life":1,"seq":3,"time_ms":1150,"mono_ms":160,"event":"failover_step","service":"g","step":"fence"}
{"process":"d1","life":1,"seq":4,"time_ms":1500,"mono_ms":510,"event":"failover_ended","service":"g","outcome":"finished","candidate":"a"}
{"process":"d2","life":1,"seq":9,"time_ms":4500,"mono_ms":7,"event":"request_failed","request":"r2","error":"busy","reason":"retry_after_ms=250 no free connection","service":"g","suppressed_before":5}
{"process":"d2","life":1,"seq":8,"time_ms":1200,"mono_ms":3,"event":"request_failed","request":"r1","error":"busy","reason":"retry_after_ms=250 no free connection","service":"g"}
not a line
)";

LogSummary SummaryOf(const std::string& text) {
  LogSet logs;
  ReadLog(text, logs);
  return Summarize(logs, seconds(2));
}

}  // namespace

TEST_CASE("Failures are counted by window, suppressed lines separately", "[explain]") {
  const LogSummary summary = SummaryOf(kLog);
  REQUIRE(summary.failures.size() == 2);
  const FailureGroup first{seconds(0), "g", "d2", "busy", "no free connection"};
  CHECK(summary.failures.at(first) == 1);
  FailureGroup second = first;
  second.window = seconds(2);
  CHECK(summary.failures.at(second) == 1);
  CHECK(summary.suppressed.at("d2") == 5);
  CHECK(summary.unreadable == 1);
}

TEST_CASE("A replacement is reported with its steps and the gap", "[explain]") {
  const LogSummary summary = SummaryOf(kLog);
  REQUIRE(summary.replacements.size() == 1);
  const Replacement& replacement = summary.replacements[0];
  CHECK(replacement.outcome == "finished");
  CHECK(replacement.candidate == "a");
  CHECK(replacement.duration == milliseconds(400));
  CHECK(replacement.gap == milliseconds(500));
  REQUIRE(replacement.steps.size() == 1);
  CHECK(replacement.steps[0].after == milliseconds(50));
}

TEST_CASE("A replacement without a logged end is reported", "[explain]") {
  const LogSummary summary = SummaryOf(
      R"({"process":"d1","life":1,"seq":2,"time_ms":1,"mono_ms":1,"event":"failover_started","service":"g","reason":"draining","primary":"p"})");
  REQUIRE(summary.replacements.size() == 1);
  CHECK(summary.replacements[0].outcome.empty());
  CHECK_FALSE(summary.replacements[0].gap);
  CHECK(FormatText(summary).find("not ended") != std::string::npos);
}

TEST_CASE("The summary in JSON contains the same numbers", "[explain]") {
  const auto parsed = nlohmann::json::parse(FormatJson(SummaryOf(kLog)));
  CHECK(parsed.at("failures").size() == 2);
  CHECK(parsed.at("replacements")[0].at("gap_ms") == 500);
  CHECK(parsed.at("lines") == 6);
}

}  // namespace valvekeel::explain
