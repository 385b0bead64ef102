/**
 * @file Daemons that exchange the membership's part of their heartbeats, on simulated time.
 *
 * Owns: the views and the messages under way. Invariant: the same calls give the same course.
 * Thread: one.
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

inline constexpr Duration STEP{20'000};
inline constexpr Duration UPDATE{100'000};
inline constexpr Duration SEEK{200'000};
inline constexpr Duration SETTLED{4'000'000};
inline constexpr std::size_t ZONES = 5;
inline constexpr std::size_t SEEDS = 3;
/** Heartbeats of owners to their hubs. */
inline constexpr Duration OWNER_INTERVAL{250'000};
/** Silence after which a daemon that speaks again is answered at once by a hub. */
inline constexpr Duration AWAY{900'000};
/** Least time between two introductions to a daemon. */
inline constexpr Duration INTRODUCTION_PAUSE{150'000};
/** Time in which a daemon that has just started makes itself known to all. */
inline constexpr Duration GREETED{1'500'000};

/** A view that did not change is compared with what is so after so many updates. */
inline constexpr std::size_t UPDATES_WATCHED = 3;

/** Daemons of a deployment: numbers go round the zones. */
struct layout {
  std::size_t count = 0;
  std::size_t zones = ZONES;
  std::size_t large_every = 10;  // each tenth is a large machine
  std::size_t large_first = 0;   // and so many of the first
  std::size_t owners_first = 0;  // so many of the first send heartbeats as owners do
  Duration apart{0};             // between the updates of two daemons
  std::uint64_t slowest = 1;     // steps that a message takes, from one on
  std::uint64_t seed = 1;        // of how long each takes
};

/** Daemons that exchange the membership's part of their heartbeats, one step after it was sent. */
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
    made.next_update = this->now + this->shape.apart * number % UPDATE;
    made.view = std::make_unique<live_view>(self, view_policy{});
  }

  void kill(std::size_t number) {
    this->nodes.at(number).view.reset();
    for (auto& [other, each] : this->nodes) {
      each.seen.erase(number);
    }
  }

  /** A planned stop begins: the daemon says so at once, and goes on speaking. */
  void stop(std::size_t number) {
    node& each = this->nodes.at(number);
    each.self.stopping = true;
    each.view->set_self(each.self.store_connected, true);
    for (const member& partner : each.view->partners()) {
      each.due[partner.name] = this->now;
    }
  }

  /** Cuts a daemon off from all others, or heals the cut. */
  void cut(std::size_t number, bool off) { this->nodes.at(number).cut_off = off; }

  void run(Duration time) {
    const Instant end = this->now + time;
    while (this->now < end) {
      this->now += STEP;
      this->deliver();
      for (auto& [number, each] : this->nodes) {
        if (each.view) {
          this->act(number, each);
        }
      }
    }
  }

  live_view& view(std::size_t number) { return *this->nodes.at(number).view; }

  std::set<std::string> seen_by(std::size_t number) {
    std::set<std::string> names;
    for (const member& each : this->view(number).live_daemons()) {
      names.insert(each.name);
    }
    return names;
  }

  /** @return true if all daemons that run see just each other. */
  bool agreed() {
    std::set<std::string> running;
    for (const auto& [number, each] : this->nodes) {
      if (each.view && !each.cut_off) {
        running.insert(each.self.name);
      }
    }
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& each) {
      return !each.second.view || each.second.cut_off || this->seen_by(each.first) == running;
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

  /** @return a daemon that is no hub, and no seed. */
  std::size_t plain() {
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

  /** @return the instances in which daemons that ran, and were in another's view, left that view:
   * "whose view is without how many (the first of them) at how many milliseconds". */
  const std::vector<std::string>& losses() const { return this->lost; }

  /** @return the instances in which a daemon took its view for settled without one that had run for
   * GREETED. */
  const std::vector<std::string>& gaps() const { return this->missing; }

  /** What was noted up to now does not count. */
  void forget_events() {
    this->lost.clear();
    this->missing.clear();
  }

 private:
  struct node {
    member self;
    std::unique_ptr<live_view> view;
    bool cut_off = false;
    Instant started{0};
    Instant next_update{0};
    std::map<std::string, Instant> due;
    std::map<std::size_t, Instant> heard;
    std::map<std::size_t, Instant> introduced;
    std::set<std::size_t> seen;  // in this daemon's view, during their lives and its own
    std::set<std::size_t> unseen;
    std::size_t sent = 0;
    std::size_t updates = 0;
  };
  struct letter {
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

  /** @return when a message that is sent now is there: the order of a pair's messages is kept. */
  Instant arrival(std::size_t from, std::size_t to) {
    const std::uint64_t drawn = common::MixHash(this->shape.seed * 1'000'003 + this->messages);
    const Instant wanted =
        this->now + STEP * (1 + static_cast<std::int64_t>(drawn % this->shape.slowest));
    Instant& last = this->last_arrival[{from, to}];
    last = std::max(last, wanted);
    return last;
  }

  void send(std::size_t from, node& sender, const std::string& to, bool introduces) {
    letter sent{from, number_of(to), sender.view->message_for(to, this->now),
                this->interval_of(from, sender), this->arrival(from, number_of(to))};
    if (introduces) {
      sent.message.known_hubs = sender.view->known_hubs(this->now);
    }
    ++sender.sent;
    ++this->messages;
    this->lists += sent.message.lists.size();
    this->on_the_way.push_back(std::move(sent));
  }

  void act(std::size_t number, node& each) {
    if (this->now >= each.next_update) {
      each.next_update = this->now + UPDATE;
      const bool changed = each.view->update(this->now);
      if (changed || ++each.updates % UPDATES_WATCHED == 0) {
        this->watch(each);
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
        each.due["seed " + name] = this->now + SEEK;
        this->send(number, each, name, false);
      }
    }
  }

  std::string event(const node& observer, const std::vector<std::string>& others) const {
    return observer.self.name + " without " + std::to_string(others.size()) + " (" +
           others.front() + ") at " + std::to_string(this->now.count() / 1000);
  }

  /** Compares a daemon's view with what is so. */
  void watch(node& observer) {
    std::vector<std::string> left;
    std::vector<std::string> never_there;
    for (const auto& [number, other] : this->nodes) {
      if (!other.view || observer.cut_off || other.cut_off) {
        continue;
      }
      if (observer.view->find(other.self.name) != nullptr) {
        observer.seen.insert(number);
        observer.unseen.erase(number);
      } else if (this->now < other.started + GREETED) {
        continue;
      } else if (observer.seen.erase(number) > 0) {
        left.push_back(other.self.name);
      } else if (observer.view->is_complete() && observer.unseen.insert(number).second) {
        never_there.push_back(other.self.name);
      }
    }
    if (!left.empty()) {
      this->lost.push_back(this->event(observer, left));
    }
    if (!never_there.empty()) {
      this->missing.push_back(this->event(observer, never_there));
    }
  }

  void deliver() {
    const auto rest =
        std::stable_partition(this->on_the_way.begin(), this->on_the_way.end(),
                              [&](const letter& each) { return each.arrives > this->now; });
    const std::vector<letter> arrived(rest, this->on_the_way.end());
    this->on_the_way.erase(rest, this->on_the_way.end());
    for (const letter& each : arrived) {
      node& from = this->nodes.at(each.from);
      node& to = this->nodes.at(each.to);
      if (!to.view || from.cut_off || to.cut_off) {
        continue;
      }
      to.view->apply_message(from.self, each.message, each.interval, this->now);
      const auto heard = to.heard.find(each.from);
      const bool was_away = heard == to.heard.end() || this->now >= heard->second + AWAY;
      to.heard[each.from] = this->now;
      const bool answers = was_away && to.view->is_hub();
      Instant& introduced = to.introduced[each.from];
      const bool introduces =
          each.message.requests_discovery && this->now >= introduced + INTRODUCTION_PAUSE;
      introduced = introduces ? this->now : introduced;
      if (from.view && (introduces || answers)) {
        this->send(each.to, to, from.self.name, introduces);
      }
    }
  }

  layout shape;
  std::map<std::size_t, node> nodes;
  std::vector<letter> on_the_way;
  std::map<std::pair<std::size_t, std::size_t>, Instant> last_arrival;
  Instant now{100'000'000};
  std::size_t lists = 0;
  std::size_t messages = 0;
  std::vector<std::string> lost;
  std::vector<std::string> missing;
};

}  // namespace valvekeel::membership
