// Holds one instance's state in this daemon: its connections, health, load and replication lag.
//
// Owns: the connections to the instance with the session values in force on each. Invariant: a
// connection is handed out only if it is open, has no request outstanding, holds no transaction and
// belongs to no session. No I/O and no clock; not thread-safe.
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
#include "warm_up/restart_detector.h"

namespace valvekeel::proxy {

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

/// Purpose of an outstanding request.
enum class RequestPurpose : std::uint8_t {
  kStatement,    // a caller's command
  kPreparation,  // sets the connection to the session's state
  kControl,      // a control request
  kCleanup,      // rolls back an abandoned transaction
};

/// Number of a control request.
using ControlNumber = std::uint64_t;

struct OutstandingRequest {
  RequestPurpose purpose = RequestPurpose::kStatement;
  common::Instant sent{0};
  ControlNumber control = 0;
  common::Position log_end;  // of the instance, as far as known when the request was sent
  std::optional<model::InstanceRequest> preparation;  // a copy of it, for that purpose
};

/// A connection to an instance. `values` and `prepared` say what the instance has confirmed.
struct Connection {
  /// Records the effect of a preparation that the instance has answered with success.
  void OnPrepared(const model::InstanceRequest& preparation);

  ConnectionNumber number = 0;
  std::string tenant;  // whose requests it carries; empty: of no tenant
  bool open = false;
  common::Instant created{0};
  common::Instant opened{0};  // time at which it opened
  common::Instant last_used{0};
  SessionValues values;
  std::map<model::PreparedStatement, std::string> prepared;  // their names on this connection
  std::optional<SessionNumber> session;                      // that uses it at present
  model::TransactionState state = model::TransactionState::kIdle;
  std::deque<OutstandingRequest> outstanding;
};

/// A control request that waits for a connection.
struct QueuedControlRequest {
  ControlNumber number = 0;
  model::ControlRequest request;
  common::Instant queued{0};
};

/// Assumed latency of an instance before its first answer.
inline constexpr double kInitialLatencyUs = 10'000;

/// Number of statements that may always be in flight.
inline constexpr double kMinInFlight = 1;

/// Rank of an operation among those that wait, set by its route.
struct Urgency {
  std::uint32_t priority = 0;          // 0 goes first
  common::Duration target_latency{0};  // within a priority, the shortest goes first
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

  /// @return a free connection of the tenant, preferably with these values in force, or nullptr.
  Connection* PickFree(const std::string& tenant, const SessionValues& values);
  /// @return a free connection of any tenant, for the proxy's own requests, or nullptr.
  Connection* PickAnyFree();
  /// @return the least recently used free connection of another tenant, or nullptr.
  Connection* PickFreeOfOtherTenant(const std::string& tenant);
  std::size_t OpeningCount() const;
  std::size_t BusyCount() const;  // connections with requests of sessions or control requests

  /// @return true if one more statement may be sent. The limit adapts to the instance's refusals. A
  /// congested instance gets one statement at a time, so that the queue builds up in the proxy,
  /// which orders it by urgency.
  bool HasCapacity() const {
    return static_cast<double>(BusyCount()) < (Congested() ? kMinInFlight : in_flight_limit_);
  }

  // Health.
  void OnContact(common::Instant now);
  void OnOpenFailed(common::Instant now, bool refused);
  void OnProbeFailed(common::Instant now);

  /// @return true if the instance answered, or accepted a connection, within this time.
  bool ContactedWithin(common::Duration age, common::Instant now) const {
    return now < last_contact_ + age;
  }

  /// @return true if a request has been unanswered for 250 ms, and nothing else was received from
  /// the instance meanwhile.
  bool IsUnresponsive(common::Instant now) const;

  /// @return true if the instance counts as unreachable: a connection was refused, or an attempt or
  /// a probe failed after 250 ms without contact.
  bool Unreachable() const { return unreachable_since_.has_value(); }
  std::optional<common::Instant> UnreachableSince() const { return unreachable_since_; }

  /// @return true if a connection was refused since the last contact: the instance has ended.
  bool HasRefused() const { return refused_; }

  bool MayOpen(common::Instant now) const { return now >= open_not_before_; }
  void DelayOpening(common::Instant until) { open_not_before_ = until; }

  // Load.
  void RecordLatency(common::Duration latency);
  void OnBusy(common::Instant now);
  double LatencyUs() const { return latency_us_; }
  /// @return true if the instance's answers take more than three times as long as usual.
  bool Congested() const;
  double InFlightLimit() const { return in_flight_limit_; }
  common::Instant AvoidUntil() const { return avoid_until_; }

  /// Records that an operation of this urgency has found no free slot for a while.
  void OnStarved(const Urgency& urgency, common::Instant now);
  /// @return true if this operation should leave the instance to operations of its priority with a
  /// clearly shorter target latency: one of them found no free slot in the last 100 ms, and the
  /// instance is congested.
  bool ReservedForMoreUrgent(const Urgency& urgency, common::Instant now) const;

  // Replication lag, estimated from reads. The age of a read's requirement is the time since the
  // position that it needs was current at the primary.
  /// Handles a read with a requirement of this age that the instance refused as lagging.
  /// @param bound_missed the instance did not even meet the read's staleness bound.
  void OnLaggingRead(common::Duration age, bool bound_missed, common::Instant now);
  /// Handles a read with a requirement of this age that the instance served.
  void OnFreshRead(common::Duration age, common::Instant now);
  /// @return true if the instance is expected to meet a requirement of this age.
  bool ExpectedFresh(common::Duration age, common::Instant now) const;

  common::Instant probe_sent_at{0};  // of the last health probe
  std::deque<QueuedControlRequest> control_queue;
  std::optional<common::Instant> unlisted_since;  // the store no longer lists its entry
  /// When the store may have acknowledged, at the earliest, that it drains or is gone. The daemon
  /// may learn of it late.
  std::optional<common::Instant> leaving_since;
  std::optional<common::Instant> draining_since;  // its entry announces that it will stop
  std::optional<model::InstanceStatus> status;    // last received
  common::Instant status_received_at{0};          // time at which `status` was received
  common::Position log_end;                       // highest position reported with an answer
  bool address_taken = false;                     // another instance answers at its address
  warm_up::restart_detector restart_detection;

 private:
  static bool IsFree(const Connection& connection);

  model::InstanceEntry entry_;
  std::map<ConnectionNumber, Connection> connections_;
  common::Instant last_contact_{0};
  std::optional<common::Instant> unreachable_since_;
  bool refused_ = false;
  common::Instant open_not_before_{0};
  double latency_us_ = kInitialLatencyUs;
  double baseline_latency_us_ = kInitialLatencyUs;
  double in_flight_limit_;
  common::Instant avoid_until_{0};  // after it refused a request as busy
  common::Duration busy_pause_{0};
  Urgency starved_urgency_;  // of the last operation without a free slot
  common::Instant starved_until_{0};
  common::Duration LagEstimate(common::Instant now) const;

  common::Duration refused_requirement_age_{0};  // highest age of recently refused requirements
  common::Instant requirement_refused_at_{0};    // time of that refusal
  common::Instant lagging_until_{0};             // pause after a missed staleness bound
  common::Duration lagging_pause_{0};
};

}  // namespace valvekeel::proxy
