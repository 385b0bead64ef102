// Configuration and discovery data, as the decision code uses it.
//
// Owns: the typed contents of the metadata store. Invariant: none beyond the types; the store's
// adapter has validated the values. Values only; safe in any thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/endpoint.h"
#include "common/position.h"
#include "common/time.h"
#include "model/revision.h"
#include "tenants/tenant.h"

namespace valvekeel::model {

/// Which commits a read must see.
enum class Consistency : std::uint8_t {
  kPrimary,           // every commit acknowledged before the read
  kBoundedStaleness,  // commits acknowledged longer ago than the bound
  kReadYourWrites,    // as above, and those of the same session
};

/// How requests for one database are served.
struct Route {
  std::string database;
  std::string service;
  Consistency consistency = Consistency::kPrimary;
  common::Duration timeout{0};         // of a statement
  common::Duration target_latency{0};  // of an operation
  std::uint32_t priority = 0;          // 0 is the highest
  common::Duration max_staleness{0};
  bool is_public = false;                    // callers need no key
  std::vector<std::string> allowed_regions;  // where it may run; empty: everywhere
};

/// Limits the load of an instance that has just started.
struct WarmUp {
  common::Duration time{0};  // from its start; 0: no warm-up
  double rate = 0;           // requests per second until then, from all daemons together

  bool operator==(const WarmUp&) const = default;
};

/// A database group as configured.
struct Service {
  std::string name;
  std::uint32_t max_connections = 1;  // per instance, from all daemons together
  std::uint32_t sync_replicas = 0;    // that must hold a commit before it is acknowledged
  WarmUp warm_up;
};

/// One version of the whole configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::map<std::string, Route> routes;  // by database
  std::map<std::string, Service> services;
  std::map<std::string, tenants::tenant> tenants;  // by name
  common::Duration transaction_idle{0};            // after which an idle transaction may be ended
};

/// One incarnation of an instance. An instance may restart under its id without its log or any
/// earlier state; late information about the former incarnation does not apply to the new one.
struct InstanceIncarnation {
  std::string id;
  std::uint64_t incarnation = 0;  // differs with each start; 0: not reported

  bool operator==(const InstanceIncarnation&) const = default;
};

/// An instance, as it announces itself.
struct InstanceEntry {
  std::string id;
  std::string service;
  common::Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool primary = false;              // according to the instance itself
  common::Duration warm_up_left{0};  // at the time the entry was written
  std::uint64_t incarnation = 0;     // see InstanceIncarnation
  std::uint64_t sequence = 0;        // number of the entry's write in this incarnation

  InstanceIncarnation Identity() const { return {this->id, this->incarnation}; }

  /// @return true if the other entry is equal apart from its sequence, so written earlier or later.
  bool EqualsIgnoringSequence(const InstanceEntry& other) const {
    InstanceEntry same = other;
    same.sequence = this->sequence;
    return *this == same;
  }

  bool operator==(const InstanceEntry&) const = default;
};

/// Why an entry can't be used.
enum class EntryDefect : std::uint8_t {
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnknownWord,  // unknown state or role
  kBadAddress,
  kBadText,  // text, a number or nesting that can't be parsed
};

/// @return the defect's name in logs and metrics.
const char* EntryDefectName(EntryDefect defect);

/// An entry of the instance collection that is not an instance's own, or can't be read.
struct UnusableEntry {
  EntryDefect defect = EntryDefect::kMissingField;
};

/// An operator's request that the instances of a zone get no new work, until it is withdrawn.
struct ZoneEvacuation {
  std::string zone;
};

/// A daemon, as it announces itself.
struct DaemonEntry {
  std::string name;
  std::string zone;
  common::Endpoint peer;       // for messages of other daemons
  std::uint32_t capacity = 0;  // thousandths of a processor core; 0 if unknown
};

/// A replacement of a group's primary, started or completed.
struct AttemptRecord {
  common::Term replaced_term = 0;  // of the primary that is replaced
  std::string candidate;           // empty until it is chosen

  bool operator==(const AttemptRecord&) const = default;
};

/// Which daemon may promote instances, and which replacements were started. Each era of the store's
/// history has a record of its own, so a late write for an earlier era changes nothing in it.
struct LeadershipRecord {
  std::uint64_t era = 0;
  std::string holder;
  std::uint64_t token = 0;     // rises whenever the holder changes
  std::uint64_t sequence = 0;  // rises with every write
  std::string nonce;           // identifies the write, so that it is recognized after a lost answer
  std::map<std::string, AttemptRecord> attempts;  // latest one of each service
};

/// An instance that may hold a commit which no other instance of its group holds.
struct CommitHolder {
  common::Endpoint address;
  std::string zone;

  bool operator==(const CommitHolder&) const = default;
};

/// What the store keeps on the commits of one group; see docs/design/commit-holders.md.
struct HolderRecord {
  std::map<std::string, CommitHolder> holders;  // by instance id
  /// A promoted instance must hold it: former holders had no later commit alone.
  common::Position floor;
  std::size_t lost_logs = 0;  // of instances that restarted empty, not covered by `floor` yet

  bool operator==(const HolderRecord&) const = default;
};

/// The collections of the metadata store.
enum class Collection : std::uint8_t {
  kConfiguration,
  kInstances,
  kDaemons,
  kLeadership,
  kEvacuations,
  kHolders,  // of commits, by group
};

using CatalogPayload = std::variant<std::monostate, Configuration, InstanceEntry, DaemonEntry,
                                    LeadershipRecord, ZoneEvacuation, HolderRecord, UnusableEntry>;

/// One object of a collection. The payload is empty if it could not be read.
struct CatalogObject {
  std::string name;
  Revision revision;
  bool deleted = false;
  CatalogPayload payload;
};

}  // namespace valvekeel::model
