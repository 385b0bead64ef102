// Revisions of the metadata store.
//
// The store may come back from an older copy: then it gives numbers out a second time. The era of
// its history, which rises with each such return, tells them apart.
//
// Owns: the value. Invariant: of two revisions the one of the later era is the newer, whatever
// their numbers. Thread: any (values only).
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace valvekeel::model {

struct Revision {
  std::uint64_t era = 0;     // 0: the store tells none
  std::uint64_t number = 0;  // rises with each change of an era

  constexpr Revision() = default;
  /// A store that tells no era has numbers alone.
  constexpr Revision(std::uint64_t number, std::uint64_t era = 0) : era(era), number(number) {}

  auto operator<=>(const Revision&) const = default;
};

/// @return the first of an era's revisions: newer than any of an earlier era.
constexpr Revision FirstRevisionOfEra(std::uint64_t era) { return {0, era}; }

/// @return "ERA.NUMBER", or the number alone without an era, for logs.
inline std::string RevisionText(const Revision& revision) {
  const std::string number = std::to_string(revision.number);
  return revision.era == 0 ? number : std::to_string(revision.era) + "." + number;
}

}  // namespace valvekeel::model
