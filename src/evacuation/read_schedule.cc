#include "evacuation/read_schedule.h"

namespace valvekeel::evacuation {
namespace {

/**
 * The interval between two reads of the reader is the limit (typically 5 s) divided by this. With
 * heartbeats of 0.25 s in both directions a view is at most a third of the limit old when other
 * daemons receive it.
 */
constexpr int READER_INTERVAL_DIVISOR = 5;

/**
 * Age of a view, as a fraction of the limit, from which a daemon reads by itself: the reader's
 * views do not reach it.
 */
constexpr int OWN_READ_AGE_NUMERATOR = 2;
constexpr int OWN_READ_AGE_DENOMINATOR = 5;

/** The interval between two own reads of a daemon is the limit divided by this. */
constexpr int OWN_READ_INTERVAL_DIVISOR = 8;

/** The same while the store does not answer: calls are billed even if they are refused. */
constexpr common::Duration FAILED_READ_INTERVAL{800'000};

/** The same before the first view after a start of the daemon, for which work waits. */
constexpr common::Duration FIRST_READ_INTERVAL{300'000};

}  // namespace

bool read_schedule::due(const read_conditions& conditions, const view_tracker& tracker,
                        common::Instant now) const {
  const auto since_last = this->sent_at ? std::optional(now - *this->sent_at) : std::nullopt;
  if (conditions.is_reader) {
    return !since_last || *since_last >= this->limit / READER_INTERVAL_DIVISOR;
  }
  if (!conditions.sends_work && !conditions.coordinates) {
    return false;
  }
  const auto age = tracker.age(now);
  const bool outdated =
      !age || *age >= this->limit * OWN_READ_AGE_NUMERATOR / OWN_READ_AGE_DENOMINATOR;
  const common::Duration normal_interval =
      age ? this->limit / OWN_READ_INTERVAL_DIVISOR : FIRST_READ_INTERVAL;
  const common::Duration interval =
      this->failed || !conditions.store_connected ? FAILED_READ_INTERVAL : normal_interval;
  return outdated && (!since_last || *since_last >= interval);
}

bool read_schedule::start(const read_conditions& conditions, const view_tracker& tracker,
                          common::Instant now) {
  if (this->reading || !this->due(conditions, tracker, now)) {
    return false;
  }
  this->reading = true;
  this->sent_at = now;
  this->known_revision = tracker.has_view() ? tracker.newest()->revision : model::Revision();
  return true;
}

std::optional<common::Instant> read_schedule::finish(
    const std::optional<model::Revision>& revision) {
  this->reading = false;
  this->failed = !revision || *revision < this->known_revision;
  return this->failed ? std::nullopt : this->sent_at;
}

}  // namespace valvekeel::evacuation
