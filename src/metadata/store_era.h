// The era of the metadata store's history, as far as it is known.
//
// Owns: the newest era heard of, and when. Invariant: it never falls. Pure. Thread: its host's.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace valvekeel::metadata {

/// After the store returned from an older copy: time for operators and instances to write again
/// what they had written (the platform names two seconds), and a part for the way.
inline constexpr common::Duration kRewriteGracePeriod{2'500'000};

class StoreEra {
 public:
  /// @return true if the era is later than the newest known one.
  bool RecordEra(std::uint64_t era, common::Instant now) {
    if (era <= newest_) {
      return false;
    }
    const bool restored = newest_ != 0;
    newest_ = era;
    restore_count_ += restored ? 1 : 0;
    settled_from_ = now + kRewriteGracePeriod;
    complete_from_ = restored ? settled_from_ : complete_from_;
    return true;
  }

  /// @return 0 if the store tells none.
  std::uint64_t Newest() const { return newest_; }

  /// @return how often the store has returned in this life of the daemon.
  std::uint64_t RestoreCount() const { return restore_count_; }

  /// @return true if what a read that was sent at the instant did not show is not there, either:
  /// before, it may just not have been written again.
  bool IsComplete(common::Instant asked) const { return asked >= complete_from_; }

  /// @return the instant as of which a read that was sent at the given one shows all that operators
  /// had written. A daemon that has just started can't know whether the store has just returned.
  common::Instant CompleteAsOf(common::Instant asked) const {
    return asked < settled_from_ ? asked - kRewriteGracePeriod : asked;
  }

 private:
  std::uint64_t newest_ = 0;
  std::uint64_t restore_count_ = 0;
  common::Instant complete_from_{0};
  common::Instant settled_from_{0};
};

}  // namespace valvekeel::metadata
