#include "explain/explain.h"

#include <catch2/catch.hpp>

namespace valvekeel::explain {
namespace {

const char* const kLog =
    "  5.1 d1 {\"seq\":7,\"mono_ms\":100,\"process\":\"d1\",\"event\":\"primary_lost\","
    "\"service\":\"g\",\"reason\":\"unreachable\"}\n"
    "{\"seq\":9,\"mono_ms\":460,\"process\":\"d1\",\"event\":\"request_failed\",\"request\":\"r1\","
    "\"error\":\"busy\",\"reason\":\"retry_after_ms=250 no usable primary\",\"service\":\"g\"}\n"
    "{\"seq\":8,\"mono_ms\":300,\"process\":\"d1\",\"event\":\"request_retried\",\"request\":"
    "\"r1\","
    "\"error\":\"connection lost\",\"instance\":\"i-1\"}\n"
    "{\"seq\":10,\"mono_ms\":470,\"process\":\"d1\",\"event\":\"primary_regained\",\"service\":"
    "\"g\"}\n"
    "{\"seq\":11,\"mono_ms\":4\n"
    "not a line\n";

}  // namespace

TEST_CASE("A refused request is explained by the loss of its primary", "[explain]") {
  LogSet logs;
  ReadLog(kLog, logs);
  CHECK(logs.unreadable == 2);
  const Explanation explanation = Explain(logs, "r1");
  REQUIRE(explanation.request_lines.size() == 2);
  CHECK(explanation.request_lines[0].event ==
        "request_retried");  // ordered by sequence number, not by position in the file
  REQUIRE(explanation.context.size() == 1);
  CHECK(explanation.cause.find("no usable primary") != std::string::npos);
  CHECK(explanation.cause.find("primary_lost (unreachable)") != std::string::npos);
  CHECK(FormatText(explanation, logs.unreadable).find("lines not read: 2") != std::string::npos);
  CHECK(nlohmann::json::parse(FormatJson(explanation, 2)).at("lines").size() == 2);
}

// A line with a field of another type ended the tool by an exception.
TEST_CASE("Odd lines of a log are counted as not read", "[explain]") {
  const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
  const std::vector<std::string> lines = {
      R"({"process":5,"seq":1,"event":"a"})",
      R"({"process":"p","seq":"1","event":"a"})",
      R"({"process":"p","seq":-1,"event":"a"})",
      R"({"process":"p","seq":1,"event":5})",
      R"({"process":"p","seq":1,"event":"a","life":"x"})",
      R"({"process":"p","seq":1,"event":"a","mono_ms":"x"})",
      R"({"process":"p","seq":1,"event":"request_failed","time_ms":"x"})",
      R"({"process":"p","seq":1,"event":"request_failed","suppressed_before":"x"})",
      R"({"process":"p","seq":1e400,"event":"a"})",
      R"({"process":"p","seq":1,"event":"a","x":)" + deep + "}"};
  for (const std::string& line : lines) {
    CAPTURE(line.substr(0, 100));
    LogSet logs;
    REQUIRE_NOTHROW(ReadLog(line + "\n", logs));
    CHECK(logs.unreadable == 1);
    CHECK(logs.lines.empty());
  }
}

TEST_CASE("A request refused early is explained by its expected wait", "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"seq\":1,\"mono_ms\":90,\"process\":\"d1\",\"event\":\"request_failed\","
      "\"request\":\"r1\",\"error\":\"busy\",\"held_ms\":\"9\",\"forecast_ms\":\"340\","
      "\"reason\":\"retry_after_ms=120 refused early: no free connection\"}\n",
      logs);
  const std::string cause = Explain(logs, "r1").cause;
  CHECK(cause.find("nothing ran") != std::string::npos);
  CHECK(cause.find("refused early: no free connection; its turn was expected in 340 ms, it had "
                   "waited for 9 ms") != std::string::npos);
}

TEST_CASE("Lines of an earlier incarnation of the process are not context", "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"life\":1,\"seq\":5,\"mono_ms\":90,\"process\":\"d1\",\"event\":\"primary_lost\","
      "\"service\":\"g\"}\n"
      "{\"life\":2,\"seq\":9,\"mono_ms\":99,\"process\":\"d1\",\"event\":\"request_failed\","
      "\"request\":\"r1\",\"error\":\"busy\",\"reason\":\"x\",\"service\":\"g\"}\n",
      logs);
  CHECK(Explain(logs, "r1").context.empty());
}

