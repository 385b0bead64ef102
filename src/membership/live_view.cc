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
 * seen: all machines start within 0.3 s, and a start takes some tenths. */
constexpr common::Duration GREETING{2'000'000};
/** Time for those known to the last hub to make themselves heard by a new one. */
constexpr common::Duration TAKE_OVER{1'500'000};
/** Silence of all hubs of a zone after which its daemons count as lost: a new hub of that zone
 * takes over within SUSPECT_AFTER and speaks at once. */
constexpr common::Duration ZONE_SILENCE{2'500'000};
/** Time for which the last view is kept without any hub, and without a word of anybody. */
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
  this->is_stale = this->is_stale || this->self.store_connected != store_connected ||
                   this->self.stopping != stopping;
  this->self.store_connected = store_connected;
  this->self.stopping = stopping;
}

void live_view::presume(const std::string& name, common::Instant until) {
  common::Instant& known = this->presumed[name];
  known = std::max(known, until);
}

void live_view::set_registered(std::vector<member> daemons, common::Instant now) {
  for (member& each : daemons) {
    this->add_registered(std::move(each), now);
  }
}

void live_view::add_registered(member daemon, common::Instant now) {
  const bool is_new = !this->registered.contains(daemon.name);
  const auto contact = this->contacts.find(daemon.name);
  const bool unheard = contact == this->contacts.end() || !contact->second.heard;
  if (is_new && unheard && !this->has_view && daemon.name != this->self.name) {
    this->presume(daemon.name, now + GREETING);
  }
  this->registered_zones.insert(daemon.zone);
  this->registered[daemon.name] = std::move(daemon);
}

bool live_view::settled() const {
  if (this->has_view) {
    return true;
  }
  return this->acts_as_hub && !this->registered.empty() && !this->awaits_hubs() &&
         std::any_of(this->contacts.begin(), this->contacts.end(), [](const auto& each) {
           return each.second.is_hub || each.second.asked_us.count() > 0;
         });
}

bool live_view::awaits_hubs() const {
  return std::any_of(this->introduced.begin(), this->introduced.end(), [&](const auto& each) {
    const auto known = this->contacts.find(each.first);
    if (known == this->contacts.end() || !known->second.heard) {
      return true;
    }
    return known->second.is_hub && known->second.lists.empty();
  });
}

bool live_view::is_informed_hub(const contact& each, common::Instant now) {
  return each.is_hub && each.is_informed && heard_lately(each, now);
}

bool live_view::defers(common::Instant now) const {
  return !this->has_view &&
         std::any_of(this->contacts.begin(), this->contacts.end(), [&](const auto& each) {
           return each.second.told.zone == this->self.zone && is_informed_hub(each.second, now);
         });
}

bool live_view::isolated(common::Instant now) const {
  return this->last_heard && now >= *this->last_heard + VIEW_KEPT;
}

bool live_view::seeks(common::Instant now) const {
  if (!this->acts_as_hub || this->isolated(now)) {
    return !this->has_view;
  }
  const common::Duration as_hub = now - this->hub_since.value_or(now);
  return as_hub < SEEK_FOR || as_hub % SEEK_AGAIN < SEEK_AGAIN_FOR;
}

std::vector<member> live_view::introduction(common::Instant now) const {
  std::vector<member> hubs;
  for (const std::string& zone : this->zones()) {
    for (member& each : this->first_hubs(zone, now)) {
      hubs.push_back(std::move(each));
    }
  }
  return hubs;
}

