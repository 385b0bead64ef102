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
  this->is_stale = this->is_stale || this->self.store_connected != store_connected ||
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
  const bool unheard = contact == this->contacts.end() || !contact->second.heard;
  if (is_new && unheard && !this->has_view && daemon.name != this->self.name) {
    this->known.presume(daemon, now + GREETING);
    this->is_stale = true;
  }
  this->registered_zones.insert(daemon.zone);
  this->registered[daemon.name] = std::move(daemon);
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

void live_view::forget_lists(contact& from) {
  from.lists.clear();
  this->is_stale = true;
}

void live_view::take_epoch(contact& from, const view_message& message, common::Instant now) {
  const bool began_anew = from.heard && from.epoch != message.epoch;
  if (began_anew || (from.heard && !heard_lately(from, now))) {
    // What it told before is out of date: it may never have heard of those whom it listed.
    this->forget_lists(from);
  }
  if (began_anew) {
    from.asked_us = common::Instant(0);
    from.sent.clear();
  }
  from.epoch = message.epoch;
  const bool narrower = from.is_whole && !message.whole;
  if (narrower || (from.is_hub && !message.from_hub)) {
    // What a hub tells its zone has more than what it tells a fellow: that alone it hears itself.
    this->forget_lists(from);
  }
}

void live_view::take_list(contact& from, const zone_list& list, common::Instant now) {
  zone_list& held = from.lists[list.zone];
  const bool counts = this->lists_count(from);
  std::set<std::string> before;
  for (const member& each : held.members) {
    before.insert(each.name);
  }
  for (const member& each : list.members) {
    const bool is_new = before.erase(each.name) == 0;
    if (is_new && counts) {
      this->known.affirm(each.name);
    }
  }
  for (const std::string& each : list.moved) {
    before.erase(each);
  }
  if (counts) {
    for (const std::string& each : before) {
      this->known.drop(each, from.told.name, now);
    }
  }
  held = list;
  this->is_stale = true;
}