TEST_CASE("A request rejected for its tenant's limit is explained with its inputs", "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"life\":2,\"seq\":9,\"mono_ms\":99,\"process\":\"d1\",\"event\":\"request_turned_away\","
      "\"request\":\"r1\",\"reason\":\"over the limit\",\"tenant\":\"north\",\"version\":\"7\","
      "\"proof_age_ms\":\"412\",\"retry_after_ms\":\"120\"}\n",
      logs);
  const std::string cause = Explain(logs, "r1").cause;
  CHECK(cause.find("over the limit (tenant north)") != std::string::npos);
  CHECK(cause.find("configuration 7") != std::string::npos);
  CHECK(cause.find("412 ms before") != std::string::npos);
  CHECK(cause.find("come back in 120 ms") != std::string::npos);
}

TEST_CASE("A request outside its regions is explained by the configuration that set them",
          "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"life\":2,\"seq\":8,\"mono_ms\":90,\"process\":\"d1\",\"event\":\"regions_changed\","
      "\"version\":\"7\",\"limited\":\"true\"}\n"
      "{\"life\":2,\"seq\":9,\"mono_ms\":99,\"process\":\"d1\",\"event\":\"request_failed\","
      "\"request\":\"r1\",\"error\":\"busy\",\"reason\":\"retry_after_ms=1000 outside its "
      "regions\","
      "\"service\":\"g\"}\n",
      logs);
  const Explanation explanation = Explain(logs, "r1");
  CHECK(explanation.cause.find("outside its regions") != std::string::npos);
  CHECK(explanation.cause.find("before that regions_changed") != std::string::npos);
  REQUIRE(explanation.context.size() == 1);
}

TEST_CASE("A transaction ended by a rule on where work may run is explained by it", "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"life\":2,\"seq\":9,\"mono_ms\":99,\"process\":\"d1\",\"event\":\"transaction_barred\","
      "\"request\":\"r1\",\"instance\":\"i-1\",\"reason\":\"outside its regions\"}\n",
      logs);
  const std::string cause = Explain(logs, "r1").cause;
  CHECK(cause.find("its transaction was rolled back") != std::string::npos);
  CHECK(cause.find("i-1 may get nothing more: outside its regions") != std::string::npos);
}

TEST_CASE("A request that no line names has no cause", "[explain]") {
  LogSet logs;
  ReadLog(kLog, logs);
  const Explanation explanation = Explain(logs, "r2");
  CHECK(explanation.request_lines.empty());
  CHECK(explanation.cause.empty());
}

TEST_CASE("A refusal for an evacuated zone names the evacuation, however long ago", "[explain]") {
  LogSet logs;
  ReadLog(
      "{\"life\":1,\"seq\":5,\"mono_ms\":1000,\"process\":\"d1\",\"event\":\"evacuation_known\","
      "\"zone\":\"north\",\"revision\":\"7\"}\n"
      "{\"life\":1,\"seq\":6,\"mono_ms\":9000,\"process\":\"d1\",\"event\":\"transaction_barred\","
      "\"request\":\"t1\",\"instance\":\"i-1\",\"reason\":\"evacuated\"}\n"
      "{\"life\":1,\"seq\":9,\"mono_ms\":9900,\"process\":\"d1\",\"event\":\"request_failed\","
      "\"request\":\"r1\",\"error\":\"busy\",\"reason\":\"retry_after_ms=1000 evacuated\","
      "\"service\":\"g\"}\n",
      logs);
  const std::string refused = Explain(logs, "r1").cause;
  CHECK(refused.find("refused, nothing ran") != std::string::npos);
  CHECK(refused.find("evacuation_known (zone north)") != std::string::npos);
  const std::string ended = Explain(logs, "t1").cause;
  CHECK(ended.find("rolled back, since its instance i-1") != std::string::npos);
  CHECK(ended.find("evacuation_known (zone north)") != std::string::npos);
}

TEST_CASE("A request refused for a cold instance is explained with how that is known",
          "[explain][warm_up]") {
  LogSet logs;
  ReadLog(
      "{\"life\":1,\"seq\":4,\"mono_ms\":90,\"process\":\"d1\",\"event\":\"instance_cold\","
      "\"service\":\"g\",\"instance\":\"i-1\",\"known_by\":\"its entry\",\"left_ms\":\"6000\"}\n"
      "{\"life\":1,\"seq\":9,\"mono_ms\":99,\"process\":\"d1\",\"event\":\"request_failed\","
      "\"request\":\"r1\",\"error\":\"busy\",\"reason\":\"retry_after_ms=300 cold\","
      "\"service\":\"g\"}\n",
      logs);
  const std::string cause = Explain(logs, "r1").cause;
  CHECK(cause.find("retry_after_ms=300 cold") != std::string::npos);
  CHECK(cause.find("instance_cold (its entry)") != std::string::npos);
}

}  // namespace valvekeel::explain