void live_view::take(const member& sender, const view_message& message, common::Duration interval,
                     common::Instant now) {
  if (sender.name == this->self.name) {
    return;
  }
  this->last_heard = now;
  contact& from = this->contacts[sender.name];
  if (from.heard && !heard_lately(from, now)) {
    // What it told before its silence is out of date, and it may have begun anew.
    from.lists.clear();
    ++this->lists_taken;
  }
  from.told = sender;
  from.heard = now;
  from.interval = interval;
  from.is_hub = message.from_hub;
  const bool was_informed = std::exchange(from.is_informed, message.informed);
  if (was_informed && !from.is_informed) {
    // It began anew: what it told before is out of date.
    from.lists.clear();
    ++this->lists_taken;
  }
  if (message.whole != from.is_whole) {
    // What a hub tells a fellow and what it tells the daemons of its zone don't go together.
    from.lists.clear();
    from.is_whole = message.whole;
    ++this->lists_taken;
  }
  if (message.asks) {
    from.asked_us = now;
  }
  from.held.clear();
  for (const list_digest& each : message.held) {
    from.held[each.zone] = each.digest;
  }
  for (const zone_list& each : message.lists) {
    from.lists[each.zone] = each;
    ++this->lists_taken;
  }
  this->presumed.erase(sender.name);
  for (const member& hub : message.introduced) {
    if (hub.name == this->self.name) {
      continue;
    }
    // The sender has heard of it lately.
    this->add_registered(hub, now);
    const auto known = this->contacts.find(hub.name);
    if (known == this->contacts.end() || !heard_lately(known->second, now)) {
      this->introduced[hub.name] = now + GREETING;
    }
  }
}

bool live_view::heard_lately(const contact& each, common::Instant now) {
  const common::Duration silence =
      std::max(SHORTEST_SILENCE, each.interval * SILENT_HALF_INTERVALS / 2);
  return each.heard && now < *each.heard + silence;
}

bool live_view::suspect(const std::string& name, common::Instant now) const {
  const auto found = this->contacts.find(name);
  if (found == this->contacts.end() || !found->second.asked) {
    return false;
  }
  const common::Instant since =
      std::max(*found->second.asked, found->second.heard.value_or(*found->second.asked));
  return now >= since + SUSPECT_AFTER && now < since + SUSPECT_AFTER + SUSPECT_FOR;
}

