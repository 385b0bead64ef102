// Specifications that operators declare: database groups and the caller groups that share them.
//
// Owns: the typed specifications and their validation. Invariant: a specification that was read
// successfully has passed every check. Thread-safe: value types and functions without state.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "common/result.h"

namespace valvekeel::configuration {

/// Whether an instance is to serve requests or to be drained.
enum class InstanceIntent : std::uint8_t { kActive, kLeaving };

/// One instance of a database group.
struct InstanceSpec {
  std::string id;  // unique within the database group
  std::string zone;
  cluster::Endpoint address;
  InstanceIntent intent = InstanceIntent::kActive;
  std::uint32_t connections = 35;  // maximum number of connections valvekeel opens
  std::uint32_t slots = 5;         // maximum number of concurrent statements
};

/// A database group: one primary and its replicas.
struct DatabaseSpec {
  std::string name;
  std::vector<InstanceSpec> instances;
};

/// A group of callers with a share of the connections.
struct ShareGroupSpec {
  std::string name;                    // the user name that its callers log in with
  double share = 1.0;                  // weight relative to the other groups
  std::vector<std::string> databases;  // database groups it may reach
  std::uint32_t minimum = 0;           // slots per instance reserved while it has requests
  std::uint32_t maximum = 0;           // slots per instance it may use; 0: unlimited
};

/// A field of a specification that failed a check, and the reason.
struct SpecError {
  std::string field;
  std::string reason;
};

template <typename Spec>
using SpecResult = common::Result<Spec, std::vector<SpecError>>;

/// Parses and validates a database group. @param name the object's name on the platform.
/// @return the specification, or the errors of all its fields.
SpecResult<DatabaseSpec> ReadDatabaseSpec(const std::string& name, const nlohmann::json& spec);

/// Parses and validates a group of callers. @param name the object's name on the platform.
/// @return the specification, or the errors of all its fields.
SpecResult<ShareGroupSpec> ReadShareGroupSpec(const std::string& name, const nlohmann::json& spec);

/// @return the specification as JSON, in the form stored on the platform.
nlohmann::json ToJson(const DatabaseSpec& spec);
nlohmann::json ToJson(const ShareGroupSpec& spec);

}  // namespace valvekeel::configuration
