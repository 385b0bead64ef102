// Limits retries to a fraction of the requests, so that a failure is not multiplied.
//
// Owns: one group's tokens. Invariant: retries never exceed the fraction of requests plus the
// reserve. Pure. Thread: its host's.
#pragma once

#include <algorithm>

namespace valvekeel::routing {

class RetryBudget {
 public:
  /// @param fraction retries allowed per request. @param reserve retries that may be saved up.
  RetryBudget(double fraction, double reserve)
      : fraction_(fraction), reserve_(reserve), tokens_(reserve) {}

  /// Notes a first attempt.
  void OnRequest() { tokens_ = std::min(reserve_, tokens_ + fraction_); }

  /// @return true if one more retry may be made; it is then counted.
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
