/**
 * @file What this daemon sent to one instance in the last second.
 *
 * Owns: the instants of what was sent. Invariant: none is older than SEND_WINDOW after a call of
 * add. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <deque>

#include "common/time.h"

namespace valvekeel::warm_up {

/**
 * The rate holds for any second in which requests were sent and arrived. The fifth more is for a
 * statement that follows its preparation, with which it was counted: it goes out a round trip
 * later.
 */
inline constexpr common::Duration SEND_WINDOW{1'200'000};

class send_window {
 public:
  /** Notes requests that are sent now. */
  void add(std::size_t requests, common::Instant now);

  /** @return how many were sent within the window that ends now. */
  std::size_t count(common::Instant now) const;

  /**
   * @param most      that may be sent within a window
   * @param requests  that ask for room
   * @return when there is room; now if there is. A window without requests has room for any number.
   */
  common::Instant earliest_send_time(std::size_t most, std::size_t requests,
                                     common::Instant now) const;

 private:
  struct send_record {
    common::Instant at{0};
    std::size_t requests = 0;
  };

  std::deque<send_record> sent;
};

}  // namespace valvekeel::warm_up
