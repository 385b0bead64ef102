// Configuration and discovery as the decision code sees them.
//
// Owns: the typed contents of the metadata store. Invariant: none beyond the types; the store's
// adapter has checked them. Thread: any (values only).
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

/// How an instance that has just started is spared.
struct WarmUp {
  common::Duration time{0};  // from its start; 0: it takes all work at once
  double rate = 0;           // requests a second that it may get meanwhile, from all daemons

  bool operator==(const WarmUp&) const = default;
};

/// A database group as configured.
struct Service {
  std::string name;
  std::uint32_t max_connections = 1;  // of an instance, over all daemons
  std::uint32_t sync_replicas = 0;    // that hold a commit before it is acknowledged
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

/// One life of an instance. It may start again under its id: then it holds and knows nothing of
/// before, and what is learned late of the former life says nothing of the new one.
struct InstanceIncarnation {
  std::string id;
  std::uint64_t incarnation = 0;  // another with each start; 0 if the instance doesn't tell

  bool operator==(const InstanceIncarnation&) const = default;
};

/// An instance as it announces itself.
struct InstanceEntry {
  std::string id;
  std::string service;
  common::Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool primary = false;              // as it sees itself
  common::Duration warm_up_left{0};  // as it was when the entry was written
  std::uint64_t incarnation = 0;     // see InstanceLife
  std::uint64_t sequence = 0;        // counts what the instance has written in this life

  InstanceIncarnation Identity() const { return {this->id, this->incarnation}; }

  /// @return true if the other entry tells the same, written earlier or later.
  bool EqualsIgnoringSequence(const InstanceEntry& other) const {
    InstanceEntry same = other;
    same.sequence = this->sequence;
    return *this == same;
  }

  bool operator==(const InstanceEntry&) const = default;
};

/// Why an entry names no instance to use.
enum class EntryDefect : std::uint8_t {
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnknownWord,  // a state or role that is not known
  kBadAddress,
  kBadText,  // bytes that are no characters
};

/// @return the defect's name in logs and metrics.
const char* EntryDefectName(EntryDefect defect);

/// An instance's entry that somebody else has written, or that can't be read.
struct UnusableEntry {
  EntryDefect defect = EntryDefect::kMissingField;
};

/// An operator's wish that the instances of a zone get nothing more, until it is withdrawn.
struct ZoneEvacuation {
  std::string zone;
};

/// A daemon as it announces itself.
struct DaemonEntry {
  std::string name;
  std::string zone;
  common::Endpoint peer;       // for messages of other daemons
  std::uint32_t capacity = 0;  // thousandths of a processor core; 0 if unknown
};

/// A replacement of a group's primary, begun or done.
struct AttemptRecord {
  common::Term replaced_term = 0;  // of the primary that is replaced
  std::string candidate;           // empty until it is chosen

  bool operator==(const AttemptRecord&) const = default;
};

/// Who may promote instances, and which replacements were begun. Each era of the store's history
/// has a record of its own: a write for an earlier one, done late, changes nothing of it.
struct LeadershipRecord {
  std::uint64_t era = 0;
  std::string holder;
  std::uint64_t token = 0;     // rises whenever the holder changes
  std::uint64_t sequence = 0;  // rises with every write
  std::string nonce;           // names the write, to recognize it after a lost answer
  std::map<std::string, AttemptRecord> attempts;  // the last one of each service
};

enum class Collection : std::uint8_t {
  kConfiguration,
  kInstances,
  kDaemons,
  kLeadership,
  kEvacuations,
};

using CatalogPayload = std::variant<std::monostate, Configuration, InstanceEntry, DaemonEntry,
                                    LeadershipRecord, ZoneEvacuation, UnusableEntry>;

/// One object of a collection; the payload is empty if it could not be read.
struct CatalogObject {
  std::string name;
  Revision revision;
  bool deleted = false;
  CatalogPayload payload;
};

}  // namespace valvekeel::model
