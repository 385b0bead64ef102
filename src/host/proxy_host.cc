#include "host/proxy_host.h"

#include <bit>
#include <random>
#include <utility>

#include "crash_report/activity.h"
#include "crash_report/loaded_modules.h"
#include "host/catalog_copy_json.h"
#include "relay/handover.h"

namespace valvekeel::host {
namespace {

constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpNotFound = 404;
constexpr const char* kMetricsPath = "/metrics";
/// Tracked connections in excess of the sessions from which on closed ones are dropped.
constexpr std::size_t kStreamsBeforeCleanup = 64;
/// Limit of the bytes of a caller that are kept for an owner until the session is accepted.
constexpr std::size_t kMaxUnacceptedBytes = std::size_t{2} << 20U;

}  // namespace

ProxyHost::ProxyHost(asio::io_context& loop, HostSettings settings, Adapter& adapter)
    : loop_(loop),
      settings_(std::move(settings)),
      adapter_(adapter),
      proxy_(settings_.proxy, std::random_device{}()),
      log_(settings_.log_descriptor, settings_.proxy.name, settings_.proxy.incarnation,
           settings_.log),
      callers_listener_(
          loop, [this](asio::ip::tcp::socket socket) { AddCaller(std::move(socket)); },
          [this](const auto& fault) { OnAcceptFailed(settings_.callers, fault.message()); }),
      handover_listener_(
          loop, [this](asio::ip::tcp::socket socket) { AddHandover(std::move(socket)); },
          [this](const auto& fault) { OnAcceptFailed(settings_.proxy.peer, fault.message()); }),
      peers_(loop),
      tick_(loop) {
  log_.WriteAtFatalSignal();
  adapter_.Store().SetUnreadableHandler(
      [this](const UnreadableAnswer& answer) { OnUnreadableAnswer(answer); });
}

void ProxyHost::Log(const char* event, const runtime::BoundedLog::Fields& fields) {
  log_.Write("info", event, fields, common::SteadyNow());
  log_.Flush();
}

std::optional<StartError> ProxyHost::Start() {
  if (!callers_listener_.Listen(settings_.callers)) {
    return StartError{"callers' address cannot be bound"};
  }
  if (!handover_listener_.Listen(settings_.proxy.peer) || !ListenForPeers()) {
    return StartError{"peers' address cannot be bound"};
  }
  for (const common::Endpoint& address : {settings_.health, settings_.admin}) {
    auto server = std::make_unique<net::HttpServer>(
        loop_, [this](const net::HttpMessage& request) { return AnswerHttp(request); },
        [this, address](const auto& fault) { OnAcceptFailed(address, fault.message()); });
    if (!server->Listen(address)) {
      return StartError{common::FormatEndpoint(address) + " cannot be bound"};
    }
    http_.push_back(std::move(server));
  }
  Log("started", {{"zone", settings_.proxy.zone},
                  {"incarnation", std::to_string(settings_.proxy.incarnation)},
                  {"build", crash_report::build_id()},
                  {"callers", common::FormatEndpoint(settings_.callers)}});
  ScheduleTick();
  return std::nullopt;
}

void ProxyHost::Stop() {
  proxy_.Stop(common::SteadyNow());
  ExecuteActions();
}

bool ProxyHost::ListenForPeers() {
  asio::error_code error;
  const auto host = asio::ip::make_address(settings_.proxy.peer.host, error);
  const asio::ip::udp::endpoint endpoint(host, settings_.proxy.peer.port);
  peers_.open(endpoint.protocol(), error);
  peers_.bind(endpoint, error);
  if (error) {
    return false;
  }
  peers_.non_blocking(true, error);
  ReceivePeerMessage();
  return true;
}

void ProxyHost::ScheduleTick() {
  tick_.expires_after(proxy_.TickPause());
  tick_.async_wait([this](const asio::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    crash_report::note_activity("tick");
    proxy_.Tick(common::SteadyNow());
    ExecuteActions();
    if (exit_requested_) {
      return;
    }
    log_.Flush();
    DropClosedStreams();
    ScheduleTick();
  });
}

void ProxyHost::OnAcceptFailed(const common::Endpoint& address, const std::string& reason) {
  ++failed_accepts_;
  // Logs only at powers of two: a listener tries again while descriptors are short.
  if (std::has_single_bit(failed_accepts_)) {
    Log("connection_not_accepted", {{"count", std::to_string(failed_accepts_)},
                                    {"address", common::FormatEndpoint(address)},
                                    {"reason", reason}});
  }
}

void ProxyHost::AddCaller(asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<net::Stream>(loop_, std::move(socket));
  TrackStream(stream);
  const proxy::SessionNumber number = AddSession(stream, {});
  if (number != 0) {
    stream->Start([this, number](std::string_view bytes) { OnCallerBytes(number, bytes); },
                  [this, number] { OnCallerClosed(number); });
    stream->SetDrainedHandler([this, number] { OnCallerDrained(number); });
  }
}

void ProxyHost::TrackStream(const std::shared_ptr<net::Stream>& stream) {
  streams_.push_back(stream);
}

void ProxyHost::DropClosedStreams() {
  // Each stream holds 8 KB, which must not stay allocated after a burst of sessions.
  if (streams_.size() > callers_.size() + kStreamsBeforeCleanup) {
    std::erase_if(streams_, [](const auto& each) { return !each->IsOpen(); });
  }
}

proxy::SessionNumber ProxyHost::AddSession(const std::shared_ptr<net::Stream>& stream,
                                           const proxy::SessionOrigin& origin) {
  auto codec = adapter_.NewCallerCodec();
  if (callers_.size() >= settings_.max_sessions) {
    stream->Send(
        codec->EncodeError(model::ErrorCode::kBusy, "retry_after_ms=1000 too many sessions"));
    stream->CloseAfterFlush();
    return 0;
  }
  stream->SetQueueLimit(kMaxAnswerBytes + net::kDefaultQueueLimit);
  const proxy::SessionNumber number = next_session_++;
  Caller& caller = callers_[number];
  caller.stream = stream;
  caller.codec = std::move(codec);
  caller.origin = origin;
  return number;
}

void ProxyHost::AddHandover(asio::ip::tcp::socket socket) {
  asio::error_code error;
  const std::string daemon = socket.remote_endpoint(error).address().to_string();
  auto stream = std::make_shared<net::Stream>(loop_, std::move(socket));
  TrackStream(stream);
  struct PendingHandover {
    std::string line;
    proxy::SessionNumber number = 0;
  };
  const auto pending = std::make_shared<PendingHandover>();
  const std::weak_ptr<net::Stream> weak = stream;
  const auto on_bytes = [this, weak, pending, daemon](std::string_view bytes) {
    if (pending->number != 0) {
      OnCallerBytes(pending->number, bytes);
      return;
    }
    pending->line += bytes;
    const auto live_stream = weak.lock();
    const std::size_t end = pending->line.find('\n');
    const auto handover = relay::decode(std::string_view(pending->line).substr(0, end));
    if (end == std::string::npos && pending->line.size() < relay::MAX_HANDOVER_BYTES) {
      return;
    }
    if (end == std::string::npos || !handover) {
      Log("handover_unreadable", {{"from", daemon}});
      live_stream->Close();
      return;
    }
    const std::string rest = pending->line.substr(end + 1);
    pending->number = AddSession(
        live_stream,
        {true, {daemon, 0}, handover->least_configuration, handover->supports_end_request});
    if (pending->number != 0 && !rest.empty()) {
      OnCallerBytes(pending->number, rest);
    }
  };
  stream->Start(on_bytes, [this, pending] {
    if (pending->number != 0) {
      OnCallerClosed(pending->number);
    }
  });
  stream->SetDrainedHandler([this, pending] { OnCallerDrained(pending->number); });
}

bool ProxyHost::KeepUnaccepted(Caller& caller, std::string_view bytes) {
  // A session of which an owner was sent a whole command is never handed to another one.
  const bool may_be_handed_over = !caller.link || caller.unanswered == 0;
  if (caller.accepted || !may_be_handed_over) {
    return true;
  }
  if (caller.unaccepted.size() + bytes.size() <= kMaxUnacceptedBytes) {
    caller.unaccepted += bytes;
    return true;
  }
  Log("session_refused", {{"reason", "too many bytes before its acceptance"},
                          {"limit", std::to_string(kMaxUnacceptedBytes)}});
  caller.stream->Send(caller.codec->EncodeError(model::ErrorCode::kTooLarge,
                                                "too many bytes before the session is accepted"));
  caller.stream->CloseAfterFlush();
  return false;
}

void ProxyHost::OnCallerBytes(proxy::SessionNumber number, std::string_view bytes) {
  crash_report::note_activity("caller_bytes");
  const auto found = callers_.find(number);
  if (found == callers_.end()) {
    return;
  }
  Caller& caller = found->second;
  if (!KeepUnaccepted(caller, bytes)) {
    OnCallerClosed(number);
    return;
  }
  if (caller.link) {
    caller.link->send(bytes);
  }
  const std::vector<CallerMessage> messages = caller.codec->Decode(bytes);
  const common::Instant now = common::SteadyNow();
  for (const CallerMessage& message : messages) {
    if (!HandleCallerMessage(number, message, now)) {
      return;
    }
    // Executed here so that a command whose answer has to wait keeps the next one waiting.
    ExecuteActions();
  }
}

void ProxyHost::SendToCaller(proxy::SessionNumber number, Caller& caller, std::string bytes) {
  const std::size_t size = bytes.size();
  if (!caller.stream->Send(std::move(bytes))) {
    Log("answer_not_sent", {{"session", std::to_string(number)}, {"bytes", std::to_string(size)}});
  }
  if (caller.stream->IsCongested() && !std::exchange(caller.congested, true)) {
    caller.stream->StopReading();
    if (caller.link) {
      caller.link->stop_reading();
    }
    proxy_.CallerCongested(number, true, common::SteadyNow());
  }
}

void ProxyHost::OnCallerDrained(proxy::SessionNumber number) {
  const auto found = callers_.find(number);
  if (found == callers_.end() || !std::exchange(found->second.congested, false)) {
    return;
  }
  Caller& caller = found->second;
  caller.stream->ResumeReading();
  if (caller.link) {
    caller.link->resume_reading();
  }
  proxy_.CallerCongested(number, false, common::SteadyNow());
  ExecuteActions();
}

bool ProxyHost::HandleCallerMessage(proxy::SessionNumber number, const CallerMessage& message,
                                    common::Instant now) {
  const auto found = callers_.find(number);
  if (found == callers_.end()) {
    return false;
  }
  Caller& caller = found->second;
  if (const auto* start = std::get_if<CallerStart>(&message)) {
    caller.started = true;
    proxy_.SessionStarted(number, start->database, start->key, caller.origin, now);
    return true;
  }
  if (const auto* command = std::get_if<proxy::CallerCommand>(&message)) {
    ++caller.unanswered;
    if (caller.link) {
      caller.link->expect_answer();
    }
    proxy_.CommandReceived(number, *command, now);
    return true;
  }
  if (const auto* fault = std::get_if<CallerProtocolError>(&message)) {
    caller.stream->Send(caller.codec->EncodeError(fault->error, fault->reason));
  }
  caller.stream->CloseAfterFlush();
  OnCallerClosed(number);
  return false;
}

void ProxyHost::OnCallerClosed(proxy::SessionNumber number) {
  crash_report::note_activity("caller_closed");
  callers_.erase(number);
  proxy_.SessionClosed(number, common::SteadyNow());
  ExecuteActions();
}

void ProxyHost::OnInstanceConnected(proxy::ConnectionNumber number,
                                    const proxy::OpenConnection& action) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return;
  }
  InstanceConnection& connection = found->second;
  connection.stream->Start(
      [this, number](std::string_view bytes) { OnInstanceBytes(number, bytes); },
      [this, number] { OnInstanceClosed(number); });
  connection.stream->Send(
      connection.codec->EncodeStart(action.service, action.tenant, action.instance));
}

