#include "pool/admission.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <queue>

namespace valvekeel::pool {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kFarAway{std::chrono::hours(1)};

/// Runs saturating groups against one instance on simulated time.
class Bench {
 public:
  Bench(AdmissionSettings settings, Duration service) : admission(settings), service_(service) {}

  void KeepQueued(const std::string& group, std::size_t depth) { depth_[group] = depth; }

  void Run(Duration length) {
    const Instant end = now + length;
    while (now < end) {
      Refill();
      if (ending_.empty()) {
        now += service_;
        continue;
      }
      const auto [time, ticket] = ending_.top();
      ending_.pop();
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
  using Ending = std::pair<Instant, Ticket>;

  void Start(Ticket ticket) { ending_.push({now + service_, ticket}); }

  void Refill() {
    for (const GroupUsage& usage : admission.Usage()) {
      queued_[usage.group] = usage.queued;
    }
    for (const auto& [group, depth] : depth_) {
      for (std::size_t i = queued_[group]; i < depth; ++i) {
        const Ticket ticket = next_++;
        const auto decision = admission.Arrive({ticket, group, kFarAway, false}, now);
        if (decision.verdict == Verdict::kStarted) {
          Start(ticket);
        }
      }
    }
  }

  Duration service_;
  std::map<std::string, std::size_t> depth_;
  std::map<std::string, std::size_t> queued_;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> ending_;
  Ticket next_ = 1;
};

}  // namespace

TEST_CASE("Two saturating groups get slot time in the ratio of their shares", "[pool]") {
  Bench bench(AdmissionSettings{}, Duration{1000});
  bench.admission.SetShare("large", {3.0, 0, 0});
  bench.admission.SetShare("small", {1.0, 0, 0});
  bench.KeepQueued("large", 10);
  bench.KeepQueued("small", 10);
  bench.Run(std::chrono::seconds(20));
  CHECK(bench.SlotTime("large") / bench.SlotTime("small") == Approx(3.0).epsilon(0.05));
}

TEST_CASE("A group that bursts after a quiet time does not shut the other out", "[pool]") {
  Bench bench(AdmissionSettings{}, Duration{1000});
  bench.KeepQueued("steady", 10);
  bench.KeepQueued("bursting", 0);
  bench.Run(std::chrono::seconds(30));
  bench.KeepQueued("bursting", 10);
  const double before = bench.SlotTime("steady");
  bench.Run(std::chrono::seconds(1));
  const double during = bench.SlotTime("steady") - before;
  // Five slots for one second; the quiet group's credit is 0.5 s of slot time.
  CHECK(during > 1.5e6);
  CHECK(bench.SlotTime("bursting") > during);
}

TEST_CASE("Minimum and maximum of a group are kept", "[pool]") {
  Bench bench(AdmissionSettings{}, Duration{1000});
  bench.admission.SetShare("limited", {100.0, 0, 2});
  bench.admission.SetShare("guarded", {0.001, 1, 0});
  bench.KeepQueued("limited", 10);
  bench.KeepQueued("guarded", 10);
  bench.KeepQueued("other", 10);
  bench.Run(std::chrono::seconds(5));
  const double all =
      bench.SlotTime("limited") + bench.SlotTime("guarded") + bench.SlotTime("other");
  CHECK(bench.SlotTime("limited") / all == Approx(0.4).epsilon(0.05));
  CHECK(bench.SlotTime("guarded") / all > 0.18);
}

TEST_CASE("A request that cannot start in time is refused on arrival with a time to return",
          "[pool]") {
  AdmissionSettings settings;
  settings.slots = 1;
  Admission admission(settings);
  REQUIRE(admission.Arrive({1, "g", kFarAway, false}, Instant{0}).verdict == Verdict::kStarted);
  admission.Finish(1, Instant{10'000});
  REQUIRE(admission.Arrive({2, "g", kFarAway, false}, Instant{10'000}).verdict ==
          Verdict::kStarted);
  const auto refused = admission.Arrive({3, "g", Instant{10'500}, false}, Instant{10'000});
  CHECK(refused.verdict == Verdict::kRefused);
  CHECK(refused.retry_after >= Duration{5'000});
  CHECK(admission.Arrive({4, "g", kFarAway, false}, Instant{10'000}).verdict == Verdict::kQueued);
  CHECK(admission.Finish(2, Instant{20'000}) == std::vector<Ticket>{4});
}

TEST_CASE("Statements of open transactions go first", "[pool]") {
  AdmissionSettings settings;
  settings.slots = 1;
  Admission admission(settings);
  admission.Arrive({1, "g", kFarAway, false}, Instant{0});
  admission.Arrive({2, "g", kFarAway, false}, Instant{0});
  admission.Arrive({3, "g", kFarAway, true}, Instant{0});
  CHECK(admission.Finish(1, Instant{1'000}) == std::vector<Ticket>{3});
}

TEST_CASE("Any order of arrivals and ends keeps slots within bounds and none idle", "[pool]") {
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
        if (admission.Arrive({ticket, group, kFarAway, false}, now).verdict == Verdict::kStarted) {
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
