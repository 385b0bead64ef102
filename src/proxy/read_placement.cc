#include "proxy/read_placement.h"

#include <algorithm>
#include <iterator>

namespace valvekeel::proxy {
namespace {

/// Added to the bound, for the time between the caller's first byte and its arrival here.
constexpr common::Duration kStalenessMargin{30'000};
/// Left of the drain limit, for statements on their way when it is reached.
constexpr common::Duration kDrainMargin{1'500'000};
constexpr double kOtherZoneUs = 12'000;  // time of the way and price of the bytes
/// The same of another region: on the users' sites regions are 12 ms apart one way, zones 3 ms.
constexpr double kOtherRegionUs = 30'000;
constexpr double kPrimaryUs = 8'000;      // the primary is left to writes
constexpr double kLaggingUs = 1'000'000;  // tried only if nothing else is left
constexpr double kCrowdedUs = 30'000;

}  // namespace

std::optional<ReadPlacement::Requirement> ReadPlacement::Required(const GroupState& group,
                                                                  const ReadNeed& need,
                                                                  common::Instant now) {
  const common::Instant covered = need.arrived - need.max_staleness + kStalenessMargin;
  const auto bound = group.history.Covering(covered);
  if (!bound || need.consistency == model::Consistency::kPrimary) {
    return std::nullopt;
  }
  const Requirement by_bound{*bound, now - covered, false};
  if (need.consistency == model::Consistency::kBoundedStaleness) {
    return by_bound;
  }
  common::Position own = need.own_commit;
  const auto& newest = group.history.Newest();
  // Whatever was acknowledged before the newest sample is covered by it, also if the position told
  // with the commit was rolled back in between.
  if (newest && newest->instant >= need.own_commit_at && newest->position < own) {
    own = newest->position;
  }
  if (own <= *bound) {
    return by_bound;
  }
  return Requirement{own, now - need.own_commit_at, true};
}

bool ReadPlacement::TakesWork(const Backend& backend, common::Instant now) const {
  const common::Duration usable =
      settings_.drain_limit - std::min(kDrainMargin, settings_.drain_limit);
  const bool leaves = backend.draining_since || backend.unlisted_since;
  const common::Instant since =
      std::min(backend.draining_since.value_or(now), backend.unlisted_since.value_or(now));
  const bool left = leaves && now >= since + usable;
  return !left && !backend.Unreachable() && !backend.IsUnresponsive(now);
}

double ReadPlacement::WayCost(const std::string& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  const auto region = settings_.regions.find(zone);
  const bool other_region = region != settings_.regions.end() && region->second != settings_.region;
  return other_region ? kOtherRegionUs : kOtherZoneUs;
}

double ReadPlacement::Cost(const Backend& backend, common::Instant now) const {
  const double slots = std::max<double>(1, backend.Entry().slots);
  const auto busy = static_cast<double>(backend.BusyCount());
  double cost = backend.LatencyUs() * (1 + busy / slots);
  cost += WayCost(backend.Entry().zone);
  if (now < backend.AvoidUntil()) {
    cost += kCrowdedUs;
  }
  return cost;
}

std::optional<Placement> ReadPlacement::PlaceAt(const Backend& backend, bool primary,
                                                const GroupState& group,
                                                const std::optional<Requirement>& required,
                                                common::Instant now) const {
  if (!TakesWork(backend, now) || (!primary && !required)) {
    return std::nullopt;
  }
  Placement placement;
  placement.instance = backend.Entry().id;
  placement.cost_us = Cost(backend, now);
  if (primary) {
    placement.cost_us += kPrimaryUs;
    // One that has started again under its id may be reached before the lease is let go: it holds
    // nothing of this.
    placement.required = group.PrimaryPosition();
    return placement;
  }
  placement.required = required->position;
  placement.age = required->age;
  placement.own = required->own;
  placement.cost_us += backend.ExpectedFresh(required->age, now) ? 0 : kLaggingUs;
  return placement;
}

std::vector<Placement> ReadPlacement::Candidates(const GroupState& group,
                                                 const std::string& usable_primary,
                                                 const std::vector<std::string>& members,
                                                 const ReadNeed& need, const access::work& work,
                                                 common::Instant now) const {
  const std::optional<Requirement> required = Required(group, need, now);
  std::vector<Placement> staying;
  std::vector<Placement> overflow;
  std::vector<Placement> last;
  for (const std::string& id : members) {
    const Backend& backend = backends_.All().at(id);
    const access::access_level verdict = access_.evaluate(backend.Entry(), work, now).level;
    if (verdict >= access::access_level::deferred) {
      continue;
    }
    auto placement = PlaceAt(backend, id == usable_primary, group, required, now);
    if (!placement) {
      continue;
    }
    const bool leaves = backend.draining_since || backend.unlisted_since;
    if (leaves || verdict == access::access_level::last_resort) {
      last.push_back(std::move(*placement));
    } else {
      (verdict == access::access_level::overflow ? overflow : staying)
          .push_back(std::move(*placement));
    }
  }
  const auto cheaper = [](const Placement& a, const Placement& b) { return a.cost_us < b.cost_us; };
  std::sort(staying.begin(), staying.end(), cheaper);
  std::sort(overflow.begin(), overflow.end(), cheaper);
  staying.insert(staying.end(), std::make_move_iterator(overflow.begin()),
                 std::make_move_iterator(overflow.end()));
  // An instance that leaves gets work only if no other can take it.
  return staying.empty() ? last : staying;
}

}  // namespace valvekeel::proxy
