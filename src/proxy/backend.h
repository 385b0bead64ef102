// One instance as this daemon sees it: its connections and its health.
//
// Owns: the connections to the instance with what is in force on each. Invariant: a connection is
// handed out only if it is open, has no request outstanding, holds no transaction and belongs to no
// session. Pure. Thread: its host's.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "model/catalog.h"
#include "model/command.h"
#include "model/reply.h"
#include "model/request.h"
#include "proxy/actions.h"
#include "warm_up/instance_life.h"

namespace valvekeel::proxy {

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

/// What an outstanding request is for.
enum class Purpose : std::uint8_t {
  kStatement,    // a caller's command
  kPreparation,  // brings the connection to the caller's state
  kControl,      // a control request
  kCleanup,      // rolls back what nobody waits for
};

/// Number of a control request.
using ControlNumber = std::uint64_t;

struct OutstandingRequest {
  Purpose purpose = Purpose::kStatement;
  common::Instant sent{0};
  ControlNumber control = 0;
};

struct Connection {
  ConnectionNumber number = 0;
  std::string tenant;  // whose requests it carries; empty: no tenant's
  bool open = false;
  common::Instant created{0};
  common::Instant opened{0};  // once it is open
  common::Instant last_used{0};
  SessionValues values;
  std::map<model::PreparedStatement, std::string> prepared;  // names on this connection
  std::optional<SessionNumber> session;                      // that it belongs to for now
  model::TransactionState state = model::TransactionState::kIdle;
  std::deque<OutstandingRequest> outstanding;
};

/// A control request that waits for a connection or an answer.
struct QueuedControlRequest {
  ControlNumber number = 0;
  model::ControlRequest request;
  common::Instant queued{0};
};

/// Taken for the latency of an instance until one was measured.
inline constexpr double kInitialLatencyUs = 10'000;

/// Statements that may always be in flight.
inline constexpr double kMinInFlight = 1;

/// How an operation's route ranks it among those that wait.
struct Urgency {
  std::uint32_t priority = 0;          // 0 goes first
  common::Duration target_latency{0};  // within a priority, who has less time goes first
};

class Backend {
 public:
  explicit Backend(model::InstanceEntry entry);

  const model::InstanceEntry& Entry() const { return entry_; }
  void SetEntry(const model::InstanceEntry& entry) { entry_ = entry; }

  // Connections.
  Connection& Add(ConnectionNumber number, const std::string& tenant, common::Instant now);
  Connection* Find(ConnectionNumber number);
  void Remove(ConnectionNumber number) { connections_.erase(number); }
  std::map<ConnectionNumber, Connection>& Connections() { return connections_; }
  const std::map<ConnectionNumber, Connection>& Connections() const { return connections_; }

  /// @return a free connection of the tenant, preferably with these values in force, or nothing.
  Connection* PickFree(const std::string& tenant, const SessionValues& values);
  /// @return a free connection for requests of the proxy's own: whose it is does not matter.
  Connection* PickAnyFree();
  /// @return the free connection of another tenant that was used least recently, or nothing.
  Connection* PickFreeOfOtherTenant(const std::string& tenant);
  std::size_t OpeningCount() const;
  std::size_t BusyCount() const;  // connections that work for somebody

  /// @return true if one more statement may be sent. The limit adapts to the instance's refusals,
  /// and a congested instance gets one at a time: the queue is kept here, where it has an order.
  bool HasCapacity() const {
    return static_cast<double>(BusyCount()) < (Congested() ? kMinInFlight : in_flight_limit_);
  }

  // Health.
  void OnContact(common::Instant now);
  void OnOpenFailed(common::Instant now, bool refused);
  void OnProbeFailed(common::Instant now);

  /// @return true if it answered, or accepted a connection, within this time.
  bool ContactedWithin(common::Duration age, common::Instant now) const {
    return now < last_contact_ + age;
  }

  /// @return true if requests have been unanswered in silence for a while.
  bool IsUnresponsive(common::Instant now) const;

  /// @return true if it does not answer at all.
  bool Unreachable() const { return unreachable_since_.has_value(); }
  std::optional<common::Instant> UnreachableSince() const { return unreachable_since_; }

  bool MayOpen(common::Instant now) const { return now >= open_not_before_; }
  void DelayOpening(common::Instant until) { open_not_before_ = until; }

  // Load.
  void RecordLatency(common::Duration latency);
  void OnBusy(common::Instant now);
  double LatencyUs() const { return latency_us_; }
  /// @return true if its answers take much longer than usual.
  bool Congested() const;
  double InFlightLimit() const { return in_flight_limit_; }
  common::Instant AvoidUntil() const { return avoid_until_; }

  /// An operation of this urgency has found no room for a while.
  void OnStarved(const Urgency& urgency, common::Instant now);
  /// @return true if this operation should leave the instance to those of its priority that have
  /// clearly less time: some were crowded out a moment ago, and the instance is congested.
  bool ReservedForMoreUrgent(const Urgency& urgency, common::Instant now) const;

  // Replication lag, as far as reads show it.
  /// A read with this age of its requirement was refused as lagging.
  void OnLaggingRead(common::Duration age, bool bound_missed, common::Instant now);
  /// A read with this age of its requirement was served.
  void OnFreshRead(common::Duration age, common::Instant now);
  /// @return true if a requirement of this age is expected to be met.
  bool ExpectedFresh(common::Duration age, common::Instant now) const;

  common::Instant probe_sent_at{0};  // of the last health probe
  std::deque<QueuedControlRequest> control_queue;
  std::optional<common::Instant> unlisted_since;  // its entry is no longer listed
  std::optional<common::Instant> draining_since;  // it said that it will end
  std::optional<model::InstanceStatus> status;    // last seen
  common::Instant status_at{0};                   // when that was
  bool address_taken = false;                     // another instance answers at its address
  warm_up::instance_life restart_detection;

 private:
  static bool IsFree(const Connection& connection);

  model::InstanceEntry entry_;
  std::map<ConnectionNumber, Connection> connections_;
  common::Instant last_contact_{0};
  std::optional<common::Instant> unreachable_since_;
  common::Instant open_not_before_{0};
  double latency_us_ = kInitialLatencyUs;
  double baseline_latency_us_ = kInitialLatencyUs;
  double in_flight_limit_;
  common::Instant avoid_until_{0};  // after it refused for want of capacity
  common::Duration busy_pause_{0};
  Urgency starved_urgency_;  // of an operation that found no room lately
  common::Instant starved_until_{0};
  common::Duration LagEstimate(common::Instant now) const;

  common::Duration refused_requirement_age_{0};  // highest age of a requirement refused lately
  common::Instant requirement_refused_at_{0};    // when that was
  common::Instant lagging_until_{0};             // after it lacked even what the bound asks for
  common::Duration lagging_pause_{0};
};

}  // namespace valvekeel::proxy
