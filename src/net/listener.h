// Accepts TCP connections on one address.
//
// The listener owns the listening socket. No handler is called after Close or after the listener's
// destruction; a handler may destroy the listener. Not thread-safe: used on the event loop's thread
// only.
#pragma once

#include <asio/error_code.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "common/endpoint.h"

namespace valvekeel::net {

/// Listening socket that passes accepted connections to a handler.
class Listener {
 public:
  using Handler = std::function<void(asio::ip::tcp::socket socket)>;
  using FailureHandler = std::function<void(const asio::error_code& fault)>;

  /// @param handler receives each accepted socket; what it refers to must outlive the listener.
  /// @param failed called when a connection could not be accepted.
  Listener(asio::io_context& loop, Handler handler, FailureHandler failed = {});
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @return false if the address cannot be bound.
  bool Listen(const common::Endpoint& address);

  /// @return the bound port, which the system chooses if the address has port 0.
  std::uint16_t Port() const;
  /// Stops listening. Accepted connections stay open.
  void Close();

 private:
  struct State;
  static void Accept(const std::shared_ptr<State>& state);
  static void AcceptLater(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;  // shared with the operations in progress
};

}  // namespace valvekeel::net
