#include "host/proxy_host.h"

#include <random>
#include <utility>

#include "host/catalog_copy_json.h"
#include "relay/handover.h"

namespace valvekeel::host {
namespace {

constexpr int kNotReadyStatus = 503;
constexpr int kNotFoundStatus = 404;
constexpr const char* kMetricsPath = "/metrics";
/// Connections that are remembered beside those of sessions before closed ones are looked for.
constexpr std::size_t kFewStreams = 64;
/// Bytes of a caller kept for an owner until its session is accepted.
constexpr std::size_t kMostUnaccepted = std::size_t{64} << 10U;

}  // namespace

ProxyHost::ProxyHost(asio::io_context& loop, HostSettings settings, Adapter& adapter)
    : loop_(loop),
      settings_(std::move(settings)),
      adapter_(adapter),
      proxy_(settings_.proxy, std::random_device{}()),
      log_(settings_.log_descriptor, settings_.proxy.name, settings_.proxy.incarnation,
           settings_.log),
      callers_listener_(loop,
                        [this](asio::ip::tcp::socket socket) { AddCaller(std::move(socket)); }),
      handover_listener_(
          loop, [this](asio::ip::tcp::socket socket) { AddHandedOver(std::move(socket)); }),
      peers_(loop),
      tick_(loop) {}

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
        loop_, [this](const net::HttpMessage& request) { return AnswerHttp(request); });
    if (!server->Listen(address)) {
      return StartError{common::FormatEndpoint(address) + " cannot be bound"};
    }
    http_.push_back(std::move(server));
  }
  Log("started", {{"zone", settings_.proxy.zone},
                  {"incarnation", std::to_string(settings_.proxy.incarnation)},
                  {"callers", common::FormatEndpoint(settings_.callers)}});
  ScheduleTick();
  return std::nullopt;
}

void ProxyHost::Stop() {
  proxy_.Stop(common::SteadyNow());
  Drain();
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
  ReceivePeer();
  return true;
}

void ProxyHost::ScheduleTick() {
  tick_.expires_after(proxy_.TickPause());
  tick_.async_wait([this](const asio::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    proxy_.Tick(common::SteadyNow());
    Drain();
    if (ending_) {
      return;
    }
    log_.Flush();
    ForgetClosedStreams();
    ScheduleTick();
  });
}

void ProxyHost::AddCaller(asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<net::Stream>(loop_, std::move(socket));
  Remember(stream);
  const proxy::SessionNumber number = AddSession(stream, {});
  if (number != 0) {
    stream->Start([this, number](std::string_view bytes) { CallerBytes(number, bytes); },
                  [this, number] { CallerGone(number); });
  }
}

void ProxyHost::Remember(const std::shared_ptr<net::Stream>& stream) { streams_.push_back(stream); }

void ProxyHost::ForgetClosedStreams() {
  // Each holds 8 KB: a burst of sessions must not leave that behind.
  if (streams_.size() > callers_.size() + kFewStreams) {
    std::erase_if(streams_, [](const auto& each) { return !each->Open(); });
  }
}

proxy::SessionNumber ProxyHost::AddSession(const std::shared_ptr<net::Stream>& stream,
                                           const proxy::SessionOrigin& origin) {
  auto codec = adapter_.NewCallerCodec();
  if (callers_.size() >= settings_.most_sessions) {
    stream->Send(
        codec->EncodeFault(model::ErrorCode::kBusy, "retry_after_ms=1000 too many sessions"));
    stream->CloseAfterFlush();
    return 0;
  }
  const proxy::SessionNumber number = next_session_++;
  Caller& caller = callers_[number];
  caller.stream = stream;
  caller.codec = std::move(codec);
  caller.origin = origin;
  return number;
}

void ProxyHost::AddHandedOver(asio::ip::tcp::socket socket) {
  asio::error_code error;
  const std::string daemon = socket.remote_endpoint(error).address().to_string();
  auto stream = std::make_shared<net::Stream>(loop_, std::move(socket));
  Remember(stream);
  struct Arrival {
    std::string line;
    proxy::SessionNumber number = 0;
  };
  const auto arrival = std::make_shared<Arrival>();
  const std::weak_ptr<net::Stream> weak = stream;
  const auto take = [this, weak, arrival, daemon](std::string_view bytes) {
    if (arrival->number != 0) {
      CallerBytes(arrival->number, bytes);
      return;
    }
    arrival->line += bytes;
    const auto stream_now = weak.lock();
    const std::size_t end = arrival->line.find('\n');
    const auto handover = relay::decode(std::string_view(arrival->line).substr(0, end));
    if (end == std::string::npos && arrival->line.size() < relay::MAX_HANDOVER_BYTES) {
      return;
    }
    if (end == std::string::npos || !handover) {
      Log("handover_unreadable", {{"from", daemon}});
      stream_now->Close();
      return;
    }
    const std::string rest = arrival->line.substr(end + 1);
    arrival->number = AddSession(
        stream_now,
        {true, {daemon, 0}, handover->least_configuration, handover->supports_end_request});
    if (arrival->number != 0 && !rest.empty()) {
      CallerBytes(arrival->number, rest);
    }
  };
  stream->Start(take, [this, arrival] {
    if (arrival->number != 0) {
      CallerGone(arrival->number);
    }
  });
}

