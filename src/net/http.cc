#include "net/http.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace valvekeel::net {
namespace {

/// Idle connections that a client keeps for reuse.
constexpr std::size_t kMaxIdleConnections = 8;
/// Connections that a server has open; it closes further ones on accept.
constexpr std::size_t kMaxServedConnections = 64;

std::string SerializeRequest(const HttpRequest& request, const common::Endpoint& server) {
  std::string bytes = request.method;
  const auto add = [&bytes](std::string_view part) { bytes.append(part); };
  add(" ");
  add(request.target);
  add(" HTTP/1.1\r\nHost: ");
  add(common::FormatEndpoint(server));
  add("\r\n");
  for (const auto& [name, value] : request.headers) {
    add(name);
    add(": ");
    add(value);
    add("\r\n");
  }
  if (!request.body.empty() || request.method != "GET") {
    add("Content-Type: application/json\r\nContent-Length: ");
    add(std::to_string(request.body.size()));
    add("\r\n");
  }
  add("\r\n");
  add(request.body);
  return bytes;
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string SerializeResponse(const HttpResponse& response, bool keep_alive) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " " +
                      ReasonPhrase(response.status) + "\r\nContent-Type: " + response.content_type +
                      "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (!keep_alive) {
    bytes += "Connection: close\r\n";
  }
  return bytes + "\r\n" + response.body;
}

/// One of the connections that a server may have open, until it is released.
class ServedConnection {
 public:
  explicit ServedConnection(std::shared_ptr<std::size_t> count) : count_(std::move(count)) {
    ++*count_;
  }
  ~ServedConnection() { Release(); }
  ServedConnection(const ServedConnection&) = delete;
  ServedConnection& operator=(const ServedConnection&) = delete;

  /// Counts the connection no longer. Further calls have no effect.
  void Release() {
    if (count_) {
      --*std::exchange(count_, nullptr);
    }
  }

 private:
  std::shared_ptr<std::size_t> count_;
};

}  // namespace

struct HttpClient::Connection {
  std::shared_ptr<Stream> stream;
  HttpParser parser{HttpRole::kReadsResponses};
  std::shared_ptr<Exchange> exchange;  // call in progress, or null
};

struct HttpClient::Exchange {
  explicit Exchange(asio::io_context& loop) : timer(loop) {}

  asio::steady_timer timer;
  std::string bytes;
  HttpHandler handler;
  std::shared_ptr<Connection> connection;
  common::Instant send_before{0};
  bool sent = false;
  bool finished = false;
};

HttpClient::HttpClient(asio::io_context& loop, common::Endpoint server,
                       std::chrono::milliseconds unacknowledged_limit)
    : loop_(loop),
      server_(std::move(server)),
      unacknowledged_limit_(unacknowledged_limit),
      idle_(std::make_shared<IdleConnections>()) {}

HttpClient::~HttpClient() { CloseIdle(); }

void HttpClient::CloseIdle() {
  for (const auto& connection : *idle_) {
    connection->stream->Close();
  }
  idle_->clear();
}

void HttpClient::SetServer(const common::Endpoint& server) {
  if (server == server_) {
    return;
  }
  server_ = server;
  CloseIdle();
}

void HttpClient::Finish(const std::shared_ptr<Exchange>& exchange, const HttpResult& result) {
  if (exchange->finished) {
    return;
  }
  exchange->finished = true;
  exchange->timer.cancel();
  const HttpHandler handler = std::move(exchange->handler);
  const std::shared_ptr<Connection> connection = std::move(exchange->connection);
  if (connection) {
    if (!common::IsOk(result)) {
      connection->stream->Reset();
    }
    // `exchange` may refer to this pointer, so it must not be used after the reset.
    connection->exchange.reset();
  }
  handler(result);
}

void HttpClient::Receive(const std::shared_ptr<Connection>& connection, IdleConnections* idle) {
  const std::shared_ptr<Exchange> done = connection->exchange;
  if (!done) {
    connection->stream->Close();
    return;
  }
  std::vector<HttpMessage> messages = connection->parser.TakeMessages();
  if (messages.empty()) {
    return;
  }
  // The handler may start a call at once, which must not take a connection whose next bytes belong
  // to no request.
  const bool only_response = messages.size() == 1 && connection->parser.AtMessageBoundary();
  HttpMessage& message = messages.front();
  if (only_response && message.keep_alive && idle != nullptr &&
      idle->size() < kMaxIdleConnections) {
    idle->push_back(connection);
  } else {
    connection->stream->CloseAfterFlush();
  }
  HttpResponse response;
  response.status = message.status;
  response.body = std::move(message.body);
  response.headers = std::move(message.headers);
  Finish(done, response);
}

