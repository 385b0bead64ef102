// Revisions of the metadata store.
//
// A store that is restored from an older copy issues revision numbers a second time. The era of its
// history, which rises with each restore, distinguishes them.
//
// Owns: the value. Invariant: of two revisions the one of the later era is newer, whatever their
// numbers. Values only; safe in any thread.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace valvekeel::model {

/// A revision of the store: ordered by era, then by number.
struct Revision {
  std::uint64_t era = 0;     // 0: the store reports none
  std::uint64_t number = 0;  // rises with each change within an era

  constexpr Revision() = default;
  /// The era is 0 for a store that reports none.
  constexpr Revision(std::uint64_t number, std::uint64_t era = 0) : era(era), number(number) {}

  auto operator<=>(const Revision&) const = default;
};

/// @return the first revision of an era: newer than any of an earlier era.
constexpr Revision FirstRevisionOfEra(std::uint64_t era) { return {0, era}; }

/// @return "ERA.NUMBER", or the number alone if there is no era, for logs.
inline std::string RevisionText(const Revision& revision) {
  const std::string number = std::to_string(revision.number);
  return revision.era == 0 ? number : std::to_string(revision.era) + "." + number;
}

}  // namespace valvekeel::model
