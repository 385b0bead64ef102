// valvekeel-proxysim: runs the proxy's decision code in random fault scenarios on simulated time.
//
//   valvekeel-proxysim --seeds=1000           runs seeds 1 to 1000; prints those with violations
//   valvekeel-proxysim --first=77 --seeds=1 --print_log   runs one seed and prints its log lines

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "proxysim/control_cost.h"
#include "proxysim/scenario.h"

namespace {

constexpr std::uint64_t kDefaultShownViolations = 5;

}  // namespace

ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 100, "number of seeds");
ABSL_FLAG(std::uint64_t, faults, 6, "faults in a day");
ABSL_FLAG(std::uint64_t, sequences, 0, "sequences of faults that hit one group, in a day");
ABSL_FLAG(std::uint64_t, restart_sequences, 0,
          "sequences around restarts and standstills of daemons, in a day");
ABSL_FLAG(bool, refused_preparations, false, "instances refuse some SET, PARSE and RESET");
ABSL_FLAG(bool, draw_shape, false, "draw the deployment too");
ABSL_FLAG(bool, large, false, "many daemons, whose sessions are relayed to owners");
ABSL_FLAG(bool, anew, false, "instances that end start again under their id, with nothing");
ABSL_FLAG(bool, store_restores, false, "the store returns from older copies, several times a day");
ABSL_FLAG(bool, planned, false, "no faults: daemons are stopped in rolls, beside configurations");
ABSL_FLAG(bool, evacuations, false, "zones are evacuated, and taken back");
ABSL_FLAG(bool, no_evacuation_bound, false, "instances of evacuated zones are only avoided");
ABSL_FLAG(bool, warm_up, false, "instances that start are to be spared for a while");
ABSL_FLAG(bool, warm_up_limit, true, "off: they are not, to see the checker FAILBACK report");
ABSL_FLAG(bool, regions, false, "two regions, to which routes and tenants are limited by turns");
ABSL_FLAG(bool, tenants, false, "callers have keys, which are taken away and passed on");
ABSL_FLAG(std::vector<std::string>, control_cost, {},
          "instead of days: what control costs deployments of these sizes, e.g. 30,100,300");
ABSL_FLAG(std::uint64_t, sessions, 40, "callers at once");
ABSL_FLAG(std::string, load_trace, "",
          "file for the load of the last day's busiest daemon, for valvekeel replay-waiting");
ABSL_FLAG(std::uint64_t, shown, kDefaultShownViolations, "violations printed of a day");
ABSL_FLAG(bool, print_log, false, "print the daemons' log lines");

namespace {

/// Prints the faults of a scenario that broke a rule, and its violations.
void PrintViolations(std::uint64_t seed, const valvekeel::proxysim::ScenarioResult& result) {
  std::cout << "seed " << seed << ":\n";
  for (const std::string& fault : result.faults) {
    std::cout << "  " << fault << "\n";
  }
  std::size_t shown = 0;
  for (const auto& violation : result.violations) {
    if (++shown > absl::GetFlag(FLAGS_shown)) {
      std::cout << "  and " << result.violations.size() - absl::GetFlag(FLAGS_shown) << " more\n";
      break;
    }
    std::cout << "  " << violation.rule << " at " << violation.at.count() / 1000
              << " ms: " << violation.detail << "\n";
  }
}

}  // namespace

