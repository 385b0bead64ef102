/**
 * @file Tracks which instances have started recently and are still warming up (are cold).
 *
 * An instance states in its entry in the store how long it stays cold. Entries arrive late, so an
 * instance also counts as cold if it may have restarted since its entry was written:
 * - after its connections were lost, for the whole warm-up time;
 * - after the evacuation of its zone ended, for the whole warm-up time;
 * - while the entries known to this daemon may be stale, until they are refreshed, at most for
 *   MAX_ENTRY_DELAY.
 *
 * Owns: the time until which each instance counts as cold. Invariant: an entry never shortens the
 * time for which an instance counts as cold because it may have restarted. No I/O and no clock; not
 * thread-safe.
 */
#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::warm_up {

/**
 * Longest time from the write of an entry until a daemon that receives changes from other daemons
 * has it: a coordinator's heartbeat interval (at most 1 s), the interval between two list calls
 * (0.5 s), up to three list calls answered from a stale state of the store (0.3 s each), and the
 * duration of the calls. After this time a daemon that gets no answer from the store relies on the
 * entries that it has.
 */
inline constexpr common::Duration MAX_ENTRY_DELAY{3'000'000};

/**
 * Entries that were complete this recently are not refreshed again. A daemon that serves a session
 * of a service that it does not own opens and closes connections several times a second, and each
 * would otherwise cause a refresh.
 */
inline constexpr common::Duration MAX_FRESH_AGE{1'000'000};

/** Why an instance counts as cold. */
enum class cold_source : std::uint8_t {
  entry,             // its entry states it
  possible_restart,  // it may have restarted: connections were lost, or it was unreachable
  evacuation_ended,  // the evacuation of its zone ended recently
  stale_entries,     // the locally known entries may be stale
};

/** @return the text for a source in logs. */
const char* source_name(cold_source source);

/** An instance that counts as cold. */
struct cold_state {
  common::Instant until{0};
  cold_source source = cold_source::entry;  // the one that lasts longest
};

/** Time after which a call that refreshes the entries counts as unanswered. */
inline constexpr common::Duration REFRESH_TIMEOUT{200'000};

/** @return true if the instance counts as cold only until a refresh in progress completes. */
bool awaits_refresh(const cold_state& state, common::Instant now);

/** The cold instances of all services that have a warm-up. */
class cold_instances {
 public:
  /** Sets the warm-ups from the services' configuration. */
  void set_services(const std::map<std::string, model::Service>& services);

  /** @return true if some service has a warm-up; otherwise no instance is ever cold. */
  bool enabled() const { return !this->warm_ups.empty(); }

  /** @return the service's warm-up, or nothing if it has none. */
  const model::WarmUp* warm_up_of(const std::string& service) const;

  /** Applies an instance's entry that has just arrived; its remaining time counts from now. */
  void apply_entry(const model::InstanceEntry& entry, common::Instant now);

  /** The instance's entry was removed: the remaining time of the next one counts in full. */
  void on_entry_removed(const std::string& id) { this->reported_ends.erase(id); }

  /** The instance may have restarted at any time until now. */
  void on_possible_restart(const std::string& id, common::Instant now) {
    this->possible_restarts[id] = now;
  }

  /** The instance is known not to have restarted since its connections were lost. */
  void on_restart_ruled_out(const std::string& id) { this->possible_restarts.erase(id); }

  /** Callers' work may from now on go to an instance to which no connection existed before. */
  void on_first_contact(const std::string& id, common::Instant now);

  /** The locally known entries are complete as of a time. */
  void on_entries_refreshed(common::Instant as_of);

  /** @return true if some instances count as cold only because the entries may be stale. */
  bool needs_refresh() const { return !this->first_contacts.empty(); }

  /** The evacuation of a zone has ended. */
  void on_evacuation_ended(const std::string& zone, common::Instant now) {
    this->ended_evacuations[zone] = now;
  }

  /** Removes records that no longer make any instance cold. */
  void remove_expired(common::Instant now);

  /** @return until when and why the instance counts as cold; nothing if it is warm. */
  std::optional<cold_state> find(const model::InstanceEntry& entry, common::Instant now) const;

  /** @return until when it is cold according to its entry; nothing if the entry does not say so. */
  std::optional<common::Instant> reported_until(const model::InstanceEntry& entry,
                                                common::Instant now) const;

 private:
  std::map<std::string, model::WarmUp> warm_ups;  // by service; only services with a warm-up time
  std::map<std::string, common::Instant> reported_ends;      // from entries, by instance
  std::map<std::string, common::Instant> possible_restarts;  // by instance
  std::map<std::string, common::Instant> first_contacts;     // by instance
  std::optional<common::Instant> fresh_as_of;
  std::map<std::string, common::Instant> ended_evacuations;  // by zone
};

}  // namespace valvekeel::warm_up
