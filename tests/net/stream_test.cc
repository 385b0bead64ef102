#include "net/stream.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "net/listener.h"

namespace valvekeel::net {
namespace {

constexpr std::chrono::seconds kLimit{20};
constexpr std::chrono::milliseconds kTurn{1};
constexpr std::chrono::milliseconds kFlushTime{50};
/// Three of them are more than the system takes for a caller that does not read; two may wait.
constexpr std::size_t kPartBytes = std::size_t{2} << 20U;

/// One connection: the side under test answers the first bytes and ends.
struct EndingSide {
  EndingSide()
      : listener(loop, [this](asio::ip::tcp::socket socket) { Serve(std::move(socket)); }) {
    REQUIRE(listener.Listen({"127.0.0.1", 0}));
    caller.connect({asio::ip::make_address("127.0.0.1"), listener.Port()});
    caller.non_blocking(true);
    asio::write(caller, asio::buffer(std::string("first")));
    REQUIRE(RunUntil([this] { return sent > 0; }));
  }

  void Serve(asio::ip::tcp::socket socket) {
    stream = std::make_shared<Stream>(loop, std::move(socket));
    stream->Start(
        [this](std::string_view bytes) {
          read += bytes;
          // The first fills the system's buffer, the second is being written, the third waits.
          for (; sent < 3 * kPartBytes; sent += kPartBytes) {
            stream->Send(std::string(kPartBytes, 'x'));
          }
        },
        [this] { ++closed; });
  }

  template <typename Condition>
  bool RunUntil(Condition met) {
    const auto deadline = std::chrono::steady_clock::now() + kLimit;
    while (!met() && std::chrono::steady_clock::now() < deadline) {
      loop.run_one_for(kTurn);
    }
    return met();
  }

  /// Reads some. @return false once there is nothing more to come.
  bool ReadSome() {
    std::array<char, 65536> input{};
    heard += caller.read_some(asio::buffer(input), end);
    return !end || end == asio::error::would_block;
  }

  asio::io_context loop;
  Listener listener;
  std::shared_ptr<Stream> stream;
  asio::ip::tcp::socket caller{loop};
  std::string read;
  std::size_t sent = 0;
  std::size_t heard = 0;
  int closed = 0;
  asio::error_code end;
};

}  // namespace

TEST_CASE("An answer arrives whole beside a command that crosses the end of its connection",
          "[net]") {
  // Closed over input that nobody had read, a connection lost what the system had not delivered
  // yet: 2 MiB of 6, with what looked like an orderly end. A command that comes while a session is
  // being ended is such input.
  EndingSide side;
  side.stream->CloseAfterFlush();
  asio::write(side.caller, asio::buffer(std::string("second")));
  CHECK(side.RunUntil([&] { return !side.ReadSome(); }));
  CHECK(side.heard == side.sent);
  CHECK(side.end == asio::error::eof);
  CHECK(side.read == "first");
  CHECK(side.RunUntil([&] { return !side.stream->IsOpen(); }));
  CHECK(side.closed == 0);
}

TEST_CASE("A caller that never reads holds a connection that ends for a limited time", "[net]") {
  EndingSide side;
  side.stream->CloseAfterFlush(kFlushTime);
  CHECK(side.stream->IsOpen());
  CHECK(side.RunUntil([&] { return !side.stream->IsOpen(); }));
  CHECK(side.closed == 0);
}

TEST_CASE("A caller that has reset its connection does not hold it", "[net]") {
  EndingSide side;
  side.stream->CloseAfterFlush(std::chrono::seconds(2));
  asio::error_code ignored;
  side.caller.close(ignored);  // over input that it has not read: the system resets
  const auto began = std::chrono::steady_clock::now();
  CHECK(side.RunUntil([&] { return !side.stream->IsOpen(); }));
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
}

TEST_CASE("A caller that resets once all is with the system does not hold the end", "[net]") {
  // Few bytes: all of them leave the process at once.
  asio::io_context loop;
  std::shared_ptr<Stream> stream;
  Listener listener(loop, [&](asio::ip::tcp::socket socket) {
    stream = std::make_shared<Stream>(loop, std::move(socket));
    stream->Start([](std::string_view) {}, [] {});
  });
  REQUIRE(listener.Listen({"127.0.0.1", 0}));
  asio::ip::tcp::socket caller(loop);
  caller.open(asio::ip::tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect({asio::ip::make_address("127.0.0.1"), listener.Port()});
  while (!stream) {
    loop.run_one_for(kTurn);
  }
  stream->Send(std::string(std::size_t{64} << 10U, 'x'));
  stream->CloseAfterFlush(std::chrono::seconds(2));
  const bool lingers = stream->IsOpen();
  for (int turn = 0; turn < 20; ++turn) {
    loop.run_one_for(kTurn);
  }
  asio::error_code ignored;
  caller.close(ignored);
  const auto began = std::chrono::steady_clock::now();
  while (stream->IsOpen()) {
    loop.run_one_for(kTurn);
  }
  CHECK(lingers);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
}

}  // namespace valvekeel::net
