#include "standin/database_group.h"

#include <catch2/catch.hpp>
#include <random>

namespace valvekeel::standin {
namespace {

Change Insert(const std::string& key) {
  Change change;
  change.table = "t";
  change.row = std::hash<std::string>()(key);
  change.content = Row{Value{key}};
  return change;
}

DatabaseGroup MakeGroup() {
  GroupTiming timing;
  timing.network = std::chrono::milliseconds(1);
  timing.election = std::chrono::milliseconds(10);
  DatabaseGroup group(3, timing);
  Change create;
  create.table = "t";
  create.created = TableDefinition{{{"id", ColumnType::kText}}, 0};
  group.Commit(0, {create}, common::Instant{0});
  return group;
}

bool Has(const DatabaseGroup& group, std::size_t instance, const std::string& key) {
  const auto& tables = group.At(instance).tables.tables;
  const auto found = tables.find("t");
  return found != tables.end() && found->second.by_key.contains(key);
}

}  // namespace

TEST_CASE("A cut-off primary keeps accepting, and loses that on its return", "[standin]") {
  DatabaseGroup group = MakeGroup();
  group.Tick(std::chrono::milliseconds(5));
  group.Isolate(0, std::chrono::milliseconds(6));
  group.Commit(0, {Insert("lost")}, std::chrono::milliseconds(7));
  CHECK(Has(group, 0, "lost"));
  group.Tick(std::chrono::milliseconds(30));
  CHECK(group.Primary() != 0);
  CHECK(group.At(group.Primary()).state.term == 2);
  group.Heal(0, std::chrono::milliseconds(40));
  CHECK_FALSE(Has(group, 0, "lost"));
  CHECK(group.At(0).state.in_recovery);
  CHECK(group.At(0).generation == 2);
}

TEST_CASE("What a majority had received survives any change of primary", "[standin]") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    DatabaseGroup group = MakeGroup();
    common::Instant now{10'000};
    std::vector<std::string> durable;
    for (int step = 0; step < 60; ++step) {
      now += std::chrono::milliseconds(random() % 8);
      group.Tick(now);
      const std::size_t instance = random() % 3;
      switch (random() % 6) {
        case 0:
          group.Isolate(instance, now);
          break;
        case 1:
          group.Heal(instance, now);
          break;
        case 2:
          group.Stop(instance, now);
          group.Start(instance, now);
          break;
        default: {
          const std::size_t primary = group.Primary();
          const std::string key = "k" + std::to_string(step);
          const common::Position end = group.Commit(primary, {Insert(key)}, now);
          now += std::chrono::milliseconds(2);
          group.Tick(now);
          std::size_t holders = 0;
          for (std::size_t i = 0; i < group.Size(); ++i) {
            const auto& state = group.At(i).state;
            holders += state.term == end.term && state.received >= end.lsn ? 1 : 0;
          }
          if (2 * holders > group.Size()) {
            durable.push_back(key);
          }
          break;
        }
      }
    }
    for (std::size_t i = 0; i < group.Size(); ++i) {
      group.Heal(i, now);
      group.Start(i, now);
    }
    now += std::chrono::milliseconds(100);
    group.Tick(now);
    for (const std::string& key : durable) {
      INFO("seed " << seed << " key " << key);
      REQUIRE(Has(group, group.Primary(), key));
    }
  }
}

}  // namespace valvekeel::standin
