/**
 * @file Keeps work off the instances of evacuated zones; see docs/design/evacuation.md.
 *
 * Owns: nothing; it asks the tracker. Invariant: an instance of an evacuated zone is closed at the
 * latest when the limit less the margin is over, counted from the newest instant at which the zone
 * was known to be in use. Pure. Thread: its host's.
 */
#pragma once

#include "access/rule.h"
#include "evacuation/view_tracker.h"

namespace valvekeel::evacuation {

/**
 * Part of the limit (5 s on the users' sites) left for what was sent when an instance closes: an
 * eighth. It holds a tick of the daemon (10 ms), the way of a statement to the instance of a loaded
 * machine, the statement that a transaction may be running, the way of its ROLLBACK, and clocks
 * that do not run alike.
 */
inline constexpr int MARGIN_DIVISOR = 8;

/** The reason in logs and refusals. */
inline constexpr const char* EVACUATED = "evacuated";
inline constexpr const char* VIEW_UNKNOWN = "evacuations unknown";

struct evacuation_policy {
  /** From an evacuation's acknowledgement until nothing may reach the zone; not 0. */
  common::Duration limit{0};
  bool enforces_limit =
      true;  // off: instances are only avoided; for tests that need the bound broken
};

class evacuation_rule : public access::rule {
 public:
  /** @param tracker  outlives the rule */
  evacuation_rule(const view_tracker& tracker, const evacuation_policy& policy)
      : tracker(tracker), policy(policy) {}

  access::answer judge(const model::InstanceEntry& instance, const access::work& asked,
                       common::Instant now) const override;

  access::leader_answer judge_leader(const model::InstanceEntry& instance,
                                     common::Instant now) const override;

  void note_sent(const model::InstanceEntry& instance, std::size_t requests,
                 common::Instant now) override;

 private:
  bool is_closed(const std::string& zone, common::Instant now) const;

  const view_tracker& tracker;
  evacuation_policy policy;
};

}  // namespace valvekeel::evacuation
