/**
 * @file Defines the interface of rules that decide whether work may be sent to an instance.
 *
 * Work may have to stay away from an instance for reasons that lie outside the instance itself: its
 * zone is being evacuated, it has just started, or its region is not allowed for the work. Each
 * reason is a rule in a module of its own; rule_set (rule_set.h) evaluates all of them.
 *
 * Invariant: a rule decides only from its own state, its arguments and the given time. No I/O and
 * no clock; not thread-safe.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/time.h"
#include "model/catalog.h"
#include "model/leader_fitness.h"

namespace valvekeel::access {

/** Whether an instance may get work. Ordered: the stricter level is greater. */
enum class access_level : std::uint8_t {
  open,
  overflow,     // only work for which the open instances lack capacity
  last_resort,  // only if no other instance of the service may get it
  deferred,     // none now; the rule is expected to allow some again soon
  closed,       // none while the rule's reason lasts
};

/** A rule's decision about work for one instance. */
struct decision {
  access_level level = access_level::open;
  const char* reason = "";          // of every level but open; for logs and refusals
  common::Duration retry_after{0};  // until a retry may succeed; of deferred and closed
};

/** The work that is to be sent to an instance. */
struct work {
  const model::Route& route;
  std::string_view tenant;             // that it runs for; empty: none
  bool continues_transaction = false;  // its transaction is open at the instance
};

/** A rule's rating of an instance as the leader of its group. */
struct leader_evaluation {
  model::LeaderFitness fitness = model::LeaderFitness::kFit;
  const char* reason = "";  // of any fitness but the best, for logs
};

/** One reason to keep work away from instances. */
class rule {
 public:
  rule() = default;
  rule(const rule&) = delete;
  rule& operator=(const rule&) = delete;
  virtual ~rule() = default;

  /** @return whether the instance may get this work now. */
  virtual decision evaluate(const model::InstanceEntry& instance, const work& requested,
                            common::Instant now) const = 0;

  /** @return how fit the instance is to lead its group. */
  virtual leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const = 0;

  /**
   * Called when callers' work is sent to the instance.
   *
   * @param requests  number of messages sent, each of which the instance answers
   */
  virtual void on_sent(const model::InstanceEntry& instance, std::size_t requests,
                       common::Instant now) = 0;
};

}  // namespace valvekeel::access