void live_view::take(const member& sender, const view_message& message, common::Duration interval,
                     common::Instant now) {
  if (sender.name == this->self.name) {
    return;
  }
  this->last_heard = now;
  contact& from = this->contacts[sender.name];
  this->take_epoch(from, message, now);
  const bool was_hub = std::exchange(from.is_hub, message.from_hub);
  const bool was_informed = std::exchange(from.is_informed, message.informed);
  const bool changed = !from.speaks || from.told != sender || was_hub != from.is_hub ||
                       was_informed != from.is_informed;
  this->is_stale = this->is_stale || changed;
  from.told = sender;
  from.heard = now;
  from.suspect_until = common::Instant(0);
  from.interval = interval;
  from.is_whole = message.whole;
  from.zones = message.zones;
  // Who asks no more has chosen other hubs.
  const bool left =
      std::exchange(from.asked_us, message.asks ? now : common::Instant(0)).count() > 0 &&
      !message.asks;
  this->is_stale = this->is_stale || left;
  from.held.clear();
  for (const list_digest& each : message.held) {
    from.held[each.zone] = each.digest;
  }
  for (const zone_list& each : message.lists) {
    this->take_list(from, each, now);
  }
  for (const member& hub : message.introduced) {
    if (hub.name == this->self.name) {
      continue;
    }
    // The sender has heard of it lately.
    this->add_registered(hub, now);
    const auto known = this->contacts.find(hub.name);
    if (known == this->contacts.end() || !heard_lately(known->second, now)) {
      this->introduced[hub.name] = now + KEPT_UNHEARD;
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
  return found != this->contacts.end() && now < found->second.suspect_until;
}

std::vector<member> live_view::first_hubs(const std::string& zone, common::Instant now) const {
  std::vector<member> candidates;
  const auto list = this->merged.find(zone);
  if (list != this->merged.end()) {
    candidates = list->second.members;
  }
  const bool lost = candidates.empty();
  for (const auto& [name, each] : this->registered) {
    if (each.zone != zone || (!lost && this->introduced.empty())) {
      continue;
    }
    const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                    [&](const member& other) { return other.name == each.name; });
    if (!listed && (lost || this->introduced.contains(name))) {
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

void live_view::set_list(zone_list& list, const std::string& zone, std::vector<member> members) {
  list.zone = zone;
  list.members = std::move(members);
  list.digest = digest_of(list.members);
}

void live_view::note_silence(common::Instant now) {
  for (auto& [name, each] : this->contacts) {
    const common::Instant answered =
        std::max(each.partner_from, each.heard.value_or(each.partner_from));
    if (each.is_partner && now >= answered + SUSPECT_AFTER && now >= each.suspect_until) {
      each.suspect_until = now + SUSPECT_FOR;
    }
    const bool spoke = std::exchange(each.speaks, heard_lately(each, now));
    this->is_stale = this->is_stale || spoke != each.speaks;
    if (!spoke || each.speaks) {
      continue;
    }
    this->forget_lists(each);
    // Of another zone the hubs there tell, which hear it more often.
    if (each.told.zone == this->self.zone && this->exchanges_with(each, now)) {
      this->known.drop(name, "", now);
    }
  }
}

bool live_view::exchanges_with(const contact& each, common::Instant now) const {
  const bool expected = each.is_hub || each.asked_us.count() > 0;
  const bool written_to = each.is_partner || now < each.partner_until;
  return expected && written_to && *each.heard > each.partner_from;
}

bool live_view::answers_for(const contact& each) const {
  const bool expected = each.is_hub || each.asked_us.count() > 0;
  return each.speaks && each.told.zone == this->self.zone && expected;
}

bool live_view::lists_count(const contact& each) const {
  // A hub's view has what this daemon tells that hub: as a hub it takes what others hear alone.
  return each.is_hub && (this->acts_as_hub ? !each.is_whole : each.is_whole || each.is_partner);
}

std::vector<const live_view::contact*> live_view::sources() const {
  std::vector<const contact*> hubs;
  for (const auto& [name, each] : this->contacts) {
    if (each.speaks && this->lists_count(each)) {
      hubs.push_back(&each);
    }
  }
  std::sort(hubs.begin(), hubs.end(),
            [](const contact* a, const contact* b) { return tells_better(*a, *b); });
  return hubs;
}

void live_view::collect_raw(common::Instant now) {
  std::map<std::string, member> heard{{this->self.name, this->self}};
  for (const auto& [name, each] : this->contacts) {
    if (this->answers_for(each)) {
      heard.emplace(name, each.told);
    }
  }
  for (const member& each : this->raw.members) {
    const auto contact = this->contacts.find(each.name);
    const bool lives = contact != this->contacts.end() && contact->second.speaks;
    if (lives && !heard.contains(each.name)) {
      this->moved[each.name] = now + KEPT_UNHEARD;
    }
  }
  std::erase_if(this->moved,
                [&](const auto& each) { return now >= each.second || heard.contains(each.first); });
  this->raw.moved.clear();
  for (const auto& [name, until] : this->moved) {
    this->raw.moved.push_back(name);
  }
  std::vector<member> members;
  for (auto& [name, each] : heard) {
    members.push_back(std::move(each));
  }
  this->set_list(this->raw, this->self.zone, std::move(members));
}

std::set<std::string> live_view::informed_zones() const {
  std::set<std::string> zones;
  if (this->acts_as_hub && this->hears_all) {
    zones.insert(this->self.zone);
  }
  for (const auto& [name, each] : this->contacts) {
    const bool hears_zone = each.is_hub && !each.is_whole && each.is_informed;
    if (each.speaks && hears_zone && each.lists.contains(each.told.zone)) {
      zones.insert(each.told.zone);
    }
  }
  return zones;
}

void live_view::collect(common::Instant now) {
  if (this->acts_as_hub) {
    this->collect_raw(now);
  }
  this->known.begin();
  this->known.support(this->self, this->self.name);
  if (this->acts_as_hub) {
    for (const member& each : this->raw.members) {
      this->known.support(each, each.name);
    }
  }
  for (const contact* hub : this->sources()) {
    for (const auto& [zone, list] : hub->lists) {
      for (const member& each : list.members) {
        this->known.support(each, hub->told.name);
      }
    }
  }
  bool hears_any = false;
  for (const auto& [name, each] : this->contacts) {
    if (each.speaks) {
      this->known.support_heard(each.told, *each.heard);
      hears_any = true;
    }
  }
  const std::set<std::string> informed = this->informed_zones();
  roster::silence unheard;
  unheard.last_word = [&](const roster::entry& each) {
    const auto source = this->contacts.find(each.source);
    return source == this->contacts.end() ? now : source->second.heard.value_or(now);
  };
  unheard.kept_until = [&](const roster::entry& each) {
    if (!hears_any) {
      return common::Instant::max();  // it is this daemon that hears nobody
    }
    const bool unheard_there = informed.contains(each.told.zone);
    return *each.last_word + (unheard_there ? KEPT_BESIDE_INFORMED : KEPT_UNHEARD);
  };
  this->known.end(unheard, now);
  if (this->acts_as_hub) {
    this->count_unheard();
  }
}

void live_view::judge_informed(common::Instant now) {
  if (!this->acts_as_hub) {
    this->hears_all = false;
    this->has_view = this->has_view ||
                     std::any_of(this->contacts.begin(), this->contacts.end(), [&](const auto& at) {
                       const contact& each = at.second;
                       return each.speaks && each.is_hub && each.is_whole && each.is_informed &&
                              each.lists.size() >= std::max<std::size_t>(each.zones, 1) &&
                              each.lists.contains(this->self.zone);
                     });
    return;
  }
  const common::Duration as_hub = now - this->hub_since.value_or(now);
  const bool had_time = as_hub >= (this->has_view ? TAKE_OVER : GREETING);
  const bool hears_known = this->has_view && this->unheard_kept == 0;
  const bool hears_all = this->unheard_listed == 0 && (had_time || hears_known);
  this->is_stale = this->is_stale || hears_all != this->hears_all;
  this->hears_all = hears_all;
  if (this->has_view || this->awaits_hubs() || this->isolated(now)) {
    return;
  }
  const std::set<std::string> informed = this->informed_zones();
  const std::set<std::string> all = this->zones();
  const bool covered = all.size() >= this->most_zones_told() &&
                       std::includes(informed.begin(), informed.end(), all.begin(), all.end());
  this->has_view = covered || as_hub >= KEPT_UNHEARD;
}

std::size_t live_view::most_zones_told() const {
  std::size_t most = 0;
  for (const auto& [name, each] : this->contacts) {
    most = std::max(most, each.speaks ? each.zones : 0);
  }
  return most;
}

void live_view::count_unheard() {
  this->unheard_listed = 0;
  this->unheard_kept = 0;
  std::set<std::string> heard;
  for (const member& each : this->raw.members) {
    heard.insert(each.name);
  }
  for (const auto& [name, each] : this->known.all()) {
    if (each.told.zone != this->self.zone || heard.contains(name)) {
      continue;
    }
    ++(each.supported ? this->unheard_listed : this->unheard_kept);
  }
}

bool live_view::is_client(const contact& each, common::Instant now) const {
  return each.heard && each.asked_us.count() > 0 && now < each.asked_us + ASKED_FOR &&
         each.told.zone == this->self.zone;
}

void live_view::take_role(bool as_hub, common::Instant now) {
  if (std::exchange(this->acts_as_hub, as_hub) == as_hub) {
    return;
  }
  this->is_stale = true;
  this->raw = {};
  this->moved.clear();
  this->hears_all = false;
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
                        each.zone == this->self.zone && heard_lately(hub->second, now);
    if (serves) {
      chosen.emplace(each.name, each);
    }
  }
}

void live_view::choose_partners(common::Instant now) {
  std::vector<member> hubs = this->first_hubs(this->self.zone, now);
  const bool among_first = std::any_of(
      hubs.begin(), hubs.end(), [&](const member& each) { return each.name == this->self.name; });
  const bool asked =
      std::any_of(this->contacts.begin(), this->contacts.end(),
                  [&](const auto& each) { return this->is_client(each.second, now); });
  // A hub that stops goes on for those who still ask it, until they have another.
  this->take_role(among_first || asked, now);
  std::map<std::string, member> chosen;
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
    if (!each.heard) {
      each.told = daemon;
    }
    if (!std::exchange(each.is_partner, true)) {
      each.partner_from = now;
    }
  }
  this->partner_list.clear();
  for (auto& [name, each] : this->contacts) {
    if (each.is_partner && !chosen.contains(name)) {
      each.is_partner = false;
      each.partner_until = now + LEAVING;
      // It no longer sends what changes.
      this->forget_lists(each);
    }
    if (each.is_partner || now < each.partner_until) {
      const auto daemon = chosen.find(name);
      this->partner_list.push_back(daemon == chosen.end() ? each.told : daemon->second);
    }
  }
}

bool live_view::publish(common::Instant now) {
  std::map<std::string, std::vector<member>> by_zone;
  for (const auto& [name, each] : this->known.all()) {
    by_zone[each.told.zone].push_back(name == this->self.name ? this->self : each.told);
  }
  for (const auto& [zone, list] : this->merged) {
    // Where nobody is left the list is told as well, or others would keep the last one.
    by_zone.try_emplace(zone);
  }
  std::vector<member> next;
  for (auto& [zone, members] : by_zone) {
    next.insert(next.end(), members.begin(), members.end());
    this->set_list(this->merged[zone], zone, std::move(members));
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
  if (this->epoch == 0) {
    this->epoch = static_cast<std::uint64_t>(now.count());
  }
  const bool was_hub = this->acts_as_hub;
  this->last_change = {};
  std::erase_if(this->introduced, [&](const auto& each) { return now >= each.second; });
  if (this->isolated(now)) {
    this->is_stale = this->is_stale || this->known.all().size() > 1;
    this->known.clear();
    this->has_view = false;
  }
  this->note_silence(now);
  const auto end = this->known.next_end();
  bool changed = false;
  if (std::exchange(this->is_stale, false) || (end && now >= *end)) {
    this->collect(now);
    changed = this->publish(now);
    this->last_change.source = this->known.last_source();
  }
  this->judge_informed(now);
  this->choose_partners(now);
  this->last_change.hub_changed = was_hub != this->acts_as_hub;
  return changed;
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
  message.epoch = this->epoch;
  message.seeks = this->seeks(now);
  const auto found = this->contacts.find(name);
  if (found == this->contacts.end()) {
    return message;
  }
  contact& to = found->second;
  message.whole = this->acts_as_hub && !to.is_hub && this->is_client(to, now);
  message.informed = this->acts_as_hub && (message.whole ? this->has_view : this->hears_all);
  // Those who ask this daemon know less than it does.
  message.seeks = message.seeks && !this->is_client(to, now);
  message.asks = to.is_partner && !this->acts_as_hub && to.told.zone == this->self.zone;
  if (to.is_partner) {
    for (const auto& [zone, list] : to.lists) {
      message.held.push_back({zone, list.digest});
    }
  }
  const std::vector<const zone_list*> lists = this->lists_for(to, now);
  message.zones = this->has_view ? this->merged.size() : 0;
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
