/**
 * @file Instances that have just started get few requests.
 *
 * While an instance is cold, one daemon alone (sender_role.h) sends it callers' requests, up to a
 * rate, and only what the warm instances have no room for. A cold primary is replaced if a warm
 * replica can take its place. See docs/design/warm-up.md.
 *
 * Owns: what is known of cold instances, and what this daemon sent lately. Invariant: to a cold
 * instance this daemon sends at most sending_limit requests in a SEND_WINDOW. Pure. Thread: its
 * host's.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "access/rule.h"
#include "warm_up/cold_instances.h"
#include "warm_up/restart_detector.h"
#include "warm_up/send_window.h"
#include "warm_up/sender_role.h"

namespace valvekeel::warm_up {

/** Why an instance gets nothing, or should not lead. */
inline constexpr const char* COLD_REASON = "cold";

/**
 * After it a request that this daemon may not send is worth another try: the caller's next daemon
 * may be the one that may, or a warm instance may lead by then.
 */
inline constexpr common::Duration COLD_RETRY_AFTER{300'000};

/** The same while fresh entries are on their way, which takes a call to the store. */
inline constexpr common::Duration REFRESH_RETRY_AFTER{20'000};

/**
 * A primary that turns warm sooner than this stays: its replacement takes about as long (fences
 * 0.3 s, promotion 0.6 s, word of it 0.4 s), and it serves up to the rate meanwhile.
 */
inline constexpr common::Duration PROMOTION_TIME{1'500'000};

/** What a deployment tolerates beyond the rate, in any second. */
struct tolerance {
  double overage = 1;  // times the rate
  double slack = 0;    // requests besides
};

/**
 * @return how many requests one daemon may send in a second: no more than half of what is
 * tolerated, since two send while the role passes on, and no more than the rate
 */
std::size_t sending_limit(const model::WarmUp& warm_up, const tolerance& allowed);

class warm_up_rule : public access::rule, public warm_up_observer {
 public:
  warm_up_rule(std::string self, tolerance allowed, bool limited = true);

  access::answer judge(const model::InstanceEntry& instance, const access::work& asked,
                       common::Instant now) const override;
  access::leader_answer judge_leader(const model::InstanceEntry& instance,
                                     common::Instant now) const override;
  void note_sent(const model::InstanceEntry& instance, std::size_t requests,
                 common::Instant now) override;

  void on_possible_restart(const model::InstanceEntry& instance, common::Instant now) override;
  void on_restart_ruled_out(const model::InstanceEntry& instance) override;
  void on_first_contact(const model::InstanceEntry& instance, common::Instant now) override;

  /** Drops what is over. To be called now and then. */
  void advance(common::Instant now);

  /** The evacuation of a zone has ended: its instances may have started meanwhile. */
  void on_evacuation_ended(const std::string& zone, common::Instant now);

  /** @return true if some service has a warm-up; else the rule lets everything through. */
  bool enabled() const { return this->cold.enabled(); }

  cold_instances& instances() { return this->cold; }
  const cold_instances& instances() const { return this->cold; }
  sender_role& role() { return this->sender; }
  /** @return how many requests went to cold instances. */
  std::uint64_t cold_requests() const { return this->cold_request_count; }

 private:
  tolerance allowed;
  bool enforces_limit;  // off only in tests of the simulator's checker
  cold_instances cold;
  sender_role sender;
  std::map<std::string, send_window> windows;  // by instance
  std::uint64_t cold_request_count = 0;
};

}  // namespace valvekeel::warm_up
