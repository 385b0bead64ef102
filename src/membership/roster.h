/**
 * @file Who is taken to be alive, and on whose word.
 *
 * A daemon stays in the roster while a source speaks for it: a hub that lists it, or the daemon
 * itself. It leaves when a source that had listed it does so no longer and no other does, or after
 * silence of everybody about it. That a source has never listed it says nothing.
 *
 * Owns: the entries. Invariant: between rounds each entry is supported or has a time at which it
 * goes. Pure. Thread: its owner's.
 */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "membership/member.h"

namespace valvekeel::membership {

class roster {
 public:
  struct entry {
    member reported;         // by the source that is preferred
    bool supported = false;  // in this round
    std::string source;      // who spoke for it in the last round in which anybody did
    /** When a source spoke for it last, from the moment on in which none does. */
    std::optional<common::Instant> last_support;
    /** Until when it is kept although nobody has spoken for it yet. */
    common::Instant presumed_until{0};
    /** When a source that had listed it ceased to, unless another has listed it since. */
    std::optional<common::Instant> dropped_at;
    std::string dropped_by;
  };
  /** What is known of those for whom nobody speaks any more. */
  struct retention {
    /** @return when the source spoke last of which this is an entry. */
    std::function<common::Instant(const entry&)> time_of_last_support;
    /** @return until when an entry is kept since its last word. */
    std::function<common::Instant(const entry&)> retained_until;
  };

  /** Keeps a daemon until then although no source speaks for it. */
  void presume_live(const member& daemon, common::Instant until);

  /** A source that had listed the daemon does so no longer.
   *
   * @param source  the hub's name; empty if it is this daemon, which heard it itself */
  void record_drop(const std::string& name, const std::string& source, common::Instant now);

  /** A source lists the daemon that it had not listed. */
  void clear_drop(const std::string& name);

  /** Begins a round, in which all sources are asked anew, the preferred ones first. */
  void begin_round();

  /** A source lists this daemon. */
  void support(const member& daemon, const std::string& source);

  /** The daemon itself was heard; this does not count if a hub dropped it since.
   *
   * @param heard  when */
  void support_by_heartbeat(const member& daemon, common::Instant heard);

  /** Ends the round: who is no longer kept leaves. */
  void end_round(const retention& unheard, common::Instant now);

  /** Forgets all. */
  void clear() { this->entries.clear(); }

  const std::map<std::string, entry>& all() const { return this->entries; }

  /** @return when the next entry goes that nobody speaks for, or nothing. */
  std::optional<common::Instant> next_expiry() const { return this->first_expiry; }

  /** @return who ceased to list the daemon that left last in this round; empty if it is this one or
   * nobody. */
  const std::string& last_dropped_by() const { return this->last_drop_source; }

 private:
  std::map<std::string, entry> entries;
  std::optional<common::Instant> first_expiry;
  std::string last_drop_source;
};

}  // namespace valvekeel::membership
