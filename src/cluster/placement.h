// Placement by rendezvous hashing: who owns what, over the live members of a zone.
//
// Owns: nothing; computes from a list of members. Invariant: the same members give the same order
// on every daemon; a member's loss moves only what it owned. Pure. Thread: any.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/member.h"

namespace valvekeel::cluster {

/// @return members in the order in which they may own the object, the owner first.
/// @param object name such as "pool/db-1/0". @param count at most that many members.
std::vector<MemberId> RankOwners(std::string_view object, const std::vector<Member>& members,
                                 std::size_t count);

/// @return the member ranked first, or an empty id if there is none.
MemberId OwnerOf(std::string_view object, const std::vector<Member>& members);

}  // namespace valvekeel::cluster
