/**
 * @file Who lives, in a deployment that is too large for all daemons to hear each other.
 *
 * Two hubs in each zone hear all daemons of the zone; hubs hear the hubs of all zones, and tell the
 * daemons of their own zone who lives anywhere. So a daemon that is no hub exchanges messages with
 * two others, however many there are. A daemon is a hub while others ask it to be one, or while it
 * finds itself among the first of its zone. See docs/design/membership.md.
 *
 * Owns: the lists of live daemons and what each daemon that is heard directly told last. Invariant:
 * a daemon that some hub of its zone hears is in that zone's list. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "membership/member.h"
#include "membership/roster.h"

namespace valvekeel::membership {

/** Times and sizes of the membership. */
struct view_policy {
  std::size_t hubs_per_zone = 2;
  /** Between heartbeats of a daemon and its hub, and among hubs. */
  common::Duration hub_interval{500'000};
};

/** What an update changed, for the log. */
struct view_change {
  bool hub_changed = false;  // this daemon became a hub, or ceased to be one
  /** Daemons that were live before, are not now, and had not said that they stop. */
  std::vector<std::string> lost;
  std::string reporting_hub;  // the hub whose list misses them; empty if it is this daemon's own
};

class live_view {
 public:
  /** @param self this daemon; the flags follow by set_self. */
  live_view(member self, view_policy policy);

  /** Takes this daemon's flags as they are now. */
  void set_self(bool store_connected, bool stopping);

  /** Takes the daemons that are registered in the store; some may be gone for long. */
  void set_registered(std::vector<member> daemons, common::Instant now);

  /**
   * Takes a daemon's message.
   *
   * @param interval  until its next message, at the latest
   * @param now       when it came
   */
  void apply_message(const member& sender, const view_message& message, common::Duration interval,
                     common::Instant now);

  /**
   * Works out anew who lives, and who is a hub. To be called about every 100 ms.
   *
   * @return true if the list of live daemons changed
   */
  bool update(common::Instant now);

  /** @return what the last update changed. */
  const view_change& last_update_changes() const { return this->last_change; }

  /** @return all live daemons, this one and those that stop included, by zone and name. */
  const std::vector<member>& live_daemons() const { return this->live_members; }

  /** @return a live daemon, or nothing. */
  const member* find(const std::string& name) const;

  /** @return how many daemons were live within this time. */
  std::size_t count_live_within(common::Duration age, common::Instant now) const;

  /** @return the daemons that this one exchanges heartbeats with for the membership's sake. */
  const std::vector<member>& partners() const { return this->partner_list; }

  /** @return true if this daemon does not know enough of the others: it asks those that may be
   * there, the seeds of its settings, for the hubs. */
  bool needs_discovery(common::Instant now) const;

  /** @return true if the view is whole: an informed hub told all of it, or this daemon is a hub and
   * hears one of each zone. */
  bool is_complete() const { return this->view_complete; }

  /** @return true if a message asks for an introduction. */
  static bool is_discovery_request(const view_message& message) {
    return message.requests_discovery || !message.large_deployment;
  }

  /** @return the first hubs of all zones, for a daemon that seeks them. */
  std::vector<member> known_hubs(common::Instant now) const;

  /** @return true if this daemon acts as a hub. */
  bool is_hub() const { return this->acts_as_hub; }

  /** @return true if the daemon lacks a list that this one has for it and has not just sent. */
  bool has_pending_lists(const std::string& name, common::Instant now) const;

  /** @return what to tell a daemon now. Lists that it contains count as sent. */
  view_message message_for(const std::string& name, common::Instant now);

 private:
  /** A list sent to a daemon that has not said yet that it holds it. */
  struct sent_list {
    std::uint64_t digest = 0;
    common::Instant at{0};
  };
  /** A daemon that is heard, or written to, directly. */
  struct contact {
    member reported;
    std::uint64_t epoch = 0;
    std::optional<common::Instant> last_heartbeat;
    common::Duration interval{0};
    common::Instant hub_requested_at{0};  // when it last asked this daemon to be its hub
    bool is_partner = false;              // this daemon writes to it regularly
    common::Instant partner_since{0};     // since then, or the last time
    common::Instant linger_until{0};      // and after it for a moment, to say so
    common::Instant suspect_until{0};     // it did not answer: until then others are chosen
    bool reachable = false;               // heard lately, as of the last update
    bool is_hub = false;
    bool is_complete = false;                           // see view_message
    bool covers_all_zones = false;                      // its lists are about all zones
    std::size_t zone_count = 0;                         // that it knows; 0 if its view is not whole
    std::map<std::string, zone_list> lists;             // that it sent, by zone
    std::map<std::string, std::uint64_t> acknowledged;  // digests of ours that it holds, by zone
    std::map<std::string, sent_list> sent;              // by zone
  };

