/**
 * @file Detects from the connections to an instance whether it may have restarted.
 *
 * A restart of an instance breaks its connections; so does a reset by the network. If a connection
 * that was opened before the break answers a request that was sent after it, the instance has not
 * restarted.
 *
 * Owns: the time of the last break. Invariant: a possible restart is reported at most once for each
 * break. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <optional>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::warm_up {

/**
 * Longest time from a restart until its break of a connection is detected. A connection that was
 * opened within this time before the break was detected may belong to the new incarnation: an idle
 * connection detects the break only when it is used, at the latest by a status request, which an
 * unresponsive instance gets after 0.5 s.
 */
inline constexpr common::Duration MAX_BREAK_DETECTION_DELAY{2'000'000};

/** Is notified of restarts that the connections to instances suggest or rule out. */
class warm_up_observer {
 public:
  warm_up_observer() = default;
  warm_up_observer(const warm_up_observer&) = delete;
  warm_up_observer& operator=(const warm_up_observer&) = delete;
  virtual ~warm_up_observer() = default;

  /** The instance is reachable again after a break: it may have restarted in between. */
  virtual void on_possible_restart(const model::InstanceEntry& instance, common::Instant now) = 0;

  /** The possible restart that was reported last did not happen. */
  virtual void on_restart_ruled_out(const model::InstanceEntry& instance) = 0;

  /** The instance is reachable, and no connection to it existed before. */
  virtual void on_first_contact(const model::InstanceEntry& instance, common::Instant now) = 0;
};

/** Detects possible restarts of one instance. */
class restart_detector {
 public:
  /** A connection broke, or the instance is unreachable. */
  void on_connection_lost(common::Instant now);

  /** A connection was opened. @return true if the instance may have restarted since the break. */
  bool on_connection_opened();

  /**
   * A request was answered.
   *
   * @param opened  when the connection of the request was opened
   * @param sent    when the request was sent
   * @return true if a restart was suspected and is now ruled out
   */
  bool on_answer(common::Instant opened, common::Instant sent);

 private:
  std::optional<common::Instant> lost_at;
  bool restart_suspected = false;
};

}  // namespace valvekeel::warm_up
