#include "gateway/server.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace valvekeel::gateway {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr std::size_t kMaxCachedTexts = 2000;
constexpr std::size_t kMaxCachedTextBytes = 10'000;

std::uint32_t RandomKey() {
  static absl::BitGen generator;
  return absl::Uniform<std::uint32_t>(generator);
}

}  // namespace

Server::Server(asio::io_context& loop, Backends& backends, RoutingSettings routing,
               SessionSettings sessions)
    : loop_(loop),
      backends_(backends),
      session_settings_(sessions),
      router_(backends, std::move(routing)),
      cache_(kMaxCachedTexts, kMaxCachedTextBytes),
      acceptor_(loop) {}

Server::~Server() = default;

common::Result<std::uint16_t, ServerError> Server::Listen(const std::string& host,
                                                          std::uint16_t port) {
  asio::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error) {
    return ServerError{absl::StrCat("\"", host, "\" is not an IP address")};
  }
  const tcp::endpoint endpoint(address, port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return ServerError{
        absl::StrCat("cannot listen for callers on ", host, ":", port, ": ", error.message())};
  }
  asio::co_spawn(loop_, Accept(), asio::detached);
  return acceptor_.local_endpoint().port();
}

awaitable<void> Server::Accept() {
  while (true) {
    asio::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(redirect_error(use_awaitable, error));
    if (error) {
      co_return;
    }
    socket.set_option(tcp::no_delay(true), error);
    const pool::SessionNumber number = next_session_++;
    const CancelKey key{static_cast<std::uint32_t>(number), RandomKey()};
    auto session = std::make_shared<Session>(
        SessionServices{loop_, backends_, router_, cache_, session_settings_, stopping_},
        std::move(socket), number, key, [this](const CancelKey& target) { Cancel(target); });
    sessions_[key] = session;
    asio::co_spawn(loop_, Serve(std::move(session)), asio::detached);
  }
}

awaitable<void> Server::Serve(std::shared_ptr<Session> session) {
  co_await session->Run();
  sessions_.erase(session->Key());
}

void Server::Cancel(const CancelKey& key) {
  const auto found = sessions_.find(key);
  if (found != sessions_.end()) {
    found->second->Cancel();
  }
}

void Server::Drain() {
  stopping_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  std::vector<std::shared_ptr<Session>> sessions;
  for (const auto& [key, session] : sessions_) {
    sessions.push_back(session);
  }
  for (const auto& session : sessions) {
    session->Stop();
  }
}

void Server::Close() {
  for (const auto& [key, session] : sessions_) {
    session->Close();
  }
}

std::size_t Server::BusySessions() const {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& entry) { return entry.second->Busy(); }));
}

}  // namespace valvekeel::gateway
