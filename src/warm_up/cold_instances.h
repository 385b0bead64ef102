/**
 * @file Which instances have started so lately that they are to be spared.
 *
 * An instance tells in its entry how long it stays cold. Entries arrive late, so an instance also
 * counts as cold where it may have started since: after a break of its connections (for the whole
 * time), after its zone was evacuated (the same), and where this daemon's entries may be old (until
 * they are known to be fresh, at most ENTRY_DELAY).
 *
 * Owns: until when each instance counts as cold. Invariant: an entry never shortens a presumption.
 * Pure. Thread: its host's.
 */
#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::warm_up {

/**
 * Longest time until an entry that was written is known to a daemon that hears from others what is
 * new: a heartbeat of a coordinator (1 s at most), the pause between two lists (0.5 s), up to three
 * lists from an old state of the store (0.3 s each), and the calls. After it a daemon that gets no
 * answer from the store goes by what it knows.
 */
inline constexpr common::Duration MAX_ENTRY_DELAY{3'000'000};

/**
 * Entries that were known so lately need not be asked for again: who serves a session of a service
 * that it does not own opens and closes connections several times a second.
 */
inline constexpr common::Duration MAX_FRESH_AGE{1'000'000};

/** How it is known that an instance is cold. */
enum class cold_source : std::uint8_t {
  entry,             // it said so
  possible_restart,  // it may have started again: connections broke, or it was not reached
  evacuation_ended,  // its zone was evacuated until a moment ago
  stale_entries,     // what is known of it may be old
};

/** @return the name of a source, for logs. */
const char* source_name(cold_source source);

/** An instance that counts as cold. */
struct cold_state {
  common::Instant until{0};
  cold_source source = cold_source::entry;  // of the longest reason
};

/** Time that a call for fresh entries may take before it counts as unanswered. */
inline constexpr common::Duration REFRESH_TIMEOUT{200'000};

/** @return true if the instance counts as cold only until fresh entries come, which is soon. */
bool awaits_refresh(const cold_state& state, common::Instant now);

class cold_instances {
 public:
  /** Takes the services' warm-ups as configured. */
  void set_services(const std::map<std::string, model::Service>& services);

  /** @return true if some service has a warm-up; else nothing is ever cold. */
  bool enabled() const { return !this->warm_ups.empty(); }

  /** @return the service's warm-up, or nothing if it has none. */
  const model::WarmUp* warm_up_of(const std::string& service) const;

  /** Takes an instance's entry, which has just arrived and was not known before. */
  void apply_entry(const model::InstanceEntry& entry, common::Instant now);

  /** The instance's entry is gone: the next one counts in full. */
  void on_entry_removed(const std::string& id) { this->reported_ends.erase(id); }

  /** The instance may have started again up to now. */
  void on_possible_restart(const std::string& id, common::Instant now) {
    this->possible_restarts[id] = now;
  }

  /** The instance is known not to have started since its connections broke. */
  void on_restart_ruled_out(const std::string& id) { this->possible_restarts.erase(id); }

  /** From now on callers' work may go to an instance that was not watched until now. */
  void on_first_contact(const std::string& id, common::Instant now);

  /** All entries are known as they were at an instant, or later. */
  void on_entries_refreshed(common::Instant as_of);

  /** @return true if fresh entries would tell of instances that count as cold for want of them. */
  bool needs_refresh() const { return !this->first_contacts.empty(); }

  /** The evacuation of a zone has ended. */
  void on_evacuation_ended(const std::string& zone, common::Instant now) {
    this->ended_evacuations[zone] = now;
  }

  /** Drops what says nothing any more. */
  void remove_expired(common::Instant now);

  /** @return until when the instance counts as cold, nothing if it is warm. */
  std::optional<cold_state> find(const model::InstanceEntry& entry, common::Instant now) const;

  /** @return until when it is cold by its own word, nothing if it does not say so. */
  std::optional<common::Instant> reported_until(const model::InstanceEntry& entry,
                                                common::Instant now) const;

 private:
  std::map<std::string, model::WarmUp> warm_ups;             // by service, those in force alone
  std::map<std::string, common::Instant> reported_ends;      // until when, by instance
  std::map<std::string, common::Instant> possible_restarts;  // by instance
  std::map<std::string, common::Instant> first_contacts;     // by instance
  std::optional<common::Instant> fresh_as_of;
  std::map<std::string, common::Instant> ended_evacuations;  // by zone
};

}  // namespace valvekeel::warm_up