  /** @return true if nobody has been heard for so long that the view says nothing any more. */
  bool isolated(common::Instant now) const;
  /** @return true if a hub that this daemon was introduced to has not spoken yet. */
  bool awaits_discovered_hubs() const;
  static bool has_recent_heartbeat(const contact& each, common::Instant now);
  bool is_suspect(const std::string& name, common::Instant now) const;
  std::vector<member> preferred_hubs(const std::string& zone, common::Instant now) const;
  std::set<std::string> known_zones() const;
  void choose_partners(common::Instant now);
  void set_hub_role(bool as_hub, common::Instant now);
  void set_partners(const std::map<std::string, member>& chosen, common::Instant now);
  /** Adds the hubs that are left only once those chosen in their place list this daemon. */
  void keep_former_hubs(std::map<std::string, member>& chosen, common::Instant now) const;
  /** @return true if the first hub's lists are to be preferred. */
  static bool is_preferred_source(const contact& a, const contact& b);
  void apply_epoch(contact& from, const view_message& message, common::Instant now);
  void apply_list(contact& from, const zone_list& list, common::Instant now);
  void clear_lists(contact& from);
  void add_registered(member daemon, common::Instant now);
  /** Notes which contacts fell silent. */
  void update_reachability(common::Instant now);
  /** @return true if that one would have spoken to this daemon if it lived. */
  bool expects_heartbeats_from(const contact& each, common::Instant now) const;
  /** @return true if this daemon, as a hub, lists that one as heard. */
  bool belongs_in_direct_list(const contact& each) const;
  /** @return true if a contact's lists are a source for this daemon's view. */
  bool is_source(const contact& each) const;
  std::vector<const contact*> sources() const;
  void rebuild_roster(common::Instant now);
  void rebuild_direct_list(common::Instant now);
  /** @return zones of which a hub is heard that hears all of its zone. */
  std::set<std::string> complete_zones() const;
  void update_completeness(common::Instant now);
  /** Counts those of the own zone that this daemon, as a hub, does not hear itself. */
  void count_unreachable();
  std::size_t highest_zone_count() const;
  void set_list(zone_list& list, const std::string& zone, std::vector<member> members);
  bool publish(common::Instant now);
  bool is_client(const contact& each, common::Instant now) const;
  /** @return the lists that a daemon should hold of this one. */
  std::vector<const zone_list*> lists_for(const contact& each, common::Instant now) const;
  bool is_due(const contact& each, const zone_list& list, common::Instant now) const;

  member self;
  view_policy policy;
  std::uint64_t epoch = 0;  // of this daemon's lists; see view_message
  std::map<std::string, member> registered;
  std::set<std::string> registered_zones;
  std::map<std::string, common::Instant> discovered;  // may be hubs until then
  std::map<std::string, contact> contacts;
  roster known_members;
  std::map<std::string, zone_list> merged_lists;       // who lives, by zone
  zone_list direct_list;                               // own zone as heard here
  std::map<std::string, common::Instant> moved_until;  // told as such until then
  std::optional<common::Instant> hub_since;
  std::optional<common::Instant> last_heartbeat_from_any;  // when any daemon was
  std::vector<member> live_members;
  std::map<std::string, std::size_t> live_index;
  std::map<std::string, common::Instant> removed_at;
  std::vector<member> partner_list;
  bool acts_as_hub = false;
  bool view_complete = false;           // the view lacks nobody, as far as the hubs know
  bool own_zone_complete = false;       // as a hub: all of the zone that live are heard here
  std::size_t listed_by_others = 0;     // of the own zone: those that only other hubs hear
  std::size_t kept_without_source = 0;  // those that nobody hears any more
  view_change last_change;
  bool sources_changed = true;  // the sources must be asked anew
};

}  // namespace valvekeel::membership
