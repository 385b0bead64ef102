// Keeps a queue and forecasts for each service.

#include "waiting/service_queues.h"

#include <utility>

namespace valvekeel::waiting {
namespace {

std::size_t index_of(need needs) { return static_cast<std::size_t>(needs); }

}  // namespace

service_queues::service_queue& service_queues::queue_of(const std::string& service) {
  return this->queues.try_emplace(service, this->weights).first->second;
}

void service_queues::add(const std::string& service, const waiter& added,
                         bool waits_only_for_slot) {
  const auto [found, created] = this->waiters.try_emplace(added.number);
  found->second.waits_only_for_slot = waits_only_for_slot;
  if (!created) {
    return;
  }
  service_queue& to = this->queue_of(service);
  found->second.queue = &to;
  found->second.operation = added;
  to.queue.add(added);
  ++to.counts_by_need[index_of(added.needs)];
}

void service_queues::remove(waiter_number number) {
  const auto found = this->waiters.find(number);
  if (found == this->waiters.end()) {
    return;
  }
  service_queue& from = *found->second.queue;
  from.queue.remove(found->second.operation);
  --from.counts_by_need[index_of(found->second.operation.needs)];
  this->waiters.erase(found);
}

void service_queues::set_waits_only_for_slot(waiter_number number, bool waits_only_for_slot) {
  const auto found = this->waiters.find(number);
  if (found != this->waiters.end()) {
    found->second.waits_only_for_slot = waits_only_for_slot;
  }
}

void service_queues::on_started(const target& at, const started_operation& operation,
                                common::Instant now) {
  service_queue& of = this->queue_of(at.service);
  const std::size_t index = index_of(at.needs);
  const std::size_t itself = this->waiters.count(operation.number);
  const bool others_wait = of.counts_by_need.at(index) > itself;
  of.forecasts.at(index).on_started(others_wait, now);
  of.queue.on_started(operation.priority, operation.tenant);
}

void service_queues::on_no_free_slot(const target& at, std::size_t instances, common::Instant now) {
  this->queue_of(at.service).forecasts.at(index_of(at.needs)).on_no_free_slot(instances, now);
}

void service_queues::on_no_instance(const target& at, common::Instant now) {
  if (at.needs == need::primary) {
    this->queue_of(at.service).forecasts.at(index_of(at.needs)).on_outage(now);
  }
}

const std::vector<queue_entry>& service_queues::order() {
  this->order_buffer.clear();
  for (const auto& [service, each] : this->queues) {
    each.queue.append_order(this->order_buffer);
  }
  return this->order_buffer;
}

const std::vector<late_waiter>& service_queues::find_late_waiters(common::Instant now) {
  this->late_waiters.clear();
  for (const auto& [service, each] : this->queues) {
    if (!each.queue.empty()) {
      this->append_late_waiters(each, now);
    }
  }
  return this->late_waiters;
}

void service_queues::append_late_waiters(const service_queue& of, common::Instant now) {
  this->scan_buffer.clear();
  of.queue.append_order(this->scan_buffer);
  std::array<std::size_t, 2> ahead{};  // by need; without those that are refused now
  for (const queue_entry& each : this->scan_buffer) {
    if (!this->waiters.at(each.number).waits_only_for_slot) {
      continue;
    }
    const std::size_t index = index_of(each.needs);
    const auto estimate = of.forecasts.at(index).estimate_turn(ahead.at(index) + 1, now);
    if (estimate && now + estimate->earliest > each.queue_deadline) {
      this->late_waiters.push_back({each.number, estimate->expected});
    } else {
      ++ahead.at(index);
    }
  }
}

std::optional<common::Duration> service_queues::expected_wait(const target& at,
                                                              common::Instant now) const {
  const auto found = this->queues.find(at.service);
  if (found == this->queues.end()) {
    return std::nullopt;
  }
  const std::size_t index = index_of(at.needs);
  const std::size_t position = found->second.counts_by_need.at(index) + 1;
  const auto estimate = found->second.forecasts.at(index).estimate_turn(position, now);
  return estimate ? std::optional(estimate->expected) : std::nullopt;
}

}  // namespace valvekeel::waiting
