// Settings of a daemon that runs the proxy's decision code.
//
// Owns: the typed settings and their schema. Invariant: LoadHostSettings returns only settings that
// passed every check. Thread: any (values only).
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
  common::Endpoint callers;  // listens for callers
  common::Endpoint health;   // answers whether the daemon is ready
  std::string health_path = "/ready";
  common::Endpoint admin;      // metrics, status, catalog for other daemons
  common::Endpoint store;      // the metadata store
  common::Endpoint promotion;  // the promotion service
  std::size_t most_sessions = 3000;
  common::Duration connect_timeout{500'000};
  runtime::LogLimits log;
  int log_descriptor = STDOUT_FILENO;  // that tests set: no setting of the daemon reaches it
};

/// @param path settings file in TOML. @param overrides texts "section.name=value".
/// @return the settings, or every fault found.
common::Result<HostSettings, std::vector<settings::SettingError>> LoadHostSettings(
    const std::string& path, const std::vector<std::string>& overrides);

/// @return the table of all settings for the operators' pages.
std::string HostSettingsMarkdown();

}  // namespace valvekeel::host
