#include "http/loop_server.h"

#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace valvekeel::http {

// An exception of a handler ended the process.
TEST_CASE("A request whose handler throws is answered with an error", "[http]") {
  asio::io_context loop;
  const auto work = asio::make_work_guard(loop);
  LoopServer server(loop);
  server.Route("GET", "/", [](const Request&) -> Reply { throw std::runtime_error("odd"); });
  const auto port = server.Start("127.0.0.1", 0);
  REQUIRE(common::IsOk(port));
  int status = 0;
  std::thread caller([&] {
    httplib::Client client("127.0.0.1", common::ValueOf(port));
    const auto answer = client.Get("/");
    status = answer ? answer->status : -1;
    loop.stop();
  });
  loop.run_for(std::chrono::seconds(20));
  caller.join();
  CHECK(status == 500);
}

}  // namespace valvekeel::http
