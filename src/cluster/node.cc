#include "cluster/node.h"

#include <algorithm>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::cluster {
namespace {

using common::Instant;
using replicated::Entry;
using replicated::EntryKind;

// Seeds of the hash orders. Each role has its own, so that the roles spread over the members.
constexpr std::string_view kRingOrder = "ring";
constexpr std::string_view kBridgeOrder = "bridge/";
constexpr std::string_view kRelayOrder = "relay/";
constexpr std::size_t kRememberedForwards = 64;
constexpr std::size_t kMaxReplyEntries = 500;  // entries per message

struct HashedMember {
  std::uint64_t hash = 0;
  MemberId id;

  auto operator<=>(const HashedMember&) const = default;
};

std::vector<HashedMember> HashOrder(std::string_view seed, const std::vector<Member>& members) {
  std::vector<HashedMember> ordered;
  ordered.reserve(members.size());
  for (const Member& member : members) {
    ordered.push_back({common::StableHash(seed, member.id), member.id});
  }
  std::sort(ordered.begin(), ordered.end());
  return ordered;
}

}  // namespace

Node::Node(Member self, std::vector<Endpoint> seeds, NodeSettings settings)
    : self_(std::move(self)), seeds_(std::move(seeds)), settings_(settings) {}

Actions Node::ConsumeActions() { return std::exchange(actions_, {}); }

Actions Node::Start(Instant now) {
  joined_ = seeds_.empty();
  next_heartbeat_ = now;
  next_join_ = now;
  ApplyEntry(ToEntry(self_), now);
  TryJoin(now);
  return ConsumeActions();
}

void Node::TryJoin(Instant now) {
  if (joined_ || now < next_join_) {
    return;
  }
  next_join_ = now + settings_.join_retry;
  const Endpoint& seed = seeds_[next_seed_++ % seeds_.size()];
  actions_.push_back(SendAction{"", seed, Join{ToEntry(self_)}});
}

Actions Node::Tick(Instant now) {
  TryJoin(now);
  RebuildView();
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + settings_.heartbeat_interval;
    SendHeartbeats();
    RemoveExpiredMembers(now);
  }
  WatchPredecessors(now);
  WatchZones(now);
  return ConsumeActions();
}

Actions Node::Receive(const MemberId& from, const Message& message, Instant now) {
  const auto watched = watched_.find(from);
  if (watched != watched_.end()) {
    watched->second.last_received_at = now;
  }
  std::visit([&](const auto& typed) { Handle(from, typed, now); }, message);
  RefuteIfNeeded(now);
  return ConsumeActions();
}

Actions Node::Publish(const Entry& entry, Instant now) {
  if (ApplyEntry(entry, now)) {
    Broadcast({entry});
  }
  return ConsumeActions();
}

Actions Node::Leave(Instant now) {
  self_.state = MemberState::kLeaving;
  return Publish(ToEntry(self_), now);
}

Actions Node::Finish(Instant now) {
  self_.state = MemberState::kLeft;
  return Publish(ToEntry(self_), now);
}

// --- Messages ---------------------------------------------------------------------------------

void Node::Handle(const MemberId& from, const Heartbeat& message, Instant now) {
  const auto known = members_.find(from);
  if (known != members_.end()) {
    const std::string& zone = known->second.zone;
    if (zone != self_.zone) {
      zone_received_at_[zone] = now;
      if (!ZoneReachable(zone)) {
        PublishZone(zone, true, now);
      }
    }
  }
  if (known == members_.end() || message.table_hash == table_.RootHash()) {
    if (known == members_.end()) {
      SendTo(from, Digest{table_.Hashes()});
    }
    return;
  }
  // Tables differ for a short time while an update is in flight, so the rate of repairs is limited.
  Instant& last_digest_at = last_digest_at_[from];
  if (last_digest_at != Instant{0} && now - last_digest_at < settings_.repair_interval) {
    return;
  }
  last_digest_at = now;
  SendTo(from, Digest{table_.Hashes()});
}

void Node::Handle(const MemberId& /*from*/, const Update& message, Instant now) {
  std::vector<Entry> fresh;
  for (const Entry& entry : message.entries) {
    if (ApplyEntry(entry, now)) {
      fresh.push_back(entry);
    }
  }
  joined_ = true;
  if (message.forward) {
    // Two trees, started by two relays or two bridges, may carry the same entry and split the zone
    // into different spans. An entry that is already known is therefore still forwarded to the
    // requested span.
    const std::vector<Entry>& entries = fresh.empty() ? message.entries : fresh;
    if (!entries.empty() && !AlreadyForwarded(entries.front(), message.span)) {
      Forward(entries, message.span);
    }
  } else if (IsBridge() && !fresh.empty()) {
    // The entry came from a repair. After a partition between zones the other members of this zone
    // lack it too.
    Forward(fresh, Span{});
  }
}

