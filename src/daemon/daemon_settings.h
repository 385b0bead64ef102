// All settings of valvekeeld.
//
// Owns: the typed settings and their schema. Invariant: LoadDaemonSettings returns only settings
// that passed every check. Thread: any (values only).
#pragma once

#include <string>
#include <vector>

#include "cluster/node.h"
#include "common/result.h"
#include "gateway/batch_router.h"
#include "gateway/session.h"
#include "pool/instance_pool.h"
#include "runtime/logging.h"
#include "settings/schema.h"

namespace valvekeel::daemon {

struct DaemonSettings {
  cluster::MemberId id;
  std::string zone;
  std::string host = "127.0.0.1";
  std::uint16_t caller_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t http_port = 0;
  std::vector<cluster::Endpoint> seeds;
  cluster::Endpoint platform;
  std::string announce;
  runtime::LogLevel log_level = runtime::LogLevel::kInfo;
  common::Duration stop_grace{60'000'000};
  cluster::NodeSettings node;
  pool::PoolSettings pool;
  gateway::RoutingSettings routing;
  gateway::SessionSettings sessions;
};

/// Reads the settings file and the overrides of the command line.
/// @return the settings, or every fault found.
common::Result<DaemonSettings, std::vector<settings::SettingError>> LoadDaemonSettings(
    const std::string& path, const std::vector<std::string>& overrides);

/// @return the table of all settings for the operators' pages.
std::string DaemonSettingsMarkdown();

}  // namespace valvekeel::daemon
