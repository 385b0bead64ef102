#include "metadata/collection_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::metadata {
namespace {

using common::Duration;
using common::Instant;
using model::CatalogObject;
using model::Collection;

constexpr Duration kWait{2'000'000};
constexpr Duration kLongestPause{2'000'000};

CatalogObject Object(const std::string& name, std::uint64_t revision, bool gone = false) {
  return {name, revision, gone, std::monostate()};
}

ReadResult OfEra(std::uint64_t era, std::uint64_t revision, std::vector<CatalogObject> objects) {
  for (CatalogObject& object : objects) {
    object.revision.era = era;
  }
  return {ReadStatus::kOk, {revision, era}, std::move(objects)};
}

/// A follower that has listed "a" and "b" at revision 10.
CollectionFollower ListedFollower() {
  CollectionFollower follower(Collection::kInstances, kWait);
  const auto call = follower.Next(Instant(1));
  REQUIRE(call);
  REQUIRE_FALSE(call->after_revision);
  const auto changes =
      follower.OnAnswer({ReadStatus::kOk, 10, {Object("a", 3), Object("b", 7)}}, Instant(2), 0);
  REQUIRE(changes.size() == 2);
  return follower;
}

}  // namespace

TEST_CASE("A list is followed by watches from its revision, one call at a time", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  const auto watch = follower.Next(Instant(3));
  REQUIRE(watch);
  CHECK(watch->after_revision == 10);
  CHECK_FALSE(follower.Next(Instant(4)));
  const auto changes = follower.OnAnswer({ReadStatus::kOk, 12, {Object("a", 12)}}, Instant(5), 0);
  REQUIRE(changes.size() == 1);
  CHECK(follower.Next(Instant(6))->after_revision == 12);
}

TEST_CASE("After the history is gone a fresh list shows the objects deleted meanwhile",
          "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.Next(Instant(3));
  CHECK(follower.OnAnswer({ReadStatus::kHistoryGone, 0, {}}, Instant(4), 0).empty());
  CHECK(follower.Connected());
  const auto list = follower.Next(Instant(5));
  REQUIRE(list);
  CHECK_FALSE(list->after_revision);
  const auto changes = follower.OnAnswer({ReadStatus::kOk, 30, {Object("a", 3)}}, Instant(6), 0);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].object.name == "b");
  CHECK(changes[0].object.deleted);
}

TEST_CASE("The first list of a store restored from an older copy is applied", "[metadata]") {
  // Guards against a new route refused for 5 s: after a restore from a copy the store's revisions
  // had gone back, and an object written again, or
  // for the first time, at a revision below the known one was ignored as older.
  CollectionFollower follower = ListedFollower();
  follower.Next(Instant(3));
  CHECK(follower.OnAnswer({ReadStatus::kHistoryGone, 0, {}}, Instant(4), 0).empty());
  REQUIRE(follower.Next(Instant(5)));
  const auto changes =
      follower.OnAnswer(OfEra(1, 8, {Object("a", 3), Object("b", 6)}), Instant(6), 0);
  CHECK(std::any_of(changes.begin(), changes.end(),
                    [](const CatalogChange& change) { return change.object.name == "b"; }));
}

TEST_CASE("On notification a list of a later era is applied whatever its revision", "[metadata]") {
  // Guards against daemons that list on notification missing new versions: revisions 72 to 74 of
  // the new era were reported to them, and 74 was already known of the former one.
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, Duration(0), true, true});
  follower.RecordRevision(12);
  REQUIRE(follower.Next(Instant(4)));
  const auto changes =
      follower.OnAnswer(OfEra(1, 8, {Object("a", 3), Object("b", 6)}), Instant(5), 0);
  CHECK(std::any_of(changes.begin(), changes.end(),
                    [](const CatalogChange& change) { return change.object.name == "b"; }));
}

TEST_CASE("On notification a list is read, at first with stale answers allowed", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, Duration(0), true, true});
  CHECK_FALSE(follower.Next(Instant(3)));
  follower.RecordRevision(12);
  const auto list = follower.Next(Instant(4));
  REQUIRE(list);
  CHECK_FALSE(list->after_revision);
  CHECK(list->allow_stale);
  // A stale list changes nothing; objects missing from it do not count as deleted.
  CHECK(follower.OnAnswer({ReadStatus::kOk, 9, {Object("a", 3)}}, Instant(5), 0).empty());
  Instant now(5);
  for (int i = 0; i < 2; ++i) {
    now += kLongestPause;
    CHECK(follower.Next(now)->allow_stale);
    follower.OnAnswer({ReadStatus::kOk, 9, {}}, now, 0);
  }
  now += kLongestPause;
  CHECK_FALSE(follower.Next(now)->allow_stale);
  const auto changes =
      follower.OnAnswer({ReadStatus::kOk, 12, {Object("a", 3), Object("b", 12)}}, now, 0);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].object.name == "b");
  CHECK_FALSE(follower.Next(now));
}

TEST_CASE("Without notifications a list is read after the watch wait", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, Duration(0), true, true});
  CHECK_FALSE(follower.Next(Instant(3)));
  CHECK(follower.Next(Instant(3) + kWait));
}

TEST_CASE("An older state of an object is never reported", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.Next(Instant(3));
  CHECK(follower.OnAnswer({ReadStatus::kOk, 12, {Object("b", 5)}}, Instant(4), 0).empty());
}

TEST_CASE("Retries back off up to a bound until the first answer", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  Instant now(3);
  for (int failure = 0; failure < 10; ++failure) {
    REQUIRE(follower.Next(now));
    follower.OnAnswer({ReadStatus::kRefused, 0, {}}, now, 0.5);
    CHECK_FALSE(follower.Connected());
    CHECK_FALSE(follower.Next(now));
    now += kLongestPause;
  }
  REQUIRE(follower.Next(now));
  follower.OnAnswer({ReadStatus::kOk, 11, {}}, now, 0.5);
  CHECK(follower.Connected());
  CHECK(follower.Next(now));
}

