// Chooses the instance that serves a batch.
//
// Owns: nothing; works on a view of one database group. Invariant: writes go only to the primary of
// the highest known term; a leaving instance gets nothing new. Pure. Thread: its host's.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/position.h"
#include "common/time.h"

namespace valvekeel::routing {

/// One instance as a gateway sees it.
struct InstanceView {
  std::string id;
  std::string zone;
  bool leaving = false;
  common::Position replayed;       // hint from earlier replies
  common::Instant avoid_until{0};  // after it could not be reached
};

/// One database group as a gateway sees it.
struct DatabaseView {
  std::string name;
  common::Term term = 0;  // of the known primary
  std::string primary;    // instance id, empty if not known
  std::vector<InstanceView> instances;
};

/// What a read needs.
struct ReadRequirements {
  common::Position required;
  std::string zone;           // of the gateway
  std::string preferred;      // replica that served this session before
  std::uint64_t session = 0;  // spreads sessions over equal replicas
};

/// Policy variants; the baselines are for measurements only.
enum class ReadPolicy : std::uint8_t { kByPosition, kPrimaryOnly };

class ReadWriteSplit {
 public:
  explicit ReadWriteSplit(ReadPolicy policy) : policy_(policy) {}

  /// @return instances to try in order, replicas first and the primary last.
  std::vector<std::string> ReadCandidates(const DatabaseView& view, const ReadRequirements& needs,
                                          common::Instant now) const;

  /// @return the primary, unless it is not known or leaving.
  static std::optional<std::string> WriteTarget(const DatabaseView& view);

 private:
  ReadPolicy policy_;
};

}  // namespace valvekeel::routing
