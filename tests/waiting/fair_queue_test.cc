// Tests the order of waiting operations by priority, tenants' shares and queue deadline.

#include "waiting/fair_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace valvekeel::waiting {
namespace {

constexpr common::Duration MILLISECOND{1'000};
constexpr common::Instant START{10'000'000};

/** A queue whose waiters arrive a millisecond apart; their time in the queue is at most their
 * target latency. */
struct queue_fixture {
  queue_fixture() {
    std::map<std::string, tenants::tenant> tenants;
    for (const auto& [name, rate, priority] :
         {std::tuple("large", 30.0, 0U), std::tuple("small", 10.0, 0U),
          std::tuple("later", 10.0, 1U), std::tuple("last", 10.0, 9U)}) {
      tenants[name].name = name;
      tenants[name].rate = rate;
      tenants[name].priority = priority;
    }
    weights.set_tenants(tenants);
  }

  waiter add(const std::string& tenant, std::uint32_t priority = 0,
             common::Duration target_latency = 200 * MILLISECOND) {
    const auto number = static_cast<waiter_number>(waiters.size() + 1);
    const common::Instant arrived = START + static_cast<int>(number) * MILLISECOND;
    const waiter added{number, tenant, priority, target_latency, arrived, arrived + target_latency};
    queue.add(added);
    waiters.push_back(added);
    return added;
  }

  /** Starts the first `count` waiters. @return how many of them belong to the tenant */
  std::size_t start(std::size_t count, const std::string& tenant) {
    std::size_t of_tenant = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const waiter first = waiters.at(order().front() - 1);
      queue.on_started(first.priority, first.tenant);
      queue.remove(first);
      of_tenant += first.tenant == tenant ? 1 : 0;
    }
    return of_tenant;
  }

  std::vector<waiter_number> order() const {
    std::vector<queue_entry> places;
    queue.append_order(places);
    std::vector<waiter_number> numbers;
    std::transform(places.begin(), places.end(), std::back_inserter(numbers),
                   [](const queue_entry& each) { return each.number; });
    return numbers;
  }

  tenant_weights weights;
  fair_queue queue{weights};
  std::vector<waiter> waiters;
};

using numbers = std::vector<waiter_number>;

}  // namespace

TEST_CASE("Without tenants the order is priority, target latency, arrival, number", "[waiting]") {
  queue_fixture fixture;
  fixture.add("", 1, 100 * MILLISECOND);
  fixture.add("", 0, 800 * MILLISECOND);
  fixture.add("", 0, 200 * MILLISECOND);
  fixture.add("", 0, 800 * MILLISECOND);
  fixture.add("", 0, 200 * MILLISECOND);
  waiter same = fixture.waiters.back();
  same.number = 6;
  fixture.queue.add(same);
  CHECK(fixture.order() == numbers{3, 5, 6, 2, 4, 1});
}

TEST_CASE("Tenants start in the proportion of their rates", "[waiting]") {
  queue_fixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.add("large");
  }
  for (int i = 0; i < 40; ++i) {
    fixture.add("small");
  }
  CHECK(fixture.start(40, "large") == 30);
}

TEST_CASE("A small tenant's operation overtakes a large tenant's backlog", "[waiting]") {
  queue_fixture fixture;
  for (int i = 0; i < 50; ++i) {
    fixture.add("large");
  }
  fixture.start(10, "large");
  const waiter small = fixture.add("small");
  const numbers order = fixture.order();
  CHECK(std::find(order.begin(), order.end(), small.number) - order.begin() <= 1);
}

TEST_CASE("A tenant gets no credit for the time in which it was idle", "[waiting]") {
  queue_fixture fixture;
  for (int i = 0; i < 60; ++i) {
    fixture.add("large");
  }
  fixture.add("small");
  fixture.start(31, "large");
  for (int i = 0; i < 20; ++i) {
    fixture.add("small");
  }
  // With credit for its idle time the small tenant would get nine of the next twelve starts.
  CHECK(fixture.start(12, "small") <= 4);
}

TEST_CASE("An operation that starts without queueing is charged to its tenant", "[waiting]") {
  queue_fixture fixture;
  const waiter small = fixture.add("small");
  for (int i = 0; i < 4; ++i) {
    fixture.queue.on_started(0, "small");
  }
  const waiter other = fixture.add("later");
  CHECK(fixture.order() == numbers{other.number, small.number});
}

TEST_CASE("A tenant's priority scales its weight down to a lower bound", "[waiting]") {
  queue_fixture fixture;
  CHECK(fixture.weights.of("later") == fixture.weights.of("small") * PRIORITY_FACTOR);
  CHECK(fixture.weights.of("last") == fixture.weights.of("small") / 16);
}

TEST_CASE("Operations without a tenant have the mean weight", "[waiting]") {
  queue_fixture fixture;
  CHECK(fixture.weights.of("") == 15);
  tenant_weights no_tenants;
  CHECK(no_tenants.of("") == 1);
}

TEST_CASE("Within a tenant the earliest queue deadline goes first", "[waiting]") {
  queue_fixture fixture;
  fixture.add("small", 0, 800 * MILLISECOND);
  fixture.add("small", 0, 200 * MILLISECOND);
  CHECK(fixture.order() == numbers{2, 1});
}

TEST_CASE("A route's priority takes precedence over tenants' shares", "[waiting]") {
  queue_fixture fixture;
  fixture.add("large", 2);
  fixture.add("small", 1);
  fixture.add("small", 1);
  CHECK(fixture.order() == numbers{2, 3, 1});
}

TEST_CASE("A waiter that is removed without a start is not charged", "[waiting]") {
  queue_fixture fixture;
  const waiter removed = fixture.add("small");
  fixture.add("large");
  fixture.add("small");
  fixture.queue.remove(removed);
  CHECK(fixture.order() == numbers{2, 3});
  CHECK(fixture.queue.size() == 2);
}

TEST_CASE("Shares are reset when the queue is empty", "[waiting]") {
  queue_fixture fixture;
  fixture.add("small");
  fixture.queue.on_started(0, "small");
  fixture.queue.remove(fixture.waiters.back());
  CHECK(fixture.queue.empty());
  fixture.add("small");
  fixture.add("large");
  CHECK(fixture.order() == numbers{2, 3});
}

}  // namespace valvekeel::waiting
