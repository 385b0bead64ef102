#include "daemon/directory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "cluster/placement.h"
#include "runtime/logging.h"

namespace valvekeel::daemon {
namespace {

using replicated::Entry;
using replicated::EntryKind;

constexpr std::size_t kRankedOwners = 4;  // the owner and who takes over if links to it fail

/// Puts a specification read from an entry into its map; a faulty one is logged and left out.
template <typename Spec>
void ApplySpec(const Entry& entry, const configuration::SpecResult<Spec>& read,
               std::map<std::string, Spec>& specs) {
  const std::string& name = entry.id.name;
  if (entry.deleted) {
    specs.erase(name);
    return;
  }
  if (common::IsOk(read)) {
    specs[name] = common::ValueOf(read);
    return;
  }
  const configuration::SpecError& error = common::ErrorOf(read).front();
  runtime::Log(runtime::LogLevel::kError, "specification_refused",
               {{"name", name}, {"field", error.field}, {"reason", error.reason}});
}

}  // namespace

std::string PoolObject(const std::string& database, const std::string& instance) {
  return absl::StrCat("pool/", database, "/", instance);
}

Entry TopologyEntry(const std::string& database, const Topology& topology) {
  Entry entry;
  entry.id = {EntryKind::kTopology, database};
  entry.version = {topology.term, 0};
  entry.value = {{"primary", topology.primary}};
  return entry;
}

std::set<std::string> Directory::Apply(const Entry& entry) {
  switch (entry.id.kind) {
    case EntryKind::kDatabase:
      ApplySpec(entry, configuration::ReadDatabaseSpec(entry.id.name, entry.value), databases_);
      return {entry.id.name};
    case EntryKind::kShareGroup: {
      ApplySpec(entry, configuration::ReadShareGroupSpec(entry.id.name, entry.value),
                share_groups_);
      const auto* group = ShareGroup(entry.id.name);
      return group == nullptr
                 ? std::set<std::string>{}
                 : std::set<std::string>(group->databases.begin(), group->databases.end());
    }
    case EntryKind::kTopology:
      topologies_[entry.id.name] = {static_cast<common::Term>(entry.version.major),
                                    entry.value.value("primary", "")};
      return {entry.id.name};
    case EntryKind::kMember:
    case EntryKind::kZone:
      break;
  }
  return {};
}

const configuration::DatabaseSpec* Directory::Database(const std::string& name) const {
  const auto found = databases_.find(name);
  return found == databases_.end() ? nullptr : &found->second;
}

const configuration::ShareGroupSpec* Directory::ShareGroup(const std::string& name) const {
  const auto found = share_groups_.find(name);
  return found == share_groups_.end() ? nullptr : &found->second;
}

std::optional<routing::DatabaseView> Directory::View(const std::string& database) const {
  const configuration::DatabaseSpec* spec = Database(database);
  if (spec == nullptr) {
    return std::nullopt;
  }
  routing::DatabaseView view;
  view.name = database;
  const auto topology = topologies_.find(database);
  if (topology != topologies_.end()) {
    view.term = topology->second.term;
    view.primary = topology->second.primary;
  }
  for (const configuration::InstanceSpec& instance : spec->instances) {
    routing::InstanceView entry;
    entry.id = instance.id;
    entry.zone = instance.zone;
    entry.leaving = instance.intent == configuration::InstanceIntent::kLeaving;
    const auto hint = hints_.find({database, instance.id});
    if (hint != hints_.end()) {
      entry.replayed = hint->second.replayed;
      entry.avoid_until = hint->second.avoid_until;
    }
    view.instances.push_back(std::move(entry));
  }
  return view;
}

const std::vector<cluster::Member>& Directory::RankedOwners(
    const std::string& database, const configuration::InstanceSpec& instance) const {
  Ranking& ranking = rankings_[{database, instance.id}];
  if (ranking.epoch == node_.ViewEpoch() && ranking.zone == instance.zone) {
    return ranking.members;
  }
  std::vector<cluster::Member> members = node_.ServingIn(instance.zone);
  if (members.empty()) {
    // No daemon lives in the instance's zone: any other may serve it from further away.
    members = node_.ServingAnywhere();
  }
  ranking.epoch = node_.ViewEpoch();
  ranking.zone = instance.zone;
  ranking.members.clear();
  for (const cluster::MemberId& id :
       cluster::RankOwners(PoolObject(database, instance.id), members, kRankedOwners)) {
    ranking.members.push_back(
        *std::find_if(members.begin(), members.end(),
                      [&](const cluster::Member& member) { return member.id == id; }));
  }
  return ranking.members;
}

std::optional<cluster::Member> Directory::OwnerOf(const std::string& database,
                                                  const configuration::InstanceSpec& instance,
                                                  common::Instant now) const {
  const std::vector<cluster::Member>& ranked = RankedOwners(database, instance);
  for (const cluster::Member& member : ranked) {
    const auto avoided = avoided_members_.find(member.id);
    if (avoided == avoided_members_.end() || avoided->second <= now) {
      return member;
    }
  }
  return ranked.empty() ? std::nullopt : std::make_optional(ranked.front());
}

void Directory::NoteReplayed(const std::string& database, const std::string& instance,
                             common::Position replayed) {
  Hint& hint = hints_[{database, instance}];
  hint.replayed = std::max(hint.replayed, replayed);
  hint.avoid_until = common::Instant{0};
}

void Directory::AvoidInstance(const std::string& database, const std::string& instance,
                              common::Instant until) {
  hints_[{database, instance}].avoid_until = until;
}

void Directory::AvoidMember(const cluster::MemberId& member, common::Instant until) {
  avoided_members_[member] = until;
}

}  // namespace valvekeel::daemon
