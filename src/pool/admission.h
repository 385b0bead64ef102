// Admission control of one instance: decides which group's request gets the next free slot.
//
// Owns: the queues, the slots in use and the decayed usage of each group. Invariant: no more slots
// are in use than configured; no slot stays free while a queued request may start; each request
// has one result: started, refused on arrival, or expired. No I/O and no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace valvekeel::pool {

/// Number of a request, unique within one `Admission`.
using Ticket = std::uint64_t;

/// Weight and slot limits of a group; see docs/operators/sharing.md.
struct GroupShare {
  double share = 1.0;
  std::uint32_t minimum = 0;  // slots it gets ahead of other groups while it has requests
  std::uint32_t maximum = 0;  // slots it may use at once, 0 for no limit
};

/// Settings of the admission to one instance.
struct AdmissionSettings {
  std::uint32_t slots = 5;
  std::size_t queue_limit = 1000;                // maximum for one group
  common::Duration usage_half_life{10'000'000};  // time after which past usage counts half
  common::Duration burst_credit{500'000};        // slot time a formerly idle group may be ahead
  common::Duration initial_service_time{1'000};  // used before the first request finishes
};

/// What happens to an arriving request.
enum class AdmissionOutcome : std::uint8_t { kStarted, kQueued, kRefused };

/// Result of an arrival, with the retry-after of a refusal.
struct ArrivalDecision {
  AdmissionOutcome outcome = AdmissionOutcome::kRefused;
  common::Duration retry_after{0};  // predicted wait; set only if refused
};

/// A request that arrives at the instance.
struct Arrival {
  Ticket ticket = 0;
  std::string group;
  common::Instant deadline{0};
  bool in_transaction = false;  // already has a connection, so it goes first
};

/// Usage of one group, for reports.
struct GroupUsage {
  std::string group;
  std::size_t queued = 0;
  std::uint32_t running = 0;
  common::Duration total_slot_time{0};
  std::uint64_t started = 0;
  std::uint64_t refused = 0;
};

/// Weighted fair queueing by slot time; past usage decays exponentially.
class Admission {
 public:
  explicit Admission(AdmissionSettings settings) : settings_(settings) {}

  /// Sets a group's share; groups without one have the default `GroupShare`.
  void SetShare(const std::string& group, GroupShare share);
  void SetSlots(std::uint32_t slots) { settings_.slots = slots; }

  /// Starts, queues or refuses a request. Nothing is kept of a refused one but its count.
  ArrivalDecision Arrive(const Arrival& arrival, common::Instant now);

  /// Frees the slot of a started request. @return the requests that start now.
  std::vector<Ticket> Finish(Ticket ticket, common::Instant now);

  /// Removes queued requests whose deadline has passed. @return their tickets.
  std::vector<Ticket> Expire(common::Instant now);

  /// Removes a queued request, for example because its caller disconnected.
  void Withdraw(Ticket ticket);

  /// @return how long a request of the group arriving now would wait for a slot.
  common::Duration PredictWait(const std::string& group) const;

  std::uint32_t Running() const { return static_cast<std::uint32_t>(running_.size()); }
  std::size_t Queued() const;
  std::vector<GroupUsage> Usage() const;

 private:
  struct Group {
    GroupShare share;
    std::deque<Arrival> queue;
    std::uint32_t running = 0;
    double usage = 0;  // decayed slot time in microseconds
    common::Duration total{0};
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
  };
  struct RunningRequest {
    std::string group;
    common::Instant started{0};
    double charged = 0;  // microseconds charged in advance
  };

  void Decay(common::Instant now);
  void RaiseUsageOfIdleGroup(Group& group);
  void Begin(const Arrival& arrival, common::Instant now);
  std::vector<Ticket> StartQueued(common::Instant now);
  Group* NextGroup();
  static bool AtMaximum(const Group& group);

  AdmissionSettings settings_;
  std::map<std::string, Group> groups_;
  std::deque<Arrival> transactions_;  // queued statements of open transactions
  std::map<Ticket, RunningRequest> running_;
  common::Instant decayed_at_{0};
  double service_time_us_ = 0;  // exponential moving average, 0 before the first request finishes
};

}  // namespace valvekeel::pool
