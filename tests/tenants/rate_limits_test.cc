// Tests tenants' rate limits with several limiters and one allocator, which exchange messages at
// heartbeats.

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

/** Daemons that serve one tenant, and the allocator of its rate. */
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

  /** Runs for a time in which the tenant's callers offer operations at the given mean rate. */
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

  /** @return the greatest number of operations admitted in any window. */
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
      // The limiters do not refuse more than the limit requires: at least 90 % of the limit's rate,
      // or of the offered rate where that is lower, is admitted.
      CHECK(static_cast<double>(daemons.admitted.size()) >= 0.9 * rate * (18 + 14 / 1.6));
    }
  }
}

TEST_CASE("The loss of the allocator neither stops a tenant nor lets it exceed its limit",
          "[tenants]") {
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

TEST_CASE("A lowered limit is enforced one window after its configuration", "[tenants]") {
  fleet daemons(24, 100);
  daemons.run(std::chrono::seconds(10), 62);
  daemons.configure(20);
  daemons.run(std::chrono::seconds(5), 62);
  daemons.admitted.clear();
  daemons.run(std::chrono::seconds(10), 62);
  CHECK(static_cast<double>(daemons.max_in_window()) <= daemons.limit());
  CHECK(static_cast<double>(daemons.admitted.size()) >= 0.9 * 20 * 10);
}

TEST_CASE("Operations from before the allocator's first report are not counted as recent",
          "[tenants]") {
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
  // The daemon's first message has no counts of north; the next one has the counts of an hour.
  allocator.record_usage("d", 1, {}, start);
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5000, 5000}}, start + HEARTBEAT);
  CHECK(allocator.remaining_tokens("north") >= before);
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5004, 5004}}, start + 2 * HEARTBEAT);
  CHECK(allocator.remaining_tokens("north") >= before - 4);
  // After a gap between reports only the operations of its last second are counted.
  allocator.record_usage("d", 1, {{tenant_id_of("north"), 5404, 5404}}, start + 8 * WINDOW);
  CHECK(allocator.remaining_tokens("north") == Approx(10 - 400 / 39.5));
  // A new incarnation counts from zero.
  allocator.record_usage("d", 2, {{tenant_id_of("north"), 3, 3}}, start + 9 * WINDOW);
  CHECK(allocator.remaining_tokens("north") == Approx(10 - 3 / 5.0));
}

TEST_CASE("The limit holds if the allocator is lost for a while as a tenant exceeds its rate",
          "[tenants]") {
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
