#include "net/listener.h"

#include <asio/error.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace valvekeel::net {
namespace {

/// Pause after a failed accept. A shortage of descriptors lasts until some connection ends.
constexpr std::chrono::milliseconds kRetryPause{50};

}  // namespace

struct Listener::State {
  State(asio::io_context& loop, Handler on_accepted, FailureHandler on_failed)
      : acceptor(loop),
        retry(loop),
        accepted(std::move(on_accepted)),
        failed(std::move(on_failed)) {}

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer retry;
  Handler accepted;
  FailureHandler failed;
};

Listener::Listener(asio::io_context& loop, Handler handler, FailureHandler failed)
    : state_(std::make_shared<State>(loop, std::move(handler), std::move(failed))) {}

Listener::~Listener() { Close(); }

void Listener::Close() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  state_->retry.cancel();
}

bool Listener::Listen(const common::Endpoint& address) {
  asio::ip::tcp::acceptor& acceptor = state_->acceptor;
  asio::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (error) {
    return false;
  }
  const asio::ip::tcp::endpoint endpoint(host, address.port);
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (error) {
    return false;
  }
  acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return false;
  }
  Accept(state_);
  return true;
}

std::uint16_t Listener::Port() const {
  asio::error_code error;
  return state_->acceptor.local_endpoint(error).port();
}

void Listener::Accept(const std::shared_ptr<State>& state) {
  state->acceptor.async_accept(
      [state](const asio::error_code& error, asio::ip::tcp::socket socket) {
        // A connection accepted just before Close is closed when its socket is destroyed here.
        if (!state->acceptor.is_open()) {
          return;
        }
        if (error) {
          if (state->failed) {
            state->failed(error);
          }
          AcceptLater(state);
          return;
        }
        state->accepted(std::move(socket));
        if (state->acceptor.is_open()) {
          Accept(state);
        }
      });
}

void Listener::AcceptLater(const std::shared_ptr<State>& state) {
  if (!state->acceptor.is_open()) {
    return;
  }
  state->retry.expires_after(kRetryPause);
  state->retry.async_wait([state](const asio::error_code& cancelled) {
    if (!cancelled && state->acceptor.is_open()) {
      Accept(state);
    }
  });
}

}  // namespace valvekeel::net
