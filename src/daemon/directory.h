// What this daemon knows of databases, topology and owners, read from the replicated table.
//
// Owns: the typed configuration, the known primaries and routing hints. Invariant: a primary of a
// lower term never replaces one of a higher term (the table's versions see to it). Thread: the
// event loop's.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/node.h"
#include "common/time.h"
#include "configuration/specs.h"
#include "replicated/replicated_table.h"
#include "routing/read_write_split.h"

namespace valvekeel::daemon {

/// Known primary of a database group.
struct Topology {
  common::Term term = 0;
  std::string primary;
};

/// @return the table entry that publishes a primary.
replicated::Entry TopologyEntry(const std::string& database, const Topology& topology);

class Directory {
 public:
  /// @param node outlives the directory.
  explicit Directory(const cluster::Node& node) : node_(node) {}

  /// Takes a changed entry. @return the names of the databases it concerns.
  std::set<std::string> Apply(const replicated::Entry& entry);

  std::optional<routing::DatabaseView> View(const std::string& database) const;
  const configuration::DatabaseSpec* Database(const std::string& name) const;
  const configuration::ShareGroupSpec* ShareGroup(const std::string& name) const;
  const std::map<std::string, configuration::DatabaseSpec>& Databases() const { return databases_; }
  const std::map<std::string, configuration::ShareGroupSpec>& ShareGroups() const {
    return share_groups_;
  }
  const std::map<std::string, Topology>& Topologies() const { return topologies_; }

  /// @return the member that owns the instance's pool, members to be avoided left out.
  std::optional<cluster::Member> OwnerOf(const std::string& database,
                                         const configuration::InstanceSpec& instance,
                                         common::Instant now) const;

  /// @return members in the order in which they may own the instance, the first few of them.
  const std::vector<cluster::Member>& RankedOwners(
      const std::string& database, const configuration::InstanceSpec& instance) const;

  void NoteReplayed(const std::string& database, const std::string& instance,
                    common::Position replayed);
  void AvoidInstance(const std::string& database, const std::string& instance,
                     common::Instant until);
  void AvoidMember(const cluster::MemberId& member, common::Instant until);

 private:
  struct Hint {
    common::Position replayed;
    common::Instant avoid_until{0};
  };

  /// Ranking of an instance's owners, right as long as the view has not changed.
  struct Ranking {
    std::uint64_t epoch = 0;
    std::string zone;
    std::vector<cluster::Member> members;
  };

  const cluster::Node& node_;
  mutable std::map<std::pair<std::string, std::string>, Ranking> rankings_;
  std::map<std::string, configuration::DatabaseSpec> databases_;
  std::map<std::string, configuration::ShareGroupSpec> share_groups_;
  std::map<std::string, Topology> topologies_;
  std::map<std::pair<std::string, std::string>, Hint> hints_;
  std::map<cluster::MemberId, common::Instant> avoided_members_;
};

/// @return the object name under which the pool of an instance is placed.
std::string PoolObject(const std::string& database, const std::string& instance);

}  // namespace valvekeel::daemon
