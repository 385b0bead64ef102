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
  std::string source;  // the hub whose list misses them; empty if it is this daemon's own
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
  void take(const member& sender, const view_message& message, common::Duration interval,
            common::Instant now);

  /**
   * Works out anew who lives, and who is a hub. To be called about every 100 ms.
   *
   * @return true if the list of live daemons changed
   */
  bool update(common::Instant now);

  /** @return what the last update changed. */
  const view_change& changed() const { return this->last_change; }

  /** @return all live daemons, this one and those that stop included, by zone and name. */
  const std::vector<member>& live() const { return this->alive; }

  /** @return a live daemon, or nothing. */
  const member* find(const std::string& name) const;

  /** @return how many daemons were live within this time. */
  std::size_t live_within(common::Duration age, common::Instant now) const;

  /** @return the daemons that this one exchanges heartbeats with for the membership's sake. */
  const std::vector<member>& partners() const { return this->partner_list; }

  /** @return true if this daemon does not know enough of the others: it asks those that may be
   * there, the seeds of its settings, for the hubs. */
  bool seeks(common::Instant now) const;

  /** @return true if who lives is known from hubs, or by being one for others and having heard the
   * hubs that this daemon was introduced to. */
  bool settled() const;

  /** @return true if a message asks for an introduction. */
  static bool wants_introduction(const view_message& message) {
    return message.seeks || !message.large;
  }

  /** @return the first hubs of all zones, for a daemon that seeks them. */
  std::vector<member> introduction(common::Instant now) const;

  /** @return true if this daemon acts as a hub. */
  bool is_hub() const { return this->acts_as_hub; }

  /** @return true if the daemon lacks a list that this one has for it and has not just sent. */
  bool owes(const std::string& name, common::Instant now) const;

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
    member told;
    std::optional<common::Instant> heard;
    std::optional<common::Instant> asked;  // for how long it has been written to as a hub
    common::Duration interval{0};
    common::Instant asked_us{0};  // when it last asked this daemon to be its hub
    bool is_hub = false;
    bool is_informed = false;                   // see view_message
    bool is_whole = false;                      // its lists are about all zones
    std::map<std::string, zone_list> lists;     // that it sent, by zone
    std::map<std::string, std::uint64_t> held;  // digests of ours that it holds, by zone
    std::map<std::string, sent_list> sent;      // by zone
  };
  using zone_members = std::map<std::string, member>;

  bool isolated(common::Instant now) const;
  /** @return true if this daemon has yet to learn who lives, and a hub of its zone can tell it. */
  bool defers(common::Instant now) const;
  static bool is_informed_hub(const contact& each, common::Instant now);
  /** @return true if a hub that this daemon was introduced to has not spoken yet. */
  bool awaits_hubs() const;
  static bool heard_lately(const contact& each, common::Instant now);
  bool suspect(const std::string& name, common::Instant now) const;
  std::vector<member> first_hubs(const std::string& zone, common::Instant now) const;
  std::set<std::string> zones() const;
  void choose_partners(common::Instant now);
  void note_asked(const member& hub, common::Instant now);
  zone_members own_zone_heard(common::Instant now);
  void collect_as_hub(common::Instant now);
  /** @return true if the first hub's lists are to be preferred. */
  static bool tells_better(const contact& a, const contact& b);
  void adopt_from_hub(common::Instant now);
  void collect_alone(common::Instant now);
  void add_registered(member daemon, common::Instant now);
  void presume(const std::string& name, common::Instant until);
  void set_list(std::map<std::string, zone_list>& lists, const std::string& zone,
                const zone_members& members);
  bool publish(common::Instant now);
  bool is_client(const contact& each, common::Instant now) const;
  /** @return the lists that a daemon should hold of this one. */
  std::vector<const zone_list*> lists_for(const contact& each, common::Instant now) const;
  bool is_due(const contact& each, const zone_list& list, common::Instant now) const;

  member self;
  view_policy policy;
  std::map<std::string, member> registered;
  std::set<std::string> registered_zones;
  std::map<std::string, common::Instant> presumed;    // alive until then although not heard
  std::map<std::string, common::Instant> introduced;  // may be hubs until then
  std::map<std::string, contact> contacts;
  std::map<std::string, zone_list> merged;            // who lives, by zone
  zone_list raw;                                      // own zone as heard here
  std::map<std::string, common::Instant> zone_heard;  // when a hub of the zone was last heard
  std::optional<common::Instant> hub_since;
  std::optional<common::Instant> last_heard;  // when any daemon was
  std::vector<member> alive;
  std::map<std::string, std::size_t> alive_index;
  std::map<std::string, common::Instant> last_alive;
  std::vector<member> partner_list;
  bool acts_as_hub = false;
  bool has_view = false;       // a hub's lists were adopted once, or enough time has passed as one
  bool view_informed = false;  // and it came from a hub that was informed
  std::uint64_t lists_taken = 0;  // counts the lists that came
  std::string adopted_from;       // whose lists `merged` holds, if they are one hub's
  std::uint64_t adopted = 0;      // lists that had come then
  view_change last_change;
  bool is_stale = true;  // `alive` must be worked out from `merged` anew
};

}  // namespace valvekeel::membership
