#include "proxy/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace valvekeel::proxy {
namespace {

/// Number of own messages whose send time is kept for each peer.
constexpr std::size_t kSentKept = 64;
/// Announced intervals without a message after which a peer does not count as alive.
constexpr int kMissedIntervals = 3;

/// Adds the earlier reports of groups that are missing in the newer ones.
void AddMissing(const std::vector<GroupReport>& before, std::vector<GroupReport>& newer) {
  std::set<std::string> services;
  for (const GroupReport& report : newer) {
    services.insert(report.service);
  }
  for (const GroupReport& report : before) {
    if (services.insert(report.service).second) {
      newer.push_back(report);
    }
  }
}

}  // namespace

Peer& PeerTable::Add(const common::Endpoint& address, const std::string& name) {
  Peer& peer = peers_[address];
  peer.address = address;
  if (peer.name.empty() && !name.empty()) {
    peer.name = name;
    by_name_.emplace(name, &peer);
  }
  return peer;
}

void PeerTable::FillHeader(Peer& peer, PeerMessage& message, common::Instant now) const {
  message.name = self_;
  message.incarnation = incarnation_;
  message.sequence = peer.next_sequence++;
  message.echoed = peer.highest_sequence;
  message.echoed_incarnation = peer.incarnation;
  peer.sent.emplace_back(message.sequence, now);
  if (peer.sent.size() > kSentKept) {
    peer.sent.pop_front();
  }
}

std::optional<common::Instant> PeerTable::Receive(const common::Endpoint& from,
                                                  const PeerMessage& message, common::Instant now) {
  if (message.name == self_) {
    return std::nullopt;
  }
  Peer& peer = peers_[from];
  peer.address = from;
  // A later incarnation may have a lower number if the system clock was set back in between.
  const bool different = message.incarnation != peer.incarnation;
  const bool new_incarnation =
      different && (message.incarnation > peer.incarnation || !IsAlive(peer, now));
  const bool newer =
      message.incarnation == peer.incarnation && message.sequence > peer.highest_sequence;
  if (!new_incarnation && !newer) {
    return std::nullopt;
  }
  peer.name = message.name;
  if (new_incarnation) {
    // A restarted peer has lost all that was sent to it.
    peer.last_echoed_sent_at = common::Instant(0);
    peer.counts_reported_since.reset();
  }
  peer.incarnation = message.incarnation;
  peer.highest_sequence = message.sequence;
  peer.last_received_at = now;
  std::vector<GroupReport> before = std::exchange(peer.last, message).groups;
  if (message.is_continuation && !new_incarnation) {
    AddMissing(before, peer.last.groups);
  }
  peer.looks_for_hubs = membership::live_view::is_discovery_request(message.view);
  peer.last.view = {};  // consumed by the membership
  peer.suspects_primary =
      std::any_of(peer.last.groups.begin(), peer.last.groups.end(),
                  [](const GroupReport& report) { return report.primary_suspected; });
  by_name_[message.name] = &peer;
  if (message.echoed_incarnation != incarnation_) {
    return std::nullopt;
  }
  const auto echoed = std::find_if(peer.sent.begin(), peer.sent.end(),
                                   [&](const auto& sent) { return sent.first == message.echoed; });
  if (echoed == peer.sent.end()) {
    return std::nullopt;
  }
  peer.last_echoed_sent_at = std::max(peer.last_echoed_sent_at, echoed->second);
  return echoed->second;
}

bool PeerTable::IsAlive(const Peer& peer, common::Instant now) const {
  return peer.last_received_at &&
         now <
             *peer.last_received_at + std::max(kPeerTimeout, kMissedIntervals * peer.last.interval);
}

bool PeerTable::AliveWithIncarnation(const common::Endpoint& address, std::uint64_t incarnation,
                                     common::Instant now) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second.incarnation == incarnation &&
         IsAlive(peer->second, now);
}

std::vector<std::string> PeerTable::LiveNames(common::Instant now) const {
  std::vector<std::string> names;
  for (const auto& [address, peer] : peers_) {
    if (IsAlive(peer, now) && !peer.last.stopping) {
      names.push_back(peer.name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::size_t PeerTable::CountReceivedWithin(common::Duration age, common::Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second.last_received_at && now < *entry.second.last_received_at + age;
      }));
}

const Peer* PeerTable::FindByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

bool PeerTable::AnyPrimarySuspected(common::Instant now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.suspects_primary && IsAlive(entry.second, now);
  });
}

}  // namespace valvekeel::proxy
