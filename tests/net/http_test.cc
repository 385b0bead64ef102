#include "net/http.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace valvekeel::net {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::ValueOf;

constexpr std::chrono::milliseconds kTimeout{300};
/// More than a connection queues.
constexpr std::size_t kOverflowBytes = std::size_t{5} << 20U;

/// Sends a request and runs the loop until its handler is called.
/// @param then called by that handler.
HttpResult CallAndWait(
    asio::io_context& loop, HttpClient& client, const HttpRequest& request,
    const HttpHandler& then = [](const HttpResult&) {}) {
  std::optional<HttpResult> outcome;
  client.Call(request, kTimeout, [&](const HttpResult& result) {
    outcome = result;
    then(result);
  });
  while (!outcome) {
    loop.run_one();
  }
  return *outcome;
}

/// Accepts connections and closes each on its first input, without a response.
class DisconnectingServer {
 public:
  explicit DisconnectingServer(asio::io_context& loop)
      : loop_(loop), acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      auto stream = std::make_shared<Stream>(loop_, std::move(socket));
      const std::weak_ptr<Stream> weak = stream;
      stream->Start([weak](std::string_view) { weak.lock()->Close(); }, [] {});
      Accept();
    });
  }

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
};

/// Responds to each block of input with the next of the given texts.
class RespondingServer {
 public:
  RespondingServer(asio::io_context& loop, std::vector<std::string> responses)
      : loop_(loop),
        responses_(std::move(responses)),
        listener_(loop, [this](asio::ip::tcp::socket socket) { Serve(std::move(socket)); }) {
    REQUIRE(listener_.Listen({"127.0.0.1", 0}));
  }
  std::uint16_t Port() const { return listener_.Port(); }
  /// @return the number of connections that the clients ended.
  int Ended() const { return ended_; }
  /// Sends bytes on the newest connection without a request.
  void SendUnasked(const std::string& bytes) { newest_->Send(bytes); }

 private:
  void Serve(asio::ip::tcp::socket socket) {
    auto stream = std::make_shared<Stream>(loop_, std::move(socket));
    const std::weak_ptr<Stream> weak = stream;
    newest_ = stream;
    stream->Start(
        [this, weak](std::string_view) {
          if (next_ < responses_.size()) {
            weak.lock()->Send(responses_[next_++]);
          }
        },
        [this] { ++ended_; });
  }

  asio::io_context& loop_;
  std::vector<std::string> responses_;
  std::size_t next_ = 0;
  int ended_ = 0;
  std::shared_ptr<Stream> newest_;
  Listener listener_;
};

}  // namespace

TEST_CASE("The client gets a response to each of two consecutive calls", "[net]") {
  asio::io_context loop;
  HttpServer server(loop, [](const HttpMessage& request) {
    return HttpResponse{
        200, request.method + " " + request.target + " " + request.body, "text/plain", {}};
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  for (const std::string body : {"one", "two"}) {
    HttpRequest request;
    request.method = "PUT";
    request.target = "/path?a=1";
    request.body = body;
    const HttpResult result = CallAndWait(loop, client, request);
    REQUIRE(IsOk(result));
    CHECK(ValueOf(result).body == "PUT /path?a=1 " + body);
  }
}

TEST_CASE("A connection closed during a call makes the call fail with kNoAnswer", "[net]") {
  asio::io_context loop;
  DisconnectingServer server(loop);
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  const HttpResult result = CallAndWait(loop, client, {});
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result) == HttpError::kNoAnswer);
}

TEST_CASE("A call to a port without a listener fails with kNotSent", "[net]") {
  asio::io_context loop;
  asio::ip::tcp::acceptor unused(loop, {asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t port = unused.local_endpoint().port();
  unused.close();
  HttpClient client(loop, {"127.0.0.1", port});
  const HttpResult result = CallAndWait(loop, client, {});
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result) == HttpError::kNotSent);
}

TEST_CASE("The parser rejects input that is not HTTP and oversized heads", "[net]") {
  HttpParser garbage(HttpRole::kReadsRequests);
  CHECK_FALSE(garbage.Feed("\x01\x02 nothing\r\n\r\n"));
  HttpParser endless(HttpRole::kReadsRequests);
  bool accepted = endless.Feed("GET / HTTP/1.1\r\n");
  for (int i = 0; accepted && i < 2000; ++i) {
    accepted = endless.Feed("Name-" + std::to_string(i) + ": " + std::string(100, 'x') + "\r\n");
  }
  CHECK_FALSE(accepted);
}

