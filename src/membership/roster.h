/**
 * @file The daemons that count as live, and the source that reports each of them.
 *
 * A daemon stays in the roster while a source supports it: a hub that lists it, or the daemon
 * itself. It leaves when a source that listed it stops doing so and no other source lists it, or
 * when no source has supported it for the retention time. A source that has never listed a daemon
 * is no evidence against it, nor is the loss of a source that this daemon itself stops using.
 *
 * Owns: the entries. Invariant: between rounds each entry is supported or has an expiry time. No
 * I/O and no clock; not thread-safe.
 */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "membership/member.h"

namespace valvekeel::membership {

/** The daemons that count as live and their sources, evaluated in rounds. */
class roster {
 public:
  /** A daemon that counts as live. */
  struct entry {
    member reported;         // by the preferred source
    bool supported = false;  // in this round
    std::string source;      // that supported it in the last round in which any did
    /** The last time at which a source supported it. Empty while one does. */
    std::optional<common::Instant> last_support;
    /** When a source that was released afterwards last supported it. */
    common::Instant released_support{0};
    /** Until this time it is kept although no source has supported it yet. */
    common::Instant presumed_until{0};
    /** When a source stopped listing it, unless another source has listed it since. */
    std::optional<common::Instant> dropped_at;
    std::string dropped_by;
  };
  /** Rules for entries that no source supports any more. */
  struct retention {
    /** @return when the entry's source last sent a heartbeat. */
    std::function<common::Instant(const entry&)> time_of_last_support;
    /** @return until when an entry is kept after its last support. */
    std::function<common::Instant(const entry&)> retained_until;
  };

  /** Keeps a daemon until this time although no source supports it. */
  void presume_live(const member& daemon, common::Instant until);

  /** Records that a source has stopped listing the daemon.
   *
   * @param source  the hub's name; empty if this daemon no longer receives the heartbeats itself */
  void record_drop(const std::string& name, const std::string& source, common::Instant now);

  /** Clears the recorded drop: a source lists the daemon that did not list it before. */
  void clear_drop(const std::string& name);

  /** Records that the next round goes without a source although it still lists its daemons. Drops
   * by other sources that it has contradicted so far have no effect.
   *
   * @param last_heartbeat  when it was received from the source */
  void release_source(const std::string& source, common::Instant last_heartbeat);

  /** Begins a round, in which all sources are evaluated again, the preferred ones first. */
  void begin_round();

  /** Records that a source lists this daemon. */
  void support(const member& daemon, const std::string& source);

  /** Records a heartbeat from the daemon itself. It has no effect if a hub has dropped the daemon
   * since.
   *
   * @param last_heartbeat  when it was received */
  void support_by_heartbeat(const member& daemon, common::Instant last_heartbeat);

  /** Ends the round and removes the entries that are no longer kept. */
  void end_round(const retention& rules, common::Instant now);

  void clear() { this->entries.clear(); }

  /** @return all entries by name. */
  const std::map<std::string, entry>& all() const { return this->entries; }

  /** @return when the next unsupported entry expires, or nothing. */
  std::optional<common::Instant> next_expiry() const { return this->first_expiry; }

  /** @return the hub whose drop removed an entry last in this round; empty if it was this daemon or
   * there was no such entry. */
  const std::string& last_dropped_by() const { return this->last_drop_source; }

 private:
  std::map<std::string, entry> entries;
  std::optional<common::Instant> first_expiry;
  std::string last_drop_source;
};

}  // namespace valvekeel::membership