void Node::Handle(const MemberId& from, const Digest& message, Instant /*now*/) {
  BucketSummaries reply;
  for (std::size_t bucket = 0; bucket < replicated::kBucketCount; ++bucket) {
    if (message.hashes[bucket] == table_.Hashes()[bucket]) {
      continue;
    }
    reply.buckets.push_back(static_cast<std::uint32_t>(bucket));
    for (const auto& summary : table_.Bucket(bucket)) {
      reply.summaries.push_back(summary);
    }
  }
  if (!reply.buckets.empty()) {
    SendTo(from, reply);
  }
}

void Node::Handle(const MemberId& from, const BucketSummaries& message, Instant /*now*/) {
  EntriesRequest request;
  Update newer;
  std::set<replicated::EntryId> theirs;
  for (const auto& summary : message.summaries) {
    theirs.insert(summary.id);
    const Entry* mine = table_.Find(summary.id);
    if (mine == nullptr || mine->version < summary.version) {
      request.ids.push_back(summary.id);
    } else if (mine->version > summary.version) {
      newer.entries.push_back(*mine);
    }
  }
  for (const std::uint32_t bucket : message.buckets) {
    for (const auto& summary : table_.Bucket(bucket)) {
      if (!theirs.contains(summary.id)) {
        newer.entries.push_back(*table_.Find(summary.id));
      }
    }
  }
  if (!request.ids.empty()) {
    SendTo(from, request);
  }
  if (!newer.entries.empty()) {
    SendTo(from, newer);
  }
}

void Node::Handle(const MemberId& from, const EntriesRequest& message, Instant /*now*/) {
  Update reply;
  for (const auto& id : message.ids) {
    if (const Entry* entry = table_.Find(id)) {
      reply.entries.push_back(*entry);
    }
  }
  SendTo(from, reply);
}

void Node::Handle(const MemberId& /*from*/, const Join& message, Instant now) {
  const MemberId joining = message.member.id.name;
  const bool fresh = ApplyEntry(message.member, now);
  if (fresh) {
    Broadcast({message.member});
  }
  Update part;
  for (const auto& [id, entry] : table_.All()) {
    part.entries.push_back(entry);
    if (part.entries.size() == kMaxReplyEntries) {
      SendTo(joining, std::exchange(part, {}));
    }
  }
  SendTo(joining, part);
}

// --- Table ------------------------------------------------------------------------------------

bool Node::ApplyEntry(const Entry& entry, Instant now) {
  if (!table_.Apply(entry)) {
    return false;
  }
  view_changed_ = view_changed_ || entry.id.kind == EntryKind::kZone;
  if (entry.id.kind == EntryKind::kMember) {
    view_changed_ = true;
    members_[entry.id.name] = FromEntry(entry);
    const bool ended = entry.version.minor >= static_cast<std::uint64_t>(MemberState::kLeaving);
    if (ended) {
      ended_at_[entry.id.name] = now;
    } else {
      ended_at_.erase(entry.id.name);
    }
  }
  actions_.push_back(ChangedAction{entry});
  return true;
}

void Node::RefuteIfNeeded(Instant now) {
  const Entry* mine = table_.Find({EntryKind::kMember, self_.id});
  const Entry stated = ToEntry(self_);
  if (mine == nullptr || mine->version <= stated.version) {
    return;
  }
  self_.incarnation = mine->version.major + 1;
  const Entry refutation = ToEntry(self_);
  if (ApplyEntry(refutation, now)) {
    Broadcast({refutation});
  }
}

void Node::RemoveExpiredMembers(Instant now) {
  for (auto it = ended_at_.begin(); it != ended_at_.end();) {
    if (now - it->second < settings_.forget_after) {
      ++it;
      continue;
    }
    table_.Remove({EntryKind::kMember, it->first});
    members_.erase(it->first);
    view_changed_ = true;
    it = ended_at_.erase(it);
  }
}

// --- Dissemination ----------------------------------------------------------------------------

