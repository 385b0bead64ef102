// Tenants' limits: a few limiters and an allocator, with messages that take their time.

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "tenants/rate_allocator.h"
#include "tenants/rate_limiter.h"

namespace valvekeel::tenants {
namespace {

using common::Duration;
using common::Instant;

constexpr Duration HEARTBEAT{250'000};
constexpr Duration STEP{5'000};
constexpr Duration WINDOW{5'000'000};
constexpr double SLACK = 20;
constexpr double OVERAGE = 1.1;

/** Daemons that serve one tenant, and one that allocates. */
class fleet {
 public:
  fleet(std::size_t daemons, double rate) : rate(rate) {
    this->policy.rates_limited = true;
    this->policy.rate_slack = SLACK;
    for (std::size_t number = 0; number < daemons; ++number) {
      this->limiters.push_back(std::make_unique<rate_limiter>(this->policy));
      this->limiters.back()->set_sharing_daemons(daemons);
    }
    this->allocator = std::make_unique<rate_allocator>(this->policy);
    this->configure(rate);
  }

  void configure(double new_rate) {
    this->rate = new_rate;
    tenant north;
    north.name = "north";
    north.rate = new_rate;
    north.burst = new_rate;
    const std::map<std::string, tenant> tenants = {{"north", north}};
    for (auto& each : this->limiters) {
      each->set_tenants(tenants);
    }
    this->allocator->set_tenants(tenants, this->now);
  }

  /** Lets the tenant ask at a rate for a while. */
  void run(Duration time, double offered_per_s) {
    const Instant end = this->now + time;
    const double mean = offered_per_s * static_cast<double>(STEP.count()) / 1e6;
    std::poisson_distribution<int> arrivals(mean);
    while (this->now < end) {
      this->now += STEP;
      for (int remaining = arrivals(this->random); remaining > 0; --remaining) {
        ++this->offered;
        rate_limiter& limiter = *this->limiters[this->random() % this->limiters.size()];
        if (limiter.admit("north", this->now)) {
          ++this->refused;
        } else {
          this->admitted.push_back(this->now);
        }
      }
      this->exchange_messages();
    }
  }

  /** @return the most that was let through in any window. */
  std::size_t max_in_window() const {
    std::size_t highest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->admitted.size(); ++last) {
      while (this->admitted[last] - this->admitted[first] > WINDOW) {
        ++first;
      }
      highest = std::max(highest, last - first + 1);
    }
    return highest;
  }

  double limit() const { return (this->rate * 5 + this->rate) * OVERAGE + SLACK; }

  bool allocator_reachable = true;
  std::size_t offered = 0;
  std::size_t refused = 0;
  std::vector<Instant> admitted;
  Instant now{1'000'000};

 private:
  void exchange_messages() {
    bool notify = this->allocator->tick(this->now);
    for (std::size_t number = 0; number < this->limiters.size(); ++number) {
      const bool surge = this->limiters[number]->consume_surge();
      const Duration phase = HEARTBEAT * static_cast<int>(number) / 24;
      const bool due = (this->now + phase).count() % HEARTBEAT.count() < STEP.count();
      if (this->allocator_reachable && (due || surge)) {
        const std::string name = "d" + std::to_string(number);
        this->allocator->record_usage(name, 1, this->limiters[number]->usage_since(Instant(0)),
                                      this->now);
        notify = this->allocator->tick(this->now) || notify;
      }
    }
    for (std::size_t number = 0; number < this->limiters.size(); ++number) {
      const Duration phase = HEARTBEAT * static_cast<int>(number) / 24;
      const bool due = (this->now + phase).count() % HEARTBEAT.count() < STEP.count();
      if (this->allocator_reachable && (due || notify)) {
        this->limiters[number]->apply_grants(
            this->allocator->grants_for("d" + std::to_string(number)), this->now);
      }
    }
  }

  double rate;
  tenant_policy policy;
  std::vector<std::unique_ptr<rate_limiter>> limiters;
  std::unique_ptr<rate_allocator> allocator;
  std::mt19937 random{7};
};

TEST_CASE("A tenant within its limit is never refused", "[tenants]") {
  for (const double rate : {5.0, 20.0, 320.0}) {
    fleet daemons(24, rate);
    daemons.run(std::chrono::seconds(30), rate / 1.6);
    INFO("rate " << rate);
    CHECK(daemons.refused <= daemons.offered / 500);
  }
}

TEST_CASE("A tenant at many times its rate stays within its limit in any window", "[tenants]") {
  for (const double rate : {5.0, 20.0, 320.0}) {
    for (const double times : {2.0, 4.7, 10.0}) {
      fleet daemons(24, rate);
      daemons.run(std::chrono::seconds(8), rate / 1.6);
      daemons.run(std::chrono::seconds(12), rate * times);
      daemons.run(std::chrono::seconds(6), rate / 1.6);
      daemons.run(std::chrono::seconds(6), rate * times);
      INFO("rate " << rate << ", " << times << " times");
      CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
      // What the limit allows is let through: at least its rate while more is asked for.
      CHECK(static_cast<double>(daemons.admitted.size()) >= 0.9 * rate * (18 + 14 / 1.6));
    }
  }
}

TEST_CASE("A lost allocator neither stops a tenant nor lets it rush", "[tenants]") {
  fleet daemons(24, 100);
  daemons.run(std::chrono::seconds(10), 62);
  daemons.allocator_reachable = false;
  const std::size_t before = daemons.refused;
  daemons.run(std::chrono::seconds(5), 62);
  CHECK(daemons.refused - before <= 62 * 5 / 20);
  daemons.run(std::chrono::seconds(10), 500);
  CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
  daemons.allocator_reachable = true;
  daemons.run(std::chrono::seconds(10), 500);
  CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
}

TEST_CASE("A lower limit holds one window after it came", "[tenants]") {
  fleet daemons(24, 100);
  daemons.run(std::chrono::seconds(10), 62);
  daemons.configure(20);
  daemons.run(std::chrono::seconds(5), 62);
  daemons.admitted.clear();
  daemons.run(std::chrono::seconds(10), 62);
  CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
  CHECK(static_cast<double>(daemons.admitted.size()) >= 0.9 * 20 * 10);
}

TEST_CASE("Counts made before an allocator listened do not count as made now", "[tenants]") {
  tenant_policy policy;
  policy.rates_limited = true;
  tenant north;
  north.name = "north";
  north.rate = 10;
  north.burst = 10;
  rate_allocator allocator(policy);
  const Instant start{1'000'000};
  allocator.set_tenants({{"north", north}}, start);
  const double before = allocator.remaining_tokens("north");
  // The daemon's first message holds other tenants' counts, a later one north's of an hour.
  allocator.record_usage("d", 1, {}, start);
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5000, 5000}}, start + HEARTBEAT);
  CHECK(allocator.remaining_tokens("north") >= before);
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5004, 5004}}, start + 2 * HEARTBEAT);
  CHECK(allocator.remaining_tokens("north") >= before - 4);
  // After silence, only what was let through in its last second counts.
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5404, 5404}}, start + 8 * WINDOW);
  CHECK(allocator.remaining_tokens("north") == Approx(10 - 400 / 39.5));
  // A later life counts from zero.
  allocator.record_usage("d", 2, {{tenant_id_of("north"), 3, 3}}, start + 9 * WINDOW);
  CHECK(allocator.remaining_tokens("north") == Approx(10 - 3 / 5.0));
}

TEST_CASE("An allocator that is lost as a tenant rushes is followed in time", "[tenants]") {
  fleet daemons(24, 320);
  daemons.run(std::chrono::seconds(6), 200);
  daemons.run(std::chrono::seconds(2), 620);
  daemons.allocator_reachable = false;
  daemons.run(std::chrono::milliseconds(1500), 620);
  daemons.allocator_reachable = true;
  daemons.run(std::chrono::seconds(6), 620);
  CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
}

TEST_CASE("A tenant without a limit is never refused", "[tenants]") {
  fleet daemons(3, 0);
  daemons.run(std::chrono::seconds(2), 1000);
  CHECK(daemons.refused == 0);
}

}  // namespace
}  // namespace valvekeel::tenants
