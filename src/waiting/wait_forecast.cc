// The rate of starts in crowded time, and what it means for a place in the queue.

#include "waiting/wait_forecast.h"

#include <algorithm>
#include <cmath>

#include "tenants/tenant.h"

namespace valvekeel::waiting {
namespace {

using tenants::in_seconds;
using tenants::MICROSECONDS_PER_SECOND;

/** @return what is left of something after a time. */
double left_after(common::Duration elapsed) {
  return std::exp(-in_seconds(elapsed) / in_seconds(FADING_TIME));
}

common::Duration from_seconds(double seconds) {
  return common::Duration(static_cast<std::int64_t>(seconds * MICROSECONDS_PER_SECOND));
}

}  // namespace

wait_forecast::tally wait_forecast::faded(common::Instant now) const {
  const common::Duration elapsed = now - this->seen_at;
  if (elapsed <= common::Duration(0)) {
    return this->seen;
  }
  const double left = left_after(elapsed);
  tally result{this->seen.starts * left, this->seen.seconds * left};
  if (this->crowded) {
    result.seconds +=
        in_seconds(FADING_TIME) * (1 - left_after(std::min(elapsed, LONGEST_SILENCE)));
  }
  return result;
}

void wait_forecast::advance(common::Instant now) {
  this->seen = this->faded(now);
  this->seen_at = now;
}

void wait_forecast::note_blocked(std::size_t places, common::Instant now) {
  this->advance(now);
  this->crowded = true;
  const bool more = places > this->most_places;
  if (more && this->most_places > 0) {
    this->seen = {};  // an instance has come: what is known is of fewer
  }
  if (places >= this->most_places || now >= this->most_places_at + PLACES_MEMORY) {
    this->most_places = places;
    this->most_places_at = now;
  }
}

void wait_forecast::note_gap(common::Instant now) {
  this->seen = {};
  this->seen_at = now;
  this->crowded = false;
  this->most_places = 0;
}

void wait_forecast::note_started(bool others_wait, common::Instant now) {
  this->advance(now);
  if (this->crowded) {
    this->seen.starts += 1;
  }
  this->crowded = this->crowded && others_wait;
}

std::optional<expectation> wait_forecast::expect(std::size_t position, common::Instant now) const {
  const tally known = this->faded(now);
  if (known.starts < LEAST_STARTS || known.seconds < in_seconds(LEAST_CROWDED)) {
    return std::nullopt;
  }
  const auto turns = static_cast<double>(position);
  // Starts are counted as a Poisson process: its variance is its mean.
  const double rate = known.starts / known.seconds;
  const double lucky_rate = (known.starts + std::sqrt(known.starts)) / known.seconds;
  const double lucky_turns = turns - std::sqrt(turns);
  return expectation{from_seconds(turns / rate), from_seconds(lucky_turns / lucky_rate)};
}

}  // namespace valvekeel::waiting
