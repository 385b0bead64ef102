#include "proxy/backend.h"

#include <algorithm>
#include <cmath>
#include <ratio>

namespace valvekeel::proxy {
namespace {

constexpr common::Duration kUnresponsiveLimit{250'000};
constexpr common::Duration kReopenPause{100'000};
constexpr double kLatencyWeight = 0.1;  // weight of the newest value
/// Weights of the newest value in the baseline latency. The baseline rises slowly, so that a queue
/// does not become the baseline.
constexpr double kBaselineFallWeight = 0.05;
constexpr double kBaselineRiseWeight = 0.0005;
constexpr double kCongestedRatio = 3;
constexpr double kInFlightPerSlot = 2;  // initial and maximum limit
constexpr double kBusyFactor = 0.8;     // factor for the limit after a refusal
constexpr double kSuccessStep = 0.05;   // added to the limit by each answer
/// Time for which an instance is reserved for more urgent operations after one of them found no
/// free slot.
constexpr common::Duration kStarvationTime{100'000};
/// Ratio of target latencies above which an operation counts as clearly less urgent.
constexpr std::ratio<5, 4> kLessUrgentRatio;
constexpr common::Duration kShortestBusyPause{4'000};
constexpr common::Duration kLongestBusyPause{64'000};
constexpr common::Duration kShortestLaggingPause{20'000};
constexpr common::Duration kLongestLaggingPause{160'000};
constexpr common::Duration kLagHalfLife{200'000};

}  // namespace

void Connection::OnPrepared(const model::InstanceRequest& preparation) {
  if (const auto* control = std::get_if<model::ControlRequest>(&preparation)) {
    if (control->kind == model::ControlKind::kResetSession) {
      this->values.clear();
      this->prepared.clear();
    }
    return;
  }
  const model::Command& command = std::get<model::SessionRequest>(preparation).command;
  if (command.kind == model::CommandKind::kSet) {
    this->values[command.name] = command.arguments;
  } else if (command.kind == model::CommandKind::kPrepare) {
    this->prepared[command.prepared] = command.name;
  }
}

Backend::Backend(model::InstanceEntry entry)
    : entry_(std::move(entry)), in_flight_limit_(kInFlightPerSlot * std::max(1U, entry_.slots)) {}

Connection& Backend::Add(ConnectionNumber number, const std::string& tenant, common::Instant now) {
  Connection& connection = connections_[number];
  connection.number = number;
  connection.tenant = tenant;
  connection.created = now;
  connection.last_used = now;
  return connection;
}

Connection* Backend::Find(ConnectionNumber number) {
  const auto found = connections_.find(number);
  return found == connections_.end() ? nullptr : &found->second;
}

bool Backend::IsFree(const Connection& connection) {
  return connection.open && connection.outstanding.empty() && !connection.session &&
         connection.state == model::TransactionState::kIdle;
}

Connection* Backend::PickAnyFree() {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [](const auto& entry) { return IsFree(entry.second); });
  return found == connections_.end() ? nullptr : &found->second;
}

Connection* Backend::PickFreeOfOtherTenant(const std::string& tenant) {
  Connection* oldest = nullptr;
  for (auto& [number, connection] : connections_) {
    const bool other = IsFree(connection) && connection.tenant != tenant;
    if (other && (oldest == nullptr || connection.last_used < oldest->last_used)) {
      oldest = &connection;
    }
  }
  return oldest;
}

Connection* Backend::PickFree(const std::string& tenant, const SessionValues& values) {
  Connection* best = nullptr;
  bool best_matches = false;
  for (auto& [number, connection] : connections_) {
    if (!IsFree(connection) || connection.tenant != tenant) {
      continue;
    }
    const bool matches = connection.values == values;
    const bool better = best == nullptr || (matches && !best_matches) ||
                        (matches == best_matches && connection.last_used > best->last_used);
    if (better) {
      best = &connection;
      best_matches = matches;
    }
  }
  return best;
}

std::size_t Backend::OpeningCount() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return !entry.second.open; }));
}

std::size_t Backend::BusyCount() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& entry) {
        const Connection& connection = entry.second;
        const bool control = !connection.outstanding.empty() &&
                             connection.outstanding.front().purpose == RequestPurpose::kControl;
        return !connection.outstanding.empty() && (connection.session || control);
      }));
}

