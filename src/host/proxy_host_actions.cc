// Executes the actions that the decision code returns.

#include <algorithm>
#include <bit>
#include <utility>

#include "crash_report/activity.h"
#include "host/catalog_copy_json.h"
#include "host/configuration_copy.h"
#include "host/proxy_host.h"
#include "relay/handover.h"

namespace valvekeel::host {
namespace {

constexpr unsigned kInstanceUserTimeoutMs = 4000;
constexpr common::Duration kCatalogFetchTimeout{500'000};
/// Timeout for fetching a configuration from a hub. A hub sends it to up to 64 daemons at a time:
/// 80 KB to each of them take 2 s on a link of 20 Mbit/s. A rejected daemon retries.
constexpr common::Duration kConfigurationFetchTimeout{4'000'000};
/// Maximum time for sending queued answers after the decision to end: two thirds of the 900 ms that
/// the decision code leaves until the process is killed.
constexpr common::Duration kFlushTimeout{600'000};
/// Interval at which the host checks whether the queued answers have been sent.
constexpr common::Duration kFlushCheckInterval{5'000};

std::optional<proxy::CatalogCopy> DecodeFetchedCopy(bool configuration_only,
                                                    const std::string& body) {
  if (!configuration_only) {
    return DecodeCatalogCopy(body);
  }
  const auto configuration = DecodeConfigurationCopy(body);
  return configuration ? std::optional(proxy::CatalogCopy{*configuration, {}, {}}) : std::nullopt;
}

const char* LevelName(proxy::LogLevel level) {
  return level == proxy::LogLevel::kWarning ? "warning" : "info";
}

}  // namespace

void ProxyHost::OnCommandAnswered(Caller& caller) {
  if (caller.unanswered > 0) {
    --caller.unanswered;
  }
}

/// Forwards an owner's data to the session's caller and its events to the decision code.
class ProxyHost::OwnerEvents : public relay_link::owner_events {
 public:
  OwnerEvents(ProxyHost& host, proxy::SessionNumber session) : host_(host), session_(session) {}

  void on_accepted() override {
    const auto found = host_.callers_.find(session_);
    if (found != host_.callers_.end()) {
      found->second.accepted = true;
      found->second.unaccepted.clear();
    }
    host_.proxy_.RelayAccepted(session_, common::SteadyNow());
    host_.ExecuteActions();
  }

  void on_rejected() override { host_.proxy_.RelayDeclined(session_, common::SteadyNow()); }

  void on_answer(const model::Reply& reply) override {
    const auto found = host_.callers_.find(session_);
    if (found != host_.callers_.end()) {
      OnCommandAnswered(found->second);
    }
    host_.proxy_.RelayAnswered(session_, reply.state, common::SteadyNow());
    host_.ExecuteActions();
  }

  void on_end_request() override {
    host_.proxy_.RelayEndRequested(session_);
    host_.ExecuteActions();
  }

  void on_bytes(std::string_view bytes) override {
    const auto found = host_.callers_.find(session_);
    if (found != host_.callers_.end()) {
      host_.SendToCaller(session_, found->second, std::string(bytes));
    }
  }

  void on_read(bool between_messages) override {
    host_.proxy_.RelayDataReceived(session_, between_messages, common::SteadyNow());
  }

  void on_ended(const std::string& reason, bool was_open) override {
    host_.proxy_.RelayEnded(session_, {reason, was_open}, common::SteadyNow());
    host_.ExecuteActions();
  }

 private:
  ProxyHost& host_;
  proxy::SessionNumber session_;
};

void ProxyHost::Execute(const proxy::OpenConnection& action) {
  const proxy::ConnectionNumber number = action.connection;
  InstanceConnection& connection = instances_[number];
  connection.stream = std::make_shared<net::Stream>(loop_);
  connection.stream->SetUserTimeout(kInstanceUserTimeoutMs);
  connection.codec = adapter_.NewInstanceCodec();
  connection.stream->Connect(
      action.address, settings_.connect_timeout,
      [this, number, action] { OnInstanceConnected(number, action); },
      [this, number](net::ConnectError fault) {
        FailConnection(number,
                       fault == net::ConnectError::kRefused ? proxy::OpenFailure::kRefused
                                                            : proxy::OpenFailure::kTimedOut,
                       model::ErrorCode::kFailed);
      });
}

void ProxyHost::Execute(const proxy::SendRequests& action) {
  const auto found = instances_.find(action.connection);
  if (found == instances_.end()) {
    return;
  }
  std::string bytes;
  for (const model::InstanceRequest& request : action.requests) {
    bytes += found->second.codec->EncodeRequest(request);
  }
  found->second.stream->Send(std::move(bytes));
}

void ProxyHost::Execute(const proxy::CloseConnection& action) {
  const auto found = instances_.find(action.connection);
  if (found == instances_.end()) {
    return;
  }
  const auto stream = found->second.stream;
  instances_.erase(found);
  stream->Close();
}

void ProxyHost::Execute(const proxy::AcceptSession& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.accepted = true;
    found->second.unaccepted.clear();
    found->second.stream->Send(found->second.codec->EncodeAccept());
  }
}

void ProxyHost::Execute(const proxy::AnswerCaller& action) {
  if (action.times) {
    metrics_.Observe(*action.times);
  }
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    OnCommandAnswered(found->second);
    SendToCaller(action.session, found->second, found->second.codec->EncodeReply(action.reply));
  }
}

void ProxyHost::Execute(const proxy::CloseSession& action) {
  const auto found = callers_.find(action.session);
  if (found == callers_.end()) {
    return;
  }
  const auto stream = found->second.stream;
  if (action.with_error) {
    stream->Send(found->second.codec->EncodeError(action.error, action.error_text));
  }
  callers_.erase(found);
  stream->CloseAfterFlush();
}

void ProxyHost::Execute(const proxy::RelaySession& action) {
  const auto found = callers_.find(action.session);
  if (found == callers_.end()) {
    return;
  }
  Caller& caller = found->second;
  caller.link = std::make_unique<relay_link::owner_link>(
      loop_, adapter_.NewInstanceCodec(), std::make_unique<OwnerEvents>(*this, action.session));
  caller.link->open(action.owner, settings_.connect_timeout,
                    relay::encode({action.required_configuration, true}) + caller.unaccepted);
}

void ProxyHost::Execute(const proxy::CloseRelay& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.link.reset();
  }
}

void ProxyHost::Execute(const proxy::RequestSessionEnd& action) {
  const auto found = callers_.find(action.session);
  if (found != callers_.end()) {
    found->second.stream->Send(std::string(1, relay::END_REQUEST));
  }
}

void ProxyHost::Execute(const proxy::ReadCatalog& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().Read(action.read, [this, call](const metadata::ReadResult& result) {
    proxy_.CatalogRead(call, result, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::ReadLeadership& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().ReadLeadership(action.era, [this, call](const auto& read) {
    const common::Instant now = common::SteadyNow();
    if (read) {
      proxy_.LeadershipRead(call, read->first, read->second, now);
    } else {
      proxy_.LeadershipRead(call, std::nullopt, {}, now);
    }
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::ReadConfiguration& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().ReadConfiguration([this, call](const auto& read) {
    const common::Instant now = common::SteadyNow();
    if (read) {
      proxy_.ConfigurationRead(call, read->first, read->second, now);
    } else {
      proxy_.ConfigurationRead(call, std::nullopt, {}, now);
    }
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::WriteLeadership& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().WriteLeadership(action.write, [this, call](const failover::WriteResult& result) {
    proxy_.LeadershipWritten(call, result, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::ReadHolders& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().ReadHolders(action.service, [this, call](const proxy::HolderResult& result) {
    proxy_.HoldersAnswered(call, result, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::WriteHolders& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().WriteHolders(action, [this, call](const proxy::HolderResult& result) {
    proxy_.HoldersAnswered(call, result, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::WriteDaemonEntry& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Store().WriteDaemon(action.entry, [this, call](bool written) {
    proxy_.DaemonWritten(call, written, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::Promote& action) {
  const proxy::CallNumber call = action.call;
  adapter_.Promotions().Promote(action, [this, call](failover::PromotionStatus status) {
    proxy_.Promoted(call, status, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::SendPeerMessage& action) {
  asio::error_code error;
  const std::string bytes = proxy::EncodePeerMessage(action.message);
  largest_heartbeat_bytes_ = std::max(largest_heartbeat_bytes_, bytes.size());
  const auto host = asio::ip::make_address(action.address.host, error);
  if (!error) {
    // A heartbeat that the system rejects is lost like any other datagram.
    peers_.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(host, action.address.port), 0,
                   error);
  }
  if (error) {
    OnHeartbeatNotSent(bytes.size(), error.message());
  }
}

void ProxyHost::OnUnreadableAnswer(const UnreadableAnswer& answer) {
  const std::uint64_t count = ++unreadable_answers_[answer.call];
  // Logs only at powers of two: the daemon repeats the call until the object changes.
  if (std::has_single_bit(count)) {
    Log("store_answer_unreadable", {{"call", answer.call},
                                    {"collection", answer.collection},
                                    {"name", answer.name},
                                    {"count", std::to_string(count)}});
  }
}

void ProxyHost::OnHeartbeatNotSent(std::size_t bytes, const std::string& reason) {
  ++unsent_heartbeats_;
  // Logs only at powers of two: an unreachable network would fill the log.
  if (std::has_single_bit(unsent_heartbeats_)) {
    Log("heartbeat_not_sent", {{"count", std::to_string(unsent_heartbeats_)},
                               {"bytes", std::to_string(bytes)},
                               {"reason", reason}});
  }
}

void ProxyHost::Execute(const proxy::FetchCatalog& action) {
  const proxy::CallNumber call = action.call;
  auto client = std::make_shared<net::HttpClient>(loop_, action.address);
  net::HttpRequest request;
  const bool configuration_only = action.configuration_only;
  request.target = configuration_only ? kConfigurationPath : kCatalogPath;
  // One request per connection. If they stay open, the connections of 100 daemons use up all that a
  // hub serves at once, and most daemons of a zone get a changed configuration 5 to 8 s later, from
  // the store.
  request.headers = {net::kCloseAfterResponse};
  const common::Duration timeout =
      configuration_only ? kConfigurationFetchTimeout : kCatalogFetchTimeout;
  client->Call(request, timeout, [=, this](const net::HttpResult& result) {
    crash_report::note_activity(configuration_only ? "fetched_configuration" : "fetched_catalog");
    std::optional<proxy::CatalogCopy> copy;
    if (common::IsOk(result) && common::ValueOf(result).status == kHttpOk) {
      copy = DecodeFetchedCopy(configuration_only, common::ValueOf(result).body);
    }
    static_cast<void>(client);
    proxy_.CatalogFetched(call, copy, common::SteadyNow());
    ExecuteActions();
  });
}

void ProxyHost::Execute(const proxy::SetReady& action) { ready_ = action.ready; }

void ProxyHost::Execute(const proxy::Exit& action) {
  static_cast<void>(action);
  if (std::exchange(exit_requested_, true)) {
    return;
  }
  StopAccepting();
  ExitWhenFlushed(common::SteadyNow() + kFlushTimeout);
}

void ProxyHost::StopAccepting() {
  // Runs in the same loop iteration as the decision to end. With a delay of 150 ms, callers are
  // accepted and served that the end of the process then cuts off.
  callers_listener_.Close();
  handover_listener_.Close();
  tick_.cancel();
  for (const auto& stream : streams_) {
    stream->CloseAfterFlush();
  }
  for (auto& [number, caller] : callers_) {
    caller.link.reset();
  }
}

void ProxyHost::ExitWhenFlushed(common::Instant limit) {
  const bool sent = std::none_of(streams_.begin(), streams_.end(),
                                 [](const auto& stream) { return stream->IsOpen(); });
  const bool logged = log_.Flush();
  if ((sent && logged) || common::SteadyNow() >= limit) {
    LogExit();
    loop_.stop();
    return;
  }
  tick_.expires_after(kFlushCheckInterval);
  tick_.async_wait([this, limit](const asio::error_code& cancelled) {
    if (!cancelled) {
      ExitWhenFlushed(limit);
    }
  });
}

void ProxyHost::Execute(const proxy::LogEvent& action) {
  log_.Write(LevelName(action.level), action.event, action.fields, common::SteadyNow());
}

}  // namespace valvekeel::host
