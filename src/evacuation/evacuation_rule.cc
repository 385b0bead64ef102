#include "evacuation/evacuation_rule.h"

namespace valvekeel::evacuation {
namespace {

/** Retry-after for callers of a closed zone: most evacuations last for seconds. */
constexpr common::Duration CLOSED_RETRY_AFTER{1'000'000};

/** The same before the first view: a few responses of the store (4 ms each) and ticks. */
constexpr common::Duration UNKNOWN_RETRY_AFTER{30'000};

}  // namespace

bool evacuation_rule::is_closed(const std::string& zone, common::Instant now) const {
  if (!this->policy.enforces_limit) {
    return false;
  }
  const auto in_use_at = this->tracker.in_use_at(zone);
  const common::Duration margin = this->policy.limit / MARGIN_DIVISOR;
  return !in_use_at || now >= *in_use_at + this->policy.limit - margin;
}

access::decision evacuation_rule::evaluate(const model::InstanceEntry& instance,
                                           const access::work& asked, common::Instant now) const {
  if (this->tracker.awaits_first_view(now)) {
    return {access::access_level::deferred, VIEW_UNKNOWN, UNKNOWN_RETRY_AFTER};
  }
  if (!this->tracker.is_evacuated(instance.zone)) {
    return {};
  }
  if (this->is_closed(instance.zone, now)) {
    return {access::access_level::closed, EVACUATED, CLOSED_RETRY_AFTER};
  }
  if (asked.continues_transaction) {
    return {};
  }
  return {access::access_level::last_resort, EVACUATED, common::Duration(0)};
}

access::leader_evaluation evacuation_rule::evaluate_leader(const model::InstanceEntry& instance,
                                                           common::Instant /*now*/) const {
  if (this->tracker.is_evacuated(instance.zone)) {
    return {model::LeaderFitness::kUnfit, EVACUATED};
  }
  return {};
}

void evacuation_rule::on_sent(const model::InstanceEntry& /*instance*/, std::size_t /*requests*/,
                              common::Instant /*now*/) {}

}  // namespace valvekeel::evacuation
