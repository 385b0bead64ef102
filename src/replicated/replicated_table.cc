#include "replicated/replicated_table.h"

#include "common/stable_hash.h"

namespace valvekeel::replicated {
namespace {

using common::AccumulateHash;
using common::kHashStart;
using common::MixHash;

std::uint64_t IdHash(const EntryId& id) {
  const std::uint64_t seed = MixHash(kHashStart + static_cast<std::uint64_t>(id.kind));
  return MixHash(AccumulateHash(seed, id.name));
}

std::uint64_t SummaryHash(const Entry& entry) {
  const std::uint64_t version = MixHash(entry.version.major) ^ MixHash(~entry.version.minor);
  return MixHash(IdHash(entry.id) + version);
}

}  // namespace

std::size_t ReplicatedTable::BucketOf(const EntryId& id) { return IdHash(id) % kBucketCount; }

void ReplicatedTable::ToggleHash(const Entry& entry) {
  const std::uint64_t hash = SummaryHash(entry);
  buckets_[BucketOf(entry.id)] ^= hash;
  root_ ^= hash;
}

bool ReplicatedTable::Apply(const Entry& entry) {
  const auto found = entries_.find(entry.id);
  if (found == entries_.end()) {
    entries_.emplace(entry.id, entry);
    ToggleHash(entry);
    return true;
  }
  if (entry.version <= found->second.version) {
    return false;
  }
  ToggleHash(found->second);
  found->second = entry;
  ToggleHash(entry);
  return true;
}

const Entry* ReplicatedTable::Find(const EntryId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const Entry*> ReplicatedTable::OfKind(EntryKind kind) const {
  std::vector<const Entry*> entries;
  for (auto it = entries_.lower_bound({kind, ""}); it != entries_.end(); ++it) {
    if (it->first.kind != kind) {
      break;
    }
    if (!it->second.deleted) {
      entries.push_back(&it->second);
    }
  }
  return entries;
}

void ReplicatedTable::Remove(const EntryId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    ToggleHash(found->second);
    entries_.erase(found);
  }
}

std::vector<EntrySummary> ReplicatedTable::Bucket(std::size_t bucket) const {
  std::vector<EntrySummary> summaries;
  for (const auto& [id, entry] : entries_) {
    if (BucketOf(id) == bucket) {
      summaries.push_back({id, entry.version});
    }
  }
  return summaries;
}

}  // namespace valvekeel::replicated
