#include "replicated/replicated_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::replicated {

TEST_CASE("Versions never decrease and the order of application does not matter", "[replicated]") {
  const bool holds = rc::check([](std::vector<std::pair<std::uint8_t, std::uint8_t>> changes) {
    const auto apply = [](ReplicatedTable& table, const auto& change) {
      Entry entry;
      entry.id = {EntryKind::kDatabase, std::string(1, static_cast<char>('a' + change.first % 5))};
      entry.version = {change.second, 0};
      entry.value = change.second;
      const Entry* before = table.Find(entry.id);
      const Version old = before == nullptr ? Version{} : before->version;
      table.Apply(entry);
      RC_ASSERT(table.Find(entry.id)->version >= old);
    };
    ReplicatedTable forward;
    ReplicatedTable backward;
    for (const auto& change : changes) {
      apply(forward, change);
    }
    std::reverse(changes.begin(), changes.end());
    for (const auto& change : changes) {
      apply(backward, change);
    }
    RC_ASSERT(forward.RootHash() == backward.RootHash());
    RC_ASSERT(forward.Hashes() == backward.Hashes());
  });
  CHECK(holds);
}

TEST_CASE("A removed entry does not affect the hashes", "[replicated]") {
  ReplicatedTable table;
  const std::uint64_t empty = table.RootHash();
  Entry entry;
  entry.id = {EntryKind::kMember, "m"};
  entry.version = {1, 0};
  REQUIRE(table.Apply(entry));
  CHECK_FALSE(table.Apply(entry));
  CHECK(table.RootHash() != empty);
  CHECK(table.Bucket(ReplicatedTable::BucketOf(entry.id)).size() == 1);
  table.Remove(entry.id);
  CHECK(table.RootHash() == empty);
}

}  // namespace valvekeel::replicated
