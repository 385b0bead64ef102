#include "evacuation/view_tracker.h"

#include <algorithm>

namespace valvekeel::evacuation {

view_change view_tracker::apply(const zone_view& received) {
  if (!this->view || received.revision > this->view->revision) {
    return this->replace(received);
  }
  if (received.revision == this->view->revision) {
    this->view->read_at = std::max(this->view->read_at, received.read_at);
  }
  this->record_in_use(received);
  return {};
}

view_change view_tracker::replace(const zone_view& newer) {
  view_change change;
  for (const std::string& zone : newer.zones) {
    if (this->is_evacuated(zone)) {
      continue;
    }
    change.begun.push_back(zone);
    if (this->view) {
      this->last_in_use[zone] = this->view->read_at;
    }
  }
  if (this->view) {
    for (const std::string& zone : this->view->zones) {
      if (!newer.zones.contains(zone)) {
        change.ended.push_back(zone);
        this->last_in_use.erase(zone);
      }
    }
  }
  // The newest view is proved valid as of the later of the two reads only if both show the same
  // zones.
  const bool same = this->view && this->view->zones == newer.zones;
  const common::Instant read_at =
      same ? std::max(this->view->read_at, newer.read_at) : newer.read_at;
  this->view = zone_view{newer.revision, newer.zones, read_at};
  return change;
}

void view_tracker::record_in_use(const zone_view& older) {
  for (const std::string& zone : this->view->zones) {
    if (older.zones.contains(zone)) {
      continue;
    }
    common::Instant& known = this->last_in_use.try_emplace(zone, older.read_at).first->second;
    known = std::max(known, older.read_at);
  }
}

void view_tracker::on_work(common::Instant now) {
  if (!this->first_work_at) {
    this->first_work_at = now;
  }
}

bool view_tracker::awaits_first_view(common::Instant now) const {
  return !this->view && (!this->first_work_at || now < *this->first_work_at + FIRST_VIEW_TIMEOUT);
}

bool view_tracker::is_evacuated(const std::string& zone) const {
  return this->view && this->view->zones.contains(zone);
}

std::optional<common::Instant> view_tracker::in_use_at(const std::string& zone) const {
  const auto found = this->last_in_use.find(zone);
  return found == this->last_in_use.end() ? std::nullopt : std::optional(found->second);
}

std::optional<common::Duration> view_tracker::age(common::Instant now) const {
  return this->view ? std::optional(now - this->view->read_at) : std::nullopt;
}

view_message view_tracker::message(common::Instant now) const {
  if (!this->view) {
    return {};
  }
  const std::set<std::string>& zones = this->view->zones;
  return {this->view->revision, {zones.begin(), zones.end()}, now - this->view->read_at};
}

}  // namespace valvekeel::evacuation
