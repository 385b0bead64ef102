// Simulated callers: sessions that read, write and run transactions, and try again as they may.
//
// Owns: the sessions. Invariant: a caller has one command outstanding at most; an operation is
// tried again with a new id, and only after a promise or if nothing that commits was sent. Thread:
// one.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "proxysim/cluster.h"
#include "proxysim/load_balancer.h"

namespace valvekeel::proxysim {

/// What happened to operations that began in one second.
struct SecondSummary {
  std::size_t begun = 0;
  std::size_t succeeded = 0;
};

class Callers {
 public:
  /// @param sessions number of callers at once.
  Callers(Cluster& cluster, std::size_t sessions);

  /// Lets the callers begin no further operations from this time on.
  void StopAt(common::Instant time) { stop_at_ = time; }

  const std::vector<SecondSummary>& Seconds() const { return seconds_; }

  /// @return the longest time in which no write of the service succeeded, within a span.
  common::Duration LongestWriteGap(const std::string& service, common::Instant from,
                                   common::Instant to) const;

 private:
  struct Caller;

  /// @return one of the keys in force; empty where keys are not used.
  std::string ChooseKey();
  /// @return the daemon for a new connection.
  DaemonHost& ChooseDaemon();
  void Connect(const std::shared_ptr<Caller>& caller);
  void ScheduleOperation(const std::shared_ptr<Caller>& caller);
  void BeginOperation(const std::shared_ptr<Caller>& caller);
  void BeginAttempt(const std::shared_ptr<Caller>& caller);
  void SendNext(const std::shared_ptr<Caller>& caller);
  void OnAnswer(const std::shared_ptr<Caller>& caller, const model::Reply& reply);
  void OnClosed(const std::shared_ptr<Caller>& caller);
  void OnFailure(const std::shared_ptr<Caller>& caller, bool promised);
  void OnSuccess(const std::shared_ptr<Caller>& caller, const model::Reply& reply);
  SecondSummary& SummaryAt(common::Instant at);

  Cluster& cluster_;
  std::unique_ptr<LoadBalancer> balancer_;  // null: callers know at once who is ready
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<SecondSummary> seconds_;
  std::map<std::string, std::vector<common::Instant>> writes_;  // successes by service
  common::Instant stop_at_ = common::Instant::max();
  std::uint64_t next_session_ = 1;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace valvekeel::proxysim
