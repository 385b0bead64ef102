#include "daemon/directory.h"

#include <catch2/catch.hpp>

namespace valvekeel::daemon {
namespace {

cluster::Member MakeMember(std::string id, std::string zone) {
  cluster::Member member;
  member.id = std::move(id);
  member.zone = std::move(zone);
  member.incarnation = 1;
  member.peer = {"127.0.0.1", 1};
  return member;
}

configuration::InstanceSpec MakeInstance(std::string zone) {
  configuration::InstanceSpec instance;
  instance.id.push_back('0');
  instance.zone = std::move(zone);
  return instance;
}

constexpr common::Instant kNow{1'000'000};

}  // namespace

TEST_CASE("An instance is owned in its zone, else anywhere, and links that fail are avoided",
          "[daemon]") {
  cluster::Node node(MakeMember("a1", "a"), {}, {});
  Directory directory(node);
  node.Start(kNow);
  node.Tick(kNow);
  CHECK(directory.OwnerOf("db", MakeInstance("b"), kNow)->id == "a1");
  const auto join = [&](const std::string& id) {
    node.Receive(id, cluster::Update{{cluster::ToEntry(MakeMember(id, "b"))}, false, {}}, kNow);
    node.Tick(kNow);
  };
  join("b1");
  CHECK(directory.OwnerOf("db", MakeInstance("b"), kNow)->id == "b1");
  join("b2");
  const auto owner = directory.OwnerOf("db", MakeInstance("b"), kNow);
  directory.AvoidMember(owner->id, kNow + common::Duration{10});
  const auto other = directory.OwnerOf("db", MakeInstance("b"), kNow);
  CHECK(other->id != owner->id);
  CHECK(other->zone == "b");
  CHECK(directory.OwnerOf("db", MakeInstance("b"), kNow + common::Duration{20})->id == owner->id);
}

TEST_CASE("A primary of a lower term never comes back", "[daemon]") {
  cluster::Node node(MakeMember("a1", "a"), {}, {});
  Directory directory(node);
  node.Start(kNow);
  const auto publish = [&](common::Term term, const std::string& primary) {
    for (const auto& action : node.Publish(TopologyEntry("db", Topology{term, primary}), kNow)) {
      if (const auto* changed = std::get_if<cluster::ChangedAction>(&action)) {
        directory.Apply(changed->entry);
      }
    }
  };
  publish(2, "1");
  publish(1, "0");
  CHECK(directory.Topologies().at("db").primary == "1");
  publish(3, "2");
  CHECK(directory.Topologies().at("db").primary == "2");
}

}  // namespace valvekeel::daemon
