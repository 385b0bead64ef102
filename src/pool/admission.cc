#include "pool/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valvekeel::pool {
namespace {

using common::Duration;
using common::Instant;

constexpr double kSmoothing = 0.1;  // weight of the newest service time in the moving average

}  // namespace

void Admission::SetShare(const std::string& group, GroupShare share) {
  groups_[group].share = share;
}

bool Admission::AtMaximum(const Group& group) {
  return group.share.maximum != 0 && group.running >= group.share.maximum;
}

std::size_t Admission::Queued() const {
  std::size_t queued = transactions_.size();
  for (const auto& [name, group] : groups_) {
    queued += group.queue.size();
  }
  return queued;
}

void Admission::Decay(Instant now) {
  const Duration elapsed = now - decayed_at_;
  if (elapsed <= Duration{0}) {
    return;
  }
  decayed_at_ = now;
  const double half_lives =
      static_cast<double>(elapsed.count()) / static_cast<double>(settings_.usage_half_life.count());
  const double factor = std::exp2(-half_lives);
  for (auto& [name, group] : groups_) {
    group.usage *= factor;
  }
}

void Admission::RaiseUsageOfIdleGroup(Group& group) {
  // Without this rule, a group that was idle for long would get every slot until its usage
  // equals that of the others.
  std::optional<double> lowest_usage;
  for (const auto& [name, other] : groups_) {
    const bool active = &other != &group && (other.running > 0 || !other.queue.empty());
    const double normalized = other.usage / other.share.share;
    if (active && (!lowest_usage || normalized < *lowest_usage)) {
      lowest_usage = normalized;
    }
  }
  if (lowest_usage) {
    const double credit = static_cast<double>(settings_.burst_credit.count());
    group.usage = std::max(group.usage, (*lowest_usage - credit) * group.share.share);
  }
}

Duration Admission::PredictWait(const std::string& name) const {
  const bool free_slot = running_.size() < settings_.slots && Queued() == 0;
  const auto own = groups_.find(name);
  const bool limited = own != groups_.end() && AtMaximum(own->second);
  if (free_slot && !limited) {
    return Duration{0};
  }
  const GroupShare share = own == groups_.end() ? GroupShare{} : own->second.share;
  double shares = share.share;
  for (const auto& [other_name, other] : groups_) {
    if (other_name != name && !other.queue.empty()) {
      shares += other.share.share;
    }
  }
  double slots = static_cast<double>(settings_.slots) * share.share / shares;
  slots = std::max(slots, static_cast<double>(share.minimum));
  if (share.maximum != 0) {
    slots = std::min(slots, static_cast<double>(share.maximum));
  }
  const double ahead = own == groups_.end() ? 0.0 : static_cast<double>(own->second.queue.size());
  const double service = service_time_us_ > 0
                             ? service_time_us_
                             : static_cast<double>(settings_.initial_service_time.count());
  return Duration{static_cast<std::int64_t>((ahead + 1.0) * service / slots)};
}

ArrivalDecision Admission::Arrive(const Arrival& arrival, Instant now) {
  Decay(now);
  Group& group = groups_[arrival.group];
  if (group.queue.empty() && group.running == 0) {
    RaiseUsageOfIdleGroup(group);
  }
  if (arrival.in_transaction) {
    if (running_.size() < settings_.slots) {
      Begin(arrival, now);
      return {AdmissionOutcome::kStarted, Duration{0}};
    }
    transactions_.push_back(arrival);
    return {AdmissionOutcome::kQueued, Duration{0}};
  }
  const bool free_slot = running_.size() < settings_.slots && Queued() == 0;
  if (free_slot && !AtMaximum(group)) {
    Begin(arrival, now);
    return {AdmissionOutcome::kStarted, Duration{0}};
  }
  const Duration wait = PredictWait(arrival.group);
  if (now + wait > arrival.deadline || group.queue.size() >= settings_.queue_limit) {
    ++group.refused;
    return {AdmissionOutcome::kRefused, wait};
  }
  group.queue.push_back(arrival);
  // If all other queued requests belong to groups at their maximum, this one can start at once.
  const std::vector<Ticket> started = StartQueued(now);
  const bool began = std::find(started.begin(), started.end(), arrival.ticket) != started.end();
  return {began ? AdmissionOutcome::kStarted : AdmissionOutcome::kQueued, Duration{0}};
}

void Admission::Begin(const Arrival& arrival, Instant now) {
  Group& group = groups_[arrival.group];
  ++group.running;
  ++group.started;
  const double charge = service_time_us_;
  group.usage += charge;
  running_[arrival.ticket] = {arrival.group, now, charge};
}

Admission::Group* Admission::NextGroup() {
  Group* next = nullptr;
  bool next_below_minimum = false;
  for (auto& [name, group] : groups_) {
    if (group.queue.empty() || AtMaximum(group)) {
      continue;
    }
    const bool below_minimum = group.running < group.share.minimum;
    const bool less_used =
        next == nullptr || group.usage / group.share.share < next->usage / next->share.share;
    if (next == nullptr || (below_minimum && !next_below_minimum) ||
        (below_minimum == next_below_minimum && less_used)) {
      next = &group;
      next_below_minimum = below_minimum;
    }
  }
  return next;
}

std::vector<Ticket> Admission::StartQueued(Instant now) {
  std::vector<Ticket> started;
  while (running_.size() < settings_.slots) {
    std::deque<Arrival>* queue = &transactions_;
    if (queue->empty()) {
      Group* group = NextGroup();
      if (group == nullptr) {
        break;
      }
      queue = &group->queue;
    }
    const Arrival arrival = std::move(queue->front());
    queue->pop_front();
    Begin(arrival, now);
    started.push_back(arrival.ticket);
  }
  return started;
}

std::vector<Ticket> Admission::Finish(Ticket ticket, Instant now) {
  Decay(now);
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return {};
  }
  Group& group = groups_[found->second.group];
  const Duration used = now - found->second.started;
  const double used_us = static_cast<double>(used.count());
  group.usage = std::max(0.0, group.usage + used_us - found->second.charged);
  group.total += used;
  --group.running;
  service_time_us_ =
      service_time_us_ > 0 ? (1 - kSmoothing) * service_time_us_ + kSmoothing * used_us : used_us;
  running_.erase(found);
  return StartQueued(now);
}

std::vector<Ticket> Admission::Expire(Instant now) {
  std::vector<Ticket> expired;
  const auto collect = [&](std::deque<Arrival>& queue) {
    std::erase_if(queue, [&](const Arrival& arrival) {
      if (arrival.deadline > now) {
        return false;
      }
      expired.push_back(arrival.ticket);
      return true;
    });
  };
  collect(transactions_);
  for (auto& [name, group] : groups_) {
    const std::size_t before = group.queue.size();
    collect(group.queue);
    group.refused += before - group.queue.size();
  }
  return expired;
}

void Admission::Withdraw(Ticket ticket) {
  const auto matches = [ticket](const Arrival& arrival) { return arrival.ticket == ticket; };
  std::erase_if(transactions_, matches);
  for (auto& [name, group] : groups_) {
    std::erase_if(group.queue, matches);
  }
}

std::vector<GroupUsage> Admission::Usage() const {
  std::vector<GroupUsage> usage;
  for (const auto& [name, group] : groups_) {
    usage.push_back(
        {name, group.queue.size(), group.running, group.total, group.started, group.refused});
  }
  return usage;
}

}  // namespace valvekeel::pool
