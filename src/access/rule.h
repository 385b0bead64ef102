/**
 * @file What a rule says of sending work to an instance.
 *
 * A deployment may keep work away from an instance for reasons that lie outside the instance
 * itself: its zone is evacuated, it has just started, it stands in a region where the work may not
 * run. Each reason is a rule with a module of its own; rule_set (rule_set.h) asks all of them.
 *
 * Owns: the typed values and the interface. Invariant: a rule decides from what it was told and the
 * time alone. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/time.h"
#include "model/catalog.h"
#include "model/leader_fitness.h"

namespace valvekeel::access {

/** Whether an instance may get work. Ordered: the stricter is greater. */
enum class access_level : std::uint8_t {
  open,
  overflow,     // what the open instances have no room for
  last_resort,  // only if no other instance of the service may be used
  deferred,     // nothing at this moment; the rule will let some through again soon
  closed,       // nothing while the rule's reason lasts
};

/** A rule's word on one instance. */
struct decision {
  access_level level = access_level::open;
  const char* reason = "";          // of any outcome but open, for logs and refusals
  common::Duration retry_after{0};  // after which another try is worth it; of later and closed
};

/** The work that asks for an instance. */
struct work {
  const model::Route& route;
  std::string_view tenant;             // for whom it runs; empty: for no tenant
  bool continues_transaction = false;  // a transaction is open at the instance
};

/** A rule's word on an instance as the leader of its group. */
struct leader_evaluation {
  model::LeaderFitness fitness = model::LeaderFitness::kFit;
  const char* reason = "";  // of any fitness but the best, for logs
};

class rule {
 public:
  rule() = default;
  rule(const rule&) = delete;
  rule& operator=(const rule&) = delete;
  virtual ~rule() = default;

  /** @return whether the instance may get this work now. */
  virtual decision evaluate(const model::InstanceEntry& instance, const work& requested,
                            common::Instant now) const = 0;

  /** @return whether the instance should lead its group. */
  virtual leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const = 0;

  /**
   * Callers' work goes to the instance.
   *
   * @param requests  number of messages, each of which the instance answers
   */
  virtual void on_sent(const model::InstanceEntry& instance, std::size_t requests,
                       common::Instant now) = 0;
};

}  // namespace valvekeel::access
