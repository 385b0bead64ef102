// HTTP/1.1 client and server on the event loop.
//
// Owns: their connections. Invariant: every call's handler is called exactly once, at the latest
// when its time is over; a call that was not sent is told apart from one without an answer. Thread:
// the event loop's.
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
#include "net/http_parser.h"
#include "net/listener.h"
#include "net/stream.h"

namespace valvekeel::net {

/// Asks the server to end the connection with its answer: for a client that calls once.
inline const std::pair<std::string, std::string> kCloseAfterResponse{"Connection", "close"};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Why a call has no answer.
enum class HttpError {
  kNotSent,   // no connection: nothing was done
  kNoAnswer,  // sent, so it may have been done
};

using HttpResult = common::Result<HttpResponse, HttpError>;
using HttpHandler = std::function<void(const HttpResult&)>;

/// Calls one server; connections are kept and used again.
class HttpClient {
 public:
  HttpClient(asio::io_context& loop, common::Endpoint server);

  void SetServer(const common::Endpoint& server);

  /// @param timeout after which the call ends without an answer.
  void Call(const HttpRequest& request, std::chrono::microseconds timeout, HttpHandler handler);

 private:
  struct Connection;
  struct Exchange;

  void Send(const std::shared_ptr<Exchange>& exchange);
  static void Finish(const std::shared_ptr<Exchange>& exchange, const HttpResult& result);

  asio::io_context& loop_;
  common::Endpoint server_;
  std::shared_ptr<std::vector<std::shared_ptr<Connection>>> idle_;
};

/// Answers requests from handlers on the loop.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpMessage& request)>;

  HttpServer(asio::io_context& loop, Handler handler);

  /// @return false if the address cannot be bound.
  bool Listen(const common::Endpoint& address);

  std::uint16_t Port() const;

 private:
  void Serve(asio::ip::tcp::socket socket);

  asio::io_context& loop_;
  Handler handler_;
  Listener listener_;
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace valvekeel::net
