#include "proxysim/control_cost.h"

#include <catch2/catch.hpp>

namespace valvekeel::proxysim {

TEST_CASE("Control costs a plain daemon the same in a small and in a large deployment",
          "[proxysim]") {
  // Found on the large site: all wrote to all, and each followed the store.
  const ControlCost small = MeasureControlCost(90);
  const ControlCost large = MeasureControlCost(140);
  CHECK(small.agreed_when_idle);
  CHECK(large.agreed_when_idle);
  CHECK(large.agreed_at_end);
  REQUIRE(small.idle.max_roleless_messages > 0);
  // Four a second; the seeds answer a hub of each zone now and then.
  CHECK(large.idle.max_roleless_messages <= 80);
  CHECK(large.idle.max_roleless_messages <= small.idle.max_roleless_messages + 30);
  // One entry and one list each, and what few daemons follow.
  CHECK(large.start.store_calls <= 5 * large.daemons);
  CHECK(large.idle.store_calls <= 100);
}

}  // namespace valvekeel::proxysim
