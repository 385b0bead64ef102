#include "daemon/pool_client.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace valvekeel::daemon {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;

}  // namespace

template <typename Request>
awaitable<std::shared_ptr<PoolClient::Call>> PoolClient::Ask(cluster::Member owner,
                                                             Request request) {
  request.number = next_++;
  auto waiting = std::make_shared<Call>(loop_);
  waiting->owner = owner.id;
  waiting_[request.number] = waiting;
  network_.Send(owner.id, owner.peer, peer::Channel::kPool,
                pool::ToJson(pool::PoolMessage{request}));
  if (!waiting->lost) {
    asio::error_code error;
    co_await waiting->timer.async_wait(redirect_error(use_awaitable, error));
  }
  waiting_.erase(request.number);
  co_return waiting;
}

awaitable<pool::BatchReply> PoolClient::Execute(cluster::Member owner, pool::BatchRequest request) {
  const auto waiting = co_await Ask(std::move(owner), std::move(request));
  if (auto* reply = std::get_if<pool::BatchReply>(&waiting->answer)) {
    co_return std::move(*reply);
  }
  pool::BatchReply lost;
  lost.outcome = waiting->connected ? pool::Outcome::kUnknown : pool::Outcome::kRefused;
  lost.refusal = waiting->connected ? pool::Refusal::kNone : pool::Refusal::kUnreachable;
  lost.reason = waiting->connected ? "the link to the pool owner ended before its answer"
                                   : "the pool owner cannot be reached";
  co_return lost;
}

awaitable<pool::BarrierReply> PoolClient::Barrier(cluster::Member owner,
                                                  pool::BarrierRequest request) {
  const auto waiting = co_await Ask(std::move(owner), std::move(request));
  if (auto* reply = std::get_if<pool::BarrierReply>(&waiting->answer)) {
    co_return std::move(*reply);
  }
  pool::BarrierReply lost;
  lost.reason = "the link to the pool owner ended";
  co_return lost;
}

void PoolClient::Send(const cluster::Member& owner, const pool::PoolMessage& message) {
  network_.Send(owner.id, owner.peer, peer::Channel::kPool, pool::ToJson(message));
}

template <typename Reply>
void PoolClient::Deliver(Reply reply) {
  const auto found = waiting_.find(reply.number);
  if (found == waiting_.end()) {
    ++late_replies_;
    return;
  }
  const auto waiting = found->second;
  waiting_.erase(found);
  waiting->answer = std::move(reply);
  waiting->timer.cancel();
}

void PoolClient::OnReply(pool::BatchReply reply) { Deliver(std::move(reply)); }

void PoolClient::OnReply(pool::BarrierReply reply) { Deliver(std::move(reply)); }

void PoolClient::OnLost(const cluster::MemberId& member, bool connected) {
  std::vector<std::shared_ptr<Call>> lost;
  for (const auto& [number, waiting] : waiting_) {
    if (waiting->owner == member) {
      lost.push_back(waiting);
    }
  }
  for (const auto& waiting : lost) {
    waiting->lost = true;
    waiting->connected = connected;
    waiting->timer.cancel();
  }
}

}  // namespace valvekeel::daemon
