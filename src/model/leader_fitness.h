// Fitness of an instance as the primary of its group, apart from its log position.
//
// Owns: the typed value. Invariant: none. Values only; safe in any thread.
#pragma once

#include <cstdint>

namespace valvekeel::model {

/// Ordered: the fitter instance has the greater value.
enum class LeaderFitness : std::uint8_t {
  kUnfit,  // much of the group's load could not run there
  kPoor,   // the load could run there, but slowly for a while
  kFit,
};

}  // namespace valvekeel::model
