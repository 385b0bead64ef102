// Tracks the other daemons by the heartbeats received from them.
//
// Owns: when the last message of each peer arrived, and which of this daemon's messages the peer
// had received by then. Invariant: a time derived from a peer's age is never later than the true
// one, since it is counted from the sending of a message that the peer had already received. No I/O
// and no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/endpoint.h"
#include "common/time.h"
#include "membership/live_view.h"
#include "proxy/peer_message.h"

namespace valvekeel::proxy {

/// Time without a message after which a peer does not count as alive, unless its announced interval
/// is longer.
inline constexpr common::Duration kPeerTimeout{900'000};

struct Peer {
  common::Endpoint address;
  std::string name;  // empty until it is known
  std::optional<common::Instant> last_received_at;
  std::uint64_t incarnation = 0;
  std::uint64_t highest_sequence = 0;  // received from this incarnation
  std::uint64_t next_sequence = 1;     // of this daemon's messages to it
  std::deque<std::pair<std::uint64_t, common::Instant>> sent;
  common::Instant last_echoed_sent_at{0};  // send time of the newest message that it has echoed
  common::Instant next_heartbeat{0};
  common::Duration send_interval{0};  // of heartbeats in a large deployment; 0: sends none
  /// Since when it receives this daemon's counts of the tenants' operations. The first message has
  /// all of them.
  std::optional<common::Instant> counts_reported_since;
  PeerMessage last;
  common::Instant hubs_sent_at{0};  // when the list of hubs was last sent to it
  bool looks_for_hubs = false;      // it asks for the hubs because it lacks the membership
  bool suspects_primary = false;    // its last message suspects some primary
};

class PeerTable {
 public:
  /// @param incarnation of this daemon.
  PeerTable(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  /// Adds an address to send to, unless it is known.
  /// @param name of the daemon there, if known.
  Peer& Add(const common::Endpoint& address, const std::string& name = "");

  /// Sets the sender, sequence and echo of a message to the peer, and records when it is sent.
  void FillHeader(Peer& peer, PeerMessage& message, common::Instant now) const;

  /// Records a received message.
  /// @return the local time that the message's ages count from, at the latest; nothing if it is
  /// unknown or if the message is older than one already received.
  std::optional<common::Instant> Receive(const common::Endpoint& from, const PeerMessage& message,
                                         common::Instant now);

  bool IsAlive(const Peer& peer, common::Instant now) const;

  /// @return true if the daemon at the address is alive and has this incarnation.
  bool AliveWithIncarnation(const common::Endpoint& address, std::uint64_t incarnation,
                            common::Instant now) const;

  /// @return names of the live peers that are not stopping.
  std::vector<std::string> LiveNames(common::Instant now) const;

  /// @return number of peers that sent a message received within this time.
  std::size_t CountReceivedWithin(common::Duration age, common::Instant now) const;

  std::map<common::Endpoint, Peer>& All() { return peers_; }
  const std::map<common::Endpoint, Peer>& All() const { return peers_; }
  /// @return the peer that last sent a message under the name, or one that is only known by
  /// address; nullptr if there is none.
  const Peer* FindByName(const std::string& name) const;

  /// @return true if some live peer suspects a primary.
  bool AnyPrimarySuspected(common::Instant now) const;

 private:
  std::string self_;
  std::uint64_t incarnation_;
  std::map<common::Endpoint, Peer> peers_;
  std::unordered_map<std::string, Peer*> by_name_;  // map entries do not move
};

}  // namespace valvekeel::proxy
