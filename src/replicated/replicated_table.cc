#include "replicated/replicated_table.h"

namespace valvekeel::replicated {
namespace {

// FNV-1a and the finalizer of splitmix64, both public domain. Abseil's hash is seeded per process,
// so it cannot be compared between daemons.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

std::uint64_t Accumulate(std::uint64_t hash, std::string_view text) {
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash;
}

std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint64_t IdHash(const EntryId& id) {
  const std::uint64_t seed = Mix(kFnvOffset + static_cast<std::uint64_t>(id.kind));
  return Mix(Accumulate(seed, id.name));
}

std::uint64_t SummaryHash(const Entry& entry) {
  const std::uint64_t version = Mix(entry.version.major) ^ Mix(~entry.version.minor);
  return Mix(IdHash(entry.id) + version);
}

}  // namespace

std::uint64_t StableHash(std::string_view first, std::string_view second) {
  return Mix(Accumulate(Mix(Accumulate(kFnvOffset, first)), second));
}

std::size_t ReplicatedTable::BucketOf(const EntryId& id) { return IdHash(id) % kBuckets; }

void ReplicatedTable::Toggle(const Entry& entry) {
  const std::uint64_t hash = SummaryHash(entry);
  buckets_[BucketOf(entry.id)] ^= hash;
  root_ ^= hash;
}

bool ReplicatedTable::Apply(const Entry& entry) {
  const auto found = entries_.find(entry.id);
  if (found == entries_.end()) {
    entries_.emplace(entry.id, entry);
    Toggle(entry);
    return true;
  }
  if (entry.version <= found->second.version) {
    return false;
  }
  Toggle(found->second);
  found->second = entry;
  Toggle(entry);
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

void ReplicatedTable::Forget(const EntryId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    Toggle(found->second);
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