void ProxyHost::FailConnection(proxy::ConnectionNumber number, proxy::OpenFailure failure,
                               model::ErrorCode error) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return;
  }
  const auto stream = found->second.stream;
  instances_.erase(found);
  stream->Close();
  proxy_.ConnectionFailed(number, failure, error, common::SteadyNow());
  ExecuteActions();
}

void ProxyHost::OnInstanceBytes(proxy::ConnectionNumber number, std::string_view bytes) {
  crash_report::note_activity("instance_bytes");
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return;
  }
  const std::vector<InstanceMessage> messages = found->second.codec->Decode(bytes);
  for (const InstanceMessage& message : messages) {
    if (!HandleInstanceMessage(number, message)) {
      break;
    }
  }
  ExecuteActions();
}

bool ProxyHost::HandleInstanceMessage(proxy::ConnectionNumber number,
                                      const InstanceMessage& message) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return false;
  }
  const common::Instant now = common::SteadyNow();
  if (std::holds_alternative<InstanceAccepted>(message)) {
    found->second.accepted = true;
    proxy_.ConnectionOpened(number, now);
    return true;
  }
  if (const auto* rejected = std::get_if<InstanceRejected>(&message)) {
    FailConnection(number, proxy::OpenFailure::kRejected, rejected->error);
    return false;
  }
  if (const auto* reply = std::get_if<model::Reply>(&message)) {
    proxy_.InstanceAnswered(number, *reply, now);
    return true;
  }
  Log("instance_protocol_error", {{"reason", std::get<InstanceProtocolError>(message).reason}});
  const auto stream = found->second.stream;
  instances_.erase(found);
  stream->Close();
  proxy_.ConnectionClosed(number, now);
  return false;
}