void Node::Broadcast(const std::vector<Entry>& entries) {
  RebuildView();
  for (const auto& [zone, members] : serving_by_zone_) {
    if (zone == self_.zone) {
      continue;
    }
    for (const MemberId& bridge : BridgesOf(zone)) {
      SendTo(bridge, Update{entries, true, Span{}});
    }
  }
  Forward(entries, Span{});
}

bool Node::AlreadyForwarded(const Entry& entry, Span span) const {
  const Entry* held = table_.Find(entry.id);
  if (span.first > span.last || held == nullptr || held->version > entry.version) {
    return true;  // empty span, or a newer version is being forwarded
  }
  // Only an identical span counts as forwarded. If a span inside a larger forwarded one counted
  // too, two roots could each omit members that the other seems to cover, and neither would reach
  // them.
  return std::any_of(forwarded_.begin(), forwarded_.end(), [&](const Forwarded& earlier) {
    return earlier.id == entry.id && earlier.version == entry.version &&
           earlier.span.first == span.first && earlier.span.last == span.last;
  });
}

void Node::Forward(const std::vector<Entry>& entries, Span span) {
  RebuildView();
  forwarded_.push_back({entries.front().id, entries.front().version, span});
  if (forwarded_.size() > kRememberedForwards) {
    forwarded_.pop_front();
  }
  const auto zone = serving_by_zone_.find(self_.zone);
  if (zone == serving_by_zone_.end()) {
    return;
  }
  // The order depends on the entry, so that different members are inner nodes of the tree.
  std::vector<HashedMember> targets = HashOrder(entries.front().id.name, zone->second);
  std::erase_if(targets, [&](const HashedMember& member) {
    return member.hash < span.first || member.hash > span.last || member.id == self_.id;
  });
  const std::size_t branches = std::min(settings_.tree_fanout, targets.size());
  for (std::size_t branch = 0; branch < branches; ++branch) {
    const std::size_t begin = targets.size() * branch / branches;
    const std::size_t end = targets.size() * (branch + 1) / branches;
    // The child forwards to the rest of its branch. A span with first above last is empty.
    Span rest{targets[begin].hash + 1, targets[end - 1].hash};
    SendTo(targets[begin].id, Update{entries, true, rest});
  }
}

void Node::SendTo(const MemberId& to, const Message& message) {
  if (to == self_.id) {
    return;
  }
  const auto member = members_.find(to);
  const Endpoint address = member == members_.end() ? Endpoint{} : member->second.peer;
  actions_.emplace_back(std::in_place_type<SendAction>, SendAction{to, address, message});
}

// --- View -------------------------------------------------------------------------------------

void Node::RebuildView() {
  if (!view_changed_) {
    return;
  }
  view_changed_ = false;
  ++view_epoch_;
  serving_by_zone_.clear();
  for (const auto& [id, member] : members_) {
    if (IsServing(member) || id == self_.id) {
      serving_by_zone_[member.zone].push_back(member);
    }
  }
  successors_ = Neighbors(true);
  predecessors_ = Neighbors(false);
  bridge_peers_.clear();
  const std::vector<MemberId> own_bridges = BridgesOf(self_.zone);
  bridge_ = std::find(own_bridges.begin(), own_bridges.end(), self_.id) != own_bridges.end();
  if (bridge_) {
    for (const auto& [zone, members] : serving_by_zone_) {
      if (zone != self_.zone) {
        const std::vector<MemberId> bridges = BridgesOf(zone);
        bridge_peers_.insert(bridge_peers_.end(), bridges.begin(), bridges.end());
      }
    }
  }
  const std::vector<MemberId> relays = RankOwners(std::string(kRelayOrder) + self_.zone,
                                                  KnownIn(self_.zone), settings_.relays_per_zone);
  relay_ = std::find(relays.begin(), relays.end(), self_.id) != relays.end();
}

std::vector<MemberId> Node::Neighbors(bool successors) const {
  const std::vector<HashedMember> ring = HashOrder(kRingOrder, KnownIn(self_.zone));
  std::vector<MemberId> neighbors;
  const auto self = std::find_if(ring.begin(), ring.end(),
                                 [&](const HashedMember& member) { return member.id == self_.id; });
  if (self == ring.end()) {
    return neighbors;
  }
  const std::size_t size = ring.size();
  const auto position = static_cast<std::size_t>(self - ring.begin());
  const std::size_t count = std::min(settings_.ring_successors, size - 1);
  for (std::size_t step = 1; step <= count; ++step) {
    const std::size_t offset = successors ? step : size - step;
    neighbors.push_back(ring[(position + offset) % size].id);
  }
  return neighbors;
}

