#include "cluster/placement.h"

#include <algorithm>
#include <utility>

#include "common/stable_hash.h"

namespace valvekeel::cluster {

std::vector<MemberId> RankOwners(std::string_view object, const std::vector<Member>& members,
                                 std::size_t count) {
  std::vector<std::pair<std::uint64_t, const Member*>> ranked;
  ranked.reserve(members.size());
  for (const Member& member : members) {
    ranked.emplace_back(common::StableHash(object, member.id), &member);
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), [](const auto& left, const auto& right) {
                      return left.first != right.first ? left.first > right.first
                                                       : left.second->id < right.second->id;
                    });
  std::vector<MemberId> owners;
  for (std::size_t i = 0; i < kept; ++i) {
    owners.push_back(ranked[i].second->id);
  }
  return owners;
}

MemberId OwnerOf(std::string_view object, const std::vector<Member>& members) {
  const std::vector<MemberId> owners = RankOwners(object, members, 1);
  return owners.empty() ? MemberId{} : owners.front();
}

}  // namespace valvekeel::cluster
