// Chooses the instance that serves a batch.
//
// Owns: nothing; works on a view of one database group. Invariant: writes go only to the primary of
// the highest known term; a leaving instance gets no new work. No I/O and no clock; not
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::routing {

/// One instance, as a gateway sees it.
struct InstanceView {
  std::string id;
  std::string zone;
  bool leaving = false;
  common::Position replayed;       // position in earlier replies; a hint only
  common::Instant avoid_until{0};  // set when it could not be reached
};

/// One database group, as a gateway sees it.
struct DatabaseView {
  std::string name;
  common::Term term = 0;  // of the known primary
  std::string primary;    // instance id, empty if unknown
  std::vector<InstanceView> instances;
};

/// Requirements and preferences of a read.
struct ReadRequirements {
  common::Position required;
  std::string zone;           // of the gateway
  std::string preferred;      // replica that served this session before
  std::uint64_t session = 0;  // distributes sessions over equal replicas
};

/// How reads are routed. kPrimaryOnly is a baseline for measurements only.
enum class ReadPolicy : std::uint8_t { kByPosition, kPrimaryOnly };

/// Selects the instances for reads and writes.
class ReadWriteSplit {
 public:
  explicit ReadWriteSplit(ReadPolicy policy) : policy_(policy) {}

  /// @return instances to try in order, replicas first and the primary last.
  std::vector<std::string> ReadCandidates(const DatabaseView& view, const ReadRequirements& needs,
                                          common::Instant now) const;

  /// @return the primary, or nothing if it is unknown or leaving.
  static std::optional<std::string> WriteTarget(const DatabaseView& view);

 private:
  ReadPolicy policy_;
};

}  // namespace valvekeel::routing
