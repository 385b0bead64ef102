/**
 * @file Tracks which zones are evacuated, and when each was last known to be in use.
 *
 * Views come from this daemon's own reads and from other daemons, in any order. A view of a higher
 * revision replaces the newest one. One of the same revision can only show that the view was still
 * valid at a later time. One of a lower revision only changes the times at which zones were known
 * to be in use.
 *
 * Owns: the newest view. Invariants: its revision never decreases; the time at which a zone was
 * known to be in use is never later than the read that shows it. No I/O and no clock; not
 * thread-safe.
 */
#pragma once

#include <map>
#include <optional>
#include <string>

#include "evacuation/zone_view.h"

namespace valvekeel::evacuation {

/**
 * Longest time for which the first work of a daemon waits for its first view: a hundred response
 * times of a healthy store. A store that does not answer prevents no daemon from serving for
 * longer.
 */
inline constexpr common::Duration FIRST_VIEW_TIMEOUT{1'000'000};

/** The newest view, and when the zones that it names were last known to be in use. */
class view_tracker {
 public:
  /** Applies a view. @return the evacuations that it begins and ends. */
  view_change apply(const zone_view& view);

  /** This daemon is about to send work; the first call starts FIRST_VIEW_TIMEOUT. */
  void on_work(common::Instant now);

  /** @return true if work must wait for the first view. */
  bool awaits_first_view(common::Instant now) const;

  bool has_view() const { return this->view.has_value(); }

  /** @return the newest view; nothing before the first. */
  const std::optional<zone_view>& newest() const { return this->view; }

  bool is_evacuated(const std::string& zone) const;

  /** @return the latest time at which an evacuated zone was known to be in use, if any. */
  std::optional<common::Instant> in_use_at(const std::string& zone) const;

  /** @return time since the view was last known to be valid; nothing before the first view. */
  std::optional<common::Duration> age(common::Instant now) const;

  /** @return the view for other daemons. */
  view_message message(common::Instant now) const;

 private:
  view_change replace(const zone_view& newer);
  void record_in_use(const zone_view& older);

  std::optional<zone_view> view;
  std::map<std::string, common::Instant> last_in_use;  // by evacuated zone, if known
  std::optional<common::Instant> first_work_at;
};

}  // namespace valvekeel::evacuation
