// Members of the cluster of daemons.
//
// Owns: the record that each daemon publishes about itself. Invariant: within one incarnation the
// state of a member only advances (alive, suspect, leaving, failed, left). Thread-safe: value types
// and functions without state.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/endpoint.h"
#include "replicated/replicated_table.h"

namespace valvekeel::cluster {

using MemberId = std::string;

/// State of one incarnation; the number is the minor version of the member's entry.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // missed heartbeats; refuted by a higher incarnation
  kLeaving = 2,  // planned stop; becomes owner of nothing more
  kFailed = 3,
  kLeft = 4,
};

using common::Endpoint;

/// What a daemon publishes about itself.
struct Member {
  MemberId id;
  std::string zone;
  Endpoint peer;                  // address that other daemons send to
  std::uint64_t incarnation = 0;  // start time in milliseconds since the epoch, or higher
  MemberState state = MemberState::kAlive;
};

/// @return the table entry that describes a member.
replicated::Entry ToEntry(const Member& member);

/// @return the member that an entry of kind kMember describes.
Member FromEntry(const replicated::Entry& entry);

/// @return the name of the state in logs and status pages.
std::string StateName(MemberState state);

/// @return true if the member may own pools and forward updates.
inline bool IsServing(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

}  // namespace valvekeel::cluster

namespace valvekeel::common {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, host, port)

}  // namespace valvekeel::common
