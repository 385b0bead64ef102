#include "net/stream.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "net/listener.h"

namespace valvekeel::net {
namespace {

constexpr std::chrono::seconds kRunTimeout{20};
constexpr std::chrono::milliseconds kLoopStep{1};
constexpr std::chrono::milliseconds kShortFlushTimeout{50};
/// Three chunks exceed the socket buffers of a caller that does not read; two fit the stream's
/// queue.
constexpr std::size_t kChunkBytes = std::size_t{2} << 20U;

/// Server end of one connection, which responds to its first input with three chunks.
struct RespondingServer {
  RespondingServer()
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
          // The first chunk fills the socket buffer, the second is being written, the third is
          // queued.
          for (; sent < 3 * kChunkBytes; sent += kChunkBytes) {
            stream->Send(std::string(kChunkBytes, 'x'));
          }
        },
        [this] { ++closed; });
  }

  template <typename Condition>
  bool RunUntil(Condition met) {
    const auto deadline = std::chrono::steady_clock::now() + kRunTimeout;
    while (!met() && std::chrono::steady_clock::now() < deadline) {
      loop.run_one_for(kLoopStep);
    }
    return met();
  }

  /// Reads available bytes on the caller. @return false at the end of the stream or on an error.
  bool ReadSome() {
    std::array<char, 65536> input{};
    received_bytes += caller.read_some(asio::buffer(input), read_error);
    return !read_error || read_error == asio::error::would_block;
  }

  asio::io_context loop;
  Listener listener;
  std::shared_ptr<Stream> stream;
  asio::ip::tcp::socket caller{loop};
  std::string read;
  std::size_t sent = 0;
  std::size_t received_bytes = 0;
  int closed = 0;
  asio::error_code read_error;
};

}  // namespace

TEST_CASE("A response arrives complete although a command arrives while the connection closes",
          "[net]") {
  // Closing a socket with unread input drops undelivered bytes, 2 MiB of 6 MiB, while the caller
  // reads a regular end of stream. A command that arrives while its session is being closed is such
  // input.
  RespondingServer server;
  server.stream->CloseAfterFlush();
  asio::write(server.caller, asio::buffer(std::string("second")));
  CHECK(server.RunUntil([&] { return !server.ReadSome(); }));
  CHECK(server.received_bytes == server.sent);
  CHECK(server.read_error == asio::error::eof);
  CHECK(server.read == "first");
  CHECK(server.RunUntil([&] { return !server.stream->IsOpen(); }));
  CHECK(server.closed == 0);
}

TEST_CASE("CloseAfterFlush closes at its timeout if the caller never reads", "[net]") {
  RespondingServer server;
  server.stream->CloseAfterFlush(kShortFlushTimeout);
  CHECK(server.stream->IsOpen());
  CHECK(server.RunUntil([&] { return !server.stream->IsOpen(); }));
  CHECK(server.closed == 0);
}

TEST_CASE("CloseAfterFlush ends early if the caller resets the connection", "[net]") {
  RespondingServer server;
  server.stream->CloseAfterFlush(std::chrono::seconds(2));
  asio::error_code ignored;
  server.caller.close(ignored);  // with unread input, so the system resets the connection
  const auto began = std::chrono::steady_clock::now();
  CHECK(server.RunUntil([&] { return !server.stream->IsOpen(); }));
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
}

TEST_CASE("CloseAfterFlush ends early if the caller resets when all bytes are in the socket buffer",
          "[net]") {
  // 64 KiB fit the socket buffer, so the stream's queue is empty when the caller resets.
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
    loop.run_one_for(kLoopStep);
  }
  stream->Send(std::string(std::size_t{64} << 10U, 'x'));
  stream->CloseAfterFlush(std::chrono::seconds(2));
  const bool was_open = stream->IsOpen();
  for (int turn = 0; turn < 20; ++turn) {
    loop.run_one_for(kLoopStep);
  }
  asio::error_code ignored;
  caller.close(ignored);
  const auto began = std::chrono::steady_clock::now();
  while (stream->IsOpen()) {
    loop.run_one_for(kLoopStep);
  }
  CHECK(was_open);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(1));
}

TEST_CASE("An overflow of the queue is reported after Send has returned", "[net]") {
  // A closed handler that runs inside Send erases the connection that the sender still uses.
  RespondingServer server;
  CHECK_FALSE(server.stream->Send(std::string(3 * kChunkBytes, 'x')));
  CHECK(server.closed == 0);
  CHECK_FALSE(server.stream->Send("more"));
  CHECK(server.RunUntil([&] { return server.closed > 0; }));
  CHECK_FALSE(server.stream->IsOpen());
  CHECK(server.stream->EndReason() == asio::error_code(asio::error::no_buffer_space).message());
  CHECK(server.closed == 1);
}

TEST_CASE("An overflow of the queue is not reported after the connection is closed", "[net]") {
  for (const bool flush : {false, true}) {
    CAPTURE(flush);
    RespondingServer server;
    CHECK_FALSE(server.stream->Send(std::string(3 * kChunkBytes, 'x')));
    if (flush) {
      server.stream->CloseAfterFlush();
    } else {
      server.stream->Close();
    }
    CHECK(server.RunUntil([&] { return !server.stream->IsOpen(); }));
    server.loop.run_for(kShortFlushTimeout);
    CHECK(server.closed == 0);
  }
}

TEST_CASE("A stream reports that it has drained after each congestion", "[net]") {
  // Guards against a caller whose commands wait for good: the queue grew beyond the limit only
  // while a smaller write was in progress, and the rest was written at once.
  for (const std::size_t size : {kCongestedBytes / 4, kCongestedBytes / 2, 2 * kCongestedBytes}) {
    CAPTURE(size);
    RespondingServer server;
    server.stream->SetQueueLimit(std::size_t{64} << 20U);
    int drained = 0;
    server.stream->SetDrainedHandler([&] { ++drained; });
    for (int turn = 1; turn <= 3; ++turn) {
      while (!server.stream->IsCongested()) {
        REQUIRE(server.stream->Send(std::string(size, 'x')));
        server.loop.poll();
      }
      CHECK(server.RunUntil([&] {
        server.ReadSome();
        return drained == turn;
      }));
      CHECK_FALSE(server.stream->IsCongested());
    }
  }
}

TEST_CASE("A closed connection releases what its handlers hold", "[net]") {
  RespondingServer server;
  const auto held = std::make_shared<std::string>("held");
  const auto closed_by_handler = std::make_shared<Stream>(server.loop);
  closed_by_handler->Connect(
      {"127.0.0.1", server.listener.Port()}, kRunTimeout,
      [&, held] {
        closed_by_handler->Start(
            [closed_by_handler, held](std::string_view) {
              closed_by_handler->Close();
              CHECK(*held == "held");
            },
            [held] {});
        closed_by_handler->Send("first");
      },
      [](ConnectError) {});
  server.sent = 0;
  CHECK(server.RunUntil([&] { return held.use_count() == 1; }));
  CHECK_FALSE(closed_by_handler->IsOpen());
  CHECK(server.RunUntil([&] { return closed_by_handler.use_count() == 1; }));
}

}  // namespace valvekeel::net