namespace {

void PrintPhase(const char* name, const valvekeel::proxysim::ControlCost& cost,
                const valvekeel::proxysim::PhaseCost& phase) {
  const double seconds = std::chrono::duration<double>(phase.length).count();
  const std::size_t daemons = cost.daemons;
  std::cout << "| " << daemons << " x " << cost.services << " | " << name << " | "
            << static_cast<double>(phase.messages) / seconds << " | "
            << static_cast<double>(phase.max_roleless_messages) / seconds << " | "
            << static_cast<double>(phase.max_messages) / seconds << " | "
            << static_cast<double>(phase.bytes) / seconds / 1000 << " | "
            << static_cast<double>(phase.max_roleless_bytes) / seconds / 1000 << " | "
            << static_cast<double>(phase.max_bytes) / seconds / 1000 << " | "
            << phase.largest_message << " | " << phase.store_calls << " | "
            << phase.processor_seconds / seconds / static_cast<double>(daemons) * 1000 << " |\n";
}

/// @return the exit status: 1 if the daemons of any deployment disagreed on the coordinators.
int PrintControlCost(const std::vector<std::string>& sizes) {
  std::cout
      << "| daemons x services | phase | messages/s | of a plain daemon, most | of any, most | "
         "KB/s | of a plain daemon, most | of any, most | largest message, bytes | "
         "store calls | ms of processor time a second and daemon |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  bool agreed = true;
  for (const std::string& size : sizes) {
    const std::size_t separator = size.find('x');
    const std::size_t services = separator == std::string::npos
                                     ? valvekeel::proxysim::kDefaultServices
                                     : std::stoul(size.substr(separator + 1));
    const auto cost = valvekeel::proxysim::MeasureControlCost(std::stoul(size), services);
    PrintPhase("start", cost, cost.start);
    PrintPhase("rest", cost, cost.idle);
    PrintPhase("return of all", cost, cost.mass_restart);
    agreed = agreed && cost.agreed_when_idle && cost.agreed_at_end;
  }
  std::cout << (agreed ? "all agreed on the coordinators\n" : "NOT AGREED\n");
  return agreed ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("valvekeel-proxysim [--first=N] [--seeds=N] [--draw_shape]");
  absl::ParseCommandLine(argc, argv);
  if (!absl::GetFlag(FLAGS_control_cost).empty()) {
    return PrintControlCost(absl::GetFlag(FLAGS_control_cost));
  }
  const auto start = std::chrono::steady_clock::now();
  std::map<std::string, std::size_t> runs_by_rule;
  std::size_t attempts = 0;
  std::size_t succeeded = 0;
  std::size_t promotions = 0;
  std::size_t relayed = 0;
  std::size_t stops = 0;
  const std::uint64_t first = absl::GetFlag(FLAGS_first);
  for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
    valvekeel::proxysim::ScenarioOptions options;
    options.seed = seed;
    options.faults = absl::GetFlag(FLAGS_faults);
    options.sessions = absl::GetFlag(FLAGS_sessions);
    options.sequences = absl::GetFlag(FLAGS_sequences);
    options.restart_sequences = absl::GetFlag(FLAGS_restart_sequences);
    options.refused_preparations = absl::GetFlag(FLAGS_refused_preparations);
    options.draw_shape = absl::GetFlag(FLAGS_draw_shape);
    options.large = absl::GetFlag(FLAGS_large);
    options.planned_stops = absl::GetFlag(FLAGS_planned);
    options.restart_empty = absl::GetFlag(FLAGS_anew);
    options.store_restores = absl::GetFlag(FLAGS_store_restores);
    options.evacuations = absl::GetFlag(FLAGS_evacuations);
    options.mechanisms.evacuation_bound = !absl::GetFlag(FLAGS_no_evacuation_bound);
    options.warm_up = absl::GetFlag(FLAGS_warm_up);
    options.mechanisms.warm_up_limit = absl::GetFlag(FLAGS_warm_up_limit);
    options.regions = absl::GetFlag(FLAGS_regions);
    options.tenants = absl::GetFlag(FLAGS_tenants);
    options.print_log = absl::GetFlag(FLAGS_print_log);
    options.record_load = !absl::GetFlag(FLAGS_load_trace).empty();
    const auto result = valvekeel::proxysim::RunScenario(options);
    attempts += result.attempts;
    succeeded += result.succeeded;
    promotions += result.promotions;
    relayed += result.relayed;
    stops += result.stops;
    if (options.record_load) {
      std::ofstream(absl::GetFlag(FLAGS_load_trace)) << result.load_trace;
    }
    std::map<std::string, bool> broken_rules;
    for (const auto& violation : result.violations) {
      broken_rules[violation.rule] = true;
    }
    for (const auto& [rule, is_broken] : broken_rules) {
      ++runs_by_rule[rule];
    }
    if (!result.violations.empty()) {
      PrintViolations(seed, result);
    }
  }
  const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - start;
  std::cout << "days " << absl::GetFlag(FLAGS_seeds) << ", attempts " << attempts << ", succeeded "
            << succeeded << ", promotions " << promotions << ", relayed " << relayed
            << ", planned stops " << stops << ", " << seconds.count() << " s\n";
  for (const auto& [rule, runs] : runs_by_rule) {
    std::cout << "days that broke " << rule << ": " << runs << "\n";
  }
  return runs_by_rule.empty() ? 0 : 1;
}
