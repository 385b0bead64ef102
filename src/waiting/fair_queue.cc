// Start-time fair queueing among the tenants of a priority.

#include "waiting/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace valvekeel::waiting {
namespace {

queue_entry place_of(const waiter& of) {
  queue_entry made;
  made.priority = of.priority;
  made.rank = of.tenant.empty() ? of.target_latency : of.queue_deadline;
  made.arrived = of.arrived;
  made.number = of.number;
  made.queue_deadline = of.queue_deadline;
  made.needs = of.needs;
  return made;
}

/** @return true if a goes before b among the waiters of one tenant. */
bool goes_before(const queue_entry& a, const queue_entry& b) {
  return std::tie(a.rank, a.arrived, a.number) < std::tie(b.rank, b.arrived, b.number);
}

/** @return true if a goes before b among the waiters of one priority. */
bool starts_before(const queue_entry& a, const queue_entry& b) {
  return std::tie(a.start_tag, a.queue_deadline, a.arrived, a.number) <
         std::tie(b.start_tag, b.queue_deadline, b.arrived, b.number);
}

}  // namespace

fair_queue::flow& fair_queue::flow_of(level& of, const std::string& tenant) {
  const auto [found, created] = of.flows.try_emplace(tenant);
  flow& result = found->second;
  if (created) {
    result.weight = this->weights->of(tenant);
  }
  if (result.waiters.empty()) {
    result.start_tag = std::max(result.start_tag, of.virtual_time);
  }
  return result;
}

void fair_queue::add(const waiter& added) {
  flow& to = this->flow_of(this->levels[added.priority], added.tenant);
  const queue_entry made = place_of(added);
  to.waiters.insert(std::upper_bound(to.waiters.begin(), to.waiters.end(), made, goes_before),
                    made);
  ++this->waiter_count;
}

void fair_queue::remove(const waiter& removed) {
  flow& from = this->flow_of(this->levels[removed.priority], removed.tenant);
  const queue_entry sought = place_of(removed);
  const auto found =
      std::lower_bound(from.waiters.begin(), from.waiters.end(), sought, goes_before);
  if (found == from.waiters.end() || found->number != removed.number) {
    return;
  }
  from.waiters.erase(found);
  --this->waiter_count;
  if (this->waiter_count == 0) {
    this->levels.clear();
  }
}

void fair_queue::on_started(std::uint32_t priority, const std::string& tenant) {
  if (this->waiter_count == 0) {
    return;
  }
  level& of = this->levels[priority];
  flow& charged = this->flow_of(of, tenant);
  of.virtual_time = std::max(of.virtual_time, charged.start_tag);
  charged.start_tag += 1 / charged.weight;
}

void fair_queue::append_order(std::vector<queue_entry>& out) const {
  for (const auto& [priority, of] : this->levels) {
    const auto began = static_cast<std::ptrdiff_t>(out.size());
    for (const auto& [tenant, each] : of.flows) {
      double tag = each.start_tag;
      for (const queue_entry& waits : each.waiters) {
        out.push_back(waits);
        out.back().start_tag = tag;
        tag += 1 / each.weight;
      }
    }
    std::sort(out.begin() + began, out.end(), starts_before);
  }
}

}  // namespace valvekeel::waiting
