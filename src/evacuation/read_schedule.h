/**
 * @file Schedules a daemon's own reads of the evacuated zones from the store.
 *
 * One daemon (the reader) reads for all, and the others receive the view in heartbeats. A daemon
 * that sends work or may have to replace primaries, and whose view is too old, reads by itself.
 * Each read is a list call that the store must not answer from a stale state, so its answer is
 * valid as of the time at which the call was sent. A watch would show a change sooner, but it
 * proves the state only as of the time at which the watch was sent, a whole wait earlier.
 *
 * Owns: the read in progress and the time of the last one. Invariant: one read at a time. No I/O
 * and no clock; not thread-safe.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "evacuation/view_tracker.h"

namespace valvekeel::evacuation {

/** Timeout of a read of the store: 0.9 s, as for other single reads. */
inline constexpr common::Duration READ_TIMEOUT{900'000};

/** The conditions that decide whether this daemon reads. */
struct read_conditions {
  bool is_reader = false;        // it reads for all daemons
  bool sends_work = false;       // it sends work to instances, or may have to at any moment
  bool coordinates = false;      // it may have to replace primaries
  bool store_connected = false;  // the store answered recently
};

/** Decides when to read, and from when an answer is valid. */
class read_schedule {
 public:
  /** @param limit  the limit of evacuation_policy */
  explicit read_schedule(common::Duration limit) : limit(limit) {}

  /** @return true if a read is due; the caller must send it then. */
  bool start(const read_conditions& conditions, const view_tracker& tracker, common::Instant now);

  /** @return when the read in progress, or the last one, was sent; 0 before the first. */
  common::Instant started_at() const { return this->sent_at.value_or(common::Instant(0)); }

  /**
   * The read was answered or failed.
   *
   * @param revision  of the store's answer; nothing if the read failed
   * @return the time as of which the answer is valid. Nothing if the read failed or the answer is
   *     stale: its revision is lower than the one known when the read was sent.
   */
  std::optional<common::Instant> finish(const std::optional<model::Revision>& revision);

 private:
  bool due(const read_conditions& conditions, const view_tracker& tracker,
           common::Instant now) const;

  common::Duration limit;
  bool reading = false;
  bool failed = false;  // the last read failed or its answer was stale
  std::optional<common::Instant> sent_at;
  model::Revision known_revision;  // the tracker's, when the read was sent
};

}  // namespace valvekeel::evacuation
