// HTTP server whose handlers run on the event loop.
//
// The server owns the listening socket and the HTTP threads. A handler runs on the loop's thread,
// so it may read the loop's state without locks; the HTTP thread waits up to 5 s for it and answers
// 503 otherwise. Constructed and destroyed on the loop's thread.
#pragma once

#include <httplib.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "common/result.h"

namespace valvekeel::http {

/// The request passed to a handler.
struct Request {
  std::string path;
  std::map<std::string, std::string> query;
  std::vector<std::string> captures;  // groups of the route's regular expression
  std::string body;
};

/// The response returned by a handler.
struct Reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
};

/// Error of Start: the address cannot be bound.
struct ListenError {
  std::string reason;
};

using Handler = std::function<Reply(const Request&)>;

/// Serves HTTP on one address.
class LoopServer {
 public:
  explicit LoopServer(asio::io_context& loop);
  ~LoopServer();
  LoopServer(const LoopServer&) = delete;
  LoopServer& operator=(const LoopServer&) = delete;

  /// Adds a route; call before Start. @param method GET or POST. @param pattern regular expression
  /// that the whole path matches.
  void Route(const std::string& method, const std::string& pattern, Handler handler);

  /// Starts listening. @param port 0 lets the system choose. @return the bound port or the error.
  common::Result<std::uint16_t, ListenError> Start(const std::string& host, std::uint16_t port);

  /// Stops listening and waits for the HTTP threads.
  void Stop();

 private:
  /// Runs the handler on the loop and waits for its reply, on an HTTP thread.
  void RunOnLoop(const Handler& handler, const httplib::Request& request,
                 httplib::Response& response);

  asio::io_context& loop_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace valvekeel::http
