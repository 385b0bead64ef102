// Loads and checks the settings of a daemon that runs the proxy's decision code.
//
// Invariant: LoadHostSettings returns only settings that passed every check. Thread-safe.
#pragma once

#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "common/result.h"
#include "proxy/proxy_settings.h"
#include "runtime/bounded_log.h"
#include "settings/schema.h"

namespace valvekeel::host {

struct HostSettings {
  proxy::ProxySettings proxy;
  common::Endpoint callers;  // listens for callers' sessions
  common::Endpoint health;   // serves the readiness check over HTTP
  std::string health_path = "/ready";
  common::Endpoint admin;      // serves metrics, and the catalog for other daemons
  common::Endpoint store;      // the metadata store
  common::Endpoint promotion;  // the promotion service
  std::size_t max_sessions = 3000;
  common::Duration connect_timeout{500'000};
  runtime::LogLimits log;
  int log_descriptor = STDOUT_FILENO;  // set only by tests; there is no setting for it
};

/// @param path settings file in TOML. @param overrides texts "section.name=value".
/// @return the settings, or every error found.
common::Result<HostSettings, std::vector<settings::SettingError>> LoadHostSettings(
    const std::string& path, const std::vector<std::string>& overrides);

/// @return a table of all settings in Markdown, for the operators' documentation.
std::string HostSettingsMarkdown();

}  // namespace valvekeel::host
