/**
 * @file A simulated network of daemons that exchange the membership part of their heartbeats.
 *
 * Owns: the views, the messages in flight and the simulated time. Invariant: the same calls give
 * the same results. Not thread-safe.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/stable_hash.h"
#include "membership/live_view.h"

namespace valvekeel::membership {

using common::Duration;
using common::Instant;

inline constexpr Duration STEP_TIME{20'000};
inline constexpr Duration UPDATE_INTERVAL{100'000};
inline constexpr Duration DISCOVERY_INTERVAL{200'000};
inline constexpr Duration SETTLING_TIME{4'000'000};
inline constexpr std::size_t ZONES = 5;
inline constexpr std::size_t SEEDS = 3;
/** Interval of the heartbeats of owners to their hubs. */
inline constexpr Duration OWNER_INTERVAL{250'000};
/** Time without a heartbeat after which a hub answers the next one of that daemon at once. */
inline constexpr Duration UNRESPONSIVE_AFTER{900'000};
/** Least time between two answers with the known hubs to the same daemon. */
inline constexpr Duration MIN_DISCOVERY_REPLY_INTERVAL{150'000};
/** Time after its start within which a daemon is listed in all views. */
inline constexpr Duration STARTUP_TIME{1'500'000};

/** Number of updates after which an unchanged view is compared with the running daemons again. */
inline constexpr std::size_t UPDATES_PER_CHECK = 3;

/** The daemons of a deployment. Their numbers are distributed over the zones in turn. */
struct layout {
  std::size_t count = 0;
  std::size_t zones = ZONES;
  std::size_t large_every = 10;       // of so many daemons one is a large machine
  std::size_t large_first = 0;        // the first so many are large machines, too
  std::size_t owners_first = 0;       // the first so many send heartbeats at the interval of owners
  Duration update_offset{0};          // between the updates of two successive daemons
  std::uint64_t max_delay_steps = 1;  // a message takes from one up to so many steps
  std::uint64_t seed = 1;             // of the random delays
};

/** Daemons that exchange the membership part of their heartbeats, each delivered after its delay.
 */
class network {
 public:
  explicit network(std::size_t count) : network(layout{.count = count}) {}

  explicit network(layout shape) : shape(shape) {
    for (std::size_t number = 0; number < shape.count; ++number) {
      this->start(number);
    }
  }

  void start(std::size_t number) {
    member self;
    self.name = "daemon-" + std::to_string(number);
    self.zone = "zone-" + std::to_string(number % this->shape.zones);
    self.address = {self.name, 7440};
    const bool large = number < this->shape.large_first ||
                       (this->shape.large_every > 0 && number % this->shape.large_every == 0);
    self.capacity = large ? 500 : 120;
    node& made = this->nodes[number];
    made = node{};
    made.self = self;
    made.started = this->now;
    made.next_update = this->now + this->shape.update_offset * number % UPDATE_INTERVAL;
    made.view = std::make_unique<live_view>(self, view_policy{});
  }

  void kill(std::size_t number) {
    this->nodes.at(number).view.reset();
    for (auto& [other, each] : this->nodes) {
      each.seen.erase(number);
    }
  }

  /** Begins a planned stop: the daemon announces it at once and continues to send heartbeats. */
  void stop(std::size_t number) {
    node& each = this->nodes.at(number);
    each.self.stopping = true;
    each.view->set_self(each.self.store_connected, true);
    for (const member& partner : each.view->partners()) {
      each.due[partner.name] = this->now;
    }
  }

  /** Isolates a daemon from all others, or reconnects it. */
  void set_isolated(std::size_t number, bool isolated) {
    this->nodes.at(number).isolated = isolated;
  }

  void run(Duration time) {
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += STEP_TIME;
      this->deliver();
      for (auto& [number, each] : this->nodes) {
        if (each.view) {
          this->run_daemon(number, each);
        }
      }
    }
  }

  live_view& view(std::size_t number) { return *this->nodes.at(number).view; }

  std::set<std::string> names_in_view_of(std::size_t number) {
    std::set<std::string> names;
    for (const member& each : this->view(number).live_daemons()) {
      names.insert(each.name);
    }
    return names;
  }

  /** @return true if the view of each running daemon has exactly the running daemons. */
  bool views_agree() {
    std::set<std::string> running;
    for (const auto& [number, each] : this->nodes) {
      if (each.view && !each.isolated) {
        running.insert(each.self.name);
      }
    }
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& each) {
      return !each.second.view || each.second.isolated ||
             this->names_in_view_of(each.first) == running;
    });
  }

  std::vector<std::size_t> hubs() {
    std::vector<std::size_t> numbers;
    for (const auto& [number, each] : this->nodes) {
      if (each.view && each.view->is_hub()) {
        numbers.push_back(number);
      }
    }
    return numbers;
  }

  /** @return a daemon that is neither a hub nor a seed. */
  std::size_t non_hub() {
    const std::vector<std::size_t> all = this->hubs();
    std::size_t number = this->nodes.rbegin()->first;
    while (std::find(all.begin(), all.end(), number) != all.end()) {
      --number;
    }
    return number;
  }

  std::size_t sent_by(std::size_t number) const { return this->nodes.at(number).sent; }
  std::size_t lists_sent() const { return this->lists; }
  std::size_t messages_sent() const { return this->messages; }
  Instant time() const { return this->now; }

  /** @return the events in which running daemons left the view of another daemon, as
   * "OBSERVER without COUNT (FIRST OF THEM) at MILLISECONDS". */
  const std::vector<std::string>& wrong_removals() const { return this->lost; }

  /** @return the events in which a daemon's view counted as complete without a daemon that had run
   * for STARTUP_TIME. */
  const std::vector<std::string>& missing_members() const { return this->missing; }

  /** Discards the events recorded so far. */
  void clear_events() {
    this->lost.clear();
    this->missing.clear();
  }

 private:
  struct node {
    member self;
    std::unique_ptr<live_view> view;
    bool isolated = false;
    Instant started{0};
    Instant next_update{0};
    std::map<std::string, Instant> due;
    std::map<std::size_t, Instant> last_heartbeat;
    std::map<std::size_t, Instant> last_discovery_reply;
    std::set<std::size_t> seen;  // in this daemon's view, in their and its current incarnation
    std::set<std::size_t> reported_missing;
    std::size_t sent = 0;
    std::size_t updates = 0;
  };
  struct packet {
    std::size_t from;
    std::size_t to;
    view_message message;
    Duration interval;
    Instant arrives;
  };

  static std::size_t number_of(const std::string& name) {
    return static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
  }

  Duration interval_of(std::size_t number, const node& each) const {
    const bool owner = number < this->shape.owners_first && !each.view->is_hub();
    return owner ? OWNER_INTERVAL : view_policy{}.hub_interval;
  }

  /** @return when a message sent now arrives. Messages between two daemons keep their order. */
  Instant arrival(std::size_t from, std::size_t to) {
    const std::uint64_t drawn = common::MixHash(this->shape.seed * 1'000'003 + this->messages);
    const Instant wanted =
        this->now +
        STEP_TIME * (1 + static_cast<std::int64_t>(drawn % this->shape.max_delay_steps));
    Instant& last = this->last_arrival[{from, to}];
    last = std::max(last, wanted);
    return last;
  }

  void send(std::size_t from, node& sender, const std::string& to, bool sends_hubs) {
    packet sent{from, number_of(to), sender.view->message_for(to, this->now),
                this->interval_of(from, sender), this->arrival(from, number_of(to))};
    if (sends_hubs) {
      sent.message.known_hubs = sender.view->known_hubs(this->now);
    }
    ++sender.sent;
    ++this->messages;
    this->lists += sent.message.lists.size();
    this->in_flight.push_back(std::move(sent));
  }

  void run_daemon(std::size_t number, node& each) {
    if (this->now >= each.next_update) {
      each.next_update = this->now + UPDATE_INTERVAL;
      const bool changed = each.view->update(this->now);
      if (changed || ++each.updates % UPDATES_PER_CHECK == 0) {
        this->check_view(each);
      }
      for (const member& partner : each.view->partners()) {
        if (each.view->has_pending_lists(partner.name, this->now)) {
          each.due[partner.name] = this->now;
        }
      }
    }
    for (const member& partner : each.view->partners()) {
      if (this->now >= each.due[partner.name]) {
        each.due[partner.name] = this->now + this->interval_of(number, each);
        this->send(number, each, partner.name, false);
      }
    }
    for (std::size_t seed = 0; seed < SEEDS && each.view->needs_discovery(this->now); ++seed) {
      const std::string name = "daemon-" + std::to_string(seed);
      if (seed != number && this->now >= each.due["seed " + name]) {
        each.due["seed " + name] = this->now + DISCOVERY_INTERVAL;
        this->send(number, each, name, false);
      }
    }
  }

  std::string describe_event(const node& observer, const std::vector<std::string>& others) const {
    return observer.self.name + " without " + std::to_string(others.size()) + " (" +
           others.front() + ") at " + std::to_string(this->now.count() / 1000);
  }

  /** Compares a daemon's view with the daemons that are running. */
  void check_view(node& observer) {
    std::vector<std::string> removed;
    std::vector<std::string> never_added;
    for (const auto& [number, other] : this->nodes) {
      if (!other.view || observer.isolated || other.isolated) {
        continue;
      }
      if (observer.view->find(other.self.name) != nullptr) {
        observer.seen.insert(number);
        observer.reported_missing.erase(number);
      } else if (this->now < other.started + STARTUP_TIME) {
        continue;
      } else if (observer.seen.erase(number) > 0) {
        removed.push_back(other.self.name);
      } else if (observer.view->is_complete() && observer.reported_missing.insert(number).second) {
        never_added.push_back(other.self.name);
      }
    }
    if (!removed.empty()) {
      this->lost.push_back(this->describe_event(observer, removed));
    }
    if (!never_added.empty()) {
      this->missing.push_back(this->describe_event(observer, never_added));
    }
  }

  void deliver() {
    const auto rest =
        std::stable_partition(this->in_flight.begin(), this->in_flight.end(),
                              [&](const packet& each) { return each.arrives > this->now; });
    const std::vector<packet> arrived(rest, this->in_flight.end());
    this->in_flight.erase(rest, this->in_flight.end());
    for (const packet& each : arrived) {
      node& from = this->nodes.at(each.from);
      node& to = this->nodes.at(each.to);
      if (!to.view || from.isolated || to.isolated) {
        continue;
      }
      to.view->apply_message(from.self, each.message, each.interval, this->now);
      const auto heartbeat = to.last_heartbeat.find(each.from);
      const bool was_unresponsive = heartbeat == to.last_heartbeat.end() ||
                                    this->now >= heartbeat->second + UNRESPONSIVE_AFTER;
      to.last_heartbeat[each.from] = this->now;
      const bool answers = was_unresponsive && to.view->is_hub();
      Instant& last_reply = to.last_discovery_reply[each.from];
      const bool sends_hubs =
          each.message.requests_discovery && this->now >= last_reply + MIN_DISCOVERY_REPLY_INTERVAL;
      last_reply = sends_hubs ? this->now : last_reply;
      if (from.view && (sends_hubs || answers)) {
        this->send(each.to, to, from.self.name, sends_hubs);
      }
    }
  }

  layout shape;
  std::map<std::size_t, node> nodes;
  std::vector<packet> in_flight;
  std::map<std::pair<std::size_t, std::size_t>, Instant> last_arrival;
  Instant now{100'000'000};
  std::size_t lists = 0;
  std::size_t messages = 0;
  std::vector<std::string> lost;
  std::vector<std::string> missing;
};

}  // namespace valvekeel::membership