void ProxyHost::OnInstanceClosed(proxy::ConnectionNumber number) {
  crash_report::note_activity("instance_closed");
  if (instances_.erase(number) > 0) {
    proxy_.ConnectionClosed(number, common::SteadyNow());
    ExecuteActions();
  }
}

void ProxyHost::ReceivePeerMessage() {
  peers_.async_receive_from(asio::buffer(peer_buffer_), peer_sender_,
                            [this](const asio::error_code& error, std::size_t count) {
                              if (error == asio::error::operation_aborted) {
                                return;
                              }
                              if (!error) {
                                HandlePeerDatagram({peer_buffer_.data(), count});
                              }
                              ReceivePeerMessage();
                            });
}

void ProxyHost::HandlePeerDatagram(std::string_view bytes) {
  crash_report::note_activity("peer_message");
  const common::Endpoint sender{peer_sender_.address().to_string(), peer_sender_.port()};
  const auto message = proxy::DecodePeerMessage(bytes);
  if (common::IsOk(message)) {
    proxy_.PeerMessageReceived(sender, common::ValueOf(message), common::SteadyNow());
    ExecuteActions();
    return;
  }
  ++unreadable_heartbeats_;
  // Logs only at powers of two: the sender may repeat it without end.
  if (std::has_single_bit(unreadable_heartbeats_)) {
    Log("heartbeat_unreadable", {{"count", std::to_string(unreadable_heartbeats_)},
                                 {"from", common::FormatEndpoint(sender)},
                                 {"bytes", std::to_string(bytes.size())},
                                 {"reason", common::ErrorOf(message).reason}});
  }
}

