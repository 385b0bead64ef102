#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "membership/live_view.h"

namespace valvekeel::membership {
namespace {

using common::Duration;
using common::Instant;

constexpr Duration INTERVAL{500'000};

member daemon_of(const std::string& name, std::uint32_t capacity = 120) {
  member made;
  made.name = name;
  made.zone = "zone";
  made.address = {name, 7440};
  made.capacity = capacity;
  return made;
}

view_message whole_list(const std::vector<member>& members) {
  view_message message;
  message.large = true;
  message.from_hub = true;
  message.informed = true;
  message.whole = true;
  message.lists = {{"zone", digest_of(members), members}};
  return message;
}

}  // namespace

TEST_CASE("What leaves the view is told, with the hub that no longer lists it", "[membership]") {
  const member hub = daemon_of("hub", 500);
  const member self = daemon_of("self");
  member leaving = daemon_of("leaving");
  leaving.stopping = true;
  const member lost = daemon_of("lost");
  live_view view(self, view_policy{.hubs_per_zone = 1});
  const Instant start{100'000'000};
  view.update(start);
  view.take(hub, whole_list({hub, leaving, lost, self}), INTERVAL, start);
  view.update(start);
  view.take(hub, whole_list({hub, leaving, lost, self}), INTERVAL, start);
  view.update(start);
  CHECK(view.live().size() == 4);
  CHECK(view.changed().lost.empty());

  view.take(hub, whole_list({hub, self}), INTERVAL, start);
  view.update(start);
  CHECK(view.live().size() == 2);
  CHECK(view.changed().lost == std::vector<std::string>{"lost"});
  CHECK(view.changed().source == "hub");
  view.update(start);
  CHECK(view.changed().lost.empty());
}

TEST_CASE("That a daemon becomes a hub is told once", "[membership]") {
  live_view view(daemon_of("self"), view_policy{});
  const Instant start{100'000'000};
  view.update(start);
  CHECK(view.changed().hub_changed);
  CHECK(view.is_hub());
  view.update(start);
  CHECK_FALSE(view.changed().hub_changed);
}

}  // namespace valvekeel::membership
