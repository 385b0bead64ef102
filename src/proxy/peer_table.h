// The other daemons, as heard from.
//
// Owns: when each was heard and which of our messages it had seen. Invariant: an instant derived
// from a peer's age is never later than the true one: it is counted from our own message that the
// peer had seen when it sent. Pure. Thread: its host's.
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

/// Silence after which a peer does not count as alive, unless it said that it sends less often.
inline constexpr common::Duration kPeerTimeout{900'000};

struct Peer {
  common::Endpoint address;
  std::string name;  // empty until it is known
  std::optional<common::Instant> last_received_at;
  std::uint64_t incarnation = 0;
  std::uint64_t highest_sequence = 0;  // heard of this incarnation
  std::uint64_t next_sequence = 1;     // of our messages to it
  std::deque<std::pair<std::uint64_t, common::Instant>> sent;
  common::Instant last_echoed_sent_at{
      0};  // when the newest of our messages that it has seen was sent
  common::Instant next_heartbeat{0};
  common::Duration send_interval{
      0};  // between heartbeats in a large deployment; 0 if there are none
  /// Since when it is told this daemon's counts of tenants' operations, all of them at first.
  std::optional<common::Instant> counts_reported_since;
  PeerMessage last;
  common::Instant hubs_sent_at{0};  // when it was last told who the hubs are
  bool looks_for_hubs = false;      // it does not know who lives
  bool suspects_primary = false;    // its last message takes some primary for lost
};

class PeerTable {
 public:
  /// @param incarnation of this daemon.
  PeerTable(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  /// Adds an address to send to, unless it is known. @param name of the daemon there, if known.
  Peer& Add(const common::Endpoint& address, const std::string& name = "");

  /// Completes a message for the peer: sequence, echo.
  void FillHeader(Peer& peer, PeerMessage& message, common::Instant now) const;

  /// Takes a message.
  /// @return our instant that the peer's ages count from, at the latest; nothing if unknown or if
  /// the message is older than one already taken.
  std::optional<common::Instant> Receive(const common::Endpoint& from, const PeerMessage& message,
                                         common::Instant now);

  bool Alive(const Peer& peer, common::Instant now) const;

  /// @return true if the daemon at the address is alive and still in this life.
  bool AliveWithIncarnation(const common::Endpoint& address, std::uint64_t incarnation,
                            common::Instant now) const;

  /// @return names of the live peers that are not stopping.
  std::vector<std::string> LiveNames(common::Instant now) const;

  /// @return number of peers heard no longer than this ago.
  std::size_t CountReceivedWithin(common::Duration age, common::Instant now) const;

  std::map<common::Endpoint, Peer>& All() { return peers_; }
  const std::map<common::Endpoint, Peer>& All() const { return peers_; }
  /// @return the peer that was heard last under the name, or one that is only known to be there.
  const Peer* ByName(const std::string& name) const;

  /// @return true if some live peer takes a primary for lost.
  bool AnyPrimarySuspected(common::Instant now) const;

 private:
  std::string self_;
  std::uint64_t incarnation_;
  std::map<common::Endpoint, Peer> peers_;
  std::unordered_map<std::string, Peer*> by_name_;  // entries of a map stay where they are
};

}  // namespace valvekeel::proxy
