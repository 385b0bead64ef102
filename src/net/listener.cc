#include "net/listener.h"

#include <asio/error.hpp>
#include <utility>

namespace valvekeel::net {

Listener::Listener(asio::io_context& loop, Handler handler)
    : acceptor_(loop), handler_(std::move(handler)) {}

Listener::~Listener() { Close(); }

void Listener::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

bool Listener::Listen(const common::Endpoint& address) {
  asio::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (error) {
    return false;
  }
  const asio::ip::tcp::endpoint endpoint(host, address.port);
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
  if (error) {
    return false;
  }
  acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return false;
  }
  Accept();
  return true;
}

std::uint16_t Listener::Port() const {
  asio::error_code error;
  return acceptor_.local_endpoint(error).port();
}

void Listener::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    // A connection accepted just before Close is closed when its socket is destroyed here.
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (!error) {
      handler_(std::move(socket));
    }
    Accept();
  });
}

}  // namespace valvekeel::net
