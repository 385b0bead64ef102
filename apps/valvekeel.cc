// valvekeel: the operators' command line.
//
//   valvekeel check HISTORY     checks a history for violations of the consistency rules
//   valvekeel report HISTORY    prints the statistics of a history
//   valvekeel status HOST:PORT  prints the state of a daemon
//   valvekeel replay-waiting TRACE  replays a load trace through the queueing decisions
//   valvekeel explain REQUEST LOG...  explains the course of one request from the daemons' logs
//   valvekeel --summary explain LOG...  summarizes the daemons' logs

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "operator/commands.h"

ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(bool, summary, false, "explain: sum up whole logs in place of one request");
ABSL_FLAG(int, window_s, 2, "explain --summary: seconds of a time window, at least 1");

namespace {

constexpr int kUsageError = 2;

constexpr const char* kUsage =
    "valvekeel [--output=table|json] COMMAND\n"
    "  check HISTORY      hold a history against what must always hold;\n"
    "                     exit 1 on a violation, 2 if it cannot be read\n"
    "  report HISTORY     print the figures of a history\n"
    "  status HOST:PORT   print the state of a daemon\n"
    "  replay-waiting TRACE  play a trace of load through the earlier and the present\n"
    "                     decisions on waiting work; exit 1 if an expected outcome is missed\n"
    "  explain REQUEST LOG...  account for one request from the daemons' logs, - for\n"
    "                     standard input; exit 1 if no line names it\n"
    "  explain --summary LOG...  refusals by reason, service, daemon and window of\n"
    "                     --window_s seconds, replacements of primaries with their steps\n";

}  // namespace

int main(int argc, char** argv) {
  using valvekeel::operator_tools::OutputFormat;
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    std::cerr << "--output is table or json\n";
    return kUsageError;
  }
  const OutputFormat format = output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  using Command = std::function<int(const std::string&, OutputFormat)>;
  const std::map<std::string, Command> commands = {
      {"check", valvekeel::operator_tools::RunCheck},
      {"report", valvekeel::operator_tools::RunReport},
      {"status", valvekeel::operator_tools::RunStatus},
      {"replay-waiting", valvekeel::operator_tools::RunReplayWaiting},
  };
  const bool is_explain = words.size() > 2 && std::string(words[1]) == "explain";
  if (is_explain && absl::GetFlag(FLAGS_summary)) {
    const int window = absl::GetFlag(FLAGS_window_s);
    if (window < 1) {
      std::cerr << "--window_s is at least 1\n";
      return kUsageError;
    }
    return valvekeel::operator_tools::RunSummary({words.begin() + 2, words.end()},
                                                 std::chrono::seconds(window), format);
  }
  constexpr std::size_t kMinExplainWords = 4;
  if (words.size() >= kMinExplainWords && std::string(words[1]) == "explain") {
    return valvekeel::operator_tools::RunExplain(words[2], {words.begin() + 3, words.end()},
                                                 format);
  }
  constexpr std::size_t kCommandWords = 3;
  const auto command = words.size() == kCommandWords ? commands.find(words[1]) : commands.end();
  if (command == commands.end()) {
    std::cerr << kUsage;
    return kUsageError;
  }
  return command->second(words[2], format);
}
