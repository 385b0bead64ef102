// Requests to pool owners, here and on other daemons.
//
// Owns: the requests waiting for an answer. Invariant: every request is answered once: by its
// owner, or as unknown when the link to the owner ends; an answer that nobody waits for is dropped
// and counted. Thread: the event loop's.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <variant>

#include "cluster/member.h"
#include "peer/network.h"
#include "pool/protocol.h"

namespace valvekeel::daemon {

class PoolClient {
 public:
  PoolClient(asio::io_context& loop, peer::Network& network) : loop_(loop), network_(network) {}

  /// Sends a batch to its owner and waits for the answer.
  asio::awaitable<pool::BatchReply> Execute(cluster::Member owner, pool::BatchRequest request);

  /// Sends a barrier request to the primary's owner and waits for the answer.
  asio::awaitable<pool::BarrierReply> Barrier(cluster::Member owner, pool::BarrierRequest request);

  /// Sends a message that has no answer.
  void Send(const cluster::Member& owner, const pool::PoolMessage& message);

  /// Takes an answer.
  void OnReply(pool::BatchReply reply);
  void OnReply(pool::BarrierReply reply);

  /// Answers everything that waits for a member whose link has ended.
  void OnLost(const cluster::MemberId& member, bool connected);

  std::uint64_t LateReplies() const { return late_replies_; }
  std::size_t Waiting() const { return waiting_.size(); }

 private:
  struct Call {
    explicit Call(asio::io_context& loop) : timer(loop, asio::steady_timer::time_point::max()) {}
    asio::steady_timer timer;
    cluster::MemberId owner;
    std::variant<std::monostate, pool::BatchReply, pool::BarrierReply> answer;
    bool lost = false;
    bool connected = true;
  };

  template <typename Request>
  asio::awaitable<std::shared_ptr<Call>> Ask(cluster::Member owner, Request request);
  template <typename Reply>
  void Deliver(Reply reply);

  asio::io_context& loop_;
  peer::Network& network_;
  std::map<pool::RequestNumber, std::shared_ptr<Call>> waiting_;
  pool::RequestNumber next_ = 1;
  std::uint64_t late_replies_ = 0;
};

}  // namespace valvekeel::daemon
