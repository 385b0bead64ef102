#include "proxy/read_placement.h"

#include <algorithm>
#include <iterator>

namespace valvekeel::proxy {
namespace {

/// Added to the bound, for the time between sending the caller's first byte and its arrival.
constexpr common::Duration kStalenessMargin{30'000};
/// Reserve at the end of the drain limit, for statements that are in flight when it is reached.
constexpr common::Duration kDrainMargin{1'500'000};
constexpr double kOtherZoneCostUs = 12'000;  // latency and price of the traffic
/// The same for another region: regions are 12 ms apart one way, zones 3 ms.
constexpr double kOtherRegionCostUs = 30'000;
constexpr double kPrimaryCostUs = 8'000;      // keeps the primary free for writes
constexpr double kLaggingCostUs = 1'000'000;  // used only if no other instance is left
constexpr double kOverloadedCostUs = 30'000;

}  // namespace

std::optional<ReadPlacement::Requirement> ReadPlacement::FindRequirement(const GroupState& group,
                                                                         const ReadParameters& read,
                                                                         common::Instant now) {
  const common::Instant covered = read.arrived - read.max_staleness + kStalenessMargin;
  const auto bound = group.history.Covering(covered);
  if (!bound || read.consistency == model::Consistency::kPrimary) {
    return std::nullopt;
  }
  const Requirement by_bound{*bound, now - covered, false};
  if (read.consistency == model::Consistency::kBoundedStaleness) {
    return by_bound;
  }
  common::Position commit = read.own_commit;
  const auto& newest = group.history.Newest();
  // The newest sample covers every commit acknowledged before it, even if the position reported
  // with the commit was rolled back in between.
  if (newest && newest->instant >= read.own_commit_at && newest->position < commit) {
    commit = newest->position;
  }
  if (commit <= *bound) {
    return by_bound;
  }
  return Requirement{commit, now - read.own_commit_at, true};
}

bool ReadPlacement::AcceptsWork(const Backend& backend, common::Instant now) const {
  const common::Duration usable =
      settings_.drain_limit - std::min(kDrainMargin, settings_.drain_limit);
  const bool drained = backend.leaving_since && now >= *backend.leaving_since + usable;
  return !drained && !backend.Unreachable() && !backend.IsUnresponsive(now);
}

double ReadPlacement::NetworkCost(const std::string& zone) const {
  if (zone == settings_.zone) {
    return 0;
  }
  const auto region = settings_.regions.find(zone);
  const bool other_region = region != settings_.regions.end() && region->second != settings_.region;
  return other_region ? kOtherRegionCostUs : kOtherZoneCostUs;
}

double ReadPlacement::Cost(const Backend& backend, common::Instant now) const {
  const double slots = std::max<double>(1, backend.Entry().slots);
  const auto busy = static_cast<double>(backend.BusyCount());
  double cost = backend.LatencyUs() * (1 + busy / slots);
  cost += NetworkCost(backend.Entry().zone);
  if (now < backend.AvoidUntil()) {
    cost += kOverloadedCostUs;
  }
  return cost;
}

std::optional<Placement> ReadPlacement::PlacementOn(const Backend& backend, bool primary,
                                                    const GroupState& group,
                                                    const std::optional<Requirement>& required,
                                                    common::Instant now) const {
  if (!AcceptsWork(backend, now) || (!primary && !required)) {
    return std::nullopt;
  }
  Placement placement;
  placement.instance = backend.Entry().id;
  placement.cost_us = Cost(backend, now);
  if (primary) {
    placement.cost_us += kPrimaryCostUs;
    // A primary that restarted under the same id may be reached before the lease is released; it
    // does not contain these commits.
    placement.required = group.PrimaryPosition();
    return placement;
  }
  placement.required = required->position;
  placement.age = required->age;
  placement.is_own_commit = required->is_own_commit;
  placement.cost_us += backend.ExpectedFresh(required->age, now) ? 0 : kLaggingCostUs;
  return placement;
}

std::vector<Placement> ReadPlacement::Candidates(const GroupState& group,
                                                 const std::string& usable_primary,
                                                 const std::vector<std::string>& members,
                                                 const ReadParameters& read,
                                                 const access::work& work,
                                                 common::Instant now) const {
  const std::optional<Requirement> required = FindRequirement(group, read, now);
  std::vector<Placement> available;
  std::vector<Placement> overflow;
  std::vector<Placement> draining_or_last_resort;
  for (const std::string& id : members) {
    const Backend& backend = backends_.All().at(id);
    const access::access_level verdict = access_.evaluate(backend.Entry(), work, now).level;
    if (verdict >= access::access_level::deferred) {
      continue;
    }
    auto placement = PlacementOn(backend, id == usable_primary, group, required, now);
    if (!placement) {
      continue;
    }
    const bool draining = backend.draining_since || backend.unlisted_since;
    if (draining || verdict == access::access_level::last_resort) {
      draining_or_last_resort.push_back(std::move(*placement));
    } else {
      (verdict == access::access_level::overflow ? overflow : available)
          .push_back(std::move(*placement));
    }
  }
  const auto cheaper = [](const Placement& a, const Placement& b) { return a.cost_us < b.cost_us; };
  std::sort(available.begin(), available.end(), cheaper);
  std::sort(overflow.begin(), overflow.end(), cheaper);
  available.insert(available.end(), std::make_move_iterator(overflow.begin()),
                   std::make_move_iterator(overflow.end()));
  // A draining instance gets work only if no other can serve it.
  return available.empty() ? draining_or_last_resort : available;
}

}  // namespace valvekeel::proxy
