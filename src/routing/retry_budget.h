// Limits retries to a fraction of the requests, so that a failure does not multiply the load.
//
// Owns: one group's tokens. Invariant: retries never exceed the fraction of requests plus the
// reserve. No I/O and no clock; not thread-safe.
#pragma once

#include <algorithm>

namespace valvekeel::routing {

/// Token bucket for the retries of one group.
class RetryBudget {
 public:
  /// @param fraction retries allowed per request. @param reserve largest number of unused retries
  /// kept.
  RetryBudget(double fraction, double reserve)
      : fraction_(fraction), reserve_(reserve), tokens_(reserve) {}

  /// Counts the first attempt of a request, which earns a fraction of a retry.
  void OnRequest() { tokens_ = std::min(reserve_, tokens_ + fraction_); }

  /// Consumes one retry. @return false if none is left.
  bool ConsumeRetry() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double fraction_;
  double reserve_;
  double tokens_;
};

}  // namespace valvekeel::routing
