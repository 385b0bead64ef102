#include "membership/live_view.h"

#include <algorithm>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::membership {
namespace {

constexpr const char* HUB_HASH_KEY = "hub";

/** Least time without a heartbeat after which a daemon counts as lost: a few heartbeats of an
 * owner. It is short because callers wait for owners. */
constexpr common::Duration MIN_HEARTBEAT_TIMEOUT{650'000};
/** The same in halves of the sender's heartbeat interval. Two datagrams lost in a row don't make a
 * daemon lost. */
constexpr int TIMEOUT_HALF_INTERVALS = 5;
/** Time without an answer after which a hub becomes suspect and others are preferred. A hub answers
 * at once. */
constexpr common::Duration SUSPECT_AFTER{900'000};
/** Time after which a suspect hub is tried again. */
constexpr common::Duration SUSPECT_FOR{4'000'000};
/** Time for which a daemon stays a hub after the last request: three heartbeat intervals of the
 * daemon that requests it. */
constexpr common::Duration HUB_REQUEST_LIFETIME{1'500'000};
/** Time for which registered daemons count as live without a heartbeat after their entry was first
 * seen, and in which all daemons have sent a heartbeat to a new hub. All machines start within
 * 0.3 s, and a start takes some tenths of a second. */
constexpr common::Duration STARTUP_GRACE{2'000'000};
/** Time in which the daemons that sent heartbeats to the previous hub send one to its successor. */
constexpr common::Duration HUB_TAKEOVER_GRACE{1'500'000};
/** Time for which a daemon stays listed after the last support by any source. A new hub of its zone
 * takes over within SUSPECT_AFTER and lists it after another message. */
constexpr common::Duration RETENTION{3'750'000};
/** The same where a hub of its zone receives no heartbeat from it, although it has had time to
 * receive one from every daemon. */
constexpr common::Duration RETENTION_IN_COMPLETE_ZONE{1'600'000};
/** Time for which heartbeats to a former partner go on, so that it does not take their end for the
 * loss of this daemon: two heartbeats, of which one may be lost. */
constexpr common::Duration PARTNER_LINGER{1'000'000};
/** Time for which the last view is kept when no heartbeat is received from any daemon. */
constexpr common::Duration ISOLATION_TIMEOUT{4'000'000};
/** Time for which a daemon looks for the hubs of the other zones after it became a hub. It repeats
 * that periodically, so that hubs which started separately find each other. */
constexpr common::Duration INITIAL_DISCOVERY{3'000'000};
constexpr common::Duration DISCOVERY_PERIOD{8'000'000};
constexpr common::Duration PERIODIC_DISCOVERY{600'000};
/** Least time between two versions of a list to the same daemon, so that changes are batched. */
constexpr common::Duration MIN_LIST_INTERVAL{200'000};
/** Time after which a list that was not acknowledged is sent again. */
constexpr common::Duration LIST_RESEND_AFTER{700'000};

/** Most members in the lists of one message, of 37.5 bytes each. A datagram takes up to 65,507
 * bytes, and a larger one is never sent. The lists of all zones reach that size at 1,740 daemons.
 */
constexpr std::size_t MAX_LISTED_MEMBERS = 400;

/** @return true if a is preferred to b as a hub: large machines first, then by a hash that is the
 * same on all daemons. */
bool is_preferred_hub(const member& a, const member& b) {
  if (a.capacity != b.capacity) {
    return a.capacity > b.capacity;
  }
  const std::uint64_t first = common::StableHash(HUB_HASH_KEY, a.name);
  const std::uint64_t second = common::StableHash(HUB_HASH_KEY, b.name);
  return first != second ? first < second : a.name < b.name;
}

}  // namespace

live_view::live_view(member self, view_policy policy) : self(std::move(self)), policy(policy) {}

void live_view::set_self(bool store_connected, bool stopping) {
  this->sources_changed = this->sources_changed || this->self.store_connected != store_connected ||
                          this->self.stopping != stopping;
  this->self.store_connected = store_connected;
  this->self.stopping = stopping;
}

void live_view::set_registered(std::vector<member> daemons, common::Instant now) {
  for (member& each : daemons) {
    this->add_registered(std::move(each), now);
  }
}

void live_view::add_registered(member daemon, common::Instant now) {
  const bool is_new = !this->registered.contains(daemon.name);
  const auto contact = this->contacts.find(daemon.name);
  const bool no_heartbeat = contact == this->contacts.end() || !contact->second.last_heartbeat;
  if (is_new && no_heartbeat && !this->view_complete && daemon.name != this->self.name) {
    this->known_members.presume_live(daemon, now + STARTUP_GRACE);
    this->sources_changed = true;
  }
  this->registered_zones.insert(daemon.zone);
  this->registered[daemon.name] = std::move(daemon);
}

bool live_view::awaits_discovered_hubs() const {
  return std::any_of(this->discovered.begin(), this->discovered.end(), [&](const auto& each) {
    const auto known = this->contacts.find(each.first);
    if (known == this->contacts.end() || !known->second.last_heartbeat) {
      return true;
    }
    return known->second.is_hub && known->second.lists.empty();
  });
}

bool live_view::isolated(common::Instant now) const {
  return this->last_heartbeat_from_any && now >= *this->last_heartbeat_from_any + ISOLATION_TIMEOUT;
}

bool live_view::needs_discovery(common::Instant now) const {
  if (!this->acts_as_hub || this->isolated(now)) {
    return !this->view_complete;
  }
  const common::Duration as_hub = now - this->hub_since.value_or(now);
  return as_hub < INITIAL_DISCOVERY || as_hub % DISCOVERY_PERIOD < PERIODIC_DISCOVERY;
}

std::vector<member> live_view::known_hubs(common::Instant now) const {
  std::vector<member> hubs;
  for (const std::string& zone : this->known_zones()) {
    for (member& each : this->preferred_hubs(zone, now)) {
      hubs.push_back(std::move(each));
    }
  }
  return hubs;
}

void live_view::clear_lists(contact& from) {
  from.lists.clear();
  this->sources_changed = true;
}

void live_view::release_source(const contact& from, common::Instant now) {
  // The word of a hub that does not answer may be out of date.
  if (from.reachable && !this->is_suspect(from.reported.name, now)) {
    this->known_members.release_source(from.reported.name, *from.last_heartbeat);
  }
}

void live_view::apply_epoch(contact& from, const view_message& message, common::Instant now) {
  const bool epoch_changed = from.last_heartbeat && from.epoch != message.epoch;
  if (epoch_changed || (from.last_heartbeat && !has_recent_heartbeat(from, now))) {
    // Its earlier lists are out of date. It may have had no heartbeat from the daemons in them.
    this->clear_lists(from);
  }
  if (epoch_changed) {
    from.hub_requested_at = common::Instant(0);
    from.sent.clear();
  }
  from.epoch = message.epoch;
  const bool narrower = from.covers_all_zones && !message.covers_all_zones;
  if (narrower || (from.is_hub && !message.from_hub)) {
    // A hub's lists for its zone contain more than its list for other hubs, which has only the
    // daemons that send heartbeats to it.
    this->clear_lists(from);
  }
}

void live_view::apply_list(contact& from, const zone_list& list, common::Instant now) {
  zone_list& previous = from.lists[list.zone];
  const bool counts = this->is_source(from);
  std::set<std::string> before;
  for (const member& each : previous.members) {
    before.insert(each.name);
  }
  for (const member& each : list.members) {
    const bool is_new = before.erase(each.name) == 0;
    if (is_new && counts) {
      this->known_members.clear_drop(each.name);
    }
  }
  for (const std::string& each : list.moved) {
    before.erase(each);
  }
  if (counts) {
    for (const std::string& each : before) {
      this->known_members.record_drop(each, from.reported.name, now);
    }
  }
  previous = list;
  this->sources_changed = true;
}

void live_view::apply_message(const member& sender, const view_message& message,
                              common::Duration interval, common::Instant now) {
  if (sender.name == this->self.name) {
    return;
  }
  this->last_heartbeat_from_any = now;
  contact& from = this->contacts[sender.name];
  this->apply_epoch(from, message, now);
  const bool was_hub = std::exchange(from.is_hub, message.from_hub);
  const bool was_complete = std::exchange(from.is_complete, message.complete);
  const bool changed = !from.reachable || from.reported != sender || was_hub != from.is_hub ||
                       was_complete != from.is_complete;
  this->sources_changed = this->sources_changed || changed;
  from.reported = sender;
  from.last_heartbeat = now;
  from.suspect_until = common::Instant(0);
  from.interval = interval;
  from.covers_all_zones = message.covers_all_zones;
  from.zone_count = message.zone_count;
  // A daemon that no longer requests this hub has chosen others.
  const bool left =
      std::exchange(from.hub_requested_at, message.requests_hub_role ? now : common::Instant(0))
              .count() > 0 &&
      !message.requests_hub_role;
  this->sources_changed = this->sources_changed || left;
  from.acknowledged.clear();
  for (const list_digest& each : message.acknowledged_lists) {
    from.acknowledged[each.zone] = each.digest;
  }
  for (const zone_list& each : message.lists) {
    this->apply_list(from, each, now);
  }
  for (const member& hub : message.known_hubs) {
    if (hub.name == this->self.name) {
      continue;
    }
    // The sender has recent knowledge of this hub.
    this->add_registered(hub, now);
    const auto known = this->contacts.find(hub.name);
    if (known == this->contacts.end() || !has_recent_heartbeat(known->second, now)) {
      this->discovered[hub.name] = now + RETENTION;
    }
  }
}

bool live_view::has_recent_heartbeat(const contact& each, common::Instant now) {
  const common::Duration timeout =
      std::max(MIN_HEARTBEAT_TIMEOUT, each.interval * TIMEOUT_HALF_INTERVALS / 2);
  return each.last_heartbeat && now < *each.last_heartbeat + timeout;
}

bool live_view::is_suspect(const std::string& name, common::Instant now) const {
  const auto found = this->contacts.find(name);
  return found != this->contacts.end() && now < found->second.suspect_until;
}

std::vector<member> live_view::preferred_hubs(const std::string& zone, common::Instant now) const {
  std::vector<member> candidates;
  const auto list = this->merged_lists.find(zone);
  if (list != this->merged_lists.end()) {
    candidates = list->second.members;
  }
  const bool zone_is_empty = candidates.empty();
  for (const auto& [name, each] : this->registered) {
    if (each.zone != zone || (!zone_is_empty && this->discovered.empty())) {
      continue;
    }
    const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                    [&](const member& other) { return other.name == each.name; });
    if (!listed && (zone_is_empty || this->discovered.contains(name))) {
      candidates.push_back(each);
    }
  }
  const bool own = zone == this->self.zone;
  std::erase_if(candidates, [&](const member& each) {
    return each.stopping || each.name == this->self.name || this->is_suspect(each.name, now);
  });
  if (own && !this->self.stopping) {
    candidates.push_back(this->self);
  }
  const std::size_t count = std::min(candidates.size(), this->policy.hubs_per_zone);
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(candidates.begin(), end, candidates.end(), is_preferred_hub);
  candidates.erase(end, candidates.end());
  return candidates;
}

std::set<std::string> live_view::known_zones() const {
  std::set<std::string> all = this->registered_zones;
  all.insert(this->self.zone);
  for (const auto& [zone, list] : this->merged_lists) {
    all.insert(zone);
  }
  return all;
}

bool live_view::is_preferred_source(const contact& a, const contact& b) {
  if (a.is_complete != b.is_complete) {
    return a.is_complete;
  }
  if (a.reported.stopping != b.reported.stopping) {
    return b.reported.stopping;
  }
  return is_preferred_hub(a.reported, b.reported);
}

void live_view::set_list(zone_list& list, const std::string& zone, std::vector<member> members) {
  list.zone = zone;
  list.members = std::move(members);
  list.digest = digest_of(list.members);
}

void live_view::update_reachability(common::Instant now) {
  for (auto& [name, each] : this->contacts) {
    const common::Instant answered =
        std::max(each.partner_since, each.last_heartbeat.value_or(each.partner_since));
    if (each.is_partner && now >= answered + SUSPECT_AFTER && now >= each.suspect_until) {
      each.suspect_until = now + SUSPECT_FOR;
    }
    const bool was_reachable = std::exchange(each.reachable, has_recent_heartbeat(each, now));
    this->sources_changed = this->sources_changed || was_reachable != each.reachable;
    if (!was_reachable || each.reachable) {
      continue;
    }
    this->clear_lists(each);
    // The loss of a daemon of another zone is reported by the hubs there, to which it sends
    // heartbeats more often.
    if (each.reported.zone == this->self.zone && this->expects_heartbeats_from(each, now)) {
      this->known_members.record_drop(name, "", now);
    }
  }
}

bool live_view::expects_heartbeats_from(const contact& each, common::Instant now) const {
  const bool expected = each.is_hub || each.hub_requested_at.count() > 0;
  const bool written_to = each.is_partner || now < each.linger_until;
  return expected && written_to && *each.last_heartbeat > each.partner_since;
}

bool live_view::belongs_in_direct_list(const contact& each) const {
  const bool expected = each.is_hub || each.hub_requested_at.count() > 0;
  return each.reachable && each.reported.zone == this->self.zone && expected;
}

bool live_view::is_source(const contact& each) const {
  // A hub's full view contains what this daemon has sent to that hub. So a hub uses only the lists
  // of daemons that send heartbeats to other hubs.
  return each.is_hub &&
         (this->acts_as_hub ? !each.covers_all_zones : each.covers_all_zones || each.is_partner);
}

std::vector<const live_view::contact*> live_view::sources() const {
  std::vector<const contact*> hubs;
  for (const auto& [name, each] : this->contacts) {
    if (each.reachable && this->is_source(each)) {
      hubs.push_back(&each);
    }
  }
  std::sort(hubs.begin(), hubs.end(),
            [](const contact* a, const contact* b) { return is_preferred_source(*a, *b); });
  return hubs;
}

void live_view::rebuild_direct_list(common::Instant now) {
  std::map<std::string, member> direct{{this->self.name, this->self}};
  for (const auto& [name, each] : this->contacts) {
    if (this->belongs_in_direct_list(each)) {
      direct.emplace(name, each.reported);
    }
  }
  for (const member& each : this->direct_list.members) {
    const auto contact = this->contacts.find(each.name);
    const bool is_reachable = contact != this->contacts.end() && contact->second.reachable;
    if (is_reachable && !direct.contains(each.name)) {
      this->moved_until[each.name] = now + RETENTION;
    }
  }
  std::erase_if(this->moved_until, [&](const auto& each) {
    return now >= each.second || direct.contains(each.first);
  });
  this->direct_list.moved.clear();
  for (const auto& [name, until] : this->moved_until) {
    this->direct_list.moved.push_back(name);
  }
  std::vector<member> members;
  for (auto& [name, each] : direct) {
    members.push_back(std::move(each));
  }
  this->set_list(this->direct_list, this->self.zone, std::move(members));
}

std::set<std::string> live_view::complete_zones() const {
  std::set<std::string> zones;
  if (this->acts_as_hub && this->own_zone_complete) {
    zones.insert(this->self.zone);
  }
  for (const auto& [name, each] : this->contacts) {
    // Whom a hub does not hear is known only from a list that the view uses.
    const bool is_complete_source =
        this->is_source(each) && !each.covers_all_zones && each.is_complete;
    if (each.reachable && is_complete_source && each.lists.contains(each.reported.zone)) {
      zones.insert(each.reported.zone);
    }
  }
  return zones;
}

void live_view::rebuild_roster(common::Instant now) {
  if (this->acts_as_hub) {
    this->rebuild_direct_list(now);
  }
  this->known_members.begin_round();
  this->known_members.support(this->self, this->self.name);
  if (this->acts_as_hub) {
    for (const member& each : this->direct_list.members) {
      this->known_members.support(each, each.name);
    }
  }
  for (const contact* hub : this->sources()) {
    for (const auto& [zone, list] : hub->lists) {
      for (const member& each : list.members) {
        this->known_members.support(each, hub->reported.name);
      }
    }
  }
  bool any_reachable = false;
  for (const auto& [name, each] : this->contacts) {
    if (each.reachable) {
      this->known_members.support_by_heartbeat(each.reported, *each.last_heartbeat);
      any_reachable = true;
    }
  }
  const std::set<std::string> complete = this->complete_zones();
  roster::retention rules;
  rules.time_of_last_support = [&](const roster::entry& each) {
    const auto source = this->contacts.find(each.source);
    return source == this->contacts.end() ? now : source->second.last_heartbeat.value_or(now);
  };
  rules.retained_until = [&](const roster::entry& each) {
    if (!any_reachable) {
      return common::Instant::max();  // this daemon itself is cut off
    }
    const bool in_complete_zone = complete.contains(each.reported.zone);
    return *each.last_support + (in_complete_zone ? RETENTION_IN_COMPLETE_ZONE : RETENTION);
  };
  this->known_members.end_round(rules, now);
  if (this->acts_as_hub) {
    this->count_unreachable();
  }
}

void live_view::update_completeness(common::Instant now) {
  if (!this->acts_as_hub) {
    this->own_zone_complete = false;
    this->view_complete =
        this->view_complete ||
        std::any_of(this->contacts.begin(), this->contacts.end(), [&](const auto& at) {
          const contact& each = at.second;
          return each.reachable && each.is_hub && each.covers_all_zones && each.is_complete &&
                 each.lists.size() >= std::max<std::size_t>(each.zone_count, 1) &&
                 each.lists.contains(this->self.zone);
        });
    return;
  }
  const common::Duration as_hub = now - this->hub_since.value_or(now);
  const bool had_time = as_hub >= (this->view_complete ? HUB_TAKEOVER_GRACE : STARTUP_GRACE);
  const bool all_reachable = this->view_complete && this->kept_without_source == 0;
  const bool complete = this->listed_by_others == 0 && (had_time || all_reachable);
  this->sources_changed = this->sources_changed || complete != this->own_zone_complete;
  this->own_zone_complete = complete;
  if (this->view_complete || this->awaits_discovered_hubs() || this->isolated(now)) {
    return;
  }
  const std::set<std::string> with_complete_hub = this->complete_zones();
  const std::set<std::string> all = this->known_zones();
  const bool covered =
      all.size() >= this->highest_zone_count() &&
      std::includes(with_complete_hub.begin(), with_complete_hub.end(), all.begin(), all.end());
  this->view_complete = covered || as_hub >= RETENTION;
}

std::size_t live_view::highest_zone_count() const {
  std::size_t most = 0;
  for (const auto& [name, each] : this->contacts) {
    most = std::max(most, each.reachable ? each.zone_count : 0);
  }
  return most;
}

void live_view::count_unreachable() {
  this->listed_by_others = 0;
  this->kept_without_source = 0;
  std::set<std::string> direct;
  for (const member& each : this->direct_list.members) {
    direct.insert(each.name);
  }
  for (const auto& [name, each] : this->known_members.all()) {
    if (each.reported.zone != this->self.zone || direct.contains(name)) {
      continue;
    }
    ++(each.supported ? this->listed_by_others : this->kept_without_source);
  }
}

bool live_view::is_client(const contact& each, common::Instant now) const {
  return each.last_heartbeat && each.hub_requested_at.count() > 0 &&
         now < each.hub_requested_at + HUB_REQUEST_LIFETIME &&
         each.reported.zone == this->self.zone;
}

void live_view::set_hub_role(bool as_hub, common::Instant now) {
  if (this->acts_as_hub == as_hub) {
    return;
  }
  for (const contact* each : this->sources()) {
    this->release_source(*each, now);
  }
  this->acts_as_hub = as_hub;
  this->sources_changed = true;
  this->direct_list = {};
  this->moved_until.clear();
  this->own_zone_complete = false;
  if (as_hub) {
    this->hub_since = now;
    this->epoch = static_cast<std::uint64_t>(now.count());
  }
}

void live_view::keep_former_hubs(std::map<std::string, member>& chosen, common::Instant now) const {
  const bool listed = std::all_of(chosen.begin(), chosen.end(), [&](const auto& at) {
    const auto hub = this->contacts.find(at.first);
    if (hub == this->contacts.end()) {
      return false;
    }
    const auto list = hub->second.lists.find(this->self.zone);
    return list != hub->second.lists.end() &&
           std::any_of(list->second.members.begin(), list->second.members.end(),
                       [&](const member& each) { return each.name == this->self.name; });
  });
  if (listed) {
    return;
  }
  for (const member& each : this->partner_list) {
    const auto hub = this->contacts.find(each.name);
    const bool serves = hub != this->contacts.end() && hub->second.is_hub &&
                        each.zone == this->self.zone && has_recent_heartbeat(hub->second, now);
    if (serves) {
      chosen.emplace(each.name, each);
    }
  }
}

void live_view::choose_partners(common::Instant now) {
  std::vector<member> hubs = this->preferred_hubs(this->self.zone, now);
  const bool is_preferred = std::any_of(
      hubs.begin(), hubs.end(), [&](const member& each) { return each.name == this->self.name; });
  const bool has_clients =
      std::any_of(this->contacts.begin(), this->contacts.end(),
                  [&](const auto& each) { return this->is_client(each.second, now); });
  // A stopping hub continues to serve the daemons that still request it until they have another.
  this->set_hub_role(is_preferred || has_clients, now);
  std::map<std::string, member> chosen;
  if (this->acts_as_hub) {
    for (const std::string& zone : this->known_zones()) {
      if (zone != this->self.zone) {
        const std::vector<member> other_zone_hubs = this->preferred_hubs(zone, now);
        hubs.insert(hubs.end(), other_zone_hubs.begin(), other_zone_hubs.end());
      }
    }
    for (const auto& [name, each] : this->contacts) {
      if ((each.is_hub && has_recent_heartbeat(each, now)) || this->is_client(each, now)) {
        chosen.emplace(name, each.reported);
      }
    }
  }
  std::map<std::string, member> to_ask;
  for (const member& hub : hubs) {
    if (hub.name != this->self.name) {
      to_ask.emplace(hub.name, hub);
    }
  }
  if (!this->acts_as_hub) {
    this->keep_former_hubs(to_ask, now);
  }
  chosen.merge(to_ask);
  this->set_partners(chosen, now);
}

void live_view::set_partners(const std::map<std::string, member>& chosen, common::Instant now) {
  for (const auto& [name, daemon] : chosen) {
    contact& each = this->contacts[name];
    if (!each.last_heartbeat) {
      each.reported = daemon;
    }
    if (!std::exchange(each.is_partner, true)) {
      each.partner_since = now;
    }
  }
  this->partner_list.clear();
  for (auto& [name, each] : this->contacts) {
    if (each.is_partner && !chosen.contains(name)) {
      if (this->is_source(each)) {
        this->release_source(each, now);
      }
      each.is_partner = false;
      each.linger_until = now + PARTNER_LINGER;
      // It no longer sends updates of its lists.
      this->clear_lists(each);
    }
    if (each.is_partner || now < each.linger_until) {
      const auto daemon = chosen.find(name);
      this->partner_list.push_back(daemon == chosen.end() ? each.reported : daemon->second);
    }
  }
}

bool live_view::publish(common::Instant now) {
  std::map<std::string, std::vector<member>> by_zone;
  for (const auto& [name, each] : this->known_members.all()) {
    by_zone[each.reported.zone].push_back(name == this->self.name ? this->self : each.reported);
  }
  for (const auto& [zone, list] : this->merged_lists) {
    // An empty list is sent too. Otherwise others would keep the previous one.
    by_zone.try_emplace(zone);
  }
  std::vector<member> next;
  for (auto& [zone, members] : by_zone) {
    next.insert(next.end(), members.begin(), members.end());
    this->set_list(this->merged_lists[zone], zone, std::move(members));
  }
  if (next == this->live_members) {
    return false;
  }
  std::map<std::string, std::size_t> index;
  for (std::size_t at = 0; at < next.size(); ++at) {
    index[next[at].name] = at;
  }
  for (const auto& [name, at] : this->live_index) {
    if (index.contains(name)) {
      continue;
    }
    this->removed_at[name] = now;
    if (!this->live_members[at].stopping) {
      this->last_change.lost.push_back(name);
    }
  }
  this->live_members = std::move(next);
  this->live_index = std::move(index);
  return true;
}

bool live_view::update(common::Instant now) {
  if (this->epoch == 0) {
    this->epoch = static_cast<std::uint64_t>(now.count());
  }
  const bool was_hub = this->acts_as_hub;
  this->last_change = {};
  std::erase_if(this->discovered, [&](const auto& each) { return now >= each.second; });
  if (this->isolated(now)) {
    this->sources_changed = this->sources_changed || this->known_members.all().size() > 1;
    this->known_members.clear();
    this->view_complete = false;
  }
  this->update_reachability(now);
  const auto end = this->known_members.next_expiry();
  bool changed = false;
  if (std::exchange(this->sources_changed, false) || (end && now >= *end)) {
    this->rebuild_roster(now);
    changed = this->publish(now);
    this->last_change.reporting_hub = this->known_members.last_dropped_by();
  }
  this->update_completeness(now);
  this->choose_partners(now);
  this->last_change.hub_changed = was_hub != this->acts_as_hub;
  return changed;
}

const member* live_view::find(const std::string& name) const {
  const auto found = this->live_index.find(name);
  return found == this->live_index.end() ? nullptr : &this->live_members[found->second];
}

std::size_t live_view::count_live_within(common::Duration age, common::Instant now) const {
  std::size_t count = this->live_members.size();
  for (const auto& [name, at] : this->removed_at) {
    if (now < at + age && !this->live_index.contains(name)) {
      ++count;
    }
  }
  return count;
}

std::vector<const zone_list*> live_view::lists_for(const contact& each, common::Instant now) const {
  std::vector<const zone_list*> lists;
  if (!this->acts_as_hub || !each.last_heartbeat) {
    return lists;
  }
  if (each.is_hub) {
    if (!this->direct_list.zone.empty()) {
      lists.push_back(&this->direct_list);
    }
    return lists;
  }
  if (this->is_client(each, now)) {
    for (const auto& [zone, list] : this->merged_lists) {
      lists.push_back(&list);
    }
  }
  return lists;
}

bool live_view::has_acknowledged(const contact& each, const zone_list& list) {
  const auto acknowledged = each.acknowledged.find(list.zone);
  return acknowledged != each.acknowledged.end() && acknowledged->second == list.digest;
}

bool live_view::is_due(const contact& each, const zone_list& list, common::Instant now) const {
  if (has_acknowledged(each, list)) {
    return false;
  }
  const auto sent = each.sent.find(list.zone);
  if (sent == each.sent.end()) {
    return true;
  }
  const common::Duration pause =
      sent->second.digest == list.digest ? LIST_RESEND_AFTER : MIN_LIST_INTERVAL;
  return now >= sent->second.at + pause;
}

bool live_view::has_pending_lists(const std::string& name, common::Instant now) const {
  const auto found = this->contacts.find(name);
  if (found == this->contacts.end()) {
    return false;
  }
  const std::vector<const zone_list*> lists = this->lists_for(found->second, now);
  return std::any_of(lists.begin(), lists.end(), [&](const zone_list* list) {
    return this->is_due(found->second, *list, now);
  });
}

view_message live_view::message_for(const std::string& name, common::Instant now) {
  view_message message;
  message.large_deployment = true;
  message.from_hub = this->acts_as_hub;
  message.epoch = this->epoch;
  message.requests_discovery = this->needs_discovery(now);
  const auto found = this->contacts.find(name);
  if (found == this->contacts.end()) {
    return message;
  }
  contact& to = found->second;
  message.covers_all_zones = this->acts_as_hub && !to.is_hub && this->is_client(to, now);
  message.complete = this->acts_as_hub &&
                     (message.covers_all_zones ? this->view_complete : this->own_zone_complete);
  // This daemon's clients know fewer hubs than it does.
  message.requests_discovery = message.requests_discovery && !this->is_client(to, now);
  message.requests_hub_role =
      to.is_partner && !this->acts_as_hub && to.reported.zone == this->self.zone;
  if (to.is_partner) {
    for (const auto& [zone, list] : to.lists) {
      message.acknowledged_lists.push_back({zone, list.digest});
    }
  }
  const std::vector<const zone_list*> lists = this->lists_for(to, now);
  message.zone_count = this->view_complete ? this->merged_lists.size() : 0;
  std::size_t listed = 0;
  for (const zone_list* list : lists) {
    // The other lists stay pending and go with the next message.
    const bool fits = listed == 0 || listed + list->members.size() <= MAX_LISTED_MEMBERS;
    if (fits && this->is_due(to, *list, now)) {
      listed += list->members.size();
      message.lists.push_back(*list);
      to.sent[list->zone] = {list->digest, now};
    } else if (!has_acknowledged(to, *list)) {
      // The receiver may have an earlier version, from which daemons are missing.
      message.complete = false;
    }
  }
  return message;
}

}  // namespace valvekeel::membership
