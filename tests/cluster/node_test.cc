#include "cluster/node.h"

#include <catch2/catch.hpp>

#include "cluster/placement.h"
#include "sim/cluster_sim.h"

namespace valvekeel::cluster {
namespace {

sim::ClusterShape Shape(std::uint64_t seed = 1, std::size_t daemons = 24) {
  sim::ClusterShape shape;
  shape.daemons = daemons;
  shape.databases = 6;
  shape.seed = seed;
  return shape;
}

constexpr common::Duration kTimeout{60'000'000};

}  // namespace

TEST_CASE("A change reaches every daemon without waiting for repair", "[cluster]") {
  // Guards against two forwarding trees that each omit members which the other seems to cover.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    sim::ClusterSim sim(Shape(seed, 48));
    sim.StartAll();
    sim.Run(std::chrono::seconds(3));
    for (std::size_t database = 0; database < 6; ++database) {
      const std::uint64_t version = sim.ChangeDatabase(database);
      sim.Run(std::chrono::milliseconds(100));
      CHECK(sim.InForceEverywhere(database, version));
    }
  }
}

TEST_CASE("A crashed daemon is removed from every view and rejoins after a restart", "[cluster]") {
  sim::ClusterSim sim(Shape());
  sim.StartAll();
  sim.Run(std::chrono::seconds(2));
  sim.Kill(5);
  REQUIRE(sim.RunUntil([&] { return sim.ViewsAgree(); }, kTimeout));
  const std::uint64_t version = sim.ChangeDatabase(0);
  sim.Run(std::chrono::seconds(1));
  sim.Restart(5);
  REQUIRE(sim.RunUntil([&] { return sim.ViewsAgree() && sim.InForceEverywhere(0, version); },
                       kTimeout));
}

TEST_CASE("The loss of a whole zone is detected by the other zones", "[cluster]") {
  // Guards against members of a lost zone that stay in the views: no member of their own zone is
  // left to suspect them.
  sim::ClusterSim sim(Shape());
  sim.StartAll();
  sim.Run(std::chrono::seconds(2));
  for (std::size_t daemon = 0; daemon < sim.Size(); ++daemon) {
    if (sim.ZoneOf(daemon) == "zone-2") {
      sim.Kill(daemon);
    }
  }
  REQUIRE(sim.RunUntil([&] { return sim.ViewsAgree(); }, kTimeout));
  CHECK(sim.NodeAt(0).ServingIn("zone-2").empty());
}

TEST_CASE("Partitioned regions converge after the partition ends", "[cluster]") {
  sim::ClusterSim sim(Shape());
  sim.StartAll();
  sim.Run(std::chrono::seconds(2));
  sim.CutRegions(true);
  sim.Run(std::chrono::seconds(20));
  const std::uint64_t version = sim.ChangeDatabase(1, true);
  sim.Run(std::chrono::seconds(20));
  CHECK_FALSE(sim.InForceEverywhere(1, version));
  sim.CutRegions(false);
  CHECK(sim.RunUntil([&] { return sim.InForceEverywhere(1, version) && sim.ViewsAgree(); },
                     kTimeout));
}

TEST_CASE("A planned stop moves ownership at once", "[cluster]") {
  sim::ClusterSim sim(Shape());
  sim.StartAll();
  sim.Run(std::chrono::seconds(2));
  sim.StopPlanned(3);
  sim.Run(std::chrono::milliseconds(200));
  CHECK(sim.ViewsAgree());
}

TEST_CASE("A suspicion is refuted by a higher incarnation", "[cluster]") {
  Member self;
  self.id = "a";
  self.zone = "z";
  self.incarnation = 7;
  Node node(self, {}, {});
  node.Start(common::Instant{0});
  Member failed_record = self;
  failed_record.state = MemberState::kFailed;
  node.Receive("b", Update{{ToEntry(failed_record)}, false, {}}, common::Instant{1});
  CHECK(node.Self().incarnation == 8);
  CHECK(FromEntry(*node.Table().Find({replicated::EntryKind::kMember, "a"})).state ==
        MemberState::kAlive);
}

TEST_CASE("The loss of a member moves only what it owned", "[cluster]") {
  std::vector<Member> members(20);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].id = "m" + std::to_string(i);
  }
  std::vector<Member> fewer(members.begin(), members.end() - 1);
  std::size_t owned = 0;
  for (int object = 0; object < 1000; ++object) {
    const std::string name = "pool/db/" + std::to_string(object);
    const MemberId before = OwnerOf(name, members);
    if (before == "m19") {
      ++owned;
    } else {
      CHECK(OwnerOf(name, fewer) == before);
    }
  }
  CHECK(owned > 20);
  CHECK(owned < 90);
}

TEST_CASE("Messages survive encoding and invalid bytes are rejected", "[cluster]") {
  Update update;
  update.entries.push_back(sim::ClusterSim::DatabaseEntry(3, 9));
  update.forward = true;
  update.span = {5, 77};
  const auto read = Decode(Encode(update));
  REQUIRE(common::IsOk(read));
  CHECK(Encode(common::ValueOf(read)) == Encode(update));
  for (const std::string& bytes : {std::string("x"), std::string("\x82\x09\x80"), std::string()}) {
    CHECK_FALSE(common::IsOk(Decode(bytes)));
  }
}

}  // namespace valvekeel::cluster
