#include "evacuation/read_schedule.h"

namespace valvekeel::evacuation {
namespace {

/**
 * Parts of the limit (5 s on the users' sites). Between two reads of the reader: with heartbeats of
 * 0.25 s both ways a view is at most a third of the limit old where it is told.
 */
constexpr int READER_PART = 5;

/** Age of a view at which a daemon reads by itself: what the reader should have told is missing. */
constexpr int OWN_READ_NUMERATOR = 2;
constexpr int OWN_READ_DENOMINATOR = 5;

/** Between two reads of a daemon that reads by itself. */
constexpr int OWN_PAUSE_PART = 8;

/** The same while the store does not answer: calls are paid for although they are refused. */
constexpr common::Duration FAILED_PAUSE{800'000};

/** The same before the first view of a life, which work waits for. */
constexpr common::Duration FIRST_PAUSE{300'000};

}  // namespace

bool read_schedule::due(const read_conditions& duty, const view_tracker& tracker,
                        common::Instant now) const {
  const auto since = this->sent_at ? std::optional(now - *this->sent_at) : std::nullopt;
  if (duty.is_reader) {
    return !since || *since >= this->limit / READER_PART;
  }
  if (!duty.sends_work && !duty.coordinates) {
    return false;
  }
  const auto age = tracker.age(now);
  const bool old = !age || *age >= this->limit * OWN_READ_NUMERATOR / OWN_READ_DENOMINATOR;
  const common::Duration retry = age ? this->limit / OWN_PAUSE_PART : FIRST_PAUSE;
  const common::Duration pause = this->failed || !duty.store_connected ? FAILED_PAUSE : retry;
  return old && (!since || *since >= pause);
}

bool read_schedule::start(const read_conditions& duty, const view_tracker& tracker,
                          common::Instant now) {
  if (this->reading || !this->due(duty, tracker, now)) {
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
