// How well an instance suits to lead its group, apart from the log that it holds.
//
// Owns: the typed value. Invariant: none. Thread: any (values only).
#pragma once

#include <cstdint>

namespace valvekeel::model {

/// Ordered: who suits better is greater.
enum class LeaderFitness : std::uint8_t {
  kUnfit,  // much of the group's work could not run there
  kPoor,   // the work could run there, but badly for a while
  kFit,
};

}  // namespace valvekeel::model
