#include "membership/live_view.h"

#include <algorithm>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::membership {
namespace {

constexpr const char* HUB = "hub";

/** Silence after which a daemon is lost, at least: a few heartbeats of an owner, which callers wait
 * for. */
constexpr common::Duration SHORTEST_SILENCE{650'000};
/** The same in halves of the sender's interval: two lost datagrams in a row are no loss. */
constexpr int SILENT_HALF_INTERVALS = 5;
/** Silence after which a hub that was written to is passed over: it should have answered at once.
 */
constexpr common::Duration SUSPECT_AFTER{900'000};
/** Time after which a hub that was passed over is tried again. */
constexpr common::Duration SUSPECT_FOR{4'000'000};
/** Time for which a daemon stays a hub after it was last asked: three of the asker's intervals. */
constexpr common::Duration ASKED_FOR{1'500'000};
/** Time in which registered daemons are taken to be alive unheard, after their entry was first
 * seen, and in which all have spoken to a new hub: all machines start within 0.3 s, and a start
 * takes some tenths. */
constexpr common::Duration GREETING{2'000'000};
/** Time in which those whom the last hub heard make themselves heard by the one that takes over. */
constexpr common::Duration TAKE_OVER{1'500'000};
/** Time for which a daemon stays listed that no source speaks for any more, after its last word: a
 * new hub of its zone takes over within SUSPECT_AFTER and lists it after another message. */
constexpr common::Duration KEPT_UNHEARD{3'750'000};
/** The same where a hub of its zone that has had time to hear all does not hear it. */
constexpr common::Duration KEPT_BESIDE_INFORMED{1'600'000};
/** Time for which a partner that is no longer needed is still written to, so that it does not take
 * the end of the messages for a loss: two heartbeats, of which one may be lost. */
constexpr common::Duration LEAVING{1'000'000};
/** Time for which the last view is kept without a word of anybody. */
constexpr common::Duration VIEW_KEPT{4'000'000};
/** Time for which a hub asks for the hubs of the other zones after it became one, and how often it
 * does so later: hubs that began apart find each other. */
constexpr common::Duration SEEK_FOR{3'000'000};
constexpr common::Duration SEEK_AGAIN{8'000'000};
constexpr common::Duration SEEK_AGAIN_FOR{600'000};
/** Least time between two versions of a list to the same daemon, so that changes gather. */
constexpr common::Duration LIST_PAUSE{200'000};
/** Time after which a list that was not confirmed is sent again. */
constexpr common::Duration LIST_RESEND{700'000};

/** Members of the lists in one message, of 37.5 bytes each: a datagram takes 65,507 bytes, and one
 * that is larger is never sent. The lists of all zones reach that at 1,740 daemons. */
constexpr std::size_t MOST_LISTED = 400;

/** Orders hubs: large machines first, then by a hash that all daemons share. */
bool goes_first(const member& a, const member& b) {
  if (a.capacity != b.capacity) {
    return a.capacity > b.capacity;
  }
  const std::uint64_t first = common::StableHash(HUB, a.name);
  const std::uint64_t second = common::StableHash(HUB, b.name);
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
  const bool unheard = contact == this->contacts.end() || !contact->second.last_heartbeat;
  if (is_new && unheard && !this->view_complete && daemon.name != this->self.name) {
    this->known_members.presume_live(daemon, now + GREETING);
    this->sources_changed = true;
  }
  this->registered_zones.insert(daemon.zone);
  this->registered[daemon.name] = std::move(daemon);
}

bool live_view::awaits_discovered_hubs() const {
  return std::any_of(this->discovered.begin(), this->discovered.end(), [&](const auto& each) {
    const auto known = this->contacts.find(each.first);
    if (known == this->contacts.end() || !known->second.heard) {
      return true;
    }
    return known->second.is_hub && known->second.lists.empty();
  });
}

bool live_view::isolated(common::Instant now) const {
  return this->last_heartbeat_from_any && now >= *this->last_heartbeat_from_any + VIEW_KEPT;
}

bool live_view::needs_discovery(common::Instant now) const {
  if (!this->acts_as_hub || this->isolated(now)) {
    return !this->view_complete;
  }
  const common::Duration as_hub = now - this->hub_since.value_or(now);
  return as_hub < SEEK_FOR || as_hub % SEEK_AGAIN < SEEK_AGAIN_FOR;
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

void live_view::apply_epoch(contact& from, const view_message& message, common::Instant now) {
  const bool began_anew = from.last_heartbeat && from.epoch != message.epoch;
  if (began_anew || (from.last_heartbeat && !has_recent_heartbeat(from, now))) {
    // What it told before is out of date: it may never have heard of those whom it listed.
    this->clear_lists(from);
  }
  if (began_anew) {
    from.hub_requested_at = common::Instant(0);
    from.sent.clear();
  }
  from.epoch = message.epoch;
  const bool narrower = from.covers_all_zones && !message.covers_all_zones;
  if (narrower || (from.is_hub && !message.from_hub)) {
    // What a hub tells its zone has more than what it tells a fellow: that alone it hears itself.
    this->clear_lists(from);
  }
}

void live_view::apply_list(contact& from, const zone_list& list, common::Instant now) {
  zone_list& held = from.lists[list.zone];
  const bool counts = this->is_source(from);
  std::set<std::string> before;
  for (const member& each : held.members) {
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
  held = list;
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
  const bool was_informed = std::exchange(from.is_complete, message.complete);
  const bool changed = !from.reachable || from.reported != sender || was_hub != from.is_hub ||
                       was_informed != from.is_complete;
  this->sources_changed = this->sources_changed || changed;
  from.reported = sender;
  from.last_heartbeat = now;
  from.suspect_until = common::Instant(0);
  from.interval = interval;
  from.covers_all_zones = message.covers_all_zones;
  from.zone_count = message.zone_count;
  // Who asks no more has chosen other hubs.
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
    // The sender has heard of it lately.
    this->add_registered(hub, now);
    const auto known = this->contacts.find(hub.name);
    if (known == this->contacts.end() || !has_recent_heartbeat(known->second, now)) {
      this->discovered[hub.name] = now + KEPT_UNHEARD;
    }
  }
}

bool live_view::has_recent_heartbeat(const contact& each, common::Instant now) {
  const common::Duration silence =
      std::max(SHORTEST_SILENCE, each.interval * SILENT_HALF_INTERVALS / 2);
  return each.last_heartbeat && now < *each.last_heartbeat + silence;
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
  const bool lost = candidates.empty();
  for (const auto& [name, each] : this->registered) {
    if (each.zone != zone || (!lost && this->discovered.empty())) {
      continue;
    }
    const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                    [&](const member& other) { return other.name == each.name; });
    if (!listed && (lost || this->discovered.contains(name))) {
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
  std::partial_sort(candidates.begin(), end, candidates.end(), goes_first);
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
  return goes_first(a.reported, b.reported);
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
    const bool spoke = std::exchange(each.reachable, has_recent_heartbeat(each, now));
    this->sources_changed = this->sources_changed || spoke != each.reachable;
    if (!spoke || each.reachable) {
      continue;
    }
    this->clear_lists(each);
    // Of another zone the hubs there tell, which hear it more often.
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
  // A hub's view has what this daemon tells that hub: as a hub it takes what others hear alone.
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
  std::map<std::string, member> heard{{this->self.name, this->self}};
  for (const auto& [name, each] : this->contacts) {
    if (this->belongs_in_direct_list(each)) {
      heard.emplace(name, each.reported);
    }
  }
  for (const member& each : this->direct_list.members) {
    const auto contact = this->contacts.find(each.name);
    const bool lives = contact != this->contacts.end() && contact->second.reachable;
    if (lives && !heard.contains(each.name)) {
      this->moved_until[each.name] = now + KEPT_UNHEARD;
    }
  }
  std::erase_if(this->moved_until,
                [&](const auto& each) { return now >= each.second || heard.contains(each.first); });
  this->direct_list.moved.clear();
  for (const auto& [name, until] : this->moved_until) {
    this->direct_list.moved.push_back(name);
  }
  std::vector<member> members;
  for (auto& [name, each] : heard) {
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
    const bool hears_zone = each.is_hub && !each.covers_all_zones && each.is_complete;
    if (each.reachable && hears_zone && each.lists.contains(each.reported.zone)) {
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
  bool hears_any = false;
  for (const auto& [name, each] : this->contacts) {
    if (each.reachable) {
      this->known_members.support_by_heartbeat(each.reported, *each.last_heartbeat);
      hears_any = true;
    }
  }
  const std::set<std::string> informed = this->complete_zones();
  roster::retention unheard;
  unheard.time_of_last_support = [&](const roster::entry& each) {
    const auto source = this->contacts.find(each.source);
    return source == this->contacts.end() ? now : source->second.last_heartbeat.value_or(now);
  };
  unheard.retained_until = [&](const roster::entry& each) {
    if (!hears_any) {
      return common::Instant::max();  // it is this daemon that hears nobody
    }
    const bool unheard_there = informed.contains(each.reported.zone);
    return *each.last_support + (unheard_there ? KEPT_BESIDE_INFORMED : KEPT_UNHEARD);
  };
  this->known_members.end_round(unheard, now);
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
  const bool had_time = as_hub >= (this->view_complete ? TAKE_OVER : GREETING);
  const bool hears_known = this->view_complete && this->kept_without_source == 0;
  const bool hears_all = this->listed_by_others == 0 && (had_time || hears_known);
  this->sources_changed = this->sources_changed || hears_all != this->own_zone_complete;
  this->own_zone_complete = hears_all;
  if (this->view_complete || this->awaits_discovered_hubs() || this->isolated(now)) {
    return;
  }
  const std::set<std::string> informed = this->complete_zones();
  const std::set<std::string> all = this->known_zones();
  const bool covered = all.size() >= this->highest_zone_count() &&
                       std::includes(informed.begin(), informed.end(), all.begin(), all.end());
  this->view_complete = covered || as_hub >= KEPT_UNHEARD;
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
  std::set<std::string> heard;
  for (const member& each : this->direct_list.members) {
    heard.insert(each.name);
  }
  for (const auto& [name, each] : this->known_members.all()) {
    if (each.reported.zone != this->self.zone || heard.contains(name)) {
      continue;
    }
    ++(each.supported ? this->listed_by_others : this->kept_without_source);
  }
}

bool live_view::is_client(const contact& each, common::Instant now) const {
  return each.last_heartbeat && each.hub_requested_at.count() > 0 &&
         now < each.hub_requested_at + ASKED_FOR && each.reported.zone == this->self.zone;
}

void live_view::set_hub_role(bool as_hub, common::Instant now) {
  if (std::exchange(this->acts_as_hub, as_hub) == as_hub) {
    return;
  }
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
  const bool among_first = std::any_of(
      hubs.begin(), hubs.end(), [&](const member& each) { return each.name == this->self.name; });
  const bool asked =
      std::any_of(this->contacts.begin(), this->contacts.end(),
                  [&](const auto& each) { return this->is_client(each.second, now); });
  // A hub that stops goes on for those who still ask it, until they have another.
  this->set_hub_role(among_first || asked, now);
  std::map<std::string, member> chosen;
  if (this->acts_as_hub) {
    for (const std::string& zone : this->known_zones()) {
      if (zone != this->self.zone) {
        const std::vector<member> far = this->preferred_hubs(zone, now);
        hubs.insert(hubs.end(), far.begin(), far.end());
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
      each.is_partner = false;
      each.linger_until = now + LEAVING;
      // It no longer sends what changes.
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
    // Where nobody is left the list is told as well, or others would keep the last one.
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

bool live_view::is_due(const contact& each, const zone_list& list, common::Instant now) const {
  const auto held = each.acknowledged.find(list.zone);
  if (held != each.acknowledged.end() && held->second == list.digest) {
    return false;
  }
  const auto sent = each.sent.find(list.zone);
  if (sent == each.sent.end()) {
    return true;
  }
  const common::Duration pause = sent->second.digest == list.digest ? LIST_RESEND : LIST_PAUSE;
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
  // Those who ask this daemon know less than it does.
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
    // The rest is still owed, and goes with the next message.
    const bool fits = listed == 0 || listed + list->members.size() <= MOST_LISTED;
    if (fits && this->is_due(to, *list, now)) {
      listed += list->members.size();
      message.lists.push_back(*list);
      to.sent[list->zone] = {list->digest, now};
    }
  }
  return message;
}

}  // namespace valvekeel::membership
