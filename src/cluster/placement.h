// Assigns objects to the live members of a zone by rendezvous hashing.
//
// Invariant: the same members give the same order on every daemon; when a member is lost, only the
// objects that it owned move. Thread-safe: functions without state, no I/O and no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/member.h"

namespace valvekeel::cluster {

/// @return the members in the order in which they become owner of the object, the owner first.
/// @param object name such as "pool/db-1/0". @param count maximum number of members returned.
std::vector<MemberId> RankOwners(std::string_view object, const std::vector<Member>& members,
                                 std::size_t count);

/// @return the member ranked first, or an empty id if there is none.
MemberId OwnerOf(std::string_view object, const std::vector<Member>& members);

}  // namespace valvekeel::cluster
