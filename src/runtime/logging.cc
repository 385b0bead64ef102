#include "runtime/logging.h"

#include <easylogging++.h>

#include <array>
#include <string>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace valvekeel::runtime {
namespace {

struct LoggerState {
  std::string process;
  LogLevel min_level = LogLevel::kInfo;
};

LoggerState& State() {
  static LoggerState state;
  return state;
}

constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels = {{
    {"debug", LogLevel::kDebug},
    {"info", LogLevel::kInfo},
    {"warning", LogLevel::kWarning},
    {"error", LogLevel::kError},
}};

std::string_view LevelName(LogLevel level) {
  for (const auto& [name, value] : kLevels) {
    if (value == level) {
      return name;
    }
  }
  return "info";
}

}  // namespace

void StartLogging(std::string_view process, LogLevel min_level) {
  State() = {std::string(process), min_level};
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",%msg}");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configuration);
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (level < State().min_level) {
    return;
  }
  nlohmann::ordered_json line;
  line["level"] = LevelName(level);
  line["process"] = State().process;
  line["event"] = event;
  for (const auto& [name, value] : fields.items()) {
    line[name] = value;
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  const std::string body = text.substr(1, text.size() - 2);
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << body;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << body;
      break;
    case LogLevel::kError:
      LOG(ERROR) << body;
      break;
  }
}

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (const auto& [known, value] : kLevels) {
    if (known == name) {
      *level = value;
      return true;
    }
  }
  return false;
}

}  // namespace valvekeel::runtime
