// Callers for which more bytes are queued than a connection may hold.

#include <catch2/catch.hpp>
#include <string>

#include "host/line_daemon.h"

namespace valvekeel::host {
namespace {

/// More than a connection queues for a caller.
constexpr std::size_t kOverflowBytes = std::size_t{5} << 20U;
constexpr std::chrono::milliseconds kSettleTime{50};

/// Starts a session on a new connection. @return true if the daemon accepts it.
bool AcceptsCaller(LineDaemon& daemon) {
  SlowCaller caller;
  REQUIRE(caller.Connect(daemon.settings.callers.port));
  caller.Send("start\n");
  return daemon.RunUntil([&] {
    caller.Read();
    return caller.ended || !caller.received.empty();
  }) && caller.received == "accepted\n";
}

}  // namespace

TEST_CASE("Answers wait for a caller that reads slowly, and all arrive whole", "[host]") {
  // Guards against answers that are dropped, with their session, because a queue is full.
  LineDaemon daemon;
  SlowCaller slow;
  REQUIRE(slow.Connect(daemon.settings.callers.port));
  slow.Send("start\n");
  REQUIRE(daemon.Receives(slow, "accepted\n"));
  slow.received.clear();
  slow.Send("set\nset\nset\nset\nset\nset\n");
  REQUIRE(daemon.RunUntil([&] { return daemon.adapter.codec_calls.answers >= 2; }));
  daemon.loop->run_for(kSettleTime);
  // Commands whose answers would only be queued do not run.
  CHECK(daemon.adapter.codec_calls.answers <= 3);
  CHECK(AcceptsCaller(daemon));
  REQUIRE(daemon.RunUntil([&] {
    slow.Read();
    return slow.ended || slow.received.size() >= 6 * (kAnswerBytes + 1);
  }));
  CHECK_FALSE(slow.ended);
  CHECK(slow.received.size() == 6 * (kAnswerBytes + 1));
}

TEST_CASE("An answer above the queue limit of other connections arrives whole", "[host]") {
  LineDaemon daemon;
  daemon.adapter.codec_calls.answer_bytes = kOverflowBytes;
  SlowCaller caller;
  REQUIRE(caller.Connect(daemon.settings.callers.port));
  caller.Send("start\nset\n");
  const std::size_t expected = std::string("accepted\n").size() + kOverflowBytes + 1;
  REQUIRE(daemon.RunUntil([&] {
    caller.Read();
    return caller.ended || caller.received.size() >= expected;
  }));
  CHECK(caller.received.size() == expected);
}

TEST_CASE("A rejection that does not fit the queue of its caller ends only its session", "[host]") {
  LineDaemon daemon;
  REQUIRE(AcceptsCaller(daemon));
  daemon.adapter.codec_calls.error_padding = kOverflowBytes;
  for (const std::string text : {"start elsewhere\n", "start\ninvalid\n"}) {
    CAPTURE(text);
    SlowCaller rejected;
    REQUIRE(rejected.Connect(daemon.settings.callers.port));
    rejected.Send(text);
    CHECK(daemon.RunUntil([&] {
      rejected.Read();
      return rejected.ended;
    }));
    CHECK(AcceptsCaller(daemon));
  }
}

}  // namespace valvekeel::host