void ProxyHost::CallerBytes(proxy::SessionNumber number, std::string_view bytes) {
  const auto found = callers_.find(number);
  if (found == callers_.end()) {
    return;
  }
  Caller& caller = found->second;
  if (caller.link) {
    caller.link->send(bytes);
  } else if (caller.unaccepted.size() < kMostUnaccepted && !caller.accepted) {
    caller.unaccepted += bytes;
  }
  const std::vector<CallerMessage> messages = caller.codec->Decode(bytes);
  const common::Instant now = common::SteadyNow();
  for (const CallerMessage& message : messages) {
    if (!TakeCallerMessage(number, message, now)) {
      return;
    }
  }
  Drain();
}

bool ProxyHost::TakeCallerMessage(proxy::SessionNumber number, const CallerMessage& message,
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
  if (const auto* fault = std::get_if<CallerFault>(&message)) {
    caller.stream->Send(caller.codec->EncodeFault(fault->error, fault->reason));
  }
  caller.stream->CloseAfterFlush();
  CallerGone(number);
  return false;
}

void ProxyHost::CallerGone(proxy::SessionNumber number) {
  callers_.erase(number);
  proxy_.SessionClosed(number, common::SteadyNow());
  Drain();
}

void ProxyHost::InstanceConnected(proxy::ConnectionNumber number,
                                  const proxy::OpenConnection& action) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return;
  }
  InstanceConnection& connection = found->second;
  connection.stream->Start([this, number](std::string_view bytes) { InstanceBytes(number, bytes); },
                           [this, number] { InstanceGone(number); });
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
  Drain();
}

void ProxyHost::InstanceBytes(proxy::ConnectionNumber number, std::string_view bytes) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    return;
  }
  const std::vector<InstanceMessage> messages = found->second.codec->Decode(bytes);
  for (const InstanceMessage& message : messages) {
    if (!TakeInstanceMessage(number, message)) {
      break;
    }
  }
  Drain();
}

bool ProxyHost::TakeInstanceMessage(proxy::ConnectionNumber number,
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
  Log("instance_protocol_error", {{"reason", std::get<InstanceFault>(message).reason}});
  const auto stream = found->second.stream;
  instances_.erase(found);
  stream->Close();
  proxy_.ConnectionClosed(number, now);
  return false;
}

void ProxyHost::InstanceGone(proxy::ConnectionNumber number) {
  if (instances_.erase(number) > 0) {
    proxy_.ConnectionClosed(number, common::SteadyNow());
    Drain();
  }
}

void ProxyHost::ReceivePeer() {
  peers_.async_receive_from(
      asio::buffer(peer_input_), peer_sender_,
      [this](const asio::error_code& error, std::size_t count) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const auto message = proxy::DecodePeerMessage({peer_input_.data(), count});
          if (common::IsOk(message)) {
            proxy_.PeerMessageReceived({peer_sender_.address().to_string(), peer_sender_.port()},
                                       common::ValueOf(message), common::SteadyNow());
            Drain();
          }
        }
        ReceivePeer();
      });
}

net::HttpResponse ProxyHost::AnswerHttp(const net::HttpMessage& request) {
  if (request.target == settings_.health_path) {
    return {ready_ ? kReadyStatus : kNotReadyStatus, "", "text/plain", {}};
  }
  if (request.target == kCatalogPath) {
    return {kReadyStatus, EncodeCatalogCopy(proxy_.CopyCatalog()), "application/json", {}};
  }
  if (request.target == kConfigurationPath) {
    return {kReadyStatus,
            configuration_copy_.Of(proxy_.CatalogView().Configuration()),
            "application/cbor",
            {}};
  }
  if (request.target == kMetricsPath) {
    return {
        kReadyStatus,
        metrics_.Text(proxy_, log_, {largest_heartbeat_, unsent_heartbeats_}, common::SteadyNow()),
        "text/plain",
        {}};
  }
  return {kNotFoundStatus, "", "text/plain", {}};
}

void ProxyHost::LogEnd() {
  std::size_t unanswered = 0;
  for (const auto& [number, caller] : callers_) {
    unanswered += caller.unanswered;
  }
  Log("ended", {{"callers", std::to_string(callers_.size())},
                {"commands_unanswered", std::to_string(unanswered)}});
}

void ProxyHost::Drain() {
  if (draining_ || ending_) {
    return;
  }
  draining_ = true;
  for (auto actions = proxy_.TakeActions(); !actions.empty(); actions = proxy_.TakeActions()) {
    for (const proxy::Action& action : actions) {
      std::visit([this](const auto& each) { Do(each); }, action);
    }
  }
  draining_ = false;
}

}  // namespace valvekeel::host
