#include "warm_up/warm_up_rule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valvekeel::warm_up {
namespace {

/** Requests of a statement that begins a transaction: its begin goes first. */
constexpr std::size_t FIRST_REQUESTS = 2;
/** Requests of a statement within one. */
constexpr std::size_t NEXT_REQUESTS = 1;

/** @return after which a daemon that may not use the instance may try again. */
common::Duration held_back_pause(const cold_state& state, common::Instant now) {
  const common::Duration left = state.until - now;
  return std::min(left, awaits_entries(state, now) ? REFRESH_PAUSE : HELD_BACK_PAUSE);
}

}  // namespace

std::size_t sending_limit(const model::WarmUp& warm_up, const tolerance& allowed) {
  const double tolerated = warm_up.rate * allowed.overage + allowed.slack;
  const double limit = std::min(warm_up.rate, tolerated / 2);
  return static_cast<std::size_t>(std::max(0.0, std::floor(limit)));
}

warm_up_rule::warm_up_rule(std::string self, tolerance allowed, bool limited)
    : allowed(allowed), limited(limited), sender(std::move(self)) {}

access::decision warm_up_rule::evaluate(const model::InstanceEntry& instance,
                                        const access::work& asked, common::Instant now) const {
  if (!this->enabled() || !this->limited) {
    return {};
  }
  const auto state = this->cold.find(instance, now);
  if (!state) {
    return {};
  }
  const common::Duration left = state->until - now;
  if (!this->sender.is_holder(instance.service, instance.id, now)) {
    return {access::access_level::deferred, COLD_REASON, held_back_pause(*state, now)};
  }
  const std::size_t most = sending_limit(*this->cold.warm_up_of(instance.service), this->allowed);
  if (most == 0) {
    return {access::access_level::deferred, COLD_REASON, left};
  }
  const std::size_t requests = asked.continues_transaction ? NEXT_REQUESTS : FIRST_REQUESTS;
  const auto window = this->windows.find(instance.id);
  const common::Instant room =
      window == this->windows.end() ? now : window->second.room_at(most, requests, now);
  if (room > now) {
    return {access::access_level::deferred, COLD_REASON, std::min(left, room - now)};
  }
  return {access::access_level::overflow, COLD_REASON, {}};
}

access::leader_evaluation warm_up_rule::evaluate_leader(const model::InstanceEntry& instance,
                                                        common::Instant now) const {
  if (!this->enabled()) {
    return {};
  }
  // What this daemon alone presumes must not move a primary.
  const auto until = this->cold.told_until(instance, now);
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
    this->total_sent_cold += requests;
  }
}

void warm_up_rule::may_have_restarted(const model::InstanceEntry& instance, common::Instant now) {
  if (this->cold.warm_up_of(instance.service) != nullptr) {
    this->cold.note_restart(instance.id, now);
  }
}

void warm_up_rule::same_life(const model::InstanceEntry& instance) {
  this->cold.note_same_life(instance.id);
}

void warm_up_rule::first_contact(const model::InstanceEntry& instance, common::Instant now) {
  if (this->cold.warm_up_of(instance.service) != nullptr) {
    this->cold.note_first_contact(instance.id, now);
  }
}

void warm_up_rule::advance(common::Instant now) {
  this->cold.forget_old(now);
  std::erase_if(this->windows, [&](const auto& each) { return each.second.count(now) == 0; });
}

void warm_up_rule::zone_returned(const std::string& zone, common::Instant now) {
  if (this->enabled()) {
    this->cold.note_zone_returned(zone, now);
  }
}

}  // namespace valvekeel::warm_up
