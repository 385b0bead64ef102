#include "routing/read_write_split.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::routing {
namespace {

/// Sort key of a replica: the lowest goes first.
using Rank = std::tuple<bool, bool, std::uint64_t, bool, bool, std::uint64_t>;

Rank RankOf(const InstanceView& instance, const ReadRequirements& needs, common::Instant now) {
  const bool avoided = instance.avoid_until > now;
  const bool fresh = common::Covers(instance.replayed, needs.required);
  // Among replicas that are behind, the one last seen furthest ahead is expected to catch up first.
  const std::uint64_t behind = fresh ? 0 : ~instance.replayed.lsn;
  const bool other = instance.id != needs.preferred;
  const bool far = instance.zone != needs.zone;
  const std::uint64_t spread = common::StableHash(absl::StrCat(needs.session), instance.id);
  return {avoided, !fresh, behind, other, far, spread};
}

}  // namespace

std::vector<std::string> ReadWriteSplit::ReadCandidates(const DatabaseView& view,
                                                        const ReadRequirements& needs,
                                                        common::Instant now) const {
  std::vector<std::pair<Rank, std::string>> replicas;
  for (const InstanceView& instance : view.instances) {
    if (instance.leaving || instance.id == view.primary) {
      continue;
    }
    replicas.emplace_back(RankOf(instance, needs, now), instance.id);
  }
  std::sort(replicas.begin(), replicas.end());
  std::vector<std::string> candidates;
  if (policy_ == ReadPolicy::kByPosition) {
    for (auto& [rank, id] : replicas) {
      candidates.push_back(std::move(id));
    }
  }
  if (const auto primary = WriteTarget(view)) {
    candidates.push_back(*primary);
  }
  return candidates;
}

std::optional<std::string> ReadWriteSplit::WriteTarget(const DatabaseView& view) {
  for (const InstanceView& instance : view.instances) {
    if (instance.id == view.primary && !instance.leaving) {
      return instance.id;
    }
  }
  return std::nullopt;
}

}  // namespace valvekeel::routing
