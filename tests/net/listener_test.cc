#include "net/listener.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace valvekeel::net {
namespace {

constexpr std::chrono::milliseconds kRunTime{100};
constexpr std::chrono::seconds kRunTimeout{5};
/// Many more than a listener that waits between its attempts runs in kRunTime.
constexpr std::size_t kBusyLoopTurns = 50;

/// Keeps the process from opening another descriptor.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    const int lowest_free = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    REQUIRE(lowest_free >= 0);
    ::close(lowest_free);
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
    rlimit none = before_;
    none.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
  }
  ~NoFreeDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

}  // namespace

TEST_CASE("A listener that is destroyed accepts no connection that was already queued", "[net]") {
  asio::io_context loop;
  int accepted = 0;
  auto listener =
      std::make_unique<Listener>(loop, [&](const asio::ip::tcp::socket&) { ++accepted; });
  REQUIRE(listener->Listen({"127.0.0.1", 0}));
  std::vector<asio::ip::tcp::socket> callers;
  for (int number = 0; number < 2; ++number) {
    callers.emplace_back(loop).connect({asio::ip::make_address("127.0.0.1"), listener->Port()});
  }
  while (accepted == 0) {
    loop.run_one_for(kRunTime);
  }
  listener.reset();
  loop.run_for(kRunTime);
  CHECK(accepted == 1);
}

TEST_CASE("A listener's handler may destroy the listener", "[net]") {
  asio::io_context loop;
  int accepted = 0;
  std::unique_ptr<Listener> listener;
  listener = std::make_unique<Listener>(loop, [&](const asio::ip::tcp::socket&) {
    ++accepted;
    listener.reset();
  });
  REQUIRE(listener->Listen({"127.0.0.1", 0}));
  asio::ip::tcp::socket caller(loop);
  caller.connect({asio::ip::make_address("127.0.0.1"), listener->Port()});
  loop.run_for(kRunTime);
  CHECK(accepted == 1);
}

// The undefined-behaviour sanitizer itself needs descriptors.
#ifndef __SANITIZE_ADDRESS__

TEST_CASE("A listener without a free descriptor waits, reports it and accepts later", "[net]") {
  asio::io_context loop;
  int accepted = 0;
  std::vector<asio::error_code> failures;
  Listener listener(
      loop, [&](const asio::ip::tcp::socket&) { ++accepted; },
      [&](const asio::error_code& fault) { failures.push_back(fault); });
  REQUIRE(listener.Listen({"127.0.0.1", 0}));
  asio::ip::tcp::socket caller(loop);
  caller.open(asio::ip::tcp::v4());
  {
    const NoFreeDescriptors none;
    caller.connect({asio::ip::make_address("127.0.0.1"), listener.Port()});
    CHECK(loop.run_for(kRunTime) < kBusyLoopTurns);
    CHECK(accepted == 0);
  }
  REQUIRE_FALSE(failures.empty());
  CHECK(failures.front() == asio::error::no_descriptors);
  const auto deadline = std::chrono::steady_clock::now() + kRunTimeout;
  while (accepted == 0 && std::chrono::steady_clock::now() < deadline) {
    loop.run_one_for(kRunTime);
  }
  CHECK(accepted == 1);
}

#endif

}  // namespace valvekeel::net
