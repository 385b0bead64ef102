#include "http/loop_server.h"

#include <absl/strings/str_cat.h>

#include <asio/post.hpp>
#include <chrono>
#include <future>
#include <utility>

#include "runtime/logging.h"

namespace valvekeel::http {
namespace {

/// Maximum time that an HTTP thread waits for a handler on the loop.
constexpr std::chrono::seconds kHandlerTimeout{5};
constexpr int kInternalError = 500;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kHttpThreads = 2;

Request ConvertRequest(const httplib::Request& request) {
  Request converted;
  converted.path = request.path;
  converted.body = request.body;
  for (const auto& [name, value] : request.params) {
    converted.query[name] = value;
  }
  for (std::size_t i = 1; i < request.matches.size(); ++i) {
    converted.captures.push_back(request.matches[i].str());
  }
  return converted;
}

/// @return the handler's reply. A request that makes the handler throw must not end the process.
Reply CallHandler(const Handler& handler, const Request& request) {
  try {
    return handler(request);
  } catch (const std::exception& error) {
    runtime::Log(runtime::LogLevel::kError, "http_handler_failed",
                 {{"path", request.path}, {"reason", error.what()}});
    return {kInternalError, "{\"error\":\"the request cannot be answered\"}"};
  }
}

}  // namespace

LoopServer::LoopServer(asio::io_context& loop) : loop_(loop) {
  server_.new_task_queue = [] { return new httplib::ThreadPool(kHttpThreads); };
  server_.set_keep_alive_max_count(1);
}

LoopServer::~LoopServer() { Stop(); }

void LoopServer::RunOnLoop(const Handler& handler, const httplib::Request& request,
                           httplib::Response& response) {
  auto promise = std::make_shared<std::promise<Reply>>();
  std::future<Reply> future = promise->get_future();
  asio::post(loop_, [promise, handler, converted = ConvertRequest(request)] {
    promise->set_value(CallHandler(handler, converted));
  });
  if (future.wait_for(kHandlerTimeout) != std::future_status::ready) {
    response.status = kServiceUnavailable;
    response.set_content("{\"error\":\"the event loop did not answer in time\"}",
                         "application/json");
    return;
  }
  const Reply reply = future.get();
  response.status = reply.status;
  response.set_content(reply.body, reply.content_type);
}

void LoopServer::Route(const std::string& method, const std::string& pattern, Handler handler) {
  auto run = [this, handler = std::move(handler)](const httplib::Request& request,
                                                  httplib::Response& response) {
    RunOnLoop(handler, request, response);
  };
  if (method == "GET") {
    server_.Get(pattern, run);
  } else {
    server_.Post(pattern, run);
  }
}

common::Result<std::uint16_t, ListenError> LoopServer::Start(const std::string& host,
                                                             std::uint16_t port) {
  int bound_port = port;
  if (port == 0) {
    bound_port = server_.bind_to_any_port(host);
  } else if (!server_.bind_to_port(host, port)) {
    bound_port = -1;
  }
  if (bound_port < 0) {
    return ListenError{absl::StrCat("cannot listen for HTTP on ", host, ":", port)};
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return static_cast<std::uint16_t>(bound_port);
}

void LoopServer::Stop() {
  if (thread_.joinable()) {
    server_.stop();
    thread_.join();
  }
}

}  // namespace valvekeel::http
