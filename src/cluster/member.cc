#include "cluster/member.h"

namespace valvekeel::cluster {

replicated::Entry ToEntry(const Member& member) {
  replicated::Entry entry;
  entry.id = {replicated::EntryKind::kMember, member.id};
  entry.version = {member.incarnation, static_cast<std::uint64_t>(member.state)};
  entry.value = {{"zone", member.zone}, {"peer", member.peer}};
  return entry;
}

Member FromEntry(const replicated::Entry& entry) {
  Member member;
  member.id = entry.id.name;
  member.zone = entry.value.value("zone", "");
  member.peer = entry.value.value("peer", Endpoint{});
  member.incarnation = entry.version.major;
  member.state = static_cast<MemberState>(entry.version.minor);
  return member;
}

std::string StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kFailed:
      return "failed";
    case MemberState::kLeft:
      return "left";
  }
  return "";
}

}  // namespace valvekeel::cluster
