// What operators declare: database groups and the groups of callers that share them.
//
// Owns: the typed specifications and their checks. Invariant: a specification that was read has
// passed every check. Thread: any (values only).
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "common/result.h"

namespace valvekeel::configuration {

enum class InstanceIntent : std::uint8_t { kActive, kLeaving };

/// One instance of a database group.
struct InstanceSpec {
  std::string id;  // unique within the database group
  std::string zone;
  cluster::Endpoint address;
  InstanceIntent intent = InstanceIntent::kActive;
  std::uint32_t connections = 35;  // most connections valvekeel may hold
  std::uint32_t slots = 5;         // statements at one time
};

/// A database group: one primary, its replicas.
struct DatabaseSpec {
  std::string name;
  std::vector<InstanceSpec> instances;
};

/// A group of callers with a share of the connections.
struct ShareGroupSpec {
  std::string name;                    // the user name that its callers log in with
  double share = 1.0;                  // relative weight
  std::vector<std::string> databases;  // database groups it may reach
  std::uint32_t minimum = 0;           // slots per instance kept for it while it has work
  std::uint32_t maximum = 0;           // slots per instance it may use, 0 for no limit
};

/// Why a specification is refused, with the field concerned.
struct SpecError {
  std::string field;
  std::string reason;
};

template <typename Spec>
using SpecResult = common::Result<Spec, std::vector<SpecError>>;

/// Reads and checks a database group. @param name the object's name on the platform.
SpecResult<DatabaseSpec> ReadDatabaseSpec(const std::string& name, const nlohmann::json& spec);

/// Reads and checks a group of callers. @param name the object's name on the platform.
SpecResult<ShareGroupSpec> ReadShareGroupSpec(const std::string& name, const nlohmann::json& spec);

/// @return the platform's form of the specification.
nlohmann::json ToJson(const DatabaseSpec& spec);
nlohmann::json ToJson(const ShareGroupSpec& spec);

}  // namespace valvekeel::configuration
