/**
 * @file Membership of a deployment that is too large for all daemons to exchange heartbeats.
 *
 * Two hubs in each zone receive heartbeats from all daemons of the zone. Hubs exchange heartbeats
 * with the hubs of all zones, and send the lists of live daemons of all zones to the daemons of
 * their own zone. So a daemon that is not a hub exchanges messages with two others, whatever the
 * size of the deployment. A daemon is a hub while others ask it to be one, or while it ranks among
 * the preferred hubs of its zone. See docs/design/membership.md.
 *
 * Owns: the lists of live daemons and the last message of each daemon that sends heartbeats to this
 * one. Invariant: a daemon from which some hub of its zone receives heartbeats is in that zone's
 * list. No I/O and no clock; not thread-safe.
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

/** Sizes and intervals of the membership. */
struct view_policy {
  std::size_t hubs_per_zone = 2;
  /** Interval of the heartbeats between a daemon and its hub, and among hubs. */
  common::Duration hub_interval{500'000};
};

/** Changes made by an update, for the log. */
struct view_change {
  bool hub_changed = false;  // this daemon became a hub or stopped being one
  /** Daemons that left the view without having announced a stop. */
  std::vector<std::string> lost;
  std::string reporting_hub;  // whose list no longer has them; empty: this daemon's own list
};

/** The live daemons of the deployment, according to this daemon. */
class live_view {
 public:
  /** @param self  this daemon; set_self sets its flags. */
  live_view(member self, view_policy policy);

  /** Sets this daemon's flags. */
  void set_self(bool store_connected, bool stopping);

  /** Adds the daemons registered in the store. Some of them may have terminated long ago. */
  void set_registered(std::vector<member> daemons, common::Instant now);

  /**
   * Applies a message from a daemon.
   *
   * @param interval  longest time until its next message
   * @param now       when it was received
   */
  void apply_message(const member& sender, const view_message& message, common::Duration interval,
                     common::Instant now);

  /**
   * Recomputes the live daemons and the hubs. To be called about every 100 ms.
   *
   * @return true if the list of live daemons changed
   */
  bool update(common::Instant now);

  /** @return the changes made by the last update. */
  const view_change& last_update_changes() const { return this->last_change; }

  /** @return all live daemons by zone and name, including this one and those that are stopping. */
  const std::vector<member>& live_daemons() const { return this->live_members; }

  /** @return the live daemon of this name, or nullptr. */
  const member* find(const std::string& name) const;

  /** @return the number of daemons that were live within the last `age`. */
  std::size_t count_live_within(common::Duration age, common::Instant now) const;

  /** @return the daemons with which this one exchanges heartbeats for the membership. */
  const std::vector<member>& partners() const { return this->partner_list; }

  /** @return true if this daemon does not know enough others. It then asks the seeds of its
   * settings, which may be running, for the hubs. */
  bool needs_discovery(common::Instant now) const;

  /** @return true if the view is complete: a hub whose view is complete has sent all of it, or this
   * daemon is a hub and receives heartbeats from a hub of each zone. */
  bool is_complete() const { return this->view_complete; }

  /** @return true if a message asks for the hubs. */
  static bool is_discovery_request(const view_message& message) {
    return message.requests_discovery || !message.large_deployment;
  }

  /** @return the preferred hubs of all zones, for a daemon that asks for them. */
  std::vector<member> known_hubs(common::Instant now) const;

  /** @return true if this daemon acts as a hub. */
  bool is_hub() const { return this->acts_as_hub; }

  /** @return true if a list for the daemon is pending: the daemon has not acknowledged it, and it
   * has not just been sent. */
  bool has_pending_lists(const std::string& name, common::Instant now) const;

  /** @return the message for a daemon. The lists in it count as sent. */
  view_message message_for(const std::string& name, common::Instant now);

 private:
  /** A list that was sent to a daemon and is not acknowledged yet. */
  struct sent_list {
    std::uint64_t digest = 0;
    common::Instant at{0};
  };
  /** A daemon with which this one exchanges messages directly. */
  struct contact {
    member reported;
    std::uint64_t epoch = 0;
    std::optional<common::Instant> last_heartbeat;
    common::Duration interval{0};
    common::Instant hub_requested_at{0};  // when it last asked this daemon to be its hub
    bool is_partner = false;              // this daemon sends heartbeats to it
    common::Instant partner_since{0};     // when it last became a partner
    common::Instant linger_until{0};      // heartbeats go on until then, to announce the end
    common::Instant suspect_until{0};     // it did not answer; others are preferred until then
    bool reachable = false;               // has a recent heartbeat, as of the last update
    bool is_hub = false;
    bool is_complete = false;                // see view_message
    bool covers_all_zones = false;           // its lists cover all zones
    std::size_t zone_count = 0;              // in its view; 0 if that is incomplete
    std::map<std::string, zone_list> lists;  // received from it, by zone
    std::map<std::string, std::uint64_t>
        acknowledged;                       // digests of this daemon's lists that it has, by zone
    std::map<std::string, sent_list> sent;  // by zone
  };

