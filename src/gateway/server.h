// Accepts callers' connections and serves a session on each.
//
// Owns: the listening socket and all sessions of this daemon. During a planned stop no new session
// is accepted and no request in progress is interrupted. All calls are made on the event loop's
// thread.
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

/// Why the server cannot listen.
struct ServerError {
  std::string reason;
};

/// Listening socket of the gateway, with the sessions accepted from it.
class Server {
 public:
  Server(asio::io_context& loop, Backends& backends, RoutingSettings routing,
         SessionSettings sessions);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept callers; port 0 takes any free port.
  /// @return the port bound to, or why the server cannot listen.
  common::Result<std::uint16_t, ServerError> Listen(const std::string& host, std::uint16_t port);

  /// Stops accepting and ends sessions as they become idle.
  void Drain();

  /// Closes every session.
  void Close();

  std::size_t SessionCount() const { return sessions_.size(); }

  /// @return sessions with a request or transaction in progress.
  std::size_t BusySessions() const;

  const RoutingCounters& Routing() const { return router_.Counters(); }
  /// @return the number of sessions accepted since the start.
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
