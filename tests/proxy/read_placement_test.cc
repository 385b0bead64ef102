#include "proxy/read_placement.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxy {
namespace {

using common::Duration;
using common::Instant;
using common::Position;
using model::Consistency;

constexpr Instant kStart{100'000'000};

/// Instances "p" (primary), "a" in the daemon's zone and "b" in another zone.
struct PlacementFixture {
  PlacementFixture() {
    settings.zone = "near";
    Add("p", "far");
    Add("a", "near");
    Add("b", "far");
  }

  void Add(const std::string& id, const std::string& zone) {
    model::InstanceEntry entry;
    entry.id = id;
    entry.service = "group";
    entry.zone = zone;
    entry.address = {"10.0.0.1", static_cast<std::uint16_t>(id[0])};
    backends.SetEntry(entry, kStart);
  }

  std::vector<Placement> Candidates(const ReadParameters& read, Instant now) const {
    return placement.Candidates(group, "p", {"a", "b", "p"}, read, {route, ""}, now);
  }

  ProxySettings settings;
  Outbox outbox;
  BackendSet backends{outbox};
  GroupState group{"group", Instant(0)};
  access::rule_set access;
  model::Route route;
  ReadPlacement placement{settings, backends, access};
};

ReadParameters BoundedRead(Instant arrived) {
  return {Consistency::kBoundedStaleness, Duration(1'500'000), arrived, {}, Instant(0)};
}

}  // namespace

TEST_CASE("An instance of another region is ranked behind one of another zone",
          "[proxy][regions]") {
  PlacementFixture fixture;
  fixture.Add("c", "abroad");
  fixture.settings.region = "home";
  fixture.settings.regions = {{"near", "home"}, {"far", "home"}, {"abroad", "other"}};
  fixture.group.history.Add({kStart, Position{1, 40}});
  const auto places = fixture.placement.Candidates(fixture.group, "p", {"c", "b", "a"},
                                                   BoundedRead(kStart + Duration(100'000)),
                                                   {fixture.route, ""}, kStart);
  REQUIRE(places.size() == 3);
  CHECK(places[0].instance == "a");
  CHECK(places[1].instance == "b");
  CHECK(places[2].instance == "c");
}

TEST_CASE("A replica of the own zone is ranked first, with its required position", "[proxy]") {
  PlacementFixture fixture;
  fixture.group.history.Add({kStart, Position{1, 40}});
  const auto places = fixture.Candidates(BoundedRead(kStart + Duration(100'000)), kStart);
  REQUIRE(places.size() == 3);
  CHECK(places[0].instance == "a");
  CHECK(places[0].required == Position{1, 40});
}

TEST_CASE("Without a known position only the primary serves", "[proxy]") {
  const PlacementFixture fixture;
  const auto places = fixture.Candidates(BoundedRead(kStart), kStart);
  REQUIRE(places.size() == 1);
  CHECK(places[0].instance == "p");
  CHECK_FALSE(places[0].required);
}

TEST_CASE("The session's own commit is required beyond the bound", "[proxy]") {
  PlacementFixture fixture;
  fixture.group.history.Add({kStart, Position{1, 40}});
  ReadParameters read = BoundedRead(kStart + Duration(10'000));
  read.consistency = Consistency::kReadYourWrites;
  read.own_commit = Position{1, 45};
  read.own_commit_at = kStart + Duration(5'000);
  const auto own = ReadPlacement::FindRequirement(fixture.group, read, kStart + Duration(10'000));
  REQUIRE(own);
  CHECK(own->position == Position{1, 45});
  CHECK(own->is_own_commit);
  // A later sample covers the commit, even if the commit's position was rolled back in between.
  fixture.group.history.Add({kStart + Duration(6'000), Position{1, 43}});
  const auto covered =
      ReadPlacement::FindRequirement(fixture.group, read, kStart + Duration(10'000));
  REQUIRE(covered);
  CHECK(covered->position == Position{1, 43});
}

TEST_CASE("A replica that rejected a read as lagging is ranked last until the record expires",
          "[proxy]") {
  PlacementFixture fixture;
  fixture.group.history.Add({kStart, Position{1, 40}});
  fixture.backends.Find("a")->OnLaggingRead(Duration(1'400'000), true, kStart);
  const auto places = fixture.Candidates(BoundedRead(kStart), kStart + Duration(1'000));
  REQUIRE(places.size() == 3);
  CHECK(places.back().instance == "a");
  const Instant later = kStart + Duration(2'000'000);
  CHECK(fixture.backends.Find("a")->ExpectedFresh(Duration(100'000), later));
}

TEST_CASE("A draining instance serves only if no other can, and not past the drain limit",
          "[proxy]") {
  PlacementFixture fixture;
  fixture.group.history.Add({kStart, Position{1, 40}});
  fixture.backends.OnEntryRemoved("a", kStart);
  const auto places = fixture.Candidates(BoundedRead(kStart), kStart);
  CHECK(places.size() == 2);
  for (const std::string id : {"b", "p"}) {
    fixture.backends.OnEntryRemoved(id, kStart);
  }
  CHECK(fixture.Candidates(BoundedRead(kStart), kStart).size() == 3);
  CHECK(fixture.Candidates(BoundedRead(kStart), kStart + fixture.settings.drain_limit).empty());
}

}  // namespace valvekeel::proxy
