// Members of the cluster of daemons.
//
// Owns: the record that each daemon publishes about itself. Invariant: within one incarnation a
// member's state only moves on (alive, suspect, leaving, failed, left). Thread: any (values only).
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/endpoint.h"
#include "replicated/replicated_table.h"

namespace valvekeel::cluster {

using MemberId = std::string;

/// Life of one incarnation; the number is the minor version of the member's entry.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // missed heartbeats; refuted by a higher incarnation
  kLeaving = 2,  // planned stop; takes no new ownership
  kFailed = 3,
  kLeft = 4,
};

using common::Endpoint;

struct Member {
  MemberId id;
  std::string zone;
  Endpoint peer;                  // for other daemons
  std::uint64_t incarnation = 0;  // milliseconds since the epoch at its start, or higher
  MemberState state = MemberState::kAlive;
};

/// @return the table entry for a member.
replicated::Entry ToEntry(const Member& member);

/// @return the member that an entry of kind kMember describes.
Member FromEntry(const replicated::Entry& entry);

/// @return the state's name in logs and status.
std::string StateName(MemberState state);

/// @return true if the member may own pools and forward updates.
inline bool IsServing(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

}  // namespace valvekeel::cluster

namespace valvekeel::common {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, host, port)

}  // namespace valvekeel::common
