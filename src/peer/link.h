// One TCP connection between two daemons, carrying length-prefixed CBOR messages.
//
// Owns: the socket, the bytes waiting to be sent and the partial message received. Invariant:
// messages arrive whole and in the order sent, or the link closes; OnClosed is called exactly once.
// Thread: the event loop's.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace valvekeel::peer {

/// Bytes and messages that went over a link or all links.
struct TrafficCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

/// Who is at the other end, as its greeting said.
struct PeerIdentity {
  cluster::MemberId id;
  std::uint64_t incarnation = 0;

  bool operator==(const PeerIdentity&) const = default;
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  using MessageHandler = std::function<void(const std::shared_ptr<Link>&, nlohmann::json)>;
  using ClosedHandler = std::function<void(const std::shared_ptr<Link>&)>;

  /// @param counters outlives the link.
  Link(asio::ip::tcp::socket socket, TrafficCounters& counters);

  /// Starts to read. Handlers run on the event loop.
  void Start(MessageHandler on_message, ClosedHandler on_closed);

  /// Connects first, then starts; messages sent meanwhile wait.
  void Connect(const asio::ip::tcp::endpoint& remote, MessageHandler on_message,
               ClosedHandler on_closed);

  /// Queues a message. A link whose queue is over its limit closes.
  void Send(const nlohmann::json& message);

  void Close();

  bool Closed() const { return closed_; }

  /// @return true if the connection ever came up.
  bool WasConnected() const { return connected_; }

  PeerIdentity identity;  // empty until the greeting came

 private:
  void Read();
  void Write();
  bool TakeMessages();

  asio::ip::tcp::socket socket_;
  TrafficCounters& counters_;
  MessageHandler on_message_;
  ClosedHandler on_closed_;
  std::vector<char> read_buffer_;
  std::string received_;
  std::string waiting_;
  std::string writing_;
  bool connected_ = false;
  bool closed_ = false;
};

}  // namespace valvekeel::peer