void Backend::OnContact(common::Instant now) {
  last_contact_ = now;
  unreachable_since_.reset();
  refused_ = false;
}

void Backend::OnOpenFailed(common::Instant now, bool refused) {
  open_not_before_ = now + kReopenPause;
  refused_ = refused_ || refused;
  const bool unresponsive = now >= last_contact_ + kUnresponsiveLimit;
  if ((refused || unresponsive) && !unreachable_since_) {
    unreachable_since_ = now;
  }
}

void Backend::OnProbeFailed(common::Instant now) {
  const bool unresponsive = now >= last_contact_ + kUnresponsiveLimit;
  if (unresponsive && !unreachable_since_) {
    unreachable_since_ = now;
  }
}

bool Backend::IsUnresponsive(common::Instant now) const {
  for (const auto& [number, connection] : connections_) {
    if (connection.outstanding.empty()) {
      continue;
    }
    const common::Instant since = std::max(connection.outstanding.front().sent, last_contact_);
    if (now >= since + kUnresponsiveLimit) {
      return true;
    }
  }
  return false;
}

void Backend::RecordLatency(common::Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  latency_us_ += kLatencyWeight * (microseconds - latency_us_);
  baseline_latency_us_ +=
      (latency_us_ < baseline_latency_us_ ? kBaselineFallWeight : kBaselineRiseWeight) *
      (latency_us_ - baseline_latency_us_);
  in_flight_limit_ =
      std::min(kInFlightPerSlot * std::max(1U, entry_.slots), in_flight_limit_ + kSuccessStep);
  busy_pause_ = common::Duration(0);
}

void Backend::OnBusy(common::Instant now) {
  if (now < avoid_until_) {
    return;  // another refusal during the same pause
  }
  in_flight_limit_ = std::max(kMinInFlight, in_flight_limit_ * kBusyFactor);
  busy_pause_ = std::clamp(busy_pause_ * 2, kShortestBusyPause, kLongestBusyPause);
  avoid_until_ = now + busy_pause_;
}

bool Backend::Congested() const { return latency_us_ > kCongestedRatio * baseline_latency_us_; }

void Backend::OnStarved(const Urgency& urgency, common::Instant now) {
  const bool more_urgent = urgency.target_latency < starved_urgency_.target_latency;
  if (now >= starved_until_ || more_urgent) {
    starved_urgency_ = urgency;
  }
  starved_until_ = now + kStarvationTime;
}

bool Backend::ReservedForMoreUrgent(const Urgency& urgency, common::Instant now) const {
  const bool starved = now < starved_until_ && urgency.priority == starved_urgency_.priority;
  const bool less_urgent = urgency.target_latency * kLessUrgentRatio.den >
                           starved_urgency_.target_latency * kLessUrgentRatio.num;
  return starved && less_urgent && Congested();
}

common::Duration Backend::LagEstimate(common::Instant now) const {
  // The estimate halves every kLagHalfLife, so that an instance that may have caught up is tried
  // again.
  const auto halvings = static_cast<double>((now - requirement_refused_at_).count()) /
                        static_cast<double>(kLagHalfLife.count());
  return common::Duration(static_cast<std::int64_t>(
      static_cast<double>(refused_requirement_age_.count()) * std::exp2(-halvings)));
}

void Backend::OnLaggingRead(common::Duration age, bool bound_missed, common::Instant now) {
  refused_requirement_age_ = std::max(LagEstimate(now), age);
  requirement_refused_at_ = now;
  if (bound_missed && now >= lagging_until_) {
    lagging_pause_ = std::clamp(lagging_pause_ * 2, kShortestLaggingPause, kLongestLaggingPause);
    lagging_until_ = now + lagging_pause_;
  }
}

void Backend::OnFreshRead(common::Duration age, common::Instant now) {
  lagging_pause_ = common::Duration(0);
  lagging_until_ = common::Instant(0);
  if (age < LagEstimate(now)) {
    refused_requirement_age_ = age;
    requirement_refused_at_ = now;
  }
}

bool Backend::ExpectedFresh(common::Duration age, common::Instant now) const {
  return now >= lagging_until_ && age >= LagEstimate(now);
}

}  // namespace valvekeel::proxy
