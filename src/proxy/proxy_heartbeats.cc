// Heartbeats to the other daemons: to whom, how often, what about; and what they bring up.

#include <algorithm>
#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kDeadPeerPause{1'000'000};  // between messages to a silent peer
/// Time for the store to tell of a configuration that another daemon has in force already.
constexpr common::Duration kAheadPause{120'000};
/// The same in a large deployment, where most daemons list the configuration on news.
constexpr common::Duration kDistantAheadPause{1'200'000};

}  // namespace

void Proxy::NoteConfigurationAhead(const common::Endpoint& peer, std::uint64_t version,
                                   common::Instant now) {
  const std::uint64_t own = catalog_.Configuration().version;
  if (own > 0 && version > own && !ahead_) {
    ahead_ = ConfigurationAhead{peer, version, now};
  }
}

void Proxy::FetchConfigurationAhead(common::Instant now) {
  if (ahead_ && catalog_.Configuration().version >= ahead_->version) {
    ahead_.reset();
  }
  // A session that another daemon handed over waits only for a moment.
  const bool soon = roles_.meshed() || relay_.AwaitsConfiguration();
  const common::Duration pause = soon ? kAheadPause : kDistantAheadPause;
  if (!ahead_ || fetching_ || now < ahead_->noted + pause || now < fetch_not_before_) {
    return;
  }
  const common::Endpoint peer = ahead_->peer;
  ahead_.reset();
  fetching_ = outbox_.NextNumber();
  outbox_.Emit(FetchCatalog{*fetching_, {peer.host, settings_.admin_port}});
}

common::Duration Proxy::HeartbeatInterval(const Peer& peer) const {
  if (roles_.meshed()) {
    return settings_.heartbeat_interval;
  }
  const std::vector<std::string>& coordinators = roles_.coordinators();
  const std::string reader = coordinators.empty() ? "" : coordinators.front();
  const bool to_reader = reader == peer.name && roles_.watches_any(settings_.name);
  const bool from_reader = reader == settings_.name && roles_.watches_any(peer.name);
  if (to_reader || from_reader) {
    return settings_.heartbeat_interval;
  }
  if (roles_.coordinates() || roles_.coordinates(peer.name)) {
    return settings_.coordinator_heartbeat_interval;
  }
  return peer.last.zone == settings_.zone ? settings_.zone_heartbeat_interval
                                          : settings_.far_heartbeat_interval;
}

PeerMessage Proxy::MakeHeartbeat(bool all_groups, common::Instant now) const {
  PeerMessage message;
  message.zone = settings_.zone;
  message.store_connected = catalog_.Connected();
  message.stopping = stopping_since_.has_value();
  message.configuration_version = catalog_.Configuration().version;
  message.catalog_revision = catalog_.Revision();
  message.groups = groups_.Reports(all_groups, now);
  return message;
}

void Proxy::SendHeartbeat(Peer& peer, const PeerMessage& whole, common::Instant now) {
  const bool alive = peers_.Alive(peer, now);
  PeerMessage message = whole;
  std::erase_if(message.groups, [&](const GroupReport& report) {
    return !report.troubled && !roles_.watches(report.service, peer.name);
  });
  message.interval = alive ? HeartbeatInterval(peer) : kDeadPeerPause;
  peer.next_heartbeat = now + message.interval;
  peers_.Stamp(peer, message, now);
  outbox_.Emit(SendPeer{peer.address, std::move(message)});
}

void Proxy::SendHeartbeats(bool urgent, bool all_groups, common::Instant now) {
  std::optional<PeerMessage> message;
  for (auto& [address, peer] : peers_.All()) {
    if (now < peer.next_heartbeat && !(urgent && peers_.Alive(peer, now))) {
      continue;
    }
    if (!message) {
      message = MakeHeartbeat(all_groups, now);
    }
    SendHeartbeat(peer, *message, now);
  }
}

bool Proxy::TellsAll() const {
  if (store_lease_.IsReader()) {
    return true;
  }
  for (const auto& [service, group] : groups_.All()) {
    if (groups_.IsProber(service) && !catalog_.Connected()) {
      return true;
    }
  }
  return false;
}

void Proxy::AdvanceHeartbeats(common::Instant now) {
  // A heartbeat that is due soon carries more if it follows the confirmation at once.
  for (auto& [address, peer] : peers_.All()) {
    const bool due_soon = now + HeartbeatInterval(peer) / 2 >= peer.next_heartbeat;
    if (due_soon && peers_.Alive(peer, now)) {
      peer.next_heartbeat = now;
    }
  }
}

}  // namespace valvekeel::proxy
