/**
 * @file Values for the zones that operators have evacuated, as shown by one read of the store.
 *
 * Invariant: `read_at` is never later than the time at which the store had this state, because it
 * is the time at which the read was sent. Values only; usable from any thread.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "model/revision.h"

namespace valvekeel::evacuation {

/** The store's collection of evacuations at a revision. */
struct zone_view {
  model::Revision revision;
  std::set<std::string> zones;  // that are evacuated
  common::Instant read_at{0};   // on this daemon's clock
};

/** A view as daemons send it to each other. */
struct view_message {
  model::Revision revision;
  std::vector<std::string> zones;
  std::optional<common::Duration> age;  // since it was read; nothing: there is no view
};

/** The zones whose evacuations a view begins and ends. */
struct view_change {
  std::vector<std::string> begun;
  std::vector<std::string> ended;

  bool empty() const { return this->begun.empty() && this->ended.empty(); }
};

}  // namespace valvekeel::evacuation
