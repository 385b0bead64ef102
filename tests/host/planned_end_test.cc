// Tests what callers observe of the planned end of a process, over real sockets.

#include <catch2/catch.hpp>
#include <string>

#include "host/line_daemon.h"

namespace valvekeel::host {

TEST_CASE("A process that has decided to end accepts nothing more and delivers its answers",
          "[host]") {
  // Guards against callers that are cut off without an answer. If a process goes on accepting
  // callers in the 150 ms between its decision to end (3.0 s after the stop signal, log event
  // `stopped` with sessions_left 0) and its exit (3.155 to 3.18 s), requests that begin 3.02 to
  // 3.15 s after the signal are accepted, read, some are served by an instance, and none is
  // answered. The process must still wait until queued answers and log lines are written.
  LineDaemon daemon;
  SlowCaller idle;  // connects before the decision, sends after it
  REQUIRE(idle.Connect(daemon.settings.callers.port));
  SlowCaller served;
  REQUIRE(served.Connect(daemon.settings.callers.port));
  served.Send("start\n");
  REQUIRE(daemon.Receives(served, "accepted\n"));
  served.Send("set\nset\n");
  REQUIRE(daemon.RunUntil([&] { return daemon.adapter.codec_calls.answers == 2; }));
  daemon.host->Stop();
  REQUIRE(daemon.RunUntil([&] { return daemon.HasLogged("\"stopped\""); }));

  daemon.adapter.codec_calls.read.clear();
  idle.Send("start\n");
  SlowCaller late;
  const bool connected = late.Connect(daemon.settings.callers.port);
  late.Send("start\n");
  const bool ended = daemon.RunUntil([&] {
    served.Read();
    return daemon.loop->stopped();
  });
  REQUIRE(ended);

  CHECK_FALSE(connected);
  CHECK(daemon.adapter.codec_calls.read.empty());
  CHECK(daemon.HasLogged("\"event\":\"ended\""));
  daemon.CloseAll();
  while (!served.ended) {
    served.Read();
  }
  CHECK(served.received.size() == std::string("accepted\n").size() + 2 * (kAnswerBytes + 1));
}

}  // namespace valvekeel::host
