#include "group/commit_holders.h"

#include <catch2/catch.hpp>
#include <limits>

namespace valvekeel::group {
namespace {

constexpr common::Instant kAsked{10'000'000};

}  // namespace

// A record of another writer with a huge count made the daemon allocate memory for each lost log.
TEST_CASE("A record of any number of lost logs is applied", "[group]") {
  CommitHolders holders;
  model::HolderRecord record;
  record.lost_logs = std::numeric_limits<std::size_t>::max();
  holders.ApplyRecord(record, 1, kAsked);
  CHECK(holders.LostLogs() == std::numeric_limits<std::uint32_t>::max());
  holders.OnLogLost("a", kAsked);
  CHECK(holders.LostLogs() == std::size_t{std::numeric_limits<std::uint32_t>::max()} + 1);
  PositionHistory history;
  history.Add({kAsked, {1, 5}});
  holders.Cover(history);
  CHECK(holders.LostLogs() == 0);
  CHECK(holders.Floor() == common::Position{1, 5});
}

TEST_CASE("Lost logs of a record count in addition to what is known, up to its number", "[group]") {
  CommitHolders holders;
  holders.OnLogLost("a", kAsked);
  model::HolderRecord record;
  record.lost_logs = 3;
  holders.ApplyRecord(record, 1, kAsked + common::Duration(1));
  CHECK(holders.LostLogs() == 3);
  PositionHistory history;
  history.Add({kAsked, {1, 5}});
  holders.Cover(history);
  CHECK(holders.LostLogs() == 2);
}

}  // namespace valvekeel::group
