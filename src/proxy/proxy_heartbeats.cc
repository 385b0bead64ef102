// Heartbeats to the other daemons: to whom, how often, what about; and what they bring up.

#include <algorithm>
#include <utility>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kDeadPeerPause{1'000'000};  // between messages to a silent peer
/// The same to daemons that may be there, while this one knows nobody.
constexpr common::Duration kSeekPause{200'000};
/// Least time between two introductions to a daemon: two that seek would answer each other for
/// ever.
constexpr common::Duration kIntroductionPause{150'000};
/// The same in the first seconds of a life: all others may be about to come.
constexpr common::Duration kEarlyDeadPeerPause{250'000};
constexpr common::Duration kEarly{3'000'000};
/// Time for which an answer of the store shows that this daemon reaches it.
constexpr common::Duration kRecentAnswer{3'000'000};
/// Time for the store to tell of a configuration that another daemon has in force already.
constexpr common::Duration kAheadPause{120'000};
/// Over which the daemons of a zone spread their fetches from its hub: 200 of 80 KB in this time
/// are 640 Mbit/s.
constexpr common::Duration kFetchSpread{200'000};
/// Time without the newest configuration after which a daemon reads it from the store by itself:
/// 985 of them at once kept its link of 1,000 Mbit/s busy with answers of 750 KB that nobody waited
/// for any more, and none was ever ready.
constexpr common::Duration kOwnReadAfter{4'000'000};
/// Reports of groups in one message, of about 50 bytes each, and beside lists of daemons (15 KB): a
/// datagram takes 65,507 bytes, which the reports of 1,300 groups would fill.
constexpr std::size_t kMostReports = 250;
constexpr std::size_t kMostReportsBesideLists = 10;
/// Names in a log line on daemons that were lost; the count tells of the rest.
constexpr std::size_t kMostNamesLogged = 8;

/// @return the message but for its reports of groups, of which each receiver gets its own.
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

void Proxy::NoteConfigurationAhead(const common::Endpoint& peer, std::uint64_t version,
                                   common::Instant now) {
  const std::uint64_t own = catalog_.Configuration().version;
  const bool has_own = own > 0 || large_;
  newest_version_heard_ = std::max(newest_version_heard_, version);
  if (has_own && version > own && !ahead_) {
    ahead_ = ConfigurationAhead{peer, version, now, JitterUpTo(kFetchSpread)};
  }
}

void Proxy::FetchConfigurationAhead(common::Instant now) {
  if (ahead_ && catalog_.Configuration().version >= ahead_->version) {
    ahead_.reset();
  }
  // Who reads the store itself gives it time to tell. A session that another daemon handed over
  // waits only for a moment.
  const bool spreads = large_ && !ReadsConfiguration(now) && !relay_.AwaitsConfiguration();
  const common::Duration pause = spreads && ahead_ ? ahead_->spread : kAheadPause;
  if (!ahead_ || fetching_ || now < ahead_->noted + pause || now < fetch_not_before_) {
    return;
  }
  const common::Endpoint peer = ahead_->peer;
  ahead_.reset();
  fetching_ = outbox_.NextNumber();
  outbox_.Emit(FetchCatalog{*fetching_, {peer.host, settings_.admin_port}, large_});
}

bool Proxy::ReadsConfiguration(common::Instant now) const {
  if (!large_ || view_.is_hub() || (roles_.computed() && roles_.meshed())) {
    return true;
  }
  if (roles_.computed() && (roles_.coordinates() || roles_.is_deputy())) {
    return true;
  }
  const bool lacks = lacks_configuration_since_ &&
                     now >= *lacks_configuration_since_ + kOwnReadAfter + own_read_delay_;
  // Nobody is heard who would tell of a newer one.
  const bool uninformed =
      uninformed_since_ && now >= *uninformed_since_ + kUninformedLimit + own_read_delay_;
  return lacks || uninformed;
}

void Proxy::ChooseConfigurationSource(common::Instant now) {
  const std::uint64_t own = catalog_.Configuration().version;
  const bool lacks = own == 0 || own < newest_version_heard_;
  if (!lacks) {
    lacks_configuration_since_.reset();
  } else if (!lacks_configuration_since_) {
    lacks_configuration_since_ = now;
  }
  catalog_.SetConfigurationSource(ReadsConfiguration(now));
}

common::Duration Proxy::DutyInterval(const std::string& peer) const {
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
  const bool chosen = peer.pace.count() > 0;
  peer.pace = chosen ? std::min(peer.pace, pace) : pace;
  if (!chosen) {
    partners_.push_back(&peer);
  }
}

void Proxy::ChoosePartners(common::Instant now) {
  for (Peer* peer : partners_) {
    peer->pace = common::Duration(0);
  }
  partners_.clear();
  const bool owner = roles_.computed() && roles_.watches_any();
  for (const membership::member& each : view_.partners()) {
    const bool to_hub = !view_.is_hub();
    AddPartner(each.address, each.name,
               owner && to_hub ? settings_.owner_heartbeat_interval : settings_.view.hub_interval);
  }
  if (roles_.computed() && (roles_.meshed() || roles_.watches_any())) {
    for (const membership::member& each : view_.live_daemons()) {
      const common::Duration interval = DutyInterval(each.name);
      if (each.name != settings_.name && interval.count() > 0) {
        AddPartner(each.address, each.name, interval);
      }
    }
  }
  if (view_.needs_discovery(now)) {
    for (const common::Endpoint& seed : settings_.seed_peers) {
      if (seed != settings_.peer) {
        AddPartner(seed, "", kSeekPause);
      }
    }
  }
  for (Peer* peer : partners_) {
    if (view_.has_pending_lists(peer->name, now)) {
      peer->next_heartbeat = now;
    }
  }
}

void Proxy::UpdateView(common::Instant now) {
  if (catalog_.Daemons().size() != registered_known_) {
    registered_known_ = catalog_.Daemons().size();
    std::vector<membership::member> registered;
    for (const auto& [name, daemon] : catalog_.Daemons()) {
      registered.push_back({name, daemon.zone, daemon.peer, daemon.capacity});
    }
    view_.set_registered(std::move(registered), now);
  }
  const std::size_t known =
      std::max(catalog_.Daemons().size(), peers_.HeardWithin(kEarly, now) + 1);
  large_ = large_ || known > settings_.roles.most_meshed_daemons;
  if (!large_) {
    return;
  }
  ChooseConfigurationSource(now);
  // Hubs tell who lives; the list is for those who replace primaries, and for who hears no hub.
  catalog_.SetDiscovering(!view_.is_complete() || (roles_.computed() && roles_.coordinates()));
  view_.set_self(HasStore(now), stopping_since_.has_value());
  view_.update(now);
  LogViewChange();
}

void Proxy::LogViewChange() {
  const membership::view_change& change = view_.last_update_changes();
  if (change.hub_changed) {
    outbox_.Log("hub_changed", {{"acts", view_.is_hub() ? "true" : "false"}});
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
                               {"hub", view_.is_hub() ? "true" : "false"}});
}

void Proxy::TakeView(const common::Endpoint& from, const PeerMessage& message,
                     common::Instant now) {
  large_ = large_ || message.view.large_deployment;
  if (!large_) {
    return;
  }
  view_.apply_message({message.name, message.zone, from, message.capacity, message.store_connected,
                       message.stopping},
                      message.view, message.interval, now);
}

bool Proxy::OwesIntroduction(const Peer& peer, common::Instant now) {
  return peer.heard && peer.wants_introduction && now >= peer.introduced_at + kIntroductionPause;
}

bool Proxy::HasStore(common::Instant now) const {
  if (!large_) {
    return catalog_.Connected();
  }
  if (!roles_.computed()) {
    return false;
  }
  // Who makes no calls can't say whether it would be answered. That all others say so the moment
  // the store is back would make ever other daemons coordinators.
  return roles_.coordinates() ? catalog_.Connected()
                              : roles_.is_deputy() && catalog_.AnsweredWithin(kRecentAnswer, now);
}

void Proxy::TellRevisions(PeerMessage& message) const {
  const CatalogRevisions revisions = catalog_.Revisions();
  message.configuration_revision = revisions.configuration;
  message.instances_revision = revisions.instances;
}

PeerMessage Proxy::MakeHeartbeat(bool all_groups, common::Instant now) const {
  PeerMessage message;
  message.zone = settings_.zone;
  message.capacity = settings_.capacity;
  message.store_connected = HasStore(now);
  message.stopping = stopping_since_.has_value();
  message.configuration_version = catalog_.Configuration().version;
  TellRevisions(message);
  message.groups = groups_.Reports(all_groups, now);
  return message;
}

bool Proxy::Concerns(const GroupReport& report, const Peer& peer) const {
  if (roles_.watches(report.service, peer.name)) {
    return true;
  }
  // Any daemon may hold a lease that must be let go; else only watchers care.
  return large_ ? report.fence_below > 0 : report.troubled;
}

void Proxy::SendHeartbeat(Peer& peer, const PeerMessage& whole, common::Instant now) {
  const bool alive = peers_.Alive(peer, now);
  PeerMessage message = WithoutGroups(whole);
  if (large_) {
    message.view = view_.message_for(peer.name, now);
    if (OwesIntroduction(peer, now)) {
      message.view.known_hubs = view_.known_hubs(now);
      peer.introduced_at = now;
    }
    const bool partner = peer.pace.count() > 0;
    message.interval =
        partner && (alive || view_.find(peer.name) != nullptr) ? peer.pace : kDeadPeerPause;
  } else {
    const bool early = now < *started_ + kEarly;
    message.interval = alive   ? settings_.heartbeat_interval
                       : early ? kEarlyDeadPeerPause
                               : kDeadPeerPause;
  }
  TellTenants(peer, message, now);
  TellEvacuations(message, now);
  peer.next_heartbeat = now + message.interval;
  SendInParts(peer, std::move(message), whole.groups, now);
}

void Proxy::SendInParts(Peer& peer, PeerMessage message, const std::vector<GroupReport>& groups,
                        common::Instant now) {
  // Lists of daemons and many reports don't go together.
  const std::size_t most = message.view.lists.empty() ? kMostReports : kMostReportsBesideLists;
  for (const GroupReport& report : groups) {
    if (!Concerns(report, peer)) {
      continue;
    }
    if (message.groups.size() >= (message.continues ? kMostReports : most)) {
      PeerMessage next = WithoutGroups(message);
      next.view.lists.clear();
      next.view.known_hubs.clear();
      next.continues = true;
      peers_.Stamp(peer, message, now);
      outbox_.Emit(SendPeer{peer.address, std::move(message)});
      message = std::move(next);
    }
    message.groups.push_back(report);
  }
  peers_.Stamp(peer, message, now);
  outbox_.Emit(SendPeer{peer.address, std::move(message)});
}

std::vector<Peer*> Proxy::ReceiversOf(Receivers receivers) {
  if (large_ && receivers != Receivers::kAll) {
    return partners_;
  }
  std::vector<Peer*> all;
  for (auto& [address, peer] : peers_.All()) {
    all.push_back(&peer);
  }
  return all;
}

bool Proxy::IsReceiver(const Peer& peer, Receivers receivers, common::Instant now) const {
  if (now >= peer.next_heartbeat && (!large_ || peer.pace.count() > 0)) {
    return true;
  }
  if (receivers == Receivers::kDue) {
    return false;
  }
  return large_ || peers_.Alive(peer, now);
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

bool Proxy::TellsAll() const {
  if (store_lease_.IsReader()) {
    return true;
  }
  if (catalog_.Connected()) {
    return false;
  }
  const auto& groups = groups_.All();
  return std::any_of(groups.begin(), groups.end(),
                     [&](const auto& group) { return groups_.IsProber(group.first); });
}

void Proxy::AdvanceHeartbeats(common::Instant now) {
  // A heartbeat that is due soon carries more if it follows the confirmation at once.
  for (Peer* peer : ReceiversOf(Receivers::kPartners)) {
    const common::Duration interval = large_ ? peer->pace : settings_.heartbeat_interval;
    const bool due_soon = now + interval / 2 >= peer->next_heartbeat;
    if (due_soon && peers_.Alive(*peer, now)) {
      peer->next_heartbeat = now;
    }
  }
}

}  // namespace valvekeel::proxy
