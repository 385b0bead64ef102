/**
 * @file Which zones operators have evacuated, as one read of the store showed it.
 *
 * Owns: the values. Invariant: `read_at` is never later than the instant at which the store had
 * this state: it is the one at which the question was sent. Thread: any (values only).
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

/** The state of the store's collection at a revision. */
struct zone_view {
  model::Revision revision;
  std::set<std::string> zones;  // that are evacuated
  common::Instant read_at{0};   // on this daemon's clock
};

/** A view as daemons tell it to each other. */
struct view_message {
  model::Revision revision;
  std::vector<std::string> zones;
  std::optional<common::Duration> age;  // since it was read; nothing: no view is told
};

/** What a view changed. */
struct view_change {
  std::vector<std::string> begun;
  std::vector<std::string> ended;

  bool empty() const { return this->begun.empty() && this->ended.empty(); }
};

}  // namespace valvekeel::evacuation
