#include "warm_up/warm_up_rule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valvekeel::warm_up {
namespace {

/** Requests of a statement that begins a transaction: BEGIN is sent before it. */
constexpr std::size_t FIRST_STATEMENT_REQUESTS = 2;
/** Requests of a further statement of a transaction. */
constexpr std::size_t NEXT_STATEMENT_REQUESTS = 1;
/** Limit for rates that no instance reaches; larger ones may not be representable as an integer. */
constexpr double MAX_SENDING_LIMIT = 1e9;

/** @return the retry-after of requests that this daemon may not send to the instance. */
common::Duration cold_retry_after(const cold_state& state, common::Instant now) {
  const common::Duration left = state.until - now;
  return std::min(left, awaits_refresh(state, now) ? REFRESH_RETRY_AFTER : COLD_RETRY_AFTER);
}

}  // namespace

std::size_t sending_limit(const model::WarmUp& warm_up, const tolerance& allowed) {
  const double tolerated = warm_up.rate * allowed.overage + allowed.slack;
  const double limit = std::min({warm_up.rate, tolerated / 2, MAX_SENDING_LIMIT});
  return static_cast<std::size_t>(std::max(0.0, std::floor(limit)));
}

warm_up_rule::warm_up_rule(std::string self, tolerance allowed, bool enforces_limit)
    : allowed(allowed), enforces_limit(enforces_limit), sender(std::move(self)) {}

access::decision warm_up_rule::evaluate(const model::InstanceEntry& instance,
                                        const access::work& asked, common::Instant now) const {
  if (!this->enabled() || !this->enforces_limit) {
    return {};
  }
  const auto state = this->cold.find(instance, now);
  if (!state) {
    return {};
  }
  const common::Duration left = state->until - now;
  if (!this->sender.is_sender(instance.service, instance.id, now)) {
    return {access::access_level::deferred, COLD_REASON, cold_retry_after(*state, now)};
  }
  const std::size_t limit = sending_limit(*this->cold.warm_up_of(instance.service), this->allowed);
  if (limit == 0) {
    return {access::access_level::deferred, COLD_REASON, left};
  }
  const std::size_t requests =
      asked.continues_transaction ? NEXT_STATEMENT_REQUESTS : FIRST_STATEMENT_REQUESTS;
  const auto window = this->windows.find(instance.id);
  const common::Instant send_at =
      window == this->windows.end() ? now : window->second.earliest_send_time(limit, requests, now);
  if (send_at > now) {
    return {access::access_level::deferred, COLD_REASON, std::min(left, send_at - now)};
  }
  return {access::access_level::overflow, COLD_REASON, {}};
}

access::leader_evaluation warm_up_rule::evaluate_leader(const model::InstanceEntry& instance,
                                                        common::Instant now) const {
  if (!this->enabled()) {
    return {};
  }
  // A restart that only this daemon suspects must not cause a replacement of the primary.
  const auto until = this->cold.reported_until(instance, now);
  if (!until || *until - now <= PROMOTION_TIME) {
    return {};
  }
  return {model::LeaderFitness::kPoor, COLD_REASON};
}

void warm_up_rule::on_sent(const model::InstanceEntry& instance, std::size_t requests,
                           common::Instant now) {
  if (!this->enabled() || this->cold.warm_up_of(instance.service) == nullptr) {
    return;
  }
  this->windows[instance.id].add(requests, now);
  if (this->cold.find(instance, now)) {
    this->cold_request_count += requests;
  }
}

void warm_up_rule::on_possible_restart(const model::InstanceEntry& instance, common::Instant now) {
  if (this->cold.warm_up_of(instance.service) != nullptr) {
    this->cold.on_possible_restart(instance.id, now);
  }
}

void warm_up_rule::on_restart_ruled_out(const model::InstanceEntry& instance) {
  this->cold.on_restart_ruled_out(instance.id);
}

void warm_up_rule::on_first_contact(const model::InstanceEntry& instance, common::Instant now) {
  if (this->cold.warm_up_of(instance.service) != nullptr) {
    this->cold.on_first_contact(instance.id, now);
  }
}

void warm_up_rule::advance(common::Instant now) {
  this->cold.remove_expired(now);
  std::erase_if(this->windows, [&](const auto& each) { return each.second.count(now) == 0; });
}

void warm_up_rule::on_evacuation_ended(const std::string& zone, common::Instant now) {
  if (this->enabled()) {
    this->cold.on_evacuation_ended(zone, now);
  }
}

}  // namespace valvekeel::warm_up
