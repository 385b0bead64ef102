// Versioned table of members, configuration and topology that is replicated to every daemon.
//
// Owns: the entries and the hashes that summarize them. Invariant: the version of an entry never
// decreases; two tables with the same entries have the same hashes, regardless of the order in
// which the entries were applied. No I/O and no clock; not thread-safe.
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

/// What an entry describes. Each kind derives versions (major, minor) from another source.
enum class EntryKind : std::uint8_t {
  kMember = 0,      // version: incarnation, state
  kDatabase = 1,    // version: resource version on the platform
  kShareGroup = 2,  // version: resource version on the platform
  kTopology = 3,    // version: term
  kZone = 4,        // version: number of changes; name: observing zone "/" observed zone
};

/// Key of an entry; the name is unique within its kind.
struct EntryId {
  EntryKind kind = EntryKind::kMember;
  std::string name;

  auto operator<=>(const EntryId&) const = default;
};

/// Version of an entry; ordered by major, then by minor.
struct Version {
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  auto operator<=>(const Version&) const = default;
};

/// An entry of the table. A deleted entry stays as a tombstone, so that older versions of it are
/// rejected.
struct Entry {
  EntryId id;
  Version version;
  bool deleted = false;
  nlohmann::json value;
};

/// Key and version of an entry, without its value.
struct EntrySummary {
  EntryId id;
  Version version;
};

inline constexpr std::size_t kBucketCount = 64;
using BucketHashes = std::array<std::uint64_t, kBucketCount>;

/// Versioned entries, and hashes of them by which two daemons find the entries that differ.
class ReplicatedTable {
 public:
  /// Stores the entry if it is new or its version is higher than the stored one.
  /// @return true if the table changed.
  bool Apply(const Entry& entry);

  /// @return the entry, which may be marked as deleted, or null.
  const Entry* Find(const EntryId& id) const;

  /// @return the entries of a kind that are not marked as deleted.
  std::vector<const Entry*> OfKind(EntryKind kind) const;

  /// @return all entries, including those marked as deleted.
  const std::map<EntryId, Entry>& All() const { return entries_; }

  /// Removes the entry without leaving a tombstone. Used for members that ended long ago.
  void Remove(const EntryId& id);

  /// @return the hash of the ids and versions of all entries.
  std::uint64_t RootHash() const { return root_; }

  /// @return one hash for each bucket.
  const BucketHashes& Hashes() const { return buckets_; }

  /// @return the summaries of the entries in a bucket.
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
