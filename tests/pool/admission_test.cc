#include "pool/admission.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <queue>

namespace valvekeel::pool {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kDistantDeadline{std::chrono::hours(1)};

/// Simulates an instance whose groups keep their queues filled, on simulated time.
class LoadSimulation {
 public:
  LoadSimulation(AdmissionSettings settings, Duration service)
      : admission(settings), service_(service) {}

  void KeepQueued(const std::string& group, std::size_t depth) { depth_[group] = depth; }

  void Run(Duration length) {
    const Instant end = now + length;
    while (now < end) {
      Refill();
      if (completions_.empty()) {
        now += service_;
        continue;
      }
      const auto [time, ticket] = completions_.top();
      completions_.pop();
      now = time;
      for (const Ticket started : admission.Finish(ticket, now)) {
        Start(started);
      }
    }
  }

  double SlotTime(const std::string& group) const {
    for (const GroupUsage& usage : admission.Usage()) {
      if (usage.group == group) {
        return static_cast<double>(usage.total_slot_time.count());
      }
    }
    return 0;
  }

  Admission admission;
  Instant now{0};

 private:
  using Completion = std::pair<Instant, Ticket>;

  void Start(Ticket ticket) { completions_.push({now + service_, ticket}); }

  void Refill() {
    for (const GroupUsage& usage : admission.Usage()) {
      queued_[usage.group] = usage.queued;
    }
    for (const auto& [group, depth] : depth_) {
      for (std::size_t i = queued_[group]; i < depth; ++i) {
        const Ticket ticket = next_++;
        const auto decision = admission.Arrive({ticket, group, kDistantDeadline, false}, now);
        if (decision.outcome == AdmissionOutcome::kStarted) {
          Start(ticket);
        }
      }
    }
  }

  Duration service_;
  std::map<std::string, std::size_t> depth_;
  std::map<std::string, std::size_t> queued_;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
  Ticket next_ = 1;
};

}  // namespace

TEST_CASE("Two saturating groups get slot time in the ratio of their shares", "[pool]") {
  LoadSimulation simulation(AdmissionSettings{}, Duration{1000});
  simulation.admission.SetShare("large", {3.0, 0, 0});
  simulation.admission.SetShare("small", {1.0, 0, 0});
  simulation.KeepQueued("large", 10);
  simulation.KeepQueued("small", 10);
  simulation.Run(std::chrono::seconds(20));
  CHECK(simulation.SlotTime("large") / simulation.SlotTime("small") == Approx(3.0).epsilon(0.05));
}

TEST_CASE("A group that bursts after an idle period does not starve the other", "[pool]") {
  LoadSimulation simulation(AdmissionSettings{}, Duration{1000});
  simulation.KeepQueued("steady", 10);
  simulation.KeepQueued("bursting", 0);
  simulation.Run(std::chrono::seconds(30));
  simulation.KeepQueued("bursting", 10);
  const double before = simulation.SlotTime("steady");
  simulation.Run(std::chrono::seconds(1));
  const double during = simulation.SlotTime("steady") - before;
  // Five slots for one second; the idle group's credit is 0.5 s of slot time.
  CHECK(during > 1.5e6);
  CHECK(simulation.SlotTime("bursting") > during);
}

TEST_CASE("Minimum and maximum of a group are kept", "[pool]") {
  LoadSimulation simulation(AdmissionSettings{}, Duration{1000});
  simulation.admission.SetShare("limited", {100.0, 0, 2});
  simulation.admission.SetShare("guarded", {0.001, 1, 0});
  simulation.KeepQueued("limited", 10);
  simulation.KeepQueued("guarded", 10);
  simulation.KeepQueued("other", 10);
  simulation.Run(std::chrono::seconds(5));
  const double all = simulation.SlotTime("limited") + simulation.SlotTime("guarded") +
                     simulation.SlotTime("other");
  CHECK(simulation.SlotTime("limited") / all == Approx(0.4).epsilon(0.05));
  CHECK(simulation.SlotTime("guarded") / all > 0.18);
}

TEST_CASE("A request that cannot start in time is refused on arrival with a retry-after",
          "[pool]") {
  AdmissionSettings settings;
  settings.slots = 1;
  Admission admission(settings);
  REQUIRE(admission.Arrive({1, "g", kDistantDeadline, false}, Instant{0}).outcome ==
          AdmissionOutcome::kStarted);
  admission.Finish(1, Instant{10'000});
  REQUIRE(admission.Arrive({2, "g", kDistantDeadline, false}, Instant{10'000}).outcome ==
          AdmissionOutcome::kStarted);
  const auto refused = admission.Arrive({3, "g", Instant{10'500}, false}, Instant{10'000});
  CHECK(refused.outcome == AdmissionOutcome::kRefused);
  CHECK(refused.retry_after >= Duration{5'000});
  CHECK(admission.Arrive({4, "g", kDistantDeadline, false}, Instant{10'000}).outcome ==
        AdmissionOutcome::kQueued);
  CHECK(admission.Finish(2, Instant{20'000}) == std::vector<Ticket>{4});
}

TEST_CASE("Statements of open transactions go first", "[pool]") {
  AdmissionSettings settings;
  settings.slots = 1;
  Admission admission(settings);
  admission.Arrive({1, "g", kDistantDeadline, false}, Instant{0});
  admission.Arrive({2, "g", kDistantDeadline, false}, Instant{0});
  admission.Arrive({3, "g", kDistantDeadline, true}, Instant{0});
  CHECK(admission.Finish(1, Instant{1'000}) == std::vector<Ticket>{3});
}

TEST_CASE("Any order of arrivals and completions keeps slots bounded and none idle", "[pool]") {
  const bool holds = rc::check([](const std::vector<std::uint8_t>& choices) {
    AdmissionSettings settings;
    settings.slots = 3;
    Admission admission(settings);
    std::vector<Ticket> running;
    Ticket next = 1;
    Instant now{0};
    for (const std::uint8_t choice : choices) {
      now += Duration{500};
      if (choice % 3 != 0 || running.empty()) {
        const std::string group(1, static_cast<char>('a' + choice % 4));
        const Ticket ticket = next++;
        if (admission.Arrive({ticket, group, kDistantDeadline, false}, now).outcome ==
            AdmissionOutcome::kStarted) {
          running.push_back(ticket);
        }
      } else {
        const std::size_t index = choice % running.size();
        const Ticket ticket = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        const auto started = admission.Finish(ticket, now);
        running.insert(running.end(), started.begin(), started.end());
      }
      RC_ASSERT(admission.Running() == running.size());
      RC_ASSERT(running.size() <= settings.slots);
      RC_ASSERT(admission.Queued() == 0 || running.size() == settings.slots);
    }
  });
  CHECK(holds);
}

}  // namespace valvekeel::pool
