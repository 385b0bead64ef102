// Compares the answers that callers received with the commits that the instances made.
//
// Owns: the attempts of all callers and the acknowledged commits. Invariant: an attempt is answered
// once. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "model/catalog.h"
#include "model/reply.h"
#include "proxysim/world.h"

namespace valvekeel::proxysim {

/// One attempt of a caller's operation, identified by its request id.
struct CallerAttempt {
  std::string id;
  std::uint64_t session = 0;
  std::string service;
  std::string database;
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration max_staleness{0};
  common::Instant began{0};
  common::Instant sent{0};  // time of the last statement
  std::string key;          // of the caller, empty if keys are not used
  bool in_transaction = false;
  std::map<std::string, std::string> values;  // session values that were acknowledged
  std::string prepared;                       // text of the statement that it executes by name
  bool committed = false;                     // an instance committed it
  bool refused = false;  // the error guaranteed the caller that it has no effect
  bool acknowledged = false;
};

/// A commit that was acknowledged to its caller.
struct AcknowledgedCommit {
  common::Instant at{0};
  common::Position position;
  std::string id;
  std::uint64_t session = 0;
};

class History {
 public:
  explicit History(World& world) : world_(world) {}

  CallerAttempt& Begin(CallerAttempt attempt);
  CallerAttempt* Find(const std::string& id);

  /// An instance has committed the attempt. @return false if it was committed before (TWICE).
  bool OnCommitted(const std::string& id);

  /// A commit was rolled back after a promotion.
  void OnRolledBack(const std::string& id);

  void OnAcknowledged(const std::string& id, const common::Position& position);
  /// A promotion has lost an acknowledged commit: reads no longer need to see it.
  void RemoveAcknowledged(const std::string& service, const std::string& id);
  void OnRefused(const std::string& id);

  /// @return the acknowledged commits that a read must see, in order of time.
  std::vector<AcknowledgedCommit> RequiredCommits(const CallerAttempt& reader) const;

  const std::vector<AcknowledgedCommit>& AcknowledgedOf(const std::string& service) const;
  std::size_t Attempts() const { return attempts_.size(); }
  std::size_t Succeeded() const { return succeeded_; }
  void OnSuccess() { ++succeeded_; }

 private:
  World& world_;
  std::map<std::string, CallerAttempt> attempts_;
  std::map<std::string, std::vector<AcknowledgedCommit>>
      acknowledged_;  // by service, in order of time
  std::size_t succeeded_ = 0;
};

}  // namespace valvekeel::proxysim
