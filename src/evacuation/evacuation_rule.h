/**
 * @file Keeps work away from the instances of evacuated zones; see docs/design/evacuation.md.
 *
 * Owns: nothing; it reads the tracker. Invariant: an instance of an evacuated zone is closed at the
 * latest after the limit less the margin, counted from the latest time at which the zone was known
 * to be in use. No I/O and no clock; not thread-safe.
 */
#pragma once

#include "access/rule.h"
#include "evacuation/view_tracker.h"

namespace valvekeel::evacuation {

/**
 * The margin is the limit (typically 5 s) divided by this. It is the time left for requests that
 * are in flight when an instance is closed: a tick of the daemon (10 ms), the delay of a statement
 * on its way to an instance on a loaded machine, the statement that a transaction may be running,
 * the delay of its ROLLBACK, and clock drift.
 */
inline constexpr int MARGIN_DIVISOR = 8;

/** The reasons in logs and errors. */
inline constexpr const char* EVACUATED = "evacuated";
inline constexpr const char* VIEW_UNKNOWN = "evacuations unknown";

/** How evacuations are enforced. */
struct evacuation_policy {
  /** Time after an evacuation's acknowledgement at which no work may reach the zone; not 0. */
  common::Duration limit{0};
  bool enforces_limit =
      true;  // false: instances are avoided, not closed; for tests of a violated limit
};

/** The access rule for instances of evacuated zones. */
class evacuation_rule : public access::rule {
 public:
  /** @param tracker  outlives the rule */
  evacuation_rule(const view_tracker& tracker, const evacuation_policy& policy)
      : tracker(tracker), policy(policy) {}

  access::decision evaluate(const model::InstanceEntry& instance, const access::work& asked,
                            common::Instant now) const override;

  access::leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const override;

  void on_sent(const model::InstanceEntry& instance, std::size_t requests,
               common::Instant now) override;

 private:
  bool is_closed(const std::string& zone, common::Instant now) const;

  const view_tracker& tracker;
  evacuation_policy policy;
};

}  // namespace valvekeel::evacuation
