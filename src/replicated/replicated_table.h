// The table that every daemon holds: members, configuration and topology, merged by version.
//
// Owns: the entries and the hashes that summarize them. Invariant: an entry's version never goes
// down; two tables with the same entries have the same hashes, in whatever order they were applied.
// Pure. Thread: its host's.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace valvekeel::replicated {

/// What an entry describes; each kind has its own rule for versions.
enum class EntryKind : std::uint8_t {
  kMember = 0,      // version: incarnation, state
  kDatabase = 1,    // version: the platform's resource version
  kShareGroup = 2,  // version: the platform's resource version
  kTopology = 3,    // version: term
  kZone = 4,        // version: count of changes; name: observing zone "/" zone
};

struct EntryId {
  EntryKind kind = EntryKind::kMember;
  std::string name;

  auto operator<=>(const EntryId&) const = default;
};

struct Version {
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  auto operator<=>(const Version&) const = default;
};

struct Entry {
  EntryId id;
  Version version;
  bool deleted = false;
  nlohmann::json value;
};

/// An entry's name and version without its value.
struct EntrySummary {
  EntryId id;
  Version version;
};

inline constexpr std::size_t kBucketCount = 64;
using BucketHashes = std::array<std::uint64_t, kBucketCount>;

/// Versioned entries with summaries for comparison between daemons.
class ReplicatedTable {
 public:
  /// Takes the entry if its version is higher than the one held.
  /// @return true if the table changed.
  bool Apply(const Entry& entry);

  /// @return the entry, deleted ones included, or null.
  const Entry* Find(const EntryId& id) const;

  /// @return all entries of a kind that are not deleted.
  std::vector<const Entry*> OfKind(EntryKind kind) const;

  /// @return all entries.
  const std::map<EntryId, Entry>& All() const { return entries_; }

  /// Removes the entry without a trace; for members gone long ago.
  void Remove(const EntryId& id);

  /// @return one hash over the whole table.
  std::uint64_t RootHash() const { return root_; }

  const BucketHashes& Hashes() const { return buckets_; }

  /// @return the summaries of a bucket's entries.
  std::vector<EntrySummary> Bucket(std::size_t bucket) const;

  /// @return the bucket that the entry belongs to.
  static std::size_t BucketOf(const EntryId& id);

 private:
  void ToggleHash(const Entry& entry);

  std::map<EntryId, Entry> entries_;
  BucketHashes buckets_{};
  std::uint64_t root_ = 0;
};

}  // namespace valvekeel::replicated