net::HttpResponse ProxyHost::AnswerHttp(const net::HttpMessage& request) {
  crash_report::note_activity("http_request", request.target);
  if (request.target == settings_.health_path) {
    return {ready_ ? kHttpOk : kHttpServiceUnavailable, "", "text/plain", {}};
  }
  if (request.target == kCatalogPath) {
    return {kHttpOk, EncodeCatalogCopy(proxy_.CopyCatalog()), "application/json", {}};
  }
  if (request.target == kConfigurationPath) {
    return {kHttpOk,
            configuration_copy_.Encode(proxy_.CatalogView().Configuration()),
            "application/cbor",
            {}};
  }
  if (request.target == kMetricsPath) {
    return {kHttpOk,
            metrics_.Serialize(proxy_, log_, {largest_heartbeat_bytes_, unsent_heartbeats_},
                               unreadable_answers_, common::SteadyNow()),
            "text/plain",
            {}};
  }
  return {kHttpNotFound, "", "text/plain", {}};
}

void ProxyHost::LogExit() {
  std::size_t unanswered = 0;
  for (const auto& [number, caller] : callers_) {
    unanswered += caller.unanswered;
  }
  Log("ended", {{"callers", std::to_string(callers_.size())},
                {"commands_unanswered", std::to_string(unanswered)}});
}

void ProxyHost::ExecuteActions() {
  if (executing_actions_ || exit_requested_) {
    return;
  }
  executing_actions_ = true;
  for (auto actions = proxy_.TakeActions(); !actions.empty(); actions = proxy_.TakeActions()) {
    for (const proxy::Action& action : actions) {
      std::visit([this](const auto& each) { Execute(each); }, action);
    }
  }
  executing_actions_ = false;
}

}  // namespace valvekeel::host
