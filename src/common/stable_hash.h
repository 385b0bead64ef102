// Hashes that are alike on every daemon and in every build.
//
// Owns: nothing. Invariant: the same texts give the same number everywhere; Abseil's and the
// standard library's hashes don't promise that. Thread: any.
#pragma once

#include <cstdint>
#include <string_view>

namespace valvekeel::common {

/// Where a hash begins.
inline constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ULL;

/// @return the hash with a text's bytes added (FNV-1a, public domain).
std::uint64_t AccumulateHash(std::uint64_t hash, std::string_view text);

/// @return the value with its bits mixed (the finalizer of splitmix64, public domain).
std::uint64_t MixHash(std::uint64_t value);

/// @return a hash of two texts.
std::uint64_t StableHash(std::string_view first, std::string_view second);

}  // namespace valvekeel::common
