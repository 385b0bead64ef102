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
  return std::min(left, awaits_refresh(state, now) ? REFRESH_RETRY_AFTER : COLD_RETRY_AFTER);
}

}  // namespace

std::size_t sending_limit(const model::WarmUp& warm_up, const tolerance& allowed) {
  const double tolerated = warm_up.rate * allowed.overage + allowed.slack;
  const double limit = std::min(warm_up.rate, tolerated / 2);
  return static_cast<std::size_t>(std::max(0.0, std::floor(limit)));
}

warm_up_rule::warm_up_rule(std::string self, tolerance allowed, bool limited)
    : allowed(allowed), enforces_limit(limited), sender(std::move(self)) {}

access::answer warm_up_rule::judge(const model::InstanceEntry& instance, const access::work& asked,
                                   common::Instant now) const {
  if (!this->enabled() || !this->enforces_limit) {
    return {};
  }
  const auto state = this->cold.find(instance, now);
  if (!state) {
    return {};
  }
  const common::Duration left = state->until - now;
  if (!this->sender.is_sender(instance.service, instance.id, now)) {
    return {access::verdict::later, COLD_REASON, held_back_pause(*state, now)};
  }
  const std::size_t most = sending_limit(*this->cold.warm_up_of(instance.service), this->allowed);
  if (most == 0) {
    return {access::verdict::later, COLD_REASON, left};
  }
  const std::size_t requests = asked.continues_transaction ? NEXT_REQUESTS : FIRST_REQUESTS;
  const auto window = this->windows.find(instance.id);
  const common::Instant room =
      window == this->windows.end() ? now : window->second.earliest_send_time(most, requests, now);
  if (room > now) {
    return {access::verdict::later, COLD_REASON, std::min(left, room - now)};
  }
  return {access::verdict::overflow, COLD_REASON, {}};
}

access::leader_answer warm_up_rule::judge_leader(const model::InstanceEntry& instance,
                                                 common::Instant now) const {
  if (!this->enabled()) {
    return {};
  }
  // What this daemon alone presumes must not move a primary.
  const auto until = this->cold.reported_until(instance, now);
  if (!until || *until - now <= PROMOTION_TIME) {
    return {};
  }
  return {model::LeaderFitness::kPoor, COLD_REASON};
}

void warm_up_rule::note_sent(const model::InstanceEntry& instance, std::size_t requests,
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
