// Tests that a recorded load is a trace that can be replayed.

#include "waiting/recorder.h"

#include <catch2/catch.hpp>

#include "waiting/replay.h"

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};
constexpr common::Instant START{900'000'000};

arrival make_arrival(common::Duration at, common::Duration work) {
  arrival made;
  made.at = START + at;
  made.service = "ledger";
  made.target_latency = 200 * MILLISECOND;
  made.max_wait = 100 * MILLISECOND;
  made.work = work;
  return made;
}

trace recorded(const trace_recorder& recorder) {
  const auto parsed = parse_trace(recorder.text());
  REQUIRE(common::IsOk(parsed));
  return common::ValueOf(parsed);
}

}  // namespace

TEST_CASE("Operations are recorded in the order of their arrival", "[waiting]") {
  trace_recorder recorder;
  recorder.on_operation_ended(make_arrival(30 * MILLISECOND, 10 * MILLISECOND));
  recorder.on_operation_ended(make_arrival(5 * MILLISECOND, 40 * MILLISECOND));
  const trace read = recorded(recorder);
  REQUIRE(read.arrivals.size() == 2);
  CHECK(read.arrivals.front().at == common::Instant(0));
  CHECK(read.arrivals.front().work == 40 * MILLISECOND);
  CHECK(read.arrivals.back().at == 25 * MILLISECOND);
}

TEST_CASE("An operation that never started gets the mean work of those that did", "[waiting]") {
  trace_recorder recorder;
  recorder.on_operation_ended(make_arrival(MILLISECOND, 10 * MILLISECOND));
  recorder.on_operation_ended(make_arrival(2 * MILLISECOND, 30 * MILLISECOND));
  recorder.on_operation_ended(make_arrival(3 * MILLISECOND, common::Duration(0)));
  CHECK(recorded(recorder).arrivals.back().work == 20 * MILLISECOND);
}

TEST_CASE("Capacity is recorded when it changes", "[waiting]") {
  trace_recorder recorder;
  for (const std::size_t slots : {12UL, 12UL, 6UL, 6UL, 12UL}) {
    recorder.on_capacity({START, "ledger", need::any, slots});
  }
  CHECK(recorded(recorder).capacities.size() == 3);
}

TEST_CASE("A recorded load replays with the outcome of the original", "[waiting]") {
  trace_recorder recorder;
  recorder.on_capacity({START, "ledger", need::any, 1});
  for (int i = 0; i < 5; ++i) {
    recorder.on_operation_ended(make_arrival(common::Duration(0), 30 * MILLISECOND));
  }
  const outcome total_outcome = total(replay(recorded(recorder), policy::baseline));
  CHECK(total_outcome.callers == 5);
  CHECK(total_outcome.in_time == 4);
  CHECK(total_outcome.held_in_vain == 1);
}

}  // namespace valvekeel::waiting
