// Estimates the rate of starts in saturated time and the wait at a position of the queue.

#include "waiting/wait_forecast.h"

#include <algorithm>
#include <cmath>

#include "tenants/tenant.h"

namespace valvekeel::waiting {
namespace {

using tenants::in_seconds;
using tenants::MICROSECONDS_PER_SECOND;

/** @return the factor by which an observation decays over a time. */
double decay_factor(common::Duration elapsed) {
  return std::exp(-in_seconds(elapsed) / in_seconds(DECAY_TIME_CONSTANT));
}

common::Duration from_seconds(double seconds) {
  return common::Duration(static_cast<std::int64_t>(seconds * MICROSECONDS_PER_SECOND));
}

}  // namespace

wait_forecast::tally wait_forecast::decayed(common::Instant now) const {
  const common::Duration elapsed = now - this->observed_at;
  if (elapsed <= common::Duration(0)) {
    return this->observed;
  }
  const double factor = decay_factor(elapsed);
  tally result{this->observed.starts * factor, this->observed.seconds * factor};
  if (this->saturated) {
    result.seconds +=
        in_seconds(DECAY_TIME_CONSTANT) * (1 - decay_factor(std::min(elapsed, MAX_EVENT_INTERVAL)));
  }
  return result;
}

void wait_forecast::advance(common::Instant now) {
  this->observed = this->decayed(now);
  this->observed_at = now;
}

void wait_forecast::on_no_free_slot(std::size_t instances, common::Instant now) {
  this->advance(now);
  this->saturated = true;
  const bool grown = instances > this->max_instances;
  if (grown && this->max_instances > 0) {
    this->observed = {};  // an instance was added: the rate is of fewer instances
  }
  if (instances >= this->max_instances ||
      now >= this->max_instances_at + INSTANCE_COUNT_RETENTION) {
    this->max_instances = instances;
    this->max_instances_at = now;
  }
}

void wait_forecast::on_outage(common::Instant now) {
  this->observed = {};
  this->observed_at = now;
  this->saturated = false;
  this->max_instances = 0;
}

void wait_forecast::on_started(bool others_wait, common::Instant now) {
  this->advance(now);
  if (this->saturated) {
    this->observed.starts += 1;
  }
  this->saturated = this->saturated && others_wait;
}

std::optional<turn_estimate> wait_forecast::estimate_turn(std::size_t position,
                                                          common::Instant now) const {
  const tally current = this->decayed(now);
  if (current.starts < MIN_STARTS || current.seconds < in_seconds(MIN_SATURATED_TIME)) {
    return std::nullopt;
  }
  const auto turns = static_cast<double>(position);
  // The starts are taken for a Poisson process, whose variance equals its mean.
  const double rate = current.starts / current.seconds;
  const double high_rate = (current.starts + std::sqrt(current.starts)) / current.seconds;
  const double few_turns = turns - std::sqrt(turns);
  return turn_estimate{from_seconds(turns / rate), from_seconds(few_turns / high_rate)};
}

}  // namespace valvekeel::waiting
