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

view_message complete_list(const std::vector<member>& members) {
  view_message message;
  message.large_deployment = true;
  message.from_hub = true;
  message.complete = true;
  message.covers_all_zones = true;
  message.lists = {{"zone", digest_of(members), members}};
  return message;
}

}  // namespace

TEST_CASE("An update reports the lost daemons and the hub that no longer lists them",
          "[membership]") {
  const member hub = daemon_of("hub", 500);
  const member self = daemon_of("self");
  member leaving = daemon_of("leaving");
  leaving.stopping = true;
  const member lost = daemon_of("lost");
  live_view view(self, view_policy{.hubs_per_zone = 1});
  const Instant start{100'000'000};
  view.update(start);
  view.apply_message(hub, complete_list({hub, leaving, lost, self}), INTERVAL, start);
  view.update(start);
  view.apply_message(hub, complete_list({hub, leaving, lost, self}), INTERVAL, start);
  view.update(start);
  CHECK(view.live_daemons().size() == 4);
  CHECK(view.last_update_changes().lost.empty());

  view.apply_message(hub, complete_list({hub, self}), INTERVAL, start);
  view.update(start);
  CHECK(view.live_daemons().size() == 2);
  CHECK(view.last_update_changes().lost == std::vector<std::string>{"lost"});
  CHECK(view.last_update_changes().reporting_hub == "hub");
  view.update(start);
  CHECK(view.last_update_changes().lost.empty());
}

TEST_CASE("An update reports only once that the daemon became a hub", "[membership]") {
  live_view view(daemon_of("self"), view_policy{});
  const Instant start{100'000'000};
  view.update(start);
  CHECK(view.last_update_changes().hub_changed);
  CHECK(view.is_hub());
  view.update(start);
  CHECK_FALSE(view.last_update_changes().hub_changed);
}

}  // namespace valvekeel::membership
