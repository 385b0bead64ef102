/**
 * @file Decides whether this daemon is the one that may send requests to a cold instance.
 *
 * Of the daemons that may send work for a service, the first by rendezvous hashing on the instance
 * may use it while it is cold. No messages are exchanged: every daemon computes the result from the
 * membership. Membership views differ for a short time after a change, so a daemon must have been
 * the first in every view that it had during HANDOVER_TIME. That time starts anew if the daemon
 * receives heartbeats from too few others, if too few others receive its heartbeats, or after a
 * process pause.
 *
 * Owns: the views of the last HANDOVER_TIME. Invariant: is_sender is false unless update was called
 * within MAX_UPDATE_INTERVAL, and the daemon was in a majority at each update during HANDOVER_TIME
 * before. No I/O and no clock; not thread-safe.
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
 * Time for which a daemon must be the first before it uses the instance. It is longer than the
 * second over which requests are counted, so that at most two of several daemons that have the role
 * one after the other send within the same second.
 */
inline constexpr common::Duration HANDOVER_TIME{1'500'000};

/**
 * Time for which an update is valid: four intervals at which the roles are updated (100 ms). Other
 * daemons consider a daemon failed after 900 ms without a heartbeat, and wait for HANDOVER_TIME in
 * addition.
 */
inline constexpr common::Duration MAX_UPDATE_INTERVAL{400'000};

/** Numbers of daemons by whether heartbeats are exchanged with them. */
struct reachability {
  std::size_t reachable = 0;           // heartbeats are being received, this one included
  std::size_t recently_reachable = 0;  // a heartbeat was received in the last seconds
  std::size_t direct_peers = 0;      // of the reachable, those that exchange messages with this one
  std::size_t confirming_peers = 0;  // of those, the ones that confirm receiving its heartbeats
  std::size_t listed = 0;            // listed in the store, this one included
};

/** Names of the daemons that may send work, by service. */
using senders_by_service = std::map<std::string, std::vector<std::string>>;

/** @return false if the daemon is probably separated from the others by a partition. */
bool is_in_majority(const reachability& daemons);

/** @return the first of the daemons for the instance; nothing if there is none. */
const std::string* first_sender(const std::vector<std::string>& senders,
                                const std::string& instance);

/** Which cold instances this daemon may send requests to. */
class sender_role {
 public:
  explicit sender_role(std::string self) : self(std::move(self)) {}

  /** Applies the current membership. Must be called much more often than MAX_UPDATE_INTERVAL. */
  void update(const senders_by_service& senders, const reachability& daemons, common::Instant now);

  /** @return true if this daemon may use the service's instance while it is cold. */
  bool is_sender(const std::string& service, const std::string& instance,
                 common::Instant now) const;

 private:
  /** The daemons that may send from a time until that of the next view. */
  struct view {
    common::Instant since{0};
    senders_by_service senders;
  };

  bool is_first(const view& members, const std::string& service, const std::string& instance) const;

  std::string self;
  std::deque<view> views;  // oldest first; the last one is current
  std::optional<common::Instant> updated_at;
};

}  // namespace valvekeel::warm_up
