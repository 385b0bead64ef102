// Accepts callers and keeps their sessions.
//
// Owns: the listening socket and all sessions of this daemon. Invariant: while stopping, no new
// session is accepted and no request in progress is cut off. Thread: the event loop's.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "common/result.h"
#include "gateway/session.h"

namespace valvekeel::gateway {

struct ServerError {
  std::string reason;
};

class Server {
 public:
  Server(asio::io_context& loop, Backends& backends, RoutingSettings routing,
         SessionSettings sessions);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @return the port bound to, or the error.
  common::Result<std::uint16_t, ServerError> Listen(const std::string& host, std::uint16_t port);

  /// Stops accepting and ends sessions as they become idle.
  void Drain();

  /// Closes every session.
  void Close();

  std::size_t SessionCount() const { return sessions_.size(); }

  /// @return sessions with a request or transaction in progress.
  std::size_t BusySessions() const;

  const RoutingCounters& Routing() const { return router_.Counters(); }
  std::uint64_t AcceptedSessions() const { return next_session_ - 1; }

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Session> session);
  void Cancel(const CancelKey& key);

  asio::io_context& loop_;
  Backends& backends_;
  SessionSettings session_settings_;
  BatchRouter router_;
  sql::ParseCache cache_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<CancelKey, std::shared_ptr<Session>> sessions_;
  pool::SessionNumber next_session_ = 1;
  bool stopping_ = false;
};

}  // namespace valvekeel::gateway
