// Accepts TCP connections on one address.
//
// The listener owns the listening socket. The handler is not called after Close or after the
// listener's destruction. Not thread-safe: used on the event loop's thread only.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

#include "common/endpoint.h"

namespace valvekeel::net {

/// Listening socket that passes accepted connections to a handler.
class Listener {
 public:
  using Handler = std::function<void(asio::ip::tcp::socket socket)>;

  /// @param handler receives each accepted socket; what it refers to must outlive the listener.
  Listener(asio::io_context& loop, Handler handler);
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
  void Accept();

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
};

}  // namespace valvekeel::net
