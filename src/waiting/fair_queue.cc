// Implements start-time fair queueing among the tenants of a priority.

#include "waiting/fair_queue.h"

#include <algorithm>
#include <tuple>

namespace valvekeel::waiting {
namespace {

queue_entry entry_for(const waiter& source) {
  queue_entry made;
  made.priority = source.priority;
  made.rank = source.tenant.empty() ? source.target_latency : source.queue_deadline;
  made.arrived = source.arrived;
  made.number = source.number;
  made.queue_deadline = source.queue_deadline;
  made.needs = source.needs;
  return made;
}

/** @return true if a comes before b among the waiters of one tenant. */
bool precedes_in_tenant(const queue_entry& a, const queue_entry& b) {
  return std::tie(a.rank, a.arrived, a.number) < std::tie(b.rank, b.arrived, b.number);
}

/** @return true if a comes before b among the waiters of one priority. */
bool precedes_in_priority(const queue_entry& a, const queue_entry& b) {
  return std::tie(a.start_tag, a.queue_deadline, a.arrived, a.number) <
         std::tie(b.start_tag, b.queue_deadline, b.arrived, b.number);
}

}  // namespace

fair_queue::flow& fair_queue::flow_of(level& at_level, const std::string& tenant) {
  const auto [found, created] = at_level.flows.try_emplace(tenant);
  flow& result = found->second;
  if (created) {
    result.weight = this->weights->of(tenant);
  }
  if (result.waiters.empty()) {
    result.start_tag = std::max(result.start_tag, at_level.virtual_time);
  }
  return result;
}

void fair_queue::add(const waiter& added) {
  flow& to = this->flow_of(this->levels[added.priority], added.tenant);
  const queue_entry made = entry_for(added);
  to.waiters.insert(
      std::upper_bound(to.waiters.begin(), to.waiters.end(), made, precedes_in_tenant), made);
  ++this->waiter_count;
}

void fair_queue::remove(const waiter& removed) {
  flow& from = this->flow_of(this->levels[removed.priority], removed.tenant);
  const queue_entry sought = entry_for(removed);
  const auto found =
      std::lower_bound(from.waiters.begin(), from.waiters.end(), sought, precedes_in_tenant);
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
  level& at_level = this->levels[priority];
  flow& charged = this->flow_of(at_level, tenant);
  at_level.virtual_time = std::max(at_level.virtual_time, charged.start_tag);
  charged.start_tag += 1 / charged.weight;
}

void fair_queue::append_order(std::vector<queue_entry>& out) const {
  for (const auto& [priority, at_level] : this->levels) {
    const auto level_begin = static_cast<std::ptrdiff_t>(out.size());
    for (const auto& [tenant, each] : at_level.flows) {
      double tag = each.start_tag;
      for (const queue_entry& waiting : each.waiters) {
        out.push_back(waiting);
        out.back().start_tag = tag;
        tag += 1 / each.weight;
      }
    }
    std::sort(out.begin() + level_begin, out.end(), precedes_in_priority);
  }
}

}  // namespace valvekeel::waiting
