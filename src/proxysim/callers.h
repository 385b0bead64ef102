// Simulated callers: sessions that read, write, run transactions, and retry where that is safe.
//
// Owns: the sessions. Invariant: a caller has at most one command outstanding; a retry has a new
// request id, and happens only if the error guarantees that the attempt has no effect or if nothing
// that commits was sent. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "proxysim/cluster.h"
#include "proxysim/load_balancer.h"

namespace valvekeel::proxysim {

/// Counts of the operations that began in one second.
struct SecondSummary {
  std::size_t begun = 0;
  std::size_t succeeded = 0;
};

class Callers {
 public:
  /// @param sessions number of concurrent callers.
  Callers(Cluster& cluster, std::size_t sessions);

  /// From this time on callers begin no further operations.
  void StopAt(common::Instant time) { stop_at_ = time; }

  const std::vector<SecondSummary>& Seconds() const { return seconds_; }

  /// @return the longest time without a successful write of the service between the two times.
  common::Duration LongestWriteGap(const std::string& service, common::Instant from,
                                   common::Instant to) const;

 private:
  struct Caller;

  /// @return a random key that is in force; empty if keys are not used.
  std::string ChooseKey();
  /// @return the daemon for a new connection.
  DaemonHost& ChooseDaemon();
  void Connect(const std::shared_ptr<Caller>& caller);
  void ScheduleOperation(const std::shared_ptr<Caller>& caller);
  void BeginOperation(const std::shared_ptr<Caller>& caller);
  /// Adds commands that change the session's values and prepared statements.
  void AddStateChanges(Caller& caller);
  void BeginAttempt(const std::shared_ptr<Caller>& caller);
  void SendNext(const std::shared_ptr<Caller>& caller);
  void OnAnswer(const std::shared_ptr<Caller>& caller, const model::Reply& reply);
  void OnClosed(const std::shared_ptr<Caller>& caller);
  void OnFailure(const std::shared_ptr<Caller>& caller, bool promised);
  void OnSuccess(const std::shared_ptr<Caller>& caller, const model::Reply& reply);
  SecondSummary& SummaryAt(common::Instant at);

  Cluster& cluster_;
  std::unique_ptr<LoadBalancer> balancer_;  // null: callers see at once which daemons are ready
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<SecondSummary> seconds_;
  std::map<std::string, std::vector<common::Instant>> writes_;  // successes by service
  common::Instant stop_at_ = common::Instant::max();
  std::uint64_t next_session_ = 1;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace valvekeel::proxysim
