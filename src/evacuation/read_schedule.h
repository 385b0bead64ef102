/**
 * @file When a daemon reads by itself which zones are evacuated.
 *
 * One daemon reads for all, and the others hear of it in heartbeats; who sends work and has heard
 * nothing new for a while reads by itself. Each read is a list that the store may not answer from
 * an old state: what is learned from it holds from the instant at which it was sent. A watch would
 * show a change sooner, but proves nothing later than its own sending, a whole wait ago.
 *
 * Owns: the read in progress and when the next may follow. Invariant: one read at a time. Pure.
 * Thread: its host's.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "evacuation/view_tracker.h"

namespace valvekeel::evacuation {

/** Longest wait for an answer of the store: as of other single reads, 0.9 s. */
inline constexpr common::Duration READ_TIMEOUT{900'000};

/** What decides whether this daemon reads. */
struct read_conditions {
  bool is_reader = false;        // it reads for all
  bool sends_work = false;       // it sends work to instances, or may have to at any moment
  bool coordinates = false;      // it may have to replace primaries
  bool store_connected = false;  // the store answered lately
};

class read_schedule {
 public:
  /** @param limit  as of evacuation_rule */
  explicit read_schedule(common::Duration limit) : limit(limit) {}

  /** @return true if a read is due; it counts as sent then. */
  bool start(const read_conditions& duty, const view_tracker& tracker, common::Instant now);

  /** @return when the read in progress was sent. */
  common::Instant started_at() const { return this->sent_at.value_or(common::Instant(0)); }

  /**
   * The read was answered, or was not.
   *
   * @param revision  of the store's answer; nothing if there was none
   * @return the instant for which the answer holds; nothing if it proves nothing: a revision that
   *     was known before the read was sent shows an old state
   */
  std::optional<common::Instant> finish(const std::optional<model::Revision>& revision);

 private:
  bool due(const read_conditions& duty, const view_tracker& tracker, common::Instant now) const;

  common::Duration limit;
  bool reading = false;
  bool failed = false;  // the last read
  std::optional<common::Instant> sent_at;
  model::Revision known_revision;  // when the read was sent
};

}  // namespace valvekeel::evacuation