const std::vector<Member>& Node::KnownIn(const std::string& zone) const {
  static const std::vector<Member> kNone;
  const auto found = serving_by_zone_.find(zone);
  return found == serving_by_zone_.end() ? kNone : found->second;
}

std::vector<Member> Node::ServingIn(const std::string& zone) const {
  return ZoneReachable(zone) ? KnownIn(zone) : std::vector<Member>{};
}

std::vector<Member> Node::ServingAnywhere() const {
  std::vector<Member> members;
  for (const auto& [zone, known] : serving_by_zone_) {
    if (ZoneReachable(zone)) {
      members.insert(members.end(), known.begin(), known.end());
    }
  }
  return members;
}

bool Node::ZoneReachable(const std::string& zone) const {
  const Entry* entry = table_.Find({EntryKind::kZone, self_.zone + "/" + zone});
  return entry == nullptr || entry->value.value("reachable", true);
}

std::vector<Member> Node::AllMembers() const {
  std::vector<Member> members;
  for (const auto& [id, member] : members_) {
    members.push_back(member);
  }
  return members;
}

std::vector<MemberId> Node::BridgesOf(const std::string& zone) const {
  return RankOwners(std::string(kBridgeOrder) + zone, KnownIn(zone), settings_.bridges_per_zone);
}

bool Node::IsBridge() const { return bridge_; }

bool Node::IsRelay() const { return relay_; }

// --- Failure detection ------------------------------------------------------------------------

void Node::SendHeartbeats() {
  const Heartbeat heartbeat{self_.incarnation, table_.RootHash()};
  for (const MemberId& successor : successors_) {
    SendTo(successor, heartbeat);
  }
  for (const MemberId& bridge : bridge_peers_) {
    SendTo(bridge, heartbeat);
  }
}

void Node::WatchPredecessors(Instant now) {
  std::erase_if(watched_, [&](const auto& entry) {
    return std::find(predecessors_.begin(), predecessors_.end(), entry.first) ==
           predecessors_.end();
  });
  const std::vector<MemberId> predecessors = predecessors_;
  for (const MemberId& id : predecessors) {
    watched_.try_emplace(id, Watched{now, now, false});
    CheckWatched(id, now);
  }
}

void Node::WatchZones(Instant now) {
  if (!IsBridge()) {
    zone_received_at_.clear();
    return;
  }
  // Publishing rebuilds the view that this loop iterates over, so the zones are collected first.
  std::vector<std::string> unresponsive;
  for (const auto& [zone, members] : serving_by_zone_) {
    if (zone == self_.zone) {
      continue;
    }
    const Instant received_at = zone_received_at_.try_emplace(zone, now).first->second;
    if (now - received_at >= settings_.zone_lost_after && ZoneReachable(zone)) {
      unresponsive.push_back(zone);
    }
  }
  for (const std::string& zone : unresponsive) {
    PublishZone(zone, false, now);
  }
}

void Node::PublishZone(const std::string& zone, bool reachable, Instant now) {
  Entry entry;
  entry.id = {EntryKind::kZone, self_.zone + "/" + zone};
  const Entry* before = table_.Find(entry.id);
  entry.version = {before == nullptr ? 1 : before->version.major + 1, 0};
  entry.value = {{"reachable", reachable}};
  if (ApplyEntry(entry, now)) {
    // Only this zone uses the entry at once; the other zones receive it by repair.
    Forward({entry}, Span{});
  }
}

void Node::CheckWatched(const MemberId& id, Instant now) {
  Watched& watched = watched_[id];
  if (now - watched.last_received_at < settings_.suspect_after) {
    watched.suspected = false;
    return;
  }
  const auto known = members_.find(id);
  if (known == members_.end()) {
    return;
  }
  Member member = known->second;
  if (!watched.suspected) {
    watched.suspected = true;
    watched.suspected_at = now;
  }
  const bool overdue = now - watched.suspected_at >= settings_.fail_after;
  const MemberState next = overdue ? MemberState::kFailed : MemberState::kSuspect;
  if (member.state >= next) {
    return;
  }
  member.state = next;
  const Entry changed = ToEntry(member);
  if (ApplyEntry(changed, now)) {
    Broadcast({changed});
  }
}

}  // namespace valvekeel::cluster