TEST_CASE("A request is not sent after its timeout, although the connection opened in time",
          "[net]") {
  // Guards against a promotion that a daemon sends after a standstill, when another one holds the
  // right to promote: the loop handles the opened connection before the expired timer.
  asio::io_context loop;
  int requests = 0;
  HttpServer server(loop, [&requests](const HttpMessage&) {
    ++requests;
    return HttpResponse{200, "answer", "text/plain", {}};
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  std::optional<HttpResult> outcome;
  client.Call({}, kTimeout, [&](const HttpResult& result) { outcome = result; });
  std::this_thread::sleep_for(kTimeout);
  loop.run_for(kTimeout);
  REQUIRE(outcome);
  REQUIRE_FALSE(IsOk(*outcome));
  CHECK(ErrorOf(*outcome) == HttpError::kNotSent);
  CHECK(requests == 0);
}

TEST_CASE("A request is not sent once the right to send it has ended", "[net]") {
  asio::io_context loop;
  int requests = 0;
  HttpServer server(loop, [&requests](const HttpMessage&) {
    ++requests;
    return HttpResponse{200, "answer", "text/plain", {}};
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  REQUIRE(IsOk(CallAndWait(loop, client, {})));  // leaves an idle connection
  std::optional<HttpResult> outcome;
  client.Call(
      {}, kTimeout, [&](const HttpResult& result) { outcome = result; }, common::SteadyNow());
  loop.run_for(kTimeout);
  REQUIRE(outcome);
  CHECK(ErrorOf(*outcome) == HttpError::kNotSent);
  CHECK(requests == 1);
}

TEST_CASE("200 consecutive clients that send one request each all get a response", "[net]") {
  constexpr int kClients = 200;
  asio::io_context loop;
  HttpServer server(loop, [](const HttpMessage&) {
    return HttpResponse{200, "answer", "text/plain", {}};
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  // The clients live until the end of the test, so their destruction cannot free the connections:
  // the server must release each one after its response, or it reaches its limit of 64.
  std::vector<std::unique_ptr<HttpClient>> clients;
  int answered = 0;
  for (int number = 0; number < kClients; ++number) {
    clients.push_back(
        std::make_unique<HttpClient>(loop, common::Endpoint{"127.0.0.1", server.Port()}));
    HttpRequest request;
    request.headers = {kCloseAfterResponse};
    answered += IsOk(CallAndWait(loop, *clients.back(), request)) ? 1 : 0;
  }
  CHECK(answered == kClients);
}

TEST_CASE("A response that cannot be queued takes up no connection of the server", "[net]") {
  // The count of connections went below zero, and the server closed every later connection.
  asio::io_context loop;
  HttpServer server(loop, [](const HttpMessage& request) {
    const std::size_t size = request.target == "/large" ? kOverflowBytes : 1;
    return HttpResponse{200, std::string(size, 'x'), "text/plain", {}};
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  HttpRequest large;
  large.target = "/large";
  for (const bool keep_alive : {true, false}) {
    CAPTURE(keep_alive);
    if (!keep_alive) {
      large.headers = {kCloseAfterResponse};
    }
    CHECK_FALSE(IsOk(CallAndWait(loop, client, large)));
    CHECK(IsOk(CallAndWait(loop, client, {})));
  }
}

TEST_CASE("A response that follows another without a request finishes no later call", "[net]") {
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
  for (const std::size_t size : {stray.size(), stray.size() - 1, std::size_t{1}}) {
    CAPTURE(size);
    asio::io_context loop;
    RespondingServer server(loop, {first + stray.substr(0, size),
                                   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"});
    HttpClient client(loop, {"127.0.0.1", server.Port()});
    std::optional<HttpResult> second;
    const HttpResult result = CallAndWait(loop, client, {}, [&](const HttpResult&) {
      client.Call({}, kTimeout, [&](const HttpResult& later) { second = later; });
    });
    REQUIRE(IsOk(result));
    CHECK(ValueOf(result).body == "first");
    while (!second) {
      loop.run_one();
    }
    REQUIRE(IsOk(*second));
    CHECK(ValueOf(*second).body == "second");
  }
}

TEST_CASE("A destroyed client closes its idle connections", "[net]") {
  // The idle connections and the list of them kept each other alive.
  asio::io_context loop;
  RespondingServer server(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
  auto client = std::make_unique<HttpClient>(loop, common::Endpoint{"127.0.0.1", server.Port()});
  REQUIRE(IsOk(CallAndWait(loop, *client, {})));
  loop.run_for(kTimeout);
  REQUIRE(server.Ended() == 0);
  client.reset();
  loop.run_for(kTimeout);
  CHECK(server.Ended() == 1);
}

TEST_CASE("A part of a response that arrives between two calls spoils no later call", "[net]") {
  asio::io_context loop;
  RespondingServer server(loop, {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"});
  HttpClient client(loop, {"127.0.0.1", server.Port()});
  REQUIRE(IsOk(CallAndWait(loop, client, {})));
  server.SendUnasked("HTTP/1.1 200 OK\r\nContent-");
  loop.run_for(kTimeout);
  const HttpResult second = CallAndWait(loop, client, {});
  REQUIRE(IsOk(second));
  CHECK(ValueOf(second).body == "second");
}

}  // namespace valvekeel::net
