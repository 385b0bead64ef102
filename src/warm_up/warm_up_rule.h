/**
 * @file Limits the requests to instances that have just started.
 *
 * While an instance is cold, only one daemon (sender_role.h) sends it callers' requests, up to a
 * rate, and only those for which the warm instances have no capacity. A cold primary is replaced if
 * a warm replica is available. See docs/design/warm-up.md.
 *
 * Owns: the state of cold instances, and the numbers of requests that this daemon sent recently.
 * Invariant: this daemon sends at most sending_limit requests to a cold instance in a SEND_WINDOW.
 * No I/O and no clock; not thread-safe.
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

/** The reason in logs and errors for which an instance gets no requests or should not lead. */
inline constexpr const char* COLD_REASON = "cold";

/**
 * Retry-after of a request that this daemon may not send to a cold instance. By then the caller may
 * reach the daemon that may send it, or a warm instance may lead.
 */
inline constexpr common::Duration COLD_RETRY_AFTER{300'000};

/** The same while the entries are being refreshed, which takes one call to the store. */
inline constexpr common::Duration REFRESH_RETRY_AFTER{20'000};

/**
 * A cold primary that becomes warm within this time is not replaced: the replacement takes about as
 * long (fences 0.3 s, promotion 0.6 s, notification of the daemons 0.4 s), and the primary serves
 * requests up to the rate meanwhile.
 */
inline constexpr common::Duration PROMOTION_TIME{1'500'000};

/** Requests in any second that a deployment tolerates beyond the rate. */
struct tolerance {
  double overage = 1;  // factor of the rate
  double slack = 0;    // requests in addition
};

/**
 * @return the number of requests that one daemon may send in a second: at most half of what is
 *     tolerated, because two daemons may send during a handover of the role, and at most the rate
 */
std::size_t sending_limit(const model::WarmUp& warm_up, const tolerance& allowed);

/** The access rule for instances that are warming up. */
class warm_up_rule : public access::rule, public warm_up_observer {
 public:
  warm_up_rule(std::string self, tolerance allowed, bool enforces_limit = true);

  access::decision evaluate(const model::InstanceEntry& instance, const access::work& asked,
                            common::Instant now) const override;
  access::leader_evaluation evaluate_leader(const model::InstanceEntry& instance,
                                            common::Instant now) const override;
  void on_sent(const model::InstanceEntry& instance, std::size_t requests,
               common::Instant now) override;

  void on_possible_restart(const model::InstanceEntry& instance, common::Instant now) override;
  void on_restart_ruled_out(const model::InstanceEntry& instance) override;
  void on_first_contact(const model::InstanceEntry& instance, common::Instant now) override;

  /** Removes expired state. To be called periodically. */
  void advance(common::Instant now);

  /** The evacuation of a zone has ended: its instances may have restarted during it. */
  void on_evacuation_ended(const std::string& zone, common::Instant now);

  /** @return true if some service has a warm-up; otherwise the rule allows all requests. */
  bool enabled() const { return this->cold.enabled(); }

  cold_instances& instances() { return this->cold; }
  const cold_instances& instances() const { return this->cold; }
  sender_role& role() { return this->sender; }
  /** @return the number of requests that this daemon sent to cold instances. */
  std::uint64_t cold_requests() const { return this->cold_request_count; }

 private:
  tolerance allowed;
  bool enforces_limit;  // false only in tests of the simulator's checker
  cold_instances cold;
  sender_role sender;
  std::map<std::string, send_window> windows;  // by instance
  std::uint64_t cold_request_count = 0;
};

}  // namespace valvekeel::warm_up
