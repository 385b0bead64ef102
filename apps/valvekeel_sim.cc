// valvekeel-sim: the daemon's decision code on simulated time.
//
//   valvekeel-sim capacity --sizes=48,96,192  what control costs a daemon at each size
//   valvekeel-sim placement --sizes=770       how many instances a daemon owns at each size

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>

#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sim/capacity.h"

ABSL_FLAG(std::vector<std::string>, sizes, (std::vector<std::string>{"48", "96", "192"}),
          "numbers of daemons, comma separated");
ABSL_FLAG(double, databases_per_daemon, 1200.0 / 770.0, "database groups for each daemon");
ABSL_FLAG(int, cut_seconds, 60, "simulated length of the cut between regions");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run");

namespace {

constexpr int kUsageError = 2;
constexpr std::size_t kLargestSize = 5000;

/// Runs a measurement at each size of the command line.
int ForEachSize(const std::function<std::string(const valvekeel::sim::CapacityPlan&)>& measure) {
  for (const std::string& text : absl::GetFlag(FLAGS_sizes)) {
    std::size_t daemons = 0;
    if (!absl::SimpleAtoi(text, &daemons) || daemons < 8 || daemons > kLargestSize) {
      std::cerr << "--sizes: \"" << text << "\" is not a number from 8 to 5000\n";
      return kUsageError;
    }
    valvekeel::sim::CapacityPlan plan;
    plan.shape.daemons = daemons;
    plan.shape.databases = static_cast<std::size_t>(static_cast<double>(daemons) *
                                                    absl::GetFlag(FLAGS_databases_per_daemon));
    plan.shape.seed = absl::GetFlag(FLAGS_seed);
    plan.region_cut = std::chrono::seconds(absl::GetFlag(FLAGS_cut_seconds));
    std::cout << measure(plan) << std::endl;
  }
  return 0;
}

std::string Capacity(const valvekeel::sim::CapacityPlan& plan) {
  return valvekeel::sim::FormatCapacity(valvekeel::sim::MeasureCapacity(plan));
}

std::string Placement(const valvekeel::sim::CapacityPlan& plan) {
  const auto result = valvekeel::sim::MeasurePlacement(plan.shape);
  return nlohmann::json{{"daemons", plan.shape.daemons},
                        {"instances_median", result.median},
                        {"instances_worst", result.worst}}
      .dump();
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("valvekeel-sim capacity|placement [--sizes=N,...]");
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  const std::string command = words.size() == 2 ? words[1] : "";
  if (command == "capacity") {
    return ForEachSize(Capacity);
  }
  if (command == "placement") {
    return ForEachSize(Placement);
  }
  std::cerr << "usage: valvekeel-sim capacity|placement [--sizes=N,...]\n";
  return kUsageError;
}