std::vector<member> live_view::first_hubs(const std::string& zone, common::Instant now) const {
  std::vector<member> candidates;
  const auto list = this->merged.find(zone);
  if (list != this->merged.end()) {
    candidates = list->second.members;
  }
  const bool lost = candidates.empty();
  for (const auto& [name, each] : this->registered) {
    const bool none = this->presumed.empty() && this->introduced.empty();
    if (each.zone != zone || (!lost && none)) {
      continue;
    }
    const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                    [&](const member& other) { return other.name == each.name; });
    const bool may_live = this->presumed.contains(name) || this->introduced.contains(name);
    if (!listed && (lost || may_live)) {
      candidates.push_back(each);
    }
  }
  const bool own = zone == this->self.zone;
  std::erase_if(candidates, [&](const member& each) {
    return each.stopping || each.name == this->self.name || this->suspect(each.name, now);
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

std::set<std::string> live_view::zones() const {
  std::set<std::string> all = this->registered_zones;
  all.insert(this->self.zone);
  for (const auto& [zone, list] : this->merged) {
    all.insert(zone);
  }
  return all;
}

bool live_view::tells_better(const contact& a, const contact& b) {
  if (a.is_informed != b.is_informed) {
    return a.is_informed;
  }
  if (a.told.stopping != b.told.stopping) {
    return b.told.stopping;
  }
  return goes_first(a.told, b.told);
}

live_view::zone_members live_view::own_zone_heard(common::Instant now) {
  zone_members members;
  members[this->self.name] = this->self;
  for (const auto& [name, each] : this->contacts) {
    if (each.told.zone == this->self.zone && heard_lately(each, now)) {
      members[name] = each.told;
    }
  }
  const auto previous = this->merged.find(this->self.zone);
  for (const auto& [name, until] : this->presumed) {
    if (now >= until || members.contains(name)) {
      continue;
    }
    const auto listed = this->registered.find(name);
    if (listed != this->registered.end() && listed->second.zone == this->self.zone) {
      members[name] = listed->second;
    }
    if (previous == this->merged.end()) {
      continue;
    }
    for (const member& each : previous->second.members) {
      if (each.name == name) {
        members[name] = each;
      }
    }
  }
  return members;
}

void live_view::set_list(std::map<std::string, zone_list>& lists, const std::string& zone,
                         const zone_members& members) {
  zone_list& list = lists[zone];
  list.zone = zone;
  list.members.clear();
  for (const auto& [name, each] : members) {
    list.members.push_back(each);
  }
  list.digest = digest_of(list.members);
}

void live_view::collect_as_hub(common::Instant now) {
  this->adopted_from.clear();
  this->is_stale = true;
  // Who began with nobody knowing more has heard all by then.
  this->has_view = this->has_view || now >= this->hub_since.value_or(now) + GREETING;
  std::map<std::string, zone_members> by_zone;
  const zone_members heard = this->own_zone_heard(now);
  by_zone[this->self.zone] = heard;
  std::set<std::string> told_zones{this->self.zone};
  for (const auto& [name, each] : this->contacts) {
    if (!each.is_hub || each.is_whole || !heard_lately(each, now)) {
      continue;
    }
    const auto list = each.lists.find(each.told.zone);
    if (list == each.lists.end()) {
      continue;
    }
    this->zone_heard[each.told.zone] = now;
    told_zones.insert(each.told.zone);
    zone_members& members = by_zone[each.told.zone];
    for (const member& listed : list->second.members) {
      members.emplace(listed.name, listed);
    }
  }
  for (const std::string& zone : this->zones()) {
    const auto spoken = this->zone_heard.find(zone);
    const bool recent = spoken != this->zone_heard.end() && now < spoken->second + ZONE_SILENCE;
    const auto previous = this->merged.find(zone);
    const bool listed = previous != this->merged.end();
    zone_members& members = by_zone[zone];
    if (listed) {
      const bool silent = !told_zones.contains(zone) && recent;
      for (const member& each : previous->second.members) {
        if (silent || this->presumed.contains(each.name)) {
          members.emplace(each.name, each);
        }
      }
    }
    if (told_zones.contains(zone) || (listed && recent)) {
      continue;
    }
    for (const auto& [name, until] : this->presumed) {
      const auto known = this->registered.find(name);
      if (now < until && known != this->registered.end() && known->second.zone == zone) {
        members[name] = known->second;
      }
    }
  }
  std::map<std::string, zone_list> own;
  this->set_list(own, this->self.zone, heard);
  this->raw = std::move(own.begin()->second);
  for (const auto& [zone, members] : by_zone) {
    this->set_list(this->merged, zone, members);
  }
}

void live_view::adopt_from_hub(common::Instant now) {
  // A hub that still thinks of this daemon's last life sends only what has changed since.
  const auto tells_all = [&](const contact& each) {
    if (!each.asked || !each.heard) {
      return false;
    }
    const bool covers =
        std::all_of(this->registered_zones.begin(), this->registered_zones.end(),
                    [&](const std::string& zone) { return each.lists.contains(zone); });
    return (covers && *each.heard >= *each.asked) || now >= *each.asked + GREETING;
  };
  const contact* best = nullptr;
  for (const auto& [name, each] : this->contacts) {
    const bool speaks = each.is_hub && each.is_whole && each.lists.contains(this->self.zone) &&
                        heard_lately(each, now);
    if (speaks && !this->has_view && !tells_all(each)) {
      continue;
    }
    // A hub that has just started has not heard all yet: the view that is there is better.
    const bool knows_more = each.is_informed || !this->has_view || !this->view_informed;
    if (speaks && knows_more && (best == nullptr || tells_better(each, *best))) {
      best = &each;
    }
  }
  if (best != nullptr) {
    this->has_view = true;
    this->view_informed = best->is_informed;
    for (const auto& [zone, list] : best->lists) {
      this->zone_heard[zone] = now;
    }
    const bool complete = this->merged.size() == best->lists.size();
    const bool same =
        complete && this->adopted_from == best->told.name && this->adopted == this->lists_taken;
    if (!same) {
      // Zones of which another hub told hold until this one tells of them.
      std::map<std::string, zone_list> before = std::exchange(this->merged, best->lists);
      for (auto& [zone, list] : before) {
        const auto heard = this->zone_heard.find(zone);
        if (heard != this->zone_heard.end() && now < heard->second + ZONE_SILENCE) {
          this->merged.emplace(zone, std::move(list));
        }
      }
      this->adopted_from = best->told.name;
      this->adopted = this->lists_taken;
      this->is_stale = true;
    }
    return;
  }
  this->adopted_from.clear();
  const auto adopted = this->zone_heard.find(this->self.zone);
  const bool recent = adopted != this->zone_heard.end() && now < adopted->second + VIEW_KEPT;
  if (!this->has_view || !recent) {
    this->has_view = false;
    if (!this->defers(now)) {
      this->collect_alone(now);
    }
  }
}

void live_view::collect_alone(common::Instant now) {
  this->adopted_from.clear();
  this->is_stale = true;
  std::map<std::string, zone_members> by_zone;
  by_zone[this->self.zone][this->self.name] = this->self;
  for (const auto& [name, each] : this->contacts) {
    if (heard_lately(each, now)) {
      by_zone[each.told.zone][name] = each.told;
    }
  }
  for (const auto& [name, until] : this->presumed) {
    const auto listed = this->registered.find(name);
    if (now < until && listed != this->registered.end()) {
      by_zone[listed->second.zone].emplace(name, listed->second);
    }
  }
  this->merged.clear();
  for (const auto& [zone, members] : by_zone) {
    this->set_list(this->merged, zone, members);
  }
}

bool live_view::is_client(const contact& each, common::Instant now) const {
  return each.heard && each.asked_us.count() > 0 && now < each.asked_us + ASKED_FOR &&
         each.told.zone == this->self.zone;
}

void live_view::note_asked(const member& hub, common::Instant now) {
  contact& each = this->contacts[hub.name];
  const bool written_before =
      std::any_of(this->partner_list.begin(), this->partner_list.end(),
                  [&](const member& partner) { return partner.name == hub.name; });
  if (!written_before || !each.asked) {
    each.asked = now;
  }
  if (!each.heard) {
    each.told = hub;
  }
}

void live_view::choose_partners(common::Instant now) {
  std::map<std::string, member> chosen;
  std::vector<member> hubs = this->first_hubs(this->self.zone, now);
  const bool among_first = std::any_of(
      hubs.begin(), hubs.end(), [&](const member& each) { return each.name == this->self.name; });
  const bool asked =
      std::any_of(this->contacts.begin(), this->contacts.end(),
                  [&](const auto& each) { return this->is_client(each.second, now); });
  // A hub that stops goes on for those who still ask it, until they have another.
  const bool deferring = this->defers(now);
  const bool was_hub = std::exchange(this->acts_as_hub, (among_first || asked) && !deferring);
  if (this->acts_as_hub && !was_hub) {
    this->hub_since = now;
    // Those whom the last hub heard get time to make themselves heard here.
    for (const auto& [zone, list] : this->merged) {
      this->zone_heard[zone] = now;
    }
    // Of other zones it learns by several hubs, each of which hears a part.
    for (const auto& [zone, list] : this->merged) {
      for (const member& each : list.members) {
        if (this->has_view && each.name != this->self.name) {
          this->presume(each.name, now + TAKE_OVER);
        }
      }
    }
  }
  if (was_hub && !this->acts_as_hub && !deferring) {
    // What was collected holds until another hub tells more.
    this->view_informed = this->has_view;
    this->has_view = true;
    this->zone_heard[this->self.zone] = now;
  }
  if (this->acts_as_hub) {
    for (const std::string& zone : this->zones()) {
      if (zone != this->self.zone) {
        const std::vector<member> far = this->first_hubs(zone, now);
        hubs.insert(hubs.end(), far.begin(), far.end());
      }
    }
    for (const auto& [name, each] : this->contacts) {
      if ((each.is_hub && heard_lately(each, now)) || this->is_client(each, now)) {
        chosen.emplace(name, each.told);
      }
    }
  }
  if (deferring) {
    for (const auto& [name, each] : this->contacts) {
      if (each.told.zone == this->self.zone && is_informed_hub(each, now)) {
        hubs.push_back(each.told);
      }
    }
  }
  for (const member& hub : hubs) {
    if (hub.name != this->self.name) {
      this->note_asked(hub, now);
      chosen.emplace(hub.name, hub);
    }
  }
  this->partner_list.clear();
  for (auto& [name, each] : chosen) {
    this->partner_list.push_back(std::move(each));
  }
}

bool live_view::publish(common::Instant now) {
  if (!std::exchange(this->is_stale, false)) {
    return false;
  }
  std::vector<member> next;
  bool self_listed = false;
  for (const auto& [zone, list] : this->merged) {
    for (const member& each : list.members) {
      const bool is_self = each.name == this->self.name;
      self_listed = self_listed || is_self;
      next.push_back(is_self ? this->self : each);
    }
  }
  if (!self_listed) {
    next.push_back(this->self);
  }
  if (next == this->alive) {
    return false;
  }
  std::map<std::string, std::size_t> index;
  for (std::size_t at = 0; at < next.size(); ++at) {
    index[next[at].name] = at;
  }
  for (const auto& [name, at] : this->alive_index) {
    if (index.contains(name)) {
      continue;
    }
    this->last_alive[name] = now;
    if (!this->alive[at].stopping) {
      this->last_change.lost.push_back(name);
    }
  }
  this->alive = std::move(next);
  this->alive_index = std::move(index);
  return true;
}

bool live_view::update(common::Instant now) {
  const bool was_hub = this->acts_as_hub;
  this->last_change = {};
  const auto is_over = [&](const auto& each) { return now >= each.second; };
  std::erase_if(this->presumed, is_over);
  std::erase_if(this->introduced, is_over);
  if (this->isolated(now)) {
    this->presumed.clear();
    this->has_view = false;
    this->collect_alone(now);
  } else if (this->acts_as_hub) {
    this->collect_as_hub(now);
  } else {
    this->adopt_from_hub(now);
  }
  this->last_change.source = this->adopted_from;
  this->choose_partners(now);
  this->last_change.hub_changed = was_hub != this->acts_as_hub;
  return this->publish(now);
}

const member* live_view::find(const std::string& name) const {
  const auto found = this->alive_index.find(name);
  return found == this->alive_index.end() ? nullptr : &this->alive[found->second];
}

std::size_t live_view::live_within(common::Duration age, common::Instant now) const {
  std::size_t count = this->alive.size();
  for (const auto& [name, at] : this->last_alive) {
    if (now < at + age && !this->alive_index.contains(name)) {
      ++count;
    }
  }
  return count;
}

std::vector<const zone_list*> live_view::lists_for(const contact& each, common::Instant now) const {
  std::vector<const zone_list*> lists;
  if (!this->acts_as_hub || !each.heard) {
    return lists;
  }
  if (each.is_hub) {
    if (!this->raw.zone.empty()) {
      lists.push_back(&this->raw);
    }
    return lists;
  }
  if (this->is_client(each, now)) {
    for (const auto& [zone, list] : this->merged) {
      lists.push_back(&list);
    }
  }
  return lists;
}

bool live_view::is_due(const contact& each, const zone_list& list, common::Instant now) const {
  const auto held = each.held.find(list.zone);
  if (held != each.held.end() && held->second == list.digest) {
    return false;
  }
  const auto sent = each.sent.find(list.zone);
  if (sent == each.sent.end()) {
    return true;
  }
  const common::Duration pause = sent->second.digest == list.digest ? LIST_RESEND : LIST_PAUSE;
  return now >= sent->second.at + pause;
}

bool live_view::owes(const std::string& name, common::Instant now) const {
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
  message.large = true;
  message.from_hub = this->acts_as_hub;
  message.informed = this->acts_as_hub && this->has_view;
  message.seeks = this->seeks(now);
  const bool partner = std::any_of(this->partner_list.begin(), this->partner_list.end(),
                                   [&](const member& each) { return each.name == name; });
  const auto found = this->contacts.find(name);
  if (found == this->contacts.end()) {
    return message;
  }
  contact& to = found->second;
  message.whole = this->acts_as_hub && !to.is_hub && this->is_client(to, now);
  // Those who ask this daemon know less than it does.
  message.seeks = message.seeks && !this->is_client(to, now);
  message.asks = partner && !this->acts_as_hub && to.told.zone == this->self.zone;
  if (partner) {
    for (const auto& [zone, list] : to.lists) {
      message.held.push_back({zone, list.digest});
    }
  }
  std::size_t listed = 0;
  for (const zone_list* list : this->lists_for(to, now)) {
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
