#include "membership/live_view.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "membership/network.h"

namespace valvekeel::membership {
TEST_CASE("Daemons that know three seeds alone find all others", "[membership]") {
  for (const std::size_t count : {20, 60, 150}) {
    network test(count);
    test.run(SETTLED);
    INFO(count << " daemons, " << test.hubs().size() << " hubs");
    CHECK(test.agreed());
    CHECK(test.hubs().size() == 2 * ZONES);
  }
}

TEST_CASE("A plain daemon's messages at rest do not grow with the deployment", "[membership]") {
  // Found on the large site: 295 daemons wrote to each other, 105,000 messages a second.
  std::map<std::size_t, std::size_t> sent;
  for (const std::size_t count : {30, 60, 150}) {
    network test(count);
    test.run(SETTLED);
    const std::size_t plain = test.plain();
    const std::size_t before = test.sent_by(plain);
    const std::size_t lists = test.lists_sent();
    test.run(Duration(5'000'000));
    sent[count] = test.sent_by(plain) - before;
    CHECK(test.lists_sent() == lists);
  }
  CHECK(sent.at(30) <= 22);
  CHECK(sent.at(60) == sent.at(30));
  CHECK(sent.at(150) == sent.at(30));
}

TEST_CASE("The loss and the return of a plain daemon are known everywhere in time",
          "[membership]") {
  network test(100);
  test.run(SETTLED);
  const std::size_t lost = test.plain();
  test.kill(lost);
  test.run(Duration(2'200'000));
  CHECK(test.agreed());
  test.start(lost);
  test.run(Duration(1'500'000));
  CHECK(test.agreed());
}

TEST_CASE("The loss of all hubs of a zone does not lose the zone", "[membership]") {
  network test(100);
  test.run(SETTLED);
  const std::size_t observer = test.plain();
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
    test.run(UPDATE);
    // The others of that zone are there all the while.
    CHECK(test.seen_by(observer).size() >= 98);
  }
  CHECK(test.agreed());
}

TEST_CASE("Who was cut off comes back, and who is alone sees only itself", "[membership]") {
  network test(60);
  test.run(SETTLED);
  const std::size_t apart = test.plain();
  test.cut(apart, true);
  test.run(Duration(8'000'000));
  CHECK(test.agreed());
  CHECK(test.seen_by(apart).size() == 1);
  test.cut(apart, false);
  test.run(SETTLED);
  CHECK(test.agreed());
}

TEST_CASE("After a loss of all the daemons that return are known soon", "[membership]") {
  network test(120);
  test.run(SETTLED);
  for (std::size_t number = 0; number < 120; ++number) {
    test.kill(number);
  }
  test.run(Duration(1'000'000));
  for (std::size_t number = 0; number < 120; ++number) {
    test.start(number);
  }
  test.run(Duration(1'500'000));
  CHECK(test.agreed());
}

TEST_CASE("A stopping daemon is told as such before it goes", "[membership]") {
  network test(40);
  test.run(SETTLED);
  const std::size_t leaving = test.plain();
  test.view(leaving).set_self(true, true);
  // The harness sends what the daemon tells of itself from its own record.
  test.run(Duration(100'000));
  CHECK(test.view(leaving).partners().size() == 2);
}

TEST_CASE("Lists have one digest for equal contents, and another for any change", "[membership]") {
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
