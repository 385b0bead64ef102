// standin-database: simulates one database group for tests, with a separate port for each instance.
//
// Control port. Faults: POST /instances/N/{isolate,heal,stop,start,lag?ms=M}. State: GET /status.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "http/loop_server.h"
#include "runtime/announce.h"
#include "runtime/logging.h"
#include "standin/database_group.h"
#include "standin/instance_server.h"

ABSL_FLAG(std::string, name, "db", "name of the database group, used in logs");
ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, instances, 3, "number of instances");
ABSL_FLAG(int, connections, 35, "connections that one instance takes");
ABSL_FLAG(int, slots, 5, "statements that one instance runs at one time");
ABSL_FLAG(int, service_us, 500, "microseconds that a statement on a table takes");
ABSL_FLAG(int, opening_ms, 10, "milliseconds that opening a connection takes");
ABSL_FLAG(int, election_ms, 500, "milliseconds from the loss of a primary to the next");
ABSL_FLAG(std::vector<std::string>, replay_lag_ms, {},
          "replay lag of each instance in milliseconds, comma separated");
ABSL_FLAG(std::string, announce, "", "file to write the bound addresses to");

namespace {

using valvekeel::common::Duration;
using valvekeel::common::SteadyNow;
using valvekeel::http::Reply;
using valvekeel::http::Request;
using valvekeel::standin::DatabaseGroup;
using valvekeel::standin::GroupTiming;
using valvekeel::standin::InstanceLimits;
using valvekeel::standin::InstanceServer;

constexpr std::chrono::milliseconds kTickInterval{2};
constexpr int kBadRequest = 400;

GroupTiming TimingFromFlags() {
  GroupTiming timing;
  timing.election = std::chrono::milliseconds(absl::GetFlag(FLAGS_election_ms));
  for (const std::string& text : absl::GetFlag(FLAGS_replay_lag_ms)) {
    int milliseconds = 0;
    if (absl::SimpleAtoi(text, &milliseconds)) {
      timing.replay_lag.emplace_back(std::chrono::milliseconds(milliseconds));
    }
  }
  return timing;
}

InstanceLimits LimitsFromFlags() {
  InstanceLimits limits;
  limits.connections = static_cast<std::size_t>(absl::GetFlag(FLAGS_connections));
  limits.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
  limits.service_time = std::chrono::microseconds(absl::GetFlag(FLAGS_service_us));
  limits.opening_time = std::chrono::milliseconds(absl::GetFlag(FLAGS_opening_ms));
  return limits;
}

nlohmann::json Status(const DatabaseGroup& group,
                      const std::vector<std::unique_ptr<InstanceServer>>& servers) {
  nlohmann::json status = {{"primary", group.Primary()},
                           {"elected_at_us", group.ElectedAt().count()},
                           {"instances", nlohmann::json::array()}};
  for (std::size_t i = 0; i < group.Size(); ++i) {
    const auto& instance = group.At(i);
    const auto& counters = servers[i]->Counters();
    status["instances"].push_back({{"up", instance.up},
                                   {"isolated", instance.isolated},
                                   {"in_recovery", instance.state.in_recovery},
                                   {"term", instance.state.term},
                                   {"received", instance.state.received},
                                   {"replayed", instance.state.replayed},
                                   {"statements", counters.statements},
                                   {"table_statements", counters.table_statements},
                                   {"connections", counters.connections},
                                   {"most_connections", counters.most_connections},
                                   {"refused_connections", counters.refused_connections}});
  }
  return status;
}

Reply ApplyFault(DatabaseGroup& group, const Request& request) {
  std::size_t instance = 0;
  if (!absl::SimpleAtoi(request.captures[0], &instance) || instance >= group.Size()) {
    return {kBadRequest, R"({"error":"no such instance"})"};
  }
  const std::string& action = request.captures[1];
  if (action == "isolate") {
    group.Isolate(instance, SteadyNow());
  } else if (action == "heal") {
    group.Heal(instance, SteadyNow());
  } else if (action == "stop") {
    group.Stop(instance, SteadyNow());
  } else if (action == "start") {
    group.Start(instance, SteadyNow());
  } else {
    int milliseconds = 0;
    const auto found = request.query.find("ms");
    if (found == request.query.end() || !absl::SimpleAtoi(found->second, &milliseconds)) {
      return {kBadRequest, R"({"error":"lag needs ?ms=N"})"};
    }
    group.SetReplayLag(instance, std::chrono::milliseconds(milliseconds));
  }
  valvekeel::runtime::Log(valvekeel::runtime::LogLevel::kInfo, "fault",
                          {{"instance", instance}, {"action", action}});
  return {200, "{}"};
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-database: a modelled database group for tests");
  absl::ParseCommandLine(argc, argv);
  valvekeel::runtime::StartLogging(absl::GetFlag(FLAGS_name), valvekeel::runtime::LogLevel::kInfo);
  asio::io_context loop(1);
  const std::string host = absl::GetFlag(FLAGS_host);
  DatabaseGroup group(static_cast<std::size_t>(absl::GetFlag(FLAGS_instances)), TimingFromFlags());
  std::vector<std::unique_ptr<InstanceServer>> servers;
  nlohmann::json addresses = {{"instances", nlohmann::json::array()}};
  for (std::size_t i = 0; i < group.Size(); ++i) {
    servers.push_back(std::make_unique<InstanceServer>(loop, group, i, LimitsFromFlags()));
    addresses["instances"].push_back({{"host", host}, {"port", servers.back()->Start(host, 0)}});
  }

  valvekeel::http::LoopServer control(loop);
  control.Route("GET", "/status", [&](const Request&) {
    return Reply{200, Status(group, servers).dump()};
  });
  control.Route("POST", R"(/instances/(\d+)/(isolate|heal|stop|start|lag))",
                [&](const Request& request) {
                  const Reply reply = ApplyFault(group, request);
                  for (const auto& server : servers) {
                    server->CloseStaleSessions();
                  }
                  return reply;
                });
  const auto control_port = control.Start(host, 0);
  if (!valvekeel::common::IsOk(control_port)) {
    valvekeel::runtime::Log(valvekeel::runtime::LogLevel::kError, "listen_failed",
                            {{"reason", valvekeel::common::ErrorOf(control_port).reason}});
    return 1;
  }
  addresses["control"] = {{"host", host}, {"port", valvekeel::common::ValueOf(control_port)}};

  asio::steady_timer ticker(loop);
  std::function<void()> tick = [&] {
    group.Tick(SteadyNow());
    for (const auto& server : servers) {
      server->CloseStaleSessions();
    }
    ticker.expires_after(kTickInterval);
    ticker.async_wait([&](const asio::error_code& error) {
      if (!error) {
        tick();
      }
    });
  };
  tick();
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](const asio::error_code&, int) { loop.stop(); });
  if (!valvekeel::runtime::AnnounceAddresses(absl::GetFlag(FLAGS_announce), addresses)) {
    return 1;
  }
  loop.run();
  control.Stop();
  return 0;
}