TEST_CASE("A pause after each answer batches changes", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, Duration(1'000)});
  REQUIRE(follower.Next(Instant(3)));
  follower.OnAnswer({ReadStatus::kOk, 11, {Object("a", 11)}}, Instant(4), 0);
  CHECK_FALSE(follower.Next(Instant(1'003)));
  CHECK(follower.Next(Instant(1'004)));
}

TEST_CASE("A collection that is not followed makes no calls", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, Duration(0), false});
  CHECK_FALSE(follower.Next(Instant(3)));
  follower.SetPace({kWait});
  CHECK(follower.Next(Instant(3)));
}

TEST_CASE("An abandoned call is followed by another", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  REQUIRE(follower.Next(Instant(3)));
  CHECK_FALSE(follower.Next(Instant(4)));
  follower.Abandon();
  CHECK(follower.Next(Instant(4)));
}

TEST_CASE("A refresh lists the newest state at once, then watches continue", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.SetPace({kWait, kLongestPause});
  follower.Next(Instant(3));
  follower.OnAnswer({ReadStatus::kOk, 11, {}}, Instant(4), 0);
  REQUIRE_FALSE(follower.Next(Instant(5)));  // changes are batched
  CHECK_FALSE(follower.FreshAsOf());
  follower.Refresh();
  const auto list = follower.Next(Instant(6));
  REQUIRE(list);
  CHECK_FALSE(list->after_revision);
  CHECK_FALSE(list->allow_stale);
  follower.OnAnswer({ReadStatus::kOk, 12, {Object("a", 12)}}, Instant(9), 0);
  CHECK(follower.FreshAsOf() == Instant(6));
  CHECK_FALSE(follower.Refreshing());
  CHECK(follower.Next(Instant(9) + kLongestPause)->after_revision == 12);
}

TEST_CASE("A refresh that the store does not answer is retried", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  follower.Refresh();
  REQUIRE(follower.Next(Instant(3)));
  follower.OnAnswer({ReadStatus::kNoAnswer, 0, {}}, Instant(4), 0);
  CHECK(follower.Refreshing());
  CHECK_FALSE(follower.FreshAsOf());
  const auto list = follower.Next(Instant(5'000'000));
  REQUIRE(list);
  CHECK_FALSE(list->allow_stale);
}

TEST_CASE("A watch is current once it had time to deliver missed changes", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  CHECK_FALSE(follower.WatchIsCurrent(Instant(3)));
  follower.Next(Instant(3));
  CHECK_FALSE(follower.WatchIsCurrent(Instant(4)));
  CHECK(follower.WatchIsCurrent(Instant(500'000)));
  follower.SetPace({kWait, kLongestPause});
  CHECK_FALSE(follower.WatchIsCurrent(Instant(500'000)));
}

TEST_CASE("CompleteAsOf is the time at which the newest answered call was sent", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  CHECK(follower.CompleteAsOf() == Instant(1));
  REQUIRE(follower.Next(Instant(3)));
  follower.OnAnswer({ReadStatus::kOk, 12, {}}, Instant(900), 0);
  CHECK(follower.CompleteAsOf() == Instant(3));
  REQUIRE(follower.Next(Instant(901)));
  follower.OnAnswer({ReadStatus::kNoAnswer, 0, {}}, Instant(2'000), 0);
  CHECK(follower.CompleteAsOf() == Instant(3));
}

TEST_CASE("A list that may be stale does not set CompleteAsOf", "[metadata]") {
  CollectionFollower follower(Collection::kInstances, kWait);
  follower.AllowStaleFirstList();
  REQUIRE(follower.Next(Instant(1)));
  follower.OnAnswer({ReadStatus::kOk, 10, {}}, Instant(2), 0);
  CHECK_FALSE(follower.CompleteAsOf());
}

TEST_CASE("A watch that starts after a break does not show that the store is reachable",
          "[metadata]") {
  // Guards against daemons behind a partition that begin to follow and take the list of their first
  // second for the newest.
  CollectionFollower follower = ListedFollower();
  follower.SetPaused(true);
  CHECK_FALSE(follower.Next(Instant(3)));
  follower.SetPaused(false);
  const Instant later(60'000'000);
  REQUIRE(follower.Next(later));
  CHECK_FALSE(follower.WatchIsCurrent(later + Duration(200'000)));
  follower.OnAnswer({ReadStatus::kOk, 12, {}}, later + Duration(300'000), 0);
  REQUIRE(follower.Next(later + Duration(300'001)));
  CHECK(follower.WatchIsCurrent(later + Duration(500'000)));
}

TEST_CASE("A single change is reported at once, a burst is batched", "[metadata]") {
  CollectionFollower follower = ListedFollower();
  const Duration apart(8'000);
  Instant now(10'000'000);
  std::uint64_t revision = 10;
  std::size_t calls = 0;
  // 1000 changes in 8 s, as when all instances start.
  for (std::uint64_t change = 0; change < 1'000; ++change) {
    now += apart;
    if (follower.Next(now)) {
      ++calls;
      ++revision;
      follower.OnAnswer({ReadStatus::kOk, revision, {Object("c", revision)}}, now, 0);
    }
  }
  CHECK(calls < 50);
  // After a break the next change is reported at once again.
  now += Duration(5'000'000);
  REQUIRE(follower.Next(now));
  ++revision;
  follower.OnAnswer({ReadStatus::kOk, revision, {Object("c", revision)}}, now, 0);
  CHECK(follower.Next(now + Duration(1)));
}

}  // namespace valvekeel::metadata
