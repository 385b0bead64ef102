/**
 * @file Counts the requests that this daemon sent to one instance within a sliding window.
 *
 * Owns: the times and numbers of the requests sent. Invariant: after a call of add, none is older
 * than SEND_WINDOW. No I/O and no clock; not thread-safe.
 */
#pragma once

#include <cstddef>
#include <deque>

#include "common/time.h"

namespace valvekeel::warm_up {

/**
 * Length of the window. The rate limit applies to any second, by the times at which requests are
 * sent and by the times at which they arrive. The additional 0.2 s is for a statement that follows
 * its preparation: both are counted when the preparation is sent, but the statement is sent one
 * round trip later.
 */
inline constexpr common::Duration SEND_WINDOW{1'200'000};

/** The requests that were sent to one instance within SEND_WINDOW. */
class send_window {
 public:
  /** Records requests that are sent now. */
  void add(std::size_t requests, common::Instant now);

  /** @return the number of requests sent within the window that ends now. */
  std::size_t count(common::Instant now) const;

  /**
   * @param limit     number of requests that may be sent within a window
   * @param requests  number of requests to be sent together
   * @return the earliest time at which they may be sent; now if there is capacity. A window without
   *     requests has capacity for any number.
   */
  common::Instant earliest_send_time(std::size_t limit, std::size_t requests,
                                     common::Instant now) const;

 private:
  struct send_record {
    common::Instant at{0};
    std::size_t requests = 0;
  };

  std::deque<send_record> sent;
};

}  // namespace valvekeel::warm_up
