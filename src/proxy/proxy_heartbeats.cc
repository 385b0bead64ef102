// Heartbeats of the proxy: receivers, intervals and content, and the membership and configuration
// updates that arrive with them.

#include <algorithm>
#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kDeadPeerPause{1'000'000};  // between messages to an unresponsive peer
/// The same to the seeds, while this daemon knows no other.
constexpr common::Duration kDiscoveryPause{200'000};
/// Minimum time between two hub lists to one daemon. Without it two daemons in discovery would
/// answer each other endlessly.
constexpr common::Duration kHubListPause{150'000};
/// The same in the first seconds of an incarnation, when all others may be about to start.
constexpr common::Duration kStartupDeadPeerPause{250'000};
constexpr common::Duration kStartupTime{3'000'000};
/// Time for which an answer of the store proves that this daemon reaches it.
constexpr common::Duration kStoreAnswerValidity{3'000'000};
/// Time for the store to deliver a configuration that another daemon already has in force.
constexpr common::Duration kNewerConfigurationPause{120'000};
/// Interval over which the daemons of a zone spread their fetches from its hub: 200 fetches of 80
/// KB in this time are 640 Mbit/s.
constexpr common::Duration kFetchSpread{200'000};
/// Time without the newest configuration after which a daemon reads it from the store itself. If
/// 985 daemons do so at once, their answers of 750 KB saturate the store's link of 1,000 Mbit/s,
/// all calls time out, and no daemon becomes ready.
constexpr common::Duration kDirectReadAfter{4'000'000};
/// Maximum number of group reports in one message, alone and beside lists of daemons (15 KB). A
/// report has about 50 bytes and a datagram at most 65,507, which 1,300 reports would fill.
constexpr std::size_t kMostReports = 250;
constexpr std::size_t kMostReportsBesideLists = 10;
/// Maximum size of the names in these reports. The rest of a report takes at most 110 bytes, so
/// that the message fits into a datagram if names are long.
constexpr std::size_t kMostReportNameBytes = 24'000;
/// Maximum number of names in a log line on lost daemons; the count includes the others.
constexpr std::size_t kMostNamesLogged = 8;

/// @return the message without its reports of groups, which differ for each receiver.
PeerMessage WithoutGroups(const PeerMessage& whole) {
  PeerMessage message;
  message.name = whole.name;
  message.zone = whole.zone;
  message.interval = whole.interval;
  message.store_connected = whole.store_connected;
  message.stopping = whole.stopping;
  message.configuration_version = whole.configuration_version;
  message.configuration_revision = whole.configuration_revision;
  message.instances_revision = whole.instances_revision;
  message.capacity = whole.capacity;
  message.view = whole.view;
  message.proven_version = whole.proven_version;
  message.proof_age = whole.proof_age;
  message.rates = whole.rates;
  message.evacuations = whole.evacuations;
  return message;
}

}  // namespace

void Proxy::RecordNewerConfiguration(const common::Endpoint& peer, std::uint64_t version,
                                     common::Instant now) {
  const std::uint64_t own = catalog_.Configuration().version;
  const bool has_own = own > 0 || large_deployment_;
  newest_reported_version_ = std::max(newest_reported_version_, version);
  if (has_own && version > own && !newer_configuration_) {
    newer_configuration_ = NewerConfiguration{peer, version, now, JitterUpTo(kFetchSpread)};
  }
}

void Proxy::FetchNewerConfiguration(common::Instant now) {
  if (newer_configuration_ && catalog_.Configuration().version >= newer_configuration_->version) {
    newer_configuration_.reset();
  }
  // A daemon that reads the store itself allows it some time to deliver. A session handed over by
  // another daemon waits only for a short time.
  const bool spreads =
      large_deployment_ && !ReadsConfiguration(now) && !session_relay_.AwaitsConfiguration();
  const common::Duration pause = spreads && newer_configuration_ ? newer_configuration_->fetch_delay
                                                                 : kNewerConfigurationPause;
  if (!newer_configuration_ || fetch_call_ || now < newer_configuration_->recorded_at + pause ||
      now < fetch_not_before_) {
    return;
  }
  const common::Endpoint peer = newer_configuration_->peer;
  newer_configuration_.reset();
  fetch_call_ = outbox_.NextNumber();
  outbox_.Emit(FetchCatalog{*fetch_call_, {peer.host, settings_.admin_port}, large_deployment_});
}

bool Proxy::ReadsConfiguration(common::Instant now) const {
  if (!large_deployment_ || membership_.is_hub() || (roles_.computed() && roles_.meshed())) {
    return true;
  }
  if (roles_.computed() && (roles_.coordinates() || roles_.is_deputy())) {
    return true;
  }
  const bool outdated =
      missing_configuration_since_ &&
      now >= *missing_configuration_since_ + kDirectReadAfter + direct_read_delay_;
  // No reachable daemon would report a newer one.
  const bool no_connected_coordinator =
      no_connected_coordinator_since_ &&
      now >= *no_connected_coordinator_since_ + kNoConnectedCoordinatorLimit + direct_read_delay_;
  return outdated || no_connected_coordinator;
}

void Proxy::ChooseConfigurationSource(common::Instant now) {
  const std::uint64_t own = catalog_.Configuration().version;
  const bool outdated = own == 0 || own < newest_reported_version_;
  if (!outdated) {
    missing_configuration_since_.reset();
  } else if (!missing_configuration_since_) {
    missing_configuration_since_ = now;
  }
  catalog_.SetFollowsConfiguration(ReadsConfiguration(now));
}

common::Duration Proxy::RoleHeartbeatInterval(const std::string& peer) const {
  if (roles_.meshed()) {
    return settings_.heartbeat_interval;
  }
  const bool to_coordinator = roles_.coordinates(peer) && roles_.watches_any();
  const bool from_coordinator = roles_.coordinates() && roles_.watches_any(peer);
  if (!to_coordinator && !from_coordinator) {
    return common::Duration(0);
  }
  const std::string& reader = roles_.coordinators().front();
  if (reader == peer || reader == settings_.name) {
    return settings_.heartbeat_interval;
  }
  return to_coordinator && from_coordinator ? settings_.coordinator_heartbeat_interval
                                            : settings_.standby_heartbeat_interval;
}

void Proxy::AddPartner(const common::Endpoint& address, const std::string& name,
                       common::Duration pace) {
  Peer& peer = peers_.Add(address, name);
  const bool chosen = peer.send_interval.count() > 0;
  peer.send_interval = chosen ? std::min(peer.send_interval, pace) : pace;
  if (!chosen) {
    partners_.push_back(&peer);
  }
}

void Proxy::ChoosePartners(common::Instant now) {
  for (Peer* peer : partners_) {
    peer->send_interval = common::Duration(0);
  }
  partners_.clear();
  const bool owner = roles_.computed() && roles_.watches_any();
  for (const membership::member& each : membership_.partners()) {
    const bool to_hub = !membership_.is_hub();
    AddPartner(each.address, each.name,
               owner && to_hub ? settings_.owner_heartbeat_interval : settings_.view.hub_interval);
  }
  if (roles_.computed() && (roles_.meshed() || roles_.watches_any())) {
    for (const membership::member& each : membership_.live_daemons()) {
      const common::Duration interval = RoleHeartbeatInterval(each.name);
      if (each.name != settings_.name && interval.count() > 0) {
        AddPartner(each.address, each.name, interval);
      }
    }
  }
  if (membership_.needs_discovery(now)) {
    for (const common::Endpoint& seed : settings_.seed_peers) {
      if (seed != settings_.peer) {
        AddPartner(seed, "", kDiscoveryPause);
      }
    }
  }
  for (Peer* peer : partners_) {
    if (membership_.has_pending_lists(peer->name, now)) {
      peer->next_heartbeat = now;
    }
  }
}

void Proxy::UpdateMembership(common::Instant now) {
  if (catalog_.Daemons().size() != registered_count_) {
    registered_count_ = catalog_.Daemons().size();
    std::vector<membership::member> registered;
    for (const auto& [name, daemon] : catalog_.Daemons()) {
      registered.push_back({name, daemon.zone, daemon.peer, daemon.capacity});
    }
    membership_.set_registered(std::move(registered), now);
  }
  const std::size_t known =
      std::max(catalog_.Daemons().size(), peers_.CountReceivedWithin(kStartupTime, now) + 1);
  large_deployment_ = large_deployment_ || known > settings_.roles.most_meshed_daemons;
  if (!large_deployment_) {
    return;
  }
  ChooseConfigurationSource(now);
  // Hubs distribute the membership. The store's list is for daemons that replace primaries and for
  // those that reach no hub.
  catalog_.SetDiscovering(!membership_.is_complete() ||
                          (roles_.computed() && roles_.coordinates()));
  membership_.set_self(ReachesStore(now), stopping_since_.has_value());
  membership_.update(now);
  LogMembershipChange();
}

void Proxy::LogMembershipChange() {
  const membership::view_change& change = membership_.last_update_changes();
  if (change.hub_changed) {
    outbox_.Log("hub_changed", {{"acts", membership_.is_hub() ? "true" : "false"}});
  }
  if (change.lost.empty()) {
    return;
  }
  std::string names;
  for (std::size_t at = 0; at < std::min(change.lost.size(), kMostNamesLogged); ++at) {
    names += (at == 0 ? "" : " ") + change.lost[at];
  }
  outbox_.Log("daemons_lost", {{"count", std::to_string(change.lost.size())},
                               {"daemons", names},
                               {"told_by", change.reporting_hub},
                               {"hub", membership_.is_hub() ? "true" : "false"}});
}

void Proxy::ApplyMembershipMessage(const common::Endpoint& from, const PeerMessage& message,
                                   common::Instant now) {
  large_deployment_ = large_deployment_ || message.view.large_deployment;
  if (!large_deployment_) {
    return;
  }
  membership_.apply_message({message.name, message.zone, from, message.capacity,
                             message.store_connected, message.stopping},
                            message.view, message.interval, now);
}

bool Proxy::IsHubListDue(const Peer& peer, common::Instant now) {
  return peer.last_received_at && peer.looks_for_hubs && now >= peer.hubs_sent_at + kHubListPause;
}

bool Proxy::ReachesStore(common::Instant now) const {
  if (!large_deployment_) {
    return catalog_.Connected();
  }
  if (!roles_.computed()) {
    return false;
  }
  // A daemon that makes no calls can't report whether the store would answer. If all others
  // reported it as soon as the store is back, the coordinators would keep changing.
  return roles_.coordinates()
             ? catalog_.Connected()
             : roles_.is_deputy() && catalog_.AnsweredWithin(kStoreAnswerValidity, now);
}

void Proxy::AddRevisions(PeerMessage& message) const {
  const CatalogRevisions revisions = catalog_.Revisions();
  message.configuration_revision = revisions.configuration;
  message.instances_revision = revisions.instances;
}

PeerMessage Proxy::MakeHeartbeat(bool all_groups, common::Instant now) const {
  PeerMessage message;
  message.zone = settings_.zone;
  message.capacity = settings_.capacity;
  message.store_connected = ReachesStore(now);
  message.stopping = stopping_since_.has_value();
  message.configuration_version = catalog_.Configuration().version;
  AddRevisions(message);
  message.groups = groups_.Reports(all_groups, now);
  return message;
}

bool Proxy::NeedsReport(const GroupReport& report, const Peer& peer) const {
  if (roles_.watches(report.service, peer.name)) {
    return true;
  }
  // Any daemon may hold a lease that must be released. Otherwise only watchers need the report.
  return large_deployment_ ? report.fence_below > 0 : report.degraded;
}

void Proxy::SendHeartbeat(Peer& peer, const PeerMessage& whole, common::Instant now) {
  const bool alive = peers_.IsAlive(peer, now);
  PeerMessage message = WithoutGroups(whole);
  if (large_deployment_) {
    message.view = membership_.message_for(peer.name, now);
    if (IsHubListDue(peer, now)) {
      message.view.known_hubs = membership_.known_hubs(now);
      peer.hubs_sent_at = now;
    }
    const bool partner = peer.send_interval.count() > 0;
    message.interval = partner && (alive || membership_.find(peer.name) != nullptr)
                           ? peer.send_interval
                           : kDeadPeerPause;
  } else {
    const bool in_startup = now < *started_at_ + kStartupTime;
    message.interval = alive        ? settings_.heartbeat_interval
                       : in_startup ? kStartupDeadPeerPause
                                    : kDeadPeerPause;
  }
  AddTenantState(peer, message, now);
  AddEvacuations(message, now);
  peer.next_heartbeat = now + message.interval;
  SendInParts(peer, std::move(message), whole.groups, now);
}

void Proxy::SendInParts(Peer& peer, PeerMessage message, const std::vector<GroupReport>& groups,
                        common::Instant now) {
  // Lists of daemons and many reports don't fit into one message.
  const std::size_t most = message.view.lists.empty() ? kMostReports : kMostReportsBesideLists;
  std::size_t name_bytes = 0;
  for (const GroupReport& report : groups) {
    if (!NeedsReport(report, peer)) {
      continue;
    }
    name_bytes += report.service.size() + report.primary.size();
    const bool is_full = message.groups.size() >= (message.is_continuation ? kMostReports : most) ||
                         (name_bytes > kMostReportNameBytes && !message.groups.empty());
    if (is_full) {
      PeerMessage next = WithoutGroups(message);
      next.view.lists.clear();
      next.view.known_hubs.clear();
      next.is_continuation = true;
      peers_.FillHeader(peer, message, now);
      outbox_.Emit(SendPeerMessage{peer.address, std::move(message)});
      message = std::move(next);
      name_bytes = report.service.size() + report.primary.size();
    }
    message.groups.push_back(report);
  }
  peers_.FillHeader(peer, message, now);
  outbox_.Emit(SendPeerMessage{peer.address, std::move(message)});
}

std::vector<Peer*> Proxy::ReceiversOf(Receivers receivers) {
  if (large_deployment_ && receivers != Receivers::kAll) {
    return partners_;
  }
  std::vector<Peer*> all;
  for (auto& [address, peer] : peers_.All()) {
    all.push_back(&peer);
  }
  return all;
}

bool Proxy::IsReceiver(const Peer& peer, Receivers receivers, common::Instant now) const {
  if (now >= peer.next_heartbeat && (!large_deployment_ || peer.send_interval.count() > 0)) {
    return true;
  }
  if (receivers == Receivers::kDue) {
    return false;
  }
  return large_deployment_ || peers_.IsAlive(peer, now);
}

void Proxy::SendHeartbeats(Receivers receivers, bool all_groups, common::Instant now) {
  std::optional<PeerMessage> message;
  for (Peer* peer : ReceiversOf(receivers)) {
    if (!IsReceiver(*peer, receivers, now)) {
      continue;
    }
    if (!message) {
      message = MakeHeartbeat(all_groups, now);
    }
    SendHeartbeat(*peer, *message, now);
  }
}

bool Proxy::ReportsAllGroups() const {
  if (lease_renewer_.IsReader()) {
    return true;
  }
  if (catalog_.Connected()) {
    return false;
  }
  const auto& groups = groups_.All();
  return std::any_of(groups.begin(), groups.end(),
                     [&](const auto& group) { return groups_.IsProber(group.first); });
}

void Proxy::BringHeartbeatsForward(common::Instant now) {
  // A heartbeat that is due soon is sent right after the confirmation, so that it carries more.
  for (Peer* peer : ReceiversOf(Receivers::kPartners)) {
    const common::Duration interval =
        large_deployment_ ? peer->send_interval : settings_.heartbeat_interval;
    const bool due_soon = now + interval / 2 >= peer->next_heartbeat;
    if (due_soon && peers_.IsAlive(*peer, now)) {
      peer->next_heartbeat = now;
    }
  }
}

}  // namespace valvekeel::proxy
