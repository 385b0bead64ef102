// valvekeel-load: runs concurrent callers through libpq, records a history, prints statistics.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "check/summary.h"
#include "common/time.h"
#include "history/event.h"
#include "load/caller.h"
#include "load/target.h"

ABSL_FLAG(std::vector<std::string>, targets, {}, "daemons as name=host:port, comma separated");
ABSL_FLAG(std::string, database, "ledger", "database group to use");
ABSL_FLAG(std::string, run, "", "begins the names of registers, pairs and entries");
ABSL_FLAG(std::vector<std::string>, users, {"alpha"}, "groups of callers, taken in turn");
ABSL_FLAG(int, callers, 16, "concurrent callers");
ABSL_FLAG(double, seconds, 10, "how long to run");
ABSL_FLAG(std::uint64_t, operations, 0, "most operations of a caller, 0 for no bound");
ABSL_FLAG(double, read_share, 0.8, "share of single-row reads");
ABSL_FLAG(double, insert_share, 0.05, "share of entries with a request id");
ABSL_FLAG(double, pair_share, 0.1, "share of pairs, half of them transactions");
ABSL_FLAG(double, roam_share, 0.02, "share of operations before which a caller moves");
ABSL_FLAG(double, token_share, 0.5, "share of moves that carry the session token");
ABSL_FLAG(double, own_read_share, 0.7, "share of reads of the caller's own register");
ABSL_FLAG(int, deadline_ms, 5000, "valvekeel.deadline_ms of the sessions");
ABSL_FLAG(int, pause_us, 0, "microseconds between a caller's operations");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers' choices");
ABSL_FLAG(std::string, history, "", "file to write the history to");
ABSL_FLAG(bool, prepare, true, "create the tables first");
ABSL_FLAG(bool, read_back, true, "read everything back at the end");

namespace {

using valvekeel::history::Event;
using valvekeel::load::Caller;
using valvekeel::load::Workload;

constexpr int kUsageError = 2;
constexpr int kRunError = 1;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::int64_t kGapWindowUs = 10'000'000;

std::optional<Workload> WorkloadFromFlags() {
  Workload workload;
  for (const std::string& text : absl::GetFlag(FLAGS_targets)) {
    const auto target = valvekeel::load::ParseTarget(text);
    if (!target) {
      std::cerr << "--targets: \"" << text << "\" is not name=host:port\n";
      return std::nullopt;
    }
    workload.targets.push_back(*target);
  }
  if (workload.targets.empty()) {
    std::cerr << "--targets names no daemon\n";
    return std::nullopt;
  }
  workload.database = absl::GetFlag(FLAGS_database);
  workload.run = absl::GetFlag(FLAGS_run);
  workload.users = absl::GetFlag(FLAGS_users);
  workload.callers = static_cast<std::size_t>(std::max(1, absl::GetFlag(FLAGS_callers)));
  workload.read_share = absl::GetFlag(FLAGS_read_share);
  workload.insert_share = absl::GetFlag(FLAGS_insert_share);
  workload.pair_share = absl::GetFlag(FLAGS_pair_share);
  workload.roam_share = absl::GetFlag(FLAGS_roam_share);
  workload.token_share = absl::GetFlag(FLAGS_token_share);
  workload.own_read_share = absl::GetFlag(FLAGS_own_read_share);
  workload.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
  workload.pause_us = absl::GetFlag(FLAGS_pause_us);
  workload.seed = absl::GetFlag(FLAGS_seed);
  workload.most_operations = absl::GetFlag(FLAGS_operations);
  return workload;
}

std::vector<Event> RunCallers(const Workload& workload) {
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < workload.callers; ++i) {
    callers.push_back(std::make_unique<Caller>(workload, i));
  }
  for (const auto& caller : callers) {
    threads.emplace_back([&caller] { caller->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<Event> events;
  for (const auto& caller : callers) {
    events.insert(events.end(), caller->Events().begin(), caller->Events().end());
  }
  std::stable_sort(events.begin(), events.end(), [](const Event& left, const Event& right) {
    return left.start_us < right.start_us;
  });
  return events;
}

bool WriteHistory(const std::string& path, const std::vector<Event>& events) {
  std::ofstream file(path);
  for (const Event& event : events) {
    file << valvekeel::history::FormatEvent(event) << "\n";
  }
  return static_cast<bool>(file.flush());
}

void PrintSummary(const valvekeel::check::Summary& summary, double seconds) {
  nlohmann::json line = {
      {"statements", summary.requests},
      {"acknowledged", summary.acknowledged},
      {"errors", summary.errors},
      {"per_second", static_cast<double>(summary.acknowledged) / seconds},
      {"read_us", {{"median", summary.median_read_us}, {"p99", summary.high_read_us}}},
      {"write_us", {{"median", summary.median_write_us}, {"p99", summary.high_write_us}}}};
  std::cout << line.dump() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("valvekeel-load: callers through libpq, with a recorded history");
  absl::ParseCommandLine(argc, argv);
  auto workload = WorkloadFromFlags();
  if (!workload) {
    return kUsageError;
  }
  if (absl::GetFlag(FLAGS_prepare)) {
    const std::string error = valvekeel::load::Prepare(*workload);
    if (!error.empty()) {
      std::cerr << "cannot prepare: " << error << "\n";
      return kRunError;
    }
  }
  const double seconds = absl::GetFlag(FLAGS_seconds);
  workload->end_us = valvekeel::common::SteadyNow().count() +
                     static_cast<std::int64_t>(seconds * kMicrosPerSecond);
  std::vector<Event> events = RunCallers(*workload);
  const auto summary = valvekeel::check::Summarize(events, kGapWindowUs);
  if (absl::GetFlag(FLAGS_read_back)) {
    const std::string error = valvekeel::load::ReadBack(*workload, events);
    if (!error.empty()) {
      std::cerr << error << "\n";
      return kRunError;
    }
  }
  const std::string path = absl::GetFlag(FLAGS_history);
  if (!path.empty() && !WriteHistory(path, events)) {
    std::cerr << "cannot write " << path << "\n";
    return kRunError;
  }
  PrintSummary(summary, seconds);
  return 0;
}
