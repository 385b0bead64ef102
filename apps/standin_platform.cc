// standin-platform: simulates the platform's object API for tests, with versions and watches.
//
// Objects: GET/PUT/DELETE /apis/valvekeel/v1/KIND[/NAME], GET ...?watch=true&resourceVersion=N.
// Faults: POST /control/fault?mode={none,down,slow,lose_answers}&delay_ms=N, POST /control/compact.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "runtime/announce.h"
#include "runtime/logging.h"
#include "standin/object_store.h"

ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port, 0 to let the system choose");
ABSL_FLAG(int, readers, 40, "watches that the platform serves at one time");
ABSL_FLAG(std::string, announce, "", "file to write the bound address to");

namespace {

using nlohmann::json;
using valvekeel::standin::ObjectError;
using valvekeel::standin::ObjectStore;

constexpr std::size_t kMaxHistoryEvents = 5000;
constexpr int kWatchPollMs = 500;
constexpr std::size_t kServerThreads = 128;
constexpr int kServiceUnavailable = 503;
constexpr int kTooManyRequests = 429;
constexpr int kGatewayTimeout = 504;
constexpr int kBadRequest = 400;
constexpr const char* kJson = "application/json";
constexpr const char* kObjectPath = R"(/apis/valvekeel/v1/([a-z]+)/([A-Za-z0-9._-]+))";
constexpr const char* kListPath = R"(/apis/valvekeel/v1/([a-z]+))";

enum class Fault { kNone, kDown, kSlow, kLoseAnswers };

struct PlatformState {
  ObjectStore store{kMaxHistoryEvents};
  std::atomic<Fault> fault{Fault::kNone};
  std::atomic<int> delay_ms{0};
  std::atomic<int> watches{0};
  std::atomic<int> max_watches{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<bool> stopping{false};
};

void SendError(httplib::Response& response, const ObjectError& error) {
  response.status = error.status;
  response.set_content(json{{"code", error.status}, {"message", error.reason}}.dump(), kJson);
}

/// Counts the request and applies the injected fault.
/// @return false if the fault has already answered the request.
bool Admit(PlatformState& state, httplib::Response& response) {
  ++state.requests;
  if (state.fault == Fault::kSlow) {
    std::this_thread::sleep_for(std::chrono::milliseconds(state.delay_ms));
  }
  if (state.fault == Fault::kDown) {
    SendError(response, {kServiceUnavailable, "the platform is down"});
    return false;
  }
  return true;
}

/// If the fault is "lose_answers", replaces the answer to an applied change by a gateway timeout.
void MaybeLoseAnswer(PlatformState& state, httplib::Response& response) {
  if (state.fault == Fault::kLoseAnswers) {
    SendError(response, {kGatewayTimeout, "the answer was lost"});
  }
}

std::uint64_t VersionParameter(const httplib::Request& request) {
  std::uint64_t version = 0;
  const bool parsed = absl::SimpleAtoi(request.get_param_value("resourceVersion"), &version);
  return parsed ? version : 0;
}

void Watch(PlatformState& state, const httplib::Request& request, httplib::Response& response) {
  const std::string kind = request.matches[1];
  if (state.watches >= absl::GetFlag(FLAGS_readers)) {
    SendError(response, {kTooManyRequests, "too many watches"});
    return;
  }
  ++state.watches;
  state.max_watches = std::max(state.max_watches.load(), state.watches.load());
  auto version = std::make_shared<std::uint64_t>(VersionParameter(request));
  response.set_chunked_content_provider(
      kJson,
      [&state, kind, version](std::size_t, httplib::DataSink& sink) {
        if (state.stopping || state.fault == Fault::kDown) {
          sink.done();
          return true;
        }
        const auto events = state.store.WaitForEvents(kind, *version, kWatchPollMs);
        std::string lines;
        if (!valvekeel::common::IsOk(events)) {
          const ObjectError& error = valvekeel::common::ErrorOf(events);
          lines = json{{"type", "ERROR"},
                       {"object", {{"code", error.status}, {"message", error.reason}}}}
                      .dump() +
                  "\n";
          sink.write(lines.data(), lines.size());
          sink.done();
          return true;
        }
        for (const auto& event : valvekeel::common::ValueOf(events)) {
          *version = event.version;
          lines += json{{"type", event.type}, {"object", event.object}}.dump() + "\n";
        }
        if (lines.empty()) {
          const json metadata = {{"resourceVersion", absl::StrCat(*version)}};
          lines = json{{"type", "BOOKMARK"}, {"object", {{"metadata", metadata}}}}.dump() + "\n";
        }
        return sink.write(lines.data(), lines.size());
      },
      [&state](bool) { --state.watches; });
}

void RouteObjects(httplib::Server& server, PlatformState& state) {
  server.Get(kObjectPath, [&](const httplib::Request& request, httplib::Response& response) {
    if (!Admit(state, response)) {
      return;
    }
    const auto object = state.store.Get(request.matches[1], request.matches[2]);
    if (!valvekeel::common::IsOk(object)) {
      SendError(response, valvekeel::common::ErrorOf(object));
      return;
    }
    response.set_content(valvekeel::common::ValueOf(object).dump(), kJson);
  });
  server.Get(kListPath, [&](const httplib::Request& request, httplib::Response& response) {
    if (!Admit(state, response)) {
      return;
    }
    if (request.get_param_value("watch") == "true") {
      Watch(state, request, response);
      return;
    }
    response.set_content(state.store.List(request.matches[1]).dump(), kJson);
  });
  server.Put(kObjectPath, [&](const httplib::Request& request, httplib::Response& response) {
    if (!Admit(state, response)) {
      return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      SendError(response, {kBadRequest, "the body is not a JSON object"});
      return;
    }
    const auto object = state.store.Put(request.matches[1], request.matches[2], body);
    if (!valvekeel::common::IsOk(object)) {
      SendError(response, valvekeel::common::ErrorOf(object));
      return;
    }
    response.set_content(valvekeel::common::ValueOf(object).dump(), kJson);
    MaybeLoseAnswer(state, response);
  });
  server.Delete(kObjectPath, [&](const httplib::Request& request, httplib::Response& response) {
    if (!Admit(state, response)) {
      return;
    }
    const auto object =
        state.store.Delete(request.matches[1], request.matches[2], VersionParameter(request));
    if (!valvekeel::common::IsOk(object)) {
      SendError(response, valvekeel::common::ErrorOf(object));
      return;
    }
    response.set_content(valvekeel::common::ValueOf(object).dump(), kJson);
    MaybeLoseAnswer(state, response);
  });
}

void RouteControl(httplib::Server& server, PlatformState& state) {
  server.Post("/control/fault", [&](const httplib::Request& request, httplib::Response& response) {
    const std::string mode = request.get_param_value("mode");
    int delay_ms = 0;
    if (absl::SimpleAtoi(request.get_param_value("delay_ms"), &delay_ms)) {
      state.delay_ms = delay_ms;
    }
    if (mode == "none") {
      state.fault = Fault::kNone;
    } else if (mode == "down") {
      state.fault = Fault::kDown;
    } else if (mode == "slow") {
      state.fault = Fault::kSlow;
    } else if (mode == "lose_answers") {
      state.fault = Fault::kLoseAnswers;
    } else {
      SendError(response, {kBadRequest, "mode is none, down, slow or lose_answers"});
      return;
    }
    response.set_content("{}", kJson);
  });
  server.Post("/control/compact", [&](const httplib::Request&, httplib::Response& response) {
    state.store.DropHistory();
    response.set_content("{}", kJson);
  });
  server.Get("/control/status", [&](const httplib::Request&, httplib::Response& response) {
    response.set_content(json{{"watches", state.watches.load()},
                              {"most_watches", state.max_watches.load()},
                              {"requests", state.requests.load()},
                              {"version", state.store.Version()}}
                             .dump(),
                         kJson);
  });
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("standin-platform: the platform's object API for tests");
  absl::ParseCommandLine(argc, argv);
  valvekeel::runtime::StartLogging("standin-platform", valvekeel::runtime::LogLevel::kInfo);
  PlatformState state;
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  RouteObjects(server, state);
  RouteControl(server, state);
  const std::string host = absl::GetFlag(FLAGS_host);
  int port = absl::GetFlag(FLAGS_port);
  if (port == 0) {
    port = server.bind_to_any_port(host);
  } else if (!server.bind_to_port(host, port)) {
    port = -1;
  }
  if (port < 0) {
    valvekeel::runtime::Log(valvekeel::runtime::LogLevel::kError, "listen_failed",
                            {{"host", host}});
    return 1;
  }
  std::thread serving([&] { server.listen_after_bind(); });
  asio::io_context loop(1);
  asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](const asio::error_code&, int) { loop.stop(); });
  const bool announced = valvekeel::runtime::AnnounceAddresses(absl::GetFlag(FLAGS_announce),
                                                               {{"host", host}, {"port", port}});
  if (announced) {
    loop.run();
  }
  state.stopping = true;
  server.stop();
  serving.join();
  return announced ? 0 : 1;
}
