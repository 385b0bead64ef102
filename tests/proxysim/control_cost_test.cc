#include "proxysim/control_cost.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxysim {

TEST_CASE("Control traffic of a daemon without a role does not grow with the deployment",
          "[proxysim]") {
  // Guards against control traffic in which every daemon sends to every other and watches the
  // store.
  const ControlCost small = MeasureControlCost(90);
  const ControlCost large = MeasureControlCost(140);
  CHECK(small.agreed_when_idle);
  CHECK(large.agreed_when_idle);
  CHECK(large.agreed_at_end);
  REQUIRE(small.idle.max_roleless_messages > 0);
  // Four messages a second; in addition the seeds answer a hub of each zone from time to time.
  CHECK(large.idle.max_roleless_messages <= 80);
  CHECK(large.idle.max_roleless_messages <= small.idle.max_roleless_messages + 30);
  // Each daemon writes one entry and reads one list; only a few daemons watch collections.
  CHECK(large.start.store_calls <= 5 * large.daemons);
  CHECK(large.idle.store_calls <= 100);
}

}  // namespace valvekeel::proxysim
