// valvekeel-proxysim: random faulty days for the proxy's decision code, on simulated time.
//
//   valvekeel-proxysim --seeds=1000           days of seeds 1 to 1000; prints those with violations
//   valvekeel-proxysim --first=77 --seeds=1 --print_log   one day with its daemons' log lines

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <iostream>
#include <map>
#include <string>

#include "proxysim/scenario.h"

ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 100, "number of seeds");
ABSL_FLAG(std::uint64_t, faults, 6, "faults in a day");
ABSL_FLAG(bool, draw_shape, false, "draw the deployment too");
ABSL_FLAG(bool, large, false, "many daemons, whose sessions are relayed to owners");
ABSL_FLAG(bool, print_log, false, "print the daemons' log lines");

namespace {

constexpr std::size_t kShownViolations = 5;

/// Prints a day that broke a rule.
void Print(std::uint64_t seed, const valvekeel::proxysim::ScenarioResult& result) {
  std::cout << "seed " << seed << ":\n";
  for (const std::string& fault : result.faults) {
    std::cout << "  " << fault << "\n";
  }
  std::size_t shown = 0;
  for (const auto& violation : result.violations) {
    if (++shown > kShownViolations) {
      std::cout << "  and " << result.violations.size() - kShownViolations << " more\n";
      break;
    }
    std::cout << "  " << violation.rule << " at " << violation.at.count() / 1000
              << " ms: " << violation.detail << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("valvekeel-proxysim [--first=N] [--seeds=N] [--draw_shape]");
  absl::ParseCommandLine(argc, argv);
  const auto start = std::chrono::steady_clock::now();
  std::map<std::string, std::size_t> days_by_rule;
  std::size_t attempts = 0;
  std::size_t succeeded = 0;
  std::size_t promotions = 0;
  std::size_t relayed = 0;
  const std::uint64_t first = absl::GetFlag(FLAGS_first);
  for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
    valvekeel::proxysim::ScenarioOptions options;
    options.seed = seed;
    options.faults = absl::GetFlag(FLAGS_faults);
    options.draw_shape = absl::GetFlag(FLAGS_draw_shape);
    options.large = absl::GetFlag(FLAGS_large);
    options.print_log = absl::GetFlag(FLAGS_print_log);
    const auto result = valvekeel::proxysim::RunScenario(options);
    attempts += result.attempts;
    succeeded += result.succeeded;
    promotions += result.promotions;
    relayed += result.relayed;
    std::map<std::string, bool> broken;
    for (const auto& violation : result.violations) {
      broken[violation.rule] = true;
    }
    for (const auto& [rule, is_broken] : broken) {
      ++days_by_rule[rule];
    }
    if (!result.violations.empty()) {
      Print(seed, result);
    }
  }
  const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - start;
  std::cout << "days " << absl::GetFlag(FLAGS_seeds) << ", attempts " << attempts << ", succeeded "
            << succeeded << ", promotions " << promotions << ", relayed " << relayed << ", "
            << seconds.count() << " s\n";
  for (const auto& [rule, days] : days_by_rule) {
    std::cout << "days that broke " << rule << ": " << days << "\n";
  }
  return days_by_rule.empty() ? 0 : 1;
}
