// Connections between this daemon and all others.
//
// Owns: the listening socket and every link. Invariant: at most one outgoing link per member; a
// member is reported lost once for each link to it that ends. Thread: the event loop's.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "cluster/member.h"
#include "common/result.h"
#include "peer/link.h"

namespace valvekeel::peer {

/// Which module a message is for.
enum class Channel : std::uint8_t { kGreeting = 0, kCluster = 1, kPool = 2 };

struct NetworkError {
  std::string reason;
};

/// Accepts links from and opens links to other daemons.
class Network {
 public:
  using MessageHandler =
      std::function<void(const std::shared_ptr<Link>&, Channel, const nlohmann::json&)>;
  using LostHandler = std::function<void(const cluster::MemberId&)>;
  /// @param connected false if the link never came up, so nothing sent on it arrived.
  using OutgoingLostHandler = std::function<void(const cluster::MemberId&, bool connected)>;

  Network(asio::io_context& loop, PeerIdentity self);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  /// @return the port bound to, or the error.
  common::Result<std::uint16_t, NetworkError> Listen(const std::string& host, std::uint16_t port);

  /// Sets the handlers; to be called before Listen.
  void OnMessage(MessageHandler handler) { on_message_ = std::move(handler); }
  void OnOutgoingLost(OutgoingLostHandler handler) { on_outgoing_lost_ = std::move(handler); }
  void OnIncomingLost(LostHandler handler) { on_incoming_lost_ = std::move(handler); }

  /// Sends to a member over the link to it, which is opened if needed.
  void Send(const cluster::MemberId& to, const cluster::Endpoint& address, Channel channel,
            const nlohmann::json& body);

  /// Sends on a link that the other side opened.
  static void Reply(const std::shared_ptr<Link>& link, Channel channel, const nlohmann::json& body);

  /// Closes the links to and from a member that was declared failed.
  void Drop(const cluster::MemberId& member);

  /// Closes everything.
  void Stop();

  const TrafficCounters& Counters() const { return counters_; }

 private:
  void Accept();
  void Dispatch(const std::shared_ptr<Link>& link, const nlohmann::json& message);
  std::shared_ptr<Link> Outgoing(const std::string& key, const cluster::Endpoint& address);

  asio::io_context& loop_;
  PeerIdentity self_;
  asio::ip::tcp::acceptor acceptor_;
  TrafficCounters counters_;
  std::map<std::string, std::shared_ptr<Link>> outgoing_;  // by member, or address before joining
  std::set<std::shared_ptr<Link>> incoming_;
  MessageHandler on_message_;
  OutgoingLostHandler on_outgoing_lost_;
  LostHandler on_incoming_lost_;
  bool stopping_ = false;
};

}  // namespace valvekeel::peer
