// Queues and forecasts by service.

#include "waiting/service_queues.h"

#include <utility>

namespace valvekeel::waiting {
namespace {

std::size_t index_of(need needs) { return static_cast<std::size_t>(needs); }

}  // namespace

service_queues::service_queue& service_queues::queue_of(const std::string& service) {
  return this->queues.try_emplace(service, this->weights).first->second;
}

void service_queues::add(const std::string& service, const waiter& added, bool for_room) {
  const auto [found, created] = this->entries.try_emplace(added.number);
  found->second.for_room = for_room;
  if (!created) {
    return;
  }
  service_queue& to = this->queue_of(service);
  found->second.queue = &to;
  found->second.waits = added;
  to.queue.add(added);
  ++to.counts_by_need[index_of(added.needs)];
}

void service_queues::remove(waiter_number number) {
  const auto found = this->entries.find(number);
  if (found == this->entries.end()) {
    return;
  }
  service_queue& from = *found->second.queue;
  from.queue.remove(found->second.waits);
  --from.counts_by_need[index_of(found->second.waits.needs)];
  this->entries.erase(found);
}

void service_queues::set_for_room(waiter_number number, bool for_room) {
  const auto found = this->entries.find(number);
  if (found != this->entries.end()) {
    found->second.for_room = for_room;
  }
}

void service_queues::note_started(const target& at, const starter& started, common::Instant now) {
  service_queue& of = this->queue_of(at.service);
  const std::size_t index = index_of(at.needs);
  const std::size_t itself = this->entries.count(started.number);
  const bool others_wait = of.counts_by_need.at(index) > itself;
  of.forecasts.at(index).note_started(others_wait, now);
  of.queue.note_started(started.priority, started.tenant);
}

void service_queues::note_blocked(const target& at, std::size_t places, common::Instant now) {
  this->queue_of(at.service).forecasts.at(index_of(at.needs)).note_blocked(places, now);
}

void service_queues::note_no_place(const target& at, common::Instant now) {
  if (at.needs == need::primary) {
    this->queue_of(at.service).forecasts.at(index_of(at.needs)).note_gap(now);
  }
}

const std::vector<place>& service_queues::order() {
  this->order_made.clear();
  for (const auto& [service, each] : this->queues) {
    each.queue.append_order(this->order_made);
  }
  return this->order_made;
}

const std::vector<hopeless>& service_queues::find_hopeless(common::Instant now) {
  this->hopeless_found.clear();
  for (const auto& [service, each] : this->queues) {
    if (!each.queue.empty()) {
      this->append_hopeless(each, now);
    }
  }
  return this->hopeless_found;
}

void service_queues::append_hopeless(const service_queue& of, common::Instant now) {
  this->places_looked_at.clear();
  of.queue.append_order(this->places_looked_at);
  std::array<std::size_t, 2> ahead{};  // by need; those refused now leave their place
  for (const place& each : this->places_looked_at) {
    if (!this->entries.at(each.number).for_room) {
      continue;
    }
    const std::size_t index = index_of(each.needs);
    const auto expected = of.forecasts.at(index).expect(ahead.at(index) + 1, now);
    if (expected && now + expected->soonest > each.hold_until) {
      this->hopeless_found.push_back({each.number, expected->likely});
    } else {
      ++ahead.at(index);
    }
  }
}

std::optional<common::Duration> service_queues::likely_wait(const target& at,
                                                            common::Instant now) const {
  const auto found = this->queues.find(at.service);
  if (found == this->queues.end()) {
    return std::nullopt;
  }
  const std::size_t index = index_of(at.needs);
  const std::size_t position = found->second.counts_by_need.at(index) + 1;
  const auto expected = found->second.forecasts.at(index).expect(position, now);
  return expected ? std::optional(expected->likely) : std::nullopt;
}

}  // namespace valvekeel::waiting
