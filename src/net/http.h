// HTTP/1.1 client and server on the event loop.
//
// Client and server own their connections. The handler of a call runs exactly once, at the latest
// when the call times out. A failed call reports whether the request may have reached the server.
// Not thread-safe: used on the event loop's thread only.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/endpoint.h"
#include "common/result.h"
#include "common/time.h"
#include "net/http_parser.h"
#include "net/listener.h"
#include "net/stream.h"

namespace valvekeel::net {

/// Header that asks the server to close the connection after its response. For clients that send a
/// single request.
inline const std::pair<std::string, std::string> kCloseAfterResponse{"Connection", "close"};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Why a call has no response.
enum class HttpError {
  kNotSent,   // no connection: the server has not executed the request
  kNoAnswer,  // sent without a response: the server may have executed the request
};

using HttpResult = common::Result<HttpResponse, HttpError>;
using HttpHandler = std::function<void(const HttpResult&)>;

/// Default time for a server to acknowledge sent bytes.
inline constexpr std::chrono::milliseconds kUnacknowledgedLimit{3'000};

/// Sends requests to one server. Reuses idle connections.
class HttpClient {
 public:
  /// @param unacknowledged_limit time after which sent bytes that the server has not acknowledged
  /// end their connection, also while this process stands still.
  HttpClient(asio::io_context& loop, common::Endpoint server,
             std::chrono::milliseconds unacknowledged_limit = kUnacknowledgedLimit);
  /// Closes the idle connections; calls in progress continue.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Changes the server. Closes the idle connections if the address differs; calls in progress
  /// continue.
  void SetServer(const common::Endpoint& server);

  /// Sends a request. A call that fails resets its connection, so that none of its bytes arrive
  /// later.
  /// @param timeout after which the call fails: kNotSent while connecting, kNoAnswer after sending.
  /// @param handler called exactly once, with the response or the error.
  /// @param send_before the request is not sent at this time or later, nor after the timeout.
  void Call(const HttpRequest& request, std::chrono::microseconds timeout, HttpHandler handler,
            common::Instant send_before = common::Instant::max());

 private:
  struct Connection;
  struct Exchange;
  using IdleConnections = std::vector<std::shared_ptr<Connection>>;

  static void Send(const std::shared_ptr<Exchange>& exchange);
  void CloseIdle();
  /// Finishes the connection's call if its response is complete.
  /// @param idle takes the connection for reuse; null if the client is destroyed.
  static void Receive(const std::shared_ptr<Connection>& connection, IdleConnections* idle);
  static void Finish(const std::shared_ptr<Exchange>& exchange, const HttpResult& result);

  asio::io_context& loop_;
  common::Endpoint server_;
  std::chrono::milliseconds unacknowledged_limit_;
  std::shared_ptr<IdleConnections> idle_;
};

/// Serves requests with one handler, which runs on the event loop.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpMessage& request)>;

  /// @param failed called when a connection could not be accepted.
  HttpServer(asio::io_context& loop, Handler handler, Listener::FailureHandler failed = {});

  /// @return false if the address cannot be bound.
  bool Listen(const common::Endpoint& address);

  /// @return the bound port, which the system chooses if the address has port 0.
  std::uint16_t Port() const;

 private:
  void Serve(asio::ip::tcp::socket socket);

  asio::io_context& loop_;
  Handler handler_;
  Listener listener_;
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace valvekeel::net
