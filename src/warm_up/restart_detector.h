/**
 * @file Whether an instance may have started again, as its connections show.
 *
 * An instance that starts again breaks its connections; so does a reset on the way. A connection
 * that was there before the break and answers what was sent after it shows that the instance has
 * lived on.
 *
 * Owns: when connections broke last. Invariant: told at most once of each break. Pure. Thread: its
 * host's.
 */
#pragma once

#include <optional>

#include "common/time.h"
#include "model/catalog.h"

namespace valvekeel::warm_up {

/**
 * A connection that was opened this shortly before a break may have been opened after the start
 * that another connection learns of by the break: an idle one notices when it is used, at the
 * latest by a status request, which a silent instance gets after half a second.
 */
inline constexpr common::Duration MAX_BREAK_DETECTION_DELAY{2'000'000};

/** Told of what the connections to instances show. */
class warm_up_observer {
 public:
  warm_up_observer() = default;
  warm_up_observer(const warm_up_observer&) = delete;
  warm_up_observer& operator=(const warm_up_observer&) = delete;
  virtual ~warm_up_observer() = default;

  /** The instance is reached again after a break: it may have started in between. */
  virtual void on_possible_restart(const model::InstanceEntry& instance, common::Instant now) = 0;

  /** That turned out to be wrong. */
  virtual void on_restart_ruled_out(const model::InstanceEntry& instance) = 0;

  /** The instance is reached, and was not watched by a connection until now. */
  virtual void on_first_contact(const model::InstanceEntry& instance, common::Instant now) = 0;
};

class restart_detector {
 public:
  /** A connection broke, or the instance is not reached. */
  void on_connection_lost(common::Instant now);

  /** A connection was opened. @return true if the instance may have started since it was seen. */
  bool on_connection_opened();

  /**
   * A request was answered.
   *
   * @param opened  when its connection was opened
   * @param sent    when the request was sent
   * @return true if the instance was doubted, and lives on
   */
  bool on_answer(common::Instant opened, common::Instant sent);

 private:
  std::optional<common::Instant> lost_at;
  bool restart_suspected = false;
};

}  // namespace valvekeel::warm_up
