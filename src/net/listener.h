// Accepts connections on one address.
//
// Owns: the listening socket. Invariant: after Close, or after the listener's end, the handler is
// not called any more. Thread: the event loop's.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

#include "common/endpoint.h"

namespace valvekeel::net {

class Listener {
 public:
  using Handler = std::function<void(asio::ip::tcp::socket socket)>;

  /// @param handler takes each connection; it outlives the listener.
  Listener(asio::io_context& loop, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @return false if the address cannot be bound.
  bool Listen(const common::Endpoint& address);

  std::uint16_t Port() const;
  void Close();

 private:
  void Accept();

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
};

}  // namespace valvekeel::net
