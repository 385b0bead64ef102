// valvekeeld: the proxy daemon between callers and databases.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "common/result.h"
#include "crash_report/fatal_signal.h"
#include "daemon/daemon.h"
#include "daemon/daemon_settings.h"
#include "runtime/logging.h"

ABSL_FLAG(std::string, config, "", "settings file in TOML");
ABSL_FLAG(std::vector<std::string>, set, {},
          "settings section.name=value that go before the file's, comma separated");
ABSL_FLAG(bool, check_config, false, "check the settings and exit: 0 if they are valid, else 2");
ABSL_FLAG(bool, print_settings, false, "print all settings with units and defaults, and exit");

namespace {

constexpr int kInvalidSettings = 2;
constexpr int kCannotStart = 1;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("valvekeeld: database proxy with session consistency");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_print_settings)) {
    std::cout << valvekeel::daemon::DaemonSettingsMarkdown();
    return 0;
  }
  auto loaded =
      valvekeel::daemon::LoadDaemonSettings(absl::GetFlag(FLAGS_config), absl::GetFlag(FLAGS_set));
  if (!valvekeel::common::IsOk(loaded)) {
    for (const auto& error : valvekeel::common::ErrorOf(loaded)) {
      std::cerr << valvekeel::settings::Describe(error) << "\n";
    }
    return kInvalidSettings;
  }
  valvekeel::daemon::DaemonSettings& settings = valvekeel::common::ValueOf(loaded);
  if (absl::GetFlag(FLAGS_check_config)) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  valvekeel::runtime::StartLogging(settings.id, settings.log_level);
  if (!valvekeel::crash_report::install({STDOUT_FILENO, settings.id})) {
    valvekeel::runtime::Log(valvekeel::runtime::LogLevel::kWarning, "fatal_signal_unreported",
                            {{"reason", "the system refuses the signal handlers"}});
  }
  asio::io_context loop(1);
  valvekeel::daemon::Daemon daemon(loop, std::move(settings));
  if (const auto error = daemon.Start()) {
    valvekeel::runtime::Log(valvekeel::runtime::LogLevel::kError, "start_failed",
                            {{"reason", error->reason}});
    return kCannotStart;
  }
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](const asio::error_code&, int) { daemon.Stop([&] { loop.stop(); }); });
  loop.run();
  return 0;
}
