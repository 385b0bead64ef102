#include "proxy/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace valvekeel::proxy {
namespace {

/// Own messages remembered for each peer.
constexpr std::size_t kSentKept = 64;
/// Intervals of a peer without a message after which it does not count as alive.
constexpr int kMissedIntervals = 3;

/// Adds the reports of groups that the newer ones don't tell of.
void AddMissing(const std::vector<GroupReport>& before, std::vector<GroupReport>& newer) {
  std::set<std::string> told;
  for (const GroupReport& report : newer) {
    told.insert(report.service);
  }
  for (const GroupReport& report : before) {
    if (told.insert(report.service).second) {
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

void PeerTable::Stamp(Peer& peer, PeerMessage& message, common::Instant now) const {
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
  // A later life may have a lower number if the time of day was set back in between.
  const bool another = message.incarnation != peer.incarnation;
  const bool new_life = another && (message.incarnation > peer.incarnation || !Alive(peer, now));
  const bool newer =
      message.incarnation == peer.incarnation && message.sequence > peer.highest_sequence;
  if (!new_life && !newer) {
    return std::nullopt;
  }
  peer.name = message.name;
  if (new_life) {
    // It knows nothing of what was told before.
    peer.confirmed = common::Instant(0);
    peer.counts_told_since.reset();
  }
  peer.incarnation = message.incarnation;
  peer.highest_sequence = message.sequence;
  peer.heard = now;
  std::vector<GroupReport> before = std::exchange(peer.last, message).groups;
  if (message.continues) {
    AddMissing(before, peer.last.groups);
  }
  peer.wants_introduction = membership::live_view::is_discovery_request(message.view);
  peer.last.view = {};  // taken by the membership
  peer.reports_loss = std::any_of(peer.last.groups.begin(), peer.last.groups.end(),
                                  [](const GroupReport& report) { return report.primary_lost; });
  by_name_[message.name] = &peer;
  if (message.echoed_incarnation != incarnation_) {
    return std::nullopt;
  }
  const auto echoed = std::find_if(peer.sent.begin(), peer.sent.end(),
                                   [&](const auto& sent) { return sent.first == message.echoed; });
  if (echoed == peer.sent.end()) {
    return std::nullopt;
  }
  peer.confirmed = std::max(peer.confirmed, echoed->second);
  return echoed->second;
}

bool PeerTable::Alive(const Peer& peer, common::Instant now) const {
  return peer.heard &&
         now < *peer.heard + std::max(kPeerSilence, kMissedIntervals * peer.last.interval);
}

bool PeerTable::AliveInLife(const common::Endpoint& address, std::uint64_t incarnation,
                            common::Instant now) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second.incarnation == incarnation &&
         Alive(peer->second, now);
}

std::vector<std::string> PeerTable::LiveNames(common::Instant now) const {
  std::vector<std::string> names;
  for (const auto& [address, peer] : peers_) {
    if (Alive(peer, now) && !peer.last.stopping) {
      names.push_back(peer.name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::size_t PeerTable::HeardWithin(common::Duration age, common::Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& entry) { return entry.second.heard && now < *entry.second.heard + age; }));
}

const Peer* PeerTable::ByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

bool PeerTable::AnyPrimaryLost(common::Instant now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.reports_loss && Alive(entry.second, now);
  });
}

}  // namespace valvekeel::proxy
