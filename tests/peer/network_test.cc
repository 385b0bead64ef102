#include "peer/network.h"

#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>

namespace valvekeel::peer {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::chrono::milliseconds kPollInterval{1};
constexpr std::size_t kDeep = 1'000'000;

std::string Frame(const std::string& body) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>(body.size() >> static_cast<unsigned>(shift));
  }
  return frame + body;
}

std::string Frame(const json& message) {
  std::string body;
  json::to_cbor(message, body);
  return Frame(body);
}

/// @return true if the daemon closes a connection that carries the bytes.
bool IsClosedAfter(const std::string& bytes) {
  asio::io_context loop;
  Network network(loop, {"self", 1});
  const auto port = network.Listen("127.0.0.1", 0);
  REQUIRE(common::IsOk(port));
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), common::ValueOf(port)});
  bool closed = false;
  std::array<char, 16> input{};
  socket.async_read_some(asio::buffer(input),
                         [&](const asio::error_code& error, std::size_t) { closed = !!error; });
  asio::async_write(socket, asio::buffer(bytes), [](const asio::error_code&, std::size_t) {});
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!closed && std::chrono::steady_clock::now() < deadline) {
    loop.run_one_for(kPollInterval);
  }
  network.Stop();
  loop.run_for(kPollInterval);
  return closed;
}

}  // namespace

// Nested items overflowed the stack of the reader, and a greeting or channel of another type ended
// the process by an exception.
TEST_CASE("A peer that sends odd messages is disconnected", "[peer]") {
  CHECK(IsClosedAfter(Frame(std::string(kDeep, '\x81'))));
  CHECK(IsClosedAfter(Frame(std::string(kDeep, '\x7F'))));
  CHECK(IsClosedAfter(Frame(json::array({0, 5}))));
  CHECK(IsClosedAfter(Frame(json::array({0, {{"id", 5}, {"incarnation", 1}}}))));
  CHECK(IsClosedAfter(Frame(json::array({0, {{"id", "a"}, {"incarnation", "x"}}}))));
  CHECK(IsClosedAfter(Frame(json::array({-1, json::object()}))));
  CHECK(IsClosedAfter(Frame(json::array({1e300, json::object()}))));
  CHECK(IsClosedAfter(Frame(json::array({3, json::object()}))));
}

}  // namespace valvekeel::peer
