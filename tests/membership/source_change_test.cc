#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "membership/live_view.h"

namespace valvekeel::membership {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant START{100'000'000};
constexpr Duration INTERVAL{500'000};
constexpr Duration SECOND{1'000'000};

member daemon_of(const std::string& name, const std::string& zone, std::uint32_t capacity = 120) {
  member made;
  made.name = name;
  made.zone = zone;
  made.address = {name, 7440};
  made.capacity = capacity;
  return made;
}

const member SELF = daemon_of("self", "near");
/** Large daemons, which are preferred to SELF as hubs of its zone. */
const std::vector<member> NEAR_HUBS{daemon_of("near-1", "near", 500),
                                    daemon_of("near-2", "near", 500)};
const member FAR_HUB = daemon_of("far-1", "far", 500);
const member OTHER_FAR_HUB = daemon_of("far-2", "far", 500);
const member FAR_DAEMON = daemon_of("far-daemon", "far");

view_message heartbeat() {
  view_message message;
  message.large_deployment = true;
  message.epoch = 1;
  return message;
}

zone_list list_of(const std::string& zone, std::vector<member> members) {
  zone_list list;
  list.zone = zone;
  list.digest = digest_of(members);
  list.members = std::move(members);
  return list;
}

/** A message of a hub with what it hears itself. */
view_message hub_message(std::vector<zone_list> lists) {
  view_message message = heartbeat();
  message.from_hub = true;
  message.complete = true;
  message.lists = std::move(lists);
  return message;
}

/** Heartbeats of the hubs of the zone, which know only that zone. */
void receive_near_hubs(live_view& view, Instant now) {
  for (const member& hub : NEAR_HUBS) {
    view_message message = hub_message({list_of("near", {NEAR_HUBS[0], NEAR_HUBS[1], SELF})});
    message.covers_all_zones = true;
    view.apply_message(hub, message, INTERVAL, now);
  }
}

/** Lets the time pass, in which only these hubs and the hubs of the zone send heartbeats. */
void run_with_near_hubs(live_view& view, const std::vector<member>& hubs, Instant from,
                        Instant until) {
  for (Instant now = from; now < until; now += Duration(100'000)) {
    receive_near_hubs(view, now);
    for (const member& hub : hubs) {
      view.apply_message(hub, hub_message({}), INTERVAL, now);
    }
    view.update(now);
  }
}

}  // namespace

TEST_CASE("A list that the view does not use is no word against a daemon in it", "[membership]") {
  // A daemon that was no hub any more stored the lists of hubs of another zone without using them,
  // and removed daemons in them after the time for those that such a hub does not hear.
  live_view view(SELF, view_policy{});
  receive_near_hubs(view, START);
  view.apply_message(FAR_DAEMON, heartbeat(), INTERVAL, START);
  view.apply_message(FAR_HUB, hub_message({list_of("far", {FAR_HUB, FAR_DAEMON})}), INTERVAL,
                     START);
  run_with_near_hubs(view, {FAR_HUB}, START, START + SECOND * 35 / 10);
  CHECK_FALSE(view.is_hub());
  CHECK(view.find(FAR_DAEMON.name) != nullptr);
  run_with_near_hubs(view, {FAR_HUB}, START + SECOND * 35 / 10, START + SECOND * 4);
  CHECK(view.find(FAR_DAEMON.name) == nullptr);
}

TEST_CASE("A daemon that gives up its hub role removes nobody whom its sources listed until then",
          "[membership]") {
  // A former hub's drop of a daemon's earlier life had no effect while another hub listed the
  // daemon, and took effect once the lists for hubs stopped counting.
  live_view view(SELF, view_policy{});
  const std::vector<member> all{FAR_HUB, OTHER_FAR_HUB, FAR_DAEMON};
  view.update(START);
  REQUIRE(view.is_hub());
  for (const member& hub : {FAR_HUB, OTHER_FAR_HUB}) {
    view.apply_message(hub, hub_message({list_of("far", all)}), INTERVAL, START);
  }
  view.update(START);
  const Instant drop = START + Duration(200'000);
  view.apply_message(OTHER_FAR_HUB, hub_message({list_of("far", {FAR_HUB, OTHER_FAR_HUB})}),
                     INTERVAL, drop);
  run_with_near_hubs(view, {}, drop, drop + Duration(800'000));
  CHECK_FALSE(view.is_hub());
  CHECK(view.find(FAR_DAEMON.name) != nullptr);
}

TEST_CASE("Retention begins with the last source that listed a daemon, not with its own heartbeat",
          "[membership]") {
  // The daemon's last heartbeat here was older than the lists that had it, and counted after them.
  live_view view(SELF, view_policy{});
  view.update(START);
  REQUIRE(view.is_hub());
  view.apply_message(FAR_DAEMON, heartbeat(), INTERVAL, START);
  const Instant last_word = START + SECOND;
  view.apply_message(FAR_HUB, hub_message({list_of("far", {FAR_HUB, FAR_DAEMON})}), INTERVAL,
                     last_word);
  view.update(last_word);
  run_with_near_hubs(view, {}, last_word, START + SECOND * 45 / 10);
  CHECK_FALSE(view.is_hub());
  CHECK(view.find(FAR_DAEMON.name) != nullptr);
  run_with_near_hubs(view, {}, START + SECOND * 45 / 10, START + SECOND * 5);
  CHECK(view.find(FAR_DAEMON.name) == nullptr);
}

TEST_CASE("A hub's list counts as complete only in the version that the receiver has",
          "[membership]") {
  // A heartbeat said that the zone was heard completely while the list that had become complete was
  // held back, and a hub that had just started took the former version for all of the zone.
  live_view view(SELF, view_policy{});
  for (Instant now = START; now <= START + SECOND * 3; now += Duration(100'000)) {
    view.apply_message(FAR_HUB, hub_message({}), INTERVAL, now);
    view.update(now);
  }
  Instant now = START + SECOND * 3;
  const view_message first = view.message_for(FAR_HUB.name, now);
  REQUIRE(first.lists.size() == 1);
  CHECK(first.complete);

  now += Duration(100'000);
  view_message request = heartbeat();
  request.requests_hub_role = true;
  view.apply_message(daemon_of("new", SELF.zone), request, INTERVAL, now);
  view.update(now);
  const view_message held_back = view.message_for(FAR_HUB.name, now);
  REQUIRE(held_back.lists.empty());
  CHECK_FALSE(held_back.complete);

  now += Duration(200'000);
  view.update(now);
  const view_message second = view.message_for(FAR_HUB.name, now);
  REQUIRE(second.lists.size() == 1);
  CHECK(second.complete);
  // The datagram with the list may have been lost.
  CHECK_FALSE(view.message_for(FAR_HUB.name, now).complete);

  view_message acknowledgement = hub_message({});
  acknowledgement.acknowledged_lists.push_back({SELF.zone, second.lists.front().digest});
  view.apply_message(FAR_HUB, acknowledgement, INTERVAL, now);
  CHECK(view.message_for(FAR_HUB.name, now).complete);
}

}  // namespace valvekeel::membership
