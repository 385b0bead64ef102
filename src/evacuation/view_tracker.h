/**
 * @file Which zones are evacuated, by the newest view, and when each was last known not to be.
 *
 * Views come from this daemon's own reads and from other daemons, in any order. A higher revision
 * replaces the view; an equal one may only show that it still held later; a lower one changes
 * nothing but the instants at which zones were known to be in use.
 *
 * Owns: the newest view. Invariants: its revision never falls; an instant at which a zone was in
 * use is never later than the read that shows it. Pure. Thread: its host's.
 */
#pragma once

#include <map>
#include <optional>
#include <string>

#include "evacuation/zone_view.h"

namespace valvekeel::evacuation {

/**
 * Longest time for which the first work of a daemon waits for its first view: a hundred answers of
 * a store in order. A store that does not answer keeps no daemon from serving for longer.
 */
inline constexpr common::Duration FIRST_VIEW_TIMEOUT{1'000'000};

class view_tracker {
 public:
  /** Takes a view. @return what it changed. */
  view_change apply(const zone_view& view);

  /** This daemon is to send work: from now on the first view is waited for. */
  void on_work(common::Instant now);

  /** @return true if work must wait for the first view. */
  bool awaits_first_view(common::Instant now) const;

  bool has_view() const { return this->view.has_value(); }

  /** @return the newest view; nothing before the first. */
  const std::optional<zone_view>& newest() const { return this->view; }

  bool is_evacuated(const std::string& zone) const;

  /** @return the newest instant at which an evacuated zone was known to be in use, if any. */
  std::optional<common::Instant> in_use_at(const std::string& zone) const;

  /** @return time since the view is known to have held; nothing before the first. */
  std::optional<common::Duration> age(common::Instant now) const;

  /** @return the view for other daemons. */
  view_message message(common::Instant now) const;

 private:
  view_change replace(const zone_view& newer);
  void record_in_use(const zone_view& older);

  std::optional<zone_view> view;
  std::map<std::string, common::Instant> last_in_use;  // of evacuated zones that were seen in use
  std::optional<common::Instant> first_work_at;
};

}  // namespace valvekeel::evacuation
