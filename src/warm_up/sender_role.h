/**
 * @file Whether this daemon is the one that may use a cold instance.
 *
 * Of the daemons that may send work for a service, the first by rendezvous hashing on the instance
 * may use it while it is cold. No message passes: all work it out from who lives. Views differ for
 * a moment, so a daemon must have been the first in every view that it had for HAND_OVER; who hears
 * too few others, is not heard, or stood still, starts anew.
 *
 * Owns: the views of the last HAND_OVER. Invariant: is_holder is false unless update was called
 * within MOST_SILENCE, and in a majority each time for HAND_OVER before. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace valvekeel::warm_up {

/**
 * Time for which a daemon must be the first before it uses the instance. More than the second over
 * which requests are counted, so that of a row of short-lived holders only two fall into one.
 */
inline constexpr common::Duration HANDOVER_TIME{1'500'000};

/**
 * Time after an update for which it holds: four intervals of the roles (100 ms). Others take a
 * daemon for lost after 900 ms of silence, and wait for HAND_OVER besides.
 */
inline constexpr common::Duration MAX_UPDATE_INTERVAL{400'000};

/** The other daemons as this one hears them. */
struct reachability {
  std::size_t reachable = 0;           // daemons that are heard, this one included
  std::size_t recently_reachable = 0;  // that were heard in the last seconds
  std::size_t direct_peers = 0;        // that this one exchanges messages with, and hears
  std::size_t confirming_peers = 0;    // of those, who confirm that they hear this one
  std::size_t listed = 0;              // that the store has named, this one included
};

/** Names of the daemons that may send work, by service. */
using senders_by_service = std::map<std::string, std::vector<std::string>>;

/** @return true if the daemon should not take itself for cut off. */
bool is_in_majority(const reachability& heard);

/** @return the first of the daemons for the instance; nothing if there is none. */
const std::string* first_sender(const std::vector<std::string>& senders,
                                const std::string& instance);

class sender_role {
 public:
  explicit sender_role(std::string self) : self(std::move(self)) {}

  /** Takes who lives now. To be called much more often than MOST_SILENCE. */
  void update(const senders_by_service& senders, const reachability& heard, common::Instant now);

  /** @return true if this daemon may use the service's instance while it is cold. */
  bool is_sender(const std::string& service, const std::string& instance,
                 common::Instant now) const;

 private:
  /** Who might send, from an instant until the next view's. */
  struct view {
    common::Instant since{0};
    senders_by_service senders;
  };

  bool is_first(const view& seen, const std::string& service, const std::string& instance) const;

  std::string self;
  std::deque<view> views;  // the last one is in force
  std::optional<common::Instant> updated_at;
};

}  // namespace valvekeel::warm_up
