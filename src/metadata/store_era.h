// Tracks the era of the metadata store's history.
//
// Owns: the newest known era and when this daemon learned of it. Invariant: the era never falls. No
// I/O and no clock; not thread-safe.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace valvekeel::metadata {

/// How long after the store was restored from an older copy its objects may be incomplete: the
/// platform gives operators and instances 2 s to write their objects again; the rest is for the
/// delay on the way.
inline constexpr common::Duration kRewriteGracePeriod{2'500'000};

/// The newest known era, and from when on reads in it are complete.
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

  /// @return the newest known era, 0 if the store reports none.
  std::uint64_t Newest() const { return newest_; }

  /// @return how often the store was restored during this incarnation of the daemon.
  std::uint64_t RestoreCount() const { return restore_count_; }

  /// @return true if a read that was sent at this time shows all objects. Before, a missing object
  /// may just not have been written again.
  bool IsComplete(common::Instant asked) const { return asked >= complete_from_; }

  /// @return the time as of which a read that was sent at `asked` shows every object of the
  /// operators. A daemon that has just started can't know whether the store has just been restored.
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
