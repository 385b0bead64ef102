#include "membership/live_view.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "membership/network.h"

namespace valvekeel::membership {
TEST_CASE("Daemons that know only three seeds find all others", "[membership]") {
  for (const std::size_t count : {20, 60, 150}) {
    network test(count);
    test.run(SETTLING_TIME);
    INFO(count << " daemons, " << test.hubs().size() << " hubs");
    CHECK(test.views_agree());
    CHECK(test.hubs().size() == 2 * ZONES);
  }
}

TEST_CASE("An idle daemon that is not a hub sends no more messages in a larger deployment",
          "[membership]") {
  // If every daemon writes to every other, 295 daemons send 105,000 messages a second.
  std::map<std::size_t, std::size_t> sent;
  for (const std::size_t count : {30, 60, 150}) {
    network test(count);
    test.run(SETTLING_TIME);
    const std::size_t non_hub = test.non_hub();
    const std::size_t before = test.sent_by(non_hub);
    const std::size_t lists = test.lists_sent();
    test.run(Duration(5'000'000));
    sent[count] = test.sent_by(non_hub) - before;
    CHECK(test.lists_sent() == lists);
  }
  CHECK(sent.at(30) <= 22);
  CHECK(sent.at(60) == sent.at(30));
  CHECK(sent.at(150) == sent.at(30));
}

TEST_CASE("The loss and the return of a daemon that is not a hub reach all views in time",
          "[membership]") {
  network test(100);
  test.run(SETTLING_TIME);
  const std::size_t lost = test.non_hub();
  test.kill(lost);
  test.run(Duration(2'200'000));
  CHECK(test.views_agree());
  test.start(lost);
  test.run(Duration(1'500'000));
  CHECK(test.views_agree());
}

TEST_CASE("The loss of all hubs of a zone does not lose the zone", "[membership]") {
  network test(100);
  test.run(SETTLING_TIME);
  const std::size_t observer = test.non_hub();
  const std::string zone = test.view(observer).find("daemon-" + std::to_string(observer))->zone;
  std::size_t killed = 0;
  for (const std::size_t hub : test.hubs()) {
    const bool other_zone = hub % ZONES == (observer + 1) % ZONES;
    if (other_zone) {
      test.kill(hub);
      ++killed;
    }
  }
  CHECK(killed == 2);
  for (int step = 0; step < 40; ++step) {
    test.run(UPDATE_INTERVAL);
    // The other daemons of that zone stay listed throughout.
    CHECK(test.names_in_view_of(observer).size() >= 98);
  }
  CHECK(test.views_agree());
}

TEST_CASE("An isolated daemon sees only itself and is listed again afterwards", "[membership]") {
  network test(60);
  test.run(SETTLING_TIME);
  const std::size_t isolated = test.non_hub();
  test.set_isolated(isolated, true);
  test.run(Duration(8'000'000));
  CHECK(test.views_agree());
  CHECK(test.names_in_view_of(isolated).size() == 1);
  test.set_isolated(isolated, false);
  test.run(SETTLING_TIME);
  CHECK(test.views_agree());
}

TEST_CASE("After the loss of all daemons those that restart are listed soon", "[membership]") {
  network test(120);
  test.run(SETTLING_TIME);
  for (std::size_t number = 0; number < 120; ++number) {
    test.kill(number);
  }
  test.run(Duration(1'000'000));
  for (std::size_t number = 0; number < 120; ++number) {
    test.start(number);
  }
  test.run(Duration(1'500'000));
  CHECK(test.views_agree());
}

TEST_CASE("A stopping daemon keeps its two partners", "[membership]") {
  network test(40);
  test.run(SETTLING_TIME);
  const std::size_t stopping_daemon = test.non_hub();
  test.view(stopping_daemon).set_self(true, true);
  // The test network sends the member record of its own node, which this call does not change.
  test.run(Duration(100'000));
  CHECK(test.view(stopping_daemon).partners().size() == 2);
}

TEST_CASE("Equal lists have equal digests, and any change alters the digest", "[membership]") {
  member one;
  one.name = "a";
  one.address = {"10.0.0.1", 7440};
  member other = one;
  other.stopping = true;
  CHECK(digest_of({one}) == digest_of({one}));
  CHECK(digest_of({one}) != digest_of({other}));
  other = one;
  other.capacity = 120;
  CHECK(digest_of({one}) != digest_of({other}));
  CHECK(digest_of({one}) != digest_of({}));
}

}  // namespace valvekeel::membership
