#include "check/history_check.h"

#include <catch2/catch.hpp>

#include "check/summary.h"

namespace valvekeel::check {
namespace {

using history::Event;
using history::Operation;
using history::Outcome;

Event Make(Operation operation, std::string key, std::int64_t value, std::int64_t start_us,
           Outcome outcome = Outcome::kOk) {
  Event event;
  event.operation = operation;
  event.key = std::move(key);
  event.value = value;
  event.start_us = start_us;
  event.end_us = start_us + 10;
  event.outcome = outcome;
  event.target = "daemon-1";
  return event;
}

/// @return the names of the invariants that the history breaks.
std::vector<std::string> Broken(const std::vector<Event>& events) {
  std::vector<std::string> names;
  for (const InvariantReport& report : CheckHistory(events, CheckLimits{})) {
    if (!report.violations.empty()) {
      names.push_back(report.name);
    }
  }
  return names;
}

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("A right history breaks nothing", "[check]") {
  CHECK(Broken({Make(Operation::kWrite, "r", 1, 0), Make(Operation::kRead, "r", 1, 20),
                Make(Operation::kWrite, "r", 2, 40, Outcome::kUnknown),
                Make(Operation::kRead, "r", 2, 60), Make(Operation::kInsert, "e", 1, 80),
                Make(Operation::kFinalRegister, "r", 2, 100),
                Make(Operation::kFinalEntry, "e", 1, 100)})
            .empty());
}

TEST_CASE("Every planted fault is found under its own name", "[check]") {
  // A stale read after roaming: another session of the same process.
  Event stale = Make(Operation::kRead, "r", 1, 50);
  stale.session = 2;
  CHECK(Broken({Make(Operation::kWrite, "r", 1, 0), Make(Operation::kWrite, "r", 2, 20), stale}) ==
        Names{"read_your_writes"});
  CHECK(Broken({Make(Operation::kRead, "other", 5, 0), Make(Operation::kRead, "other", 4, 20)}) ==
        Names{"monotonic_reads"});
  // An acknowledged write lost, as one acknowledged by a replaced primary is.
  CHECK(Broken({Make(Operation::kWrite, "r", 3, 0), Make(Operation::kFinalRegister, "r", 2, 50)}) ==
        Names{"acknowledged_writes_last"});
  CHECK(Broken({Make(Operation::kWrite, "r", 3, 0, Outcome::kNotRun),
                Make(Operation::kRead, "r", 3, 50)}) == Names{"not_run_did_not_run"});
  CHECK(Broken({Make(Operation::kInsert, "e", 1, 0, Outcome::kNotRun),
                Make(Operation::kFinalEntry, "e", 1, 50)}) == Names{"not_run_did_not_run"});
  CHECK(Broken({Make(Operation::kInsert, "e", 1, 0, Outcome::kUnknown),
                Make(Operation::kFinalEntry, "e", 2, 50)}) == Names{"at_most_once"});
  CHECK(Broken({Make(Operation::kInsert, "e", 1, 0), Make(Operation::kFinalEntry, "e", 0, 50)}) ==
        Names{"at_most_once"});
  Event foreign = Make(Operation::kRead, "r", 1, 0);
  foreign.tag_sent = "mine";
  foreign.tag_received = "yours";
  CHECK(Broken({foreign}) == Names{"whole_own_answers"});
  Event cut_short = foreign;
  cut_short.tag_received = "mine";
  cut_short.rows = 0;
  CHECK(Broken({cut_short}) == Names{"whole_own_answers"});
  Event mixed = Make(Operation::kPairRead, "p", 1, 0);
  mixed.second = 2;
  mixed.rows = 2;
  CHECK(Broken({mixed}) == Names{"transactions_apart"});
  CHECK(Broken({Make(Operation::kLeaving, "db/1", 0, 0),
                Make(Operation::kServed, "db/1", 0, 9'000'000)}) ==
        Names{"leaving_gets_nothing_new"});
  Event cut_off = Make(Operation::kWrite, "r", 1, 90, Outcome::kUnknown);
  CHECK(Broken({Make(Operation::kPlannedStop, "daemon-1", 0, 95), cut_off}) ==
        Names{"planned_stop_cuts_off_nothing"});
  CHECK(Broken({Make(Operation::kConfigInForce, "db", 5, 0),
                Make(Operation::kConfigInForce, "db", 4, 50)}) == Names{"configuration_in_force"});
  CHECK(Broken({Make(Operation::kConfigAccepted, "db", 5, 0),
                Make(Operation::kConfigInForce, "db", 4, 13'000'000)}) ==
        Names{"configuration_in_force"});
}

TEST_CASE("The gap of writes is measured around its mark", "[check]") {
  const std::vector<Event> events = {Make(Operation::kWrite, "r", 1, 0),
                                     Make(Operation::kWrite, "r", 2, 1'000),
                                     Make(Operation::kMark, "cut", 0, 1'500),
                                     Make(Operation::kWrite, "r", 3, 1'600, Outcome::kUnknown),
                                     Make(Operation::kWrite, "r", 4, 9'000),
                                     Make(Operation::kWrite, "r", 5, 9'100)};
  const Summary summary = Summarize(events, 10'000'000);
  REQUIRE(summary.gaps.size() == 1);
  CHECK(summary.gaps[0].gap_us == 8'000);
  CHECK(summary.requests == 5);
  CHECK(summary.acknowledged == 4);
}

TEST_CASE("Events keep their text form, and faulty lines say why", "[check]") {
  Event event = Make(Operation::kPairRead, "p1", 7, 123);
  event.second = 8;
  event.rows = 2;
  event.tag_sent = "t";
  const auto read = history::ParseEvent(history::FormatEvent(event));
  REQUIRE(common::IsOk(read));
  CHECK(history::FormatEvent(common::ValueOf(read)) == history::FormatEvent(event));
  for (const char* line :
       {"nonsense", R"({"op":"fly","key":"k","start_us":1})", R"({"op":"read","start_us":1})",
        R"({"op":"read","key":"k","start_us":5,"end_us":1})"}) {
    CHECK_FALSE(common::IsOk(history::ParseEvent(line)));
  }
}

}  // namespace valvekeel::check