void HttpClient::Call(const HttpRequest& request, std::chrono::microseconds timeout,
                      HttpHandler handler, common::Instant send_before) {
  auto exchange = std::make_shared<Exchange>(loop_);
  exchange->bytes = SerializeRequest(request, server_);
  exchange->handler = std::move(handler);
  exchange->send_before = std::min<common::Instant>(send_before, common::SteadyNow() + timeout);
  exchange->timer.expires_after(timeout);
  exchange->timer.async_wait([exchange](const asio::error_code& cancelled) {
    if (!cancelled) {
      Finish(exchange, exchange->sent ? HttpError::kNoAnswer : HttpError::kNotSent);
    }
  });
  while (!idle_->empty()) {
    const std::shared_ptr<Connection> connection = idle_->back();
    idle_->pop_back();
    if (connection->stream->IsOpen()) {
      exchange->connection = connection;
      connection->exchange = exchange;
      Send(exchange);
      return;
    }
  }
  auto connection = std::make_shared<Connection>();
  connection->stream = std::make_shared<Stream>(loop_);
  connection->stream->SetUserTimeout(static_cast<unsigned>(unacknowledged_limit_.count()));
  connection->exchange = exchange;
  exchange->connection = connection;
  const std::weak_ptr<Connection> weak = connection;
  const std::weak_ptr<IdleConnections> idle = idle_;
  connection->stream->Connect(
      server_, timeout,
      [weak, idle] {
        const auto opened = weak.lock();
        if (!opened || !opened->exchange) {
          return;
        }
        opened->stream->Start(
            [weak, idle](std::string_view bytes) {
              const auto reading = weak.lock();
              if (!reading) {
                return;
              }
              if (!reading->parser.Feed(bytes)) {
                if (reading->exchange) {
                  Finish(reading->exchange, HttpError::kNoAnswer);
                }
                reading->stream->Close();
                return;
              }
              Receive(reading, idle.lock().get());
            },
            [weak] {
              const auto ended = weak.lock();
              if (ended && ended->exchange) {
                Finish(ended->exchange, HttpError::kNoAnswer);
              }
            });
        Send(opened->exchange);
      },
      [weak](ConnectError) {
        const auto failed = weak.lock();
        if (failed && failed->exchange) {
          Finish(failed->exchange, HttpError::kNotSent);
        }
      });
}

void HttpClient::Send(const std::shared_ptr<Exchange>& exchange) {
  // After a standstill of the process, the event loop handles an opened connection before an
  // expired timer.
  if (common::SteadyNow() >= exchange->send_before) {
    asio::post(exchange->timer.get_executor(),
               [exchange] { Finish(exchange, HttpError::kNotSent); });
    return;
  }
  exchange->sent = true;
  exchange->connection->stream->Send(std::move(exchange->bytes));
}

HttpServer::HttpServer(asio::io_context& loop, Handler handler, Listener::FailureHandler failed)
    : loop_(loop),
      handler_(std::move(handler)),
      listener_(
          loop, [this](asio::ip::tcp::socket socket) { Serve(std::move(socket)); },
          std::move(failed)) {}

bool HttpServer::Listen(const common::Endpoint& address) { return listener_.Listen(address); }

std::uint16_t HttpServer::Port() const { return listener_.Port(); }

void HttpServer::Serve(asio::ip::tcp::socket socket) {
  if (*connections_ >= kMaxServedConnections) {
    asio::error_code ignored;
    socket.close(ignored);
    return;
  }
  const auto served = std::make_shared<ServedConnection>(connections_);
  auto stream = std::make_shared<Stream>(loop_, std::move(socket));
  auto parser = std::make_shared<HttpParser>(HttpRole::kReadsRequests);
  const std::weak_ptr<Stream> weak = stream;
  stream->Start(
      [this, weak, parser, served](std::string_view bytes) {
        const auto serving = weak.lock();
        if (!serving) {
          return;
        }
        if (!parser->Feed(bytes)) {
          serving->Close();
          served->Release();
          return;
        }
        for (const HttpMessage& message : parser->TakeMessages()) {
          serving->Send(SerializeResponse(handler_(message), message.keep_alive));
          if (!message.keep_alive) {
            serving->CloseAfterFlush();
            served->Release();
            return;
          }
        }
      },
      [served] { served->Release(); });
}

}  // namespace valvekeel::net