  /** @return true if no heartbeat has been received for so long that the view is out of date. */
  bool isolated(common::Instant now) const;
  /** @return true if no heartbeat or no list has been received yet from a discovered hub. */
  bool awaits_discovered_hubs() const;
  static bool has_recent_heartbeat(const contact& each, common::Instant now);
  bool is_suspect(const std::string& name, common::Instant now) const;
  std::vector<member> preferred_hubs(const std::string& zone, common::Instant now) const;
  std::set<std::string> known_zones() const;
  void choose_partners(common::Instant now);
  void set_hub_role(bool as_hub, common::Instant now);
  void set_partners(const std::map<std::string, member>& chosen, common::Instant now);
  /** Adds former hubs: they stay partners until the hubs chosen in their place list this daemon. */
  void keep_former_hubs(std::map<std::string, member>& chosen, common::Instant now) const;
  /** @return true if the lists of hub a take precedence over those of hub b. */
  static bool is_preferred_source(const contact& a, const contact& b);
  void apply_epoch(contact& from, const view_message& message, common::Instant now);
  void apply_list(contact& from, const zone_list& list, common::Instant now);
  void clear_lists(contact& from);
  /** Lets the roster know that this daemon stops using the contact's lists by its own choice. */
  void release_source(const contact& from, common::Instant now);
  void add_registered(member daemon, common::Instant now);
  /** Detects contacts that have become unresponsive. */
  void update_reachability(common::Instant now);
  /** @return true if the contact sends heartbeats to this daemon while it is live. */
  bool expects_heartbeats_from(const contact& each, common::Instant now) const;
  /** @return true if this daemon, as a hub, lists the contact as reachable. */
  bool belongs_in_direct_list(const contact& each) const;
  /** @return true if this daemon's view uses the contact's lists. */
  bool is_source(const contact& each) const;
  std::vector<const contact*> sources() const;
  void rebuild_roster(common::Instant now);
  void rebuild_direct_list(common::Instant now);
  /** @return the zones with a reachable hub that receives heartbeats from all of the zone, and
   * whose list the view uses. */
  std::set<std::string> complete_zones() const;
  void update_completeness(common::Instant now);
  /** Counts the daemons of the own zone from which this daemon, as a hub, gets no heartbeats. */
  void count_unreachable();
  std::size_t highest_zone_count() const;
  void set_list(zone_list& list, const std::string& zone, std::vector<member> members);
  bool publish(common::Instant now);
  bool is_client(const contact& each, common::Instant now) const;
  /** @return this daemon's lists that the contact should have. */
  std::vector<const zone_list*> lists_for(const contact& each, common::Instant now) const;
  /** @return true if the contact has this version of the list. */
  static bool has_acknowledged(const contact& each, const zone_list& list);
  bool is_due(const contact& each, const zone_list& list, common::Instant now) const;

  member self;
  view_policy policy;
  std::uint64_t epoch = 0;  // of this daemon's lists; see view_message
  std::map<std::string, member> registered;
  std::set<std::string> registered_zones;
  std::map<std::string, common::Instant> discovered;  // count as hubs until then
  std::map<std::string, contact> contacts;
  roster known_members;
  std::map<std::string, zone_list> merged_lists;  // live daemons by zone
  zone_list direct_list;                          // own zone: daemons that send heartbeats here
  std::map<std::string, common::Instant> moved_until;  // listed in zone_list::moved until then
  std::optional<common::Instant> hub_since;
  std::optional<common::Instant> last_heartbeat_from_any;
  std::vector<member> live_members;
  std::map<std::string, std::size_t> live_index;
  std::map<std::string, common::Instant> removed_at;  // when daemons left the view
  std::vector<member> partner_list;
  bool acts_as_hub = false;
  bool view_complete = false;        // no live daemon is missing, according to the hubs
  bool own_zone_complete = false;    // as a hub: all live daemons of the zone send heartbeats here
  std::size_t listed_by_others = 0;  // of the own zone: reachable only by other hubs
  std::size_t kept_without_source = 0;  // of the own zone: supported by no source any more
  view_change last_change;
  bool sources_changed = true;  // the sources must be evaluated again
};

}  // namespace valvekeel::membership
