// Runs the proxy's decision code on an event loop: sockets, timers, signals, logs.
//
// Owns: all sockets of the daemon. Invariant: it decides nothing: each event goes to the decision
// code, each action is carried out. Thread: the event loop's.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "host/codec.h"
#include "host/configuration_copy.h"
#include "host/host_settings.h"
#include "host/metrics.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/stream.h"
#include "proxy/proxy.h"
#include "relay_link/owner_link.h"
#include "runtime/bounded_log.h"

namespace valvekeel::host {

/// Why the host could not start.
struct StartError {
  std::string reason;
};

/// Where a daemon hands its copy of the catalog to others.
inline constexpr const char* kCatalogPath = "/catalog";

/// Where it hands out the configuration alone, for deployments of many daemons.
inline constexpr const char* kConfigurationPath = "/configuration";

/// Status of an answer that holds what was asked for.
inline constexpr int kReadyStatus = 200;

class ProxyHost {
 public:
  /// @param adapter outlives the host.
  ProxyHost(asio::io_context& loop, HostSettings settings, Adapter& adapter);

  /// Binds all addresses and begins. @return the error if an address can't be bound.
  std::optional<StartError> Start();

  /// Begins a planned stop; the loop is stopped when it is over.
  void Stop();

  /// Writes a line to the log.
  void Log(const char* event, const runtime::BoundedLog::Fields& fields);

 private:
  struct Caller {
    std::shared_ptr<net::Stream> stream;
    std::unique_ptr<CallerCodec> codec;
    bool started = false;
    bool accepted = false;
    std::size_t unanswered = 0;  // commands
    proxy::SessionOrigin origin;
    std::string unaccepted;  // all bytes until the session is accepted, for an owner
    std::unique_ptr<relay_link::owner_link> link;  // to the owner that serves the session
  };
  struct InstanceConnection {
    std::shared_ptr<net::Stream> stream;
    std::unique_ptr<InstanceCodec> codec;
    bool accepted = false;
  };

  class OwnerEvents;

  bool ListenForPeers();
  void AddCaller(asio::ip::tcp::socket socket);
  /// Adds a caller unless there are too many. @return its number, 0 if it was turned away.
  proxy::SessionNumber AddSession(const std::shared_ptr<net::Stream>& stream,
                                  const proxy::SessionOrigin& origin);
  /// Takes a session that another daemon hands over.
  void AddHandedOver(asio::ip::tcp::socket socket);
  bool TakeCallerMessage(proxy::SessionNumber number, const CallerMessage& message,
                         common::Instant now);
  void CallerBytes(proxy::SessionNumber number, std::string_view bytes);
  void CallerGone(proxy::SessionNumber number);
  void InstanceBytes(proxy::ConnectionNumber number, std::string_view bytes);
  void InstanceGone(proxy::ConnectionNumber number);
  void InstanceConnected(proxy::ConnectionNumber number, const proxy::OpenConnection& action);
  void FailConnection(proxy::ConnectionNumber number, proxy::OpenFailure failure,
                      model::ErrorCode error);
  bool TakeInstanceMessage(proxy::ConnectionNumber number, const InstanceMessage& message);
  void ReceivePeer();
  void ScheduleTick();
  net::HttpResponse AnswerHttp(const net::HttpMessage& request);

  /// A heartbeat could not be sent.
  void NoteUnsent(std::size_t bytes, const std::string& reason);
  static void NoteAnswered(Caller& caller);
  /// Remembers a connection over which callers' requests come, until it is closed.
  void Remember(const std::shared_ptr<net::Stream>& stream);
  void ForgetClosedStreams();
  /// Takes nothing from anybody from now on.
  void StopTaking();
  /// Ends the process once all that was sent to callers has left it, or the time for it is over.
  void EndWhenSent(common::Instant limit);
  /// Tells the log whom the end of the process cuts off.
  void LogEnd();

  /// Carries out what the decision code asks for.
  void Drain();
  void Do(const proxy::OpenConnection& action);
  void Do(const proxy::SendRequests& action);
  void Do(const proxy::CloseConnection& action);
  void Do(const proxy::AcceptSession& action);
  void Do(const proxy::AnswerCaller& action);
  void Do(const proxy::CloseSession& action);
  void Do(const proxy::RelaySession& action);
  void Do(const proxy::CloseRelay& action);
  void Do(const proxy::RequestSessionEnd& action);
  void Do(const proxy::ReadCatalog& action);
  void Do(const proxy::ReadLeadership& action);
  void Do(const proxy::ReadConfiguration& action);
  void Do(const proxy::WriteLeadership& action);
  void Do(const proxy::WriteDaemonEntry& action);
  void Do(const proxy::Promote& action);
  void Do(const proxy::SendPeerMessage& action);
  void Do(const proxy::FetchCatalog& action);
  void Do(const proxy::SetReady& action);
  void Do(const proxy::Exit& action);
  void Do(const proxy::LogEvent& action);

  asio::io_context& loop_;
  HostSettings settings_;
  Adapter& adapter_;
  proxy::Proxy proxy_;
  runtime::BoundedLog log_;
  Metrics metrics_;
  ConfigurationCopyCache configuration_copy_;
  std::size_t largest_heartbeat_ = 0;  // bytes
  std::uint64_t unsent_heartbeats_ = 0;
  net::Listener callers_listener_;
  net::Listener handover_listener_;  // for sessions that other daemons hand over
  asio::ip::udp::socket peers_;
  asio::ip::udp::endpoint peer_sender_;
  std::array<char, 65536> peer_input_{};
  std::vector<std::unique_ptr<net::HttpServer>> http_;
  asio::steady_timer tick_;
  std::map<proxy::SessionNumber, Caller> callers_;
  std::map<proxy::ConnectionNumber, InstanceConnection> instances_;
  /// Callers' connections and those that sessions are handed over on, some closed meanwhile.
  std::vector<std::shared_ptr<net::Stream>> streams_;
  proxy::SessionNumber next_session_ = 1;
  bool ready_ = false;
  bool draining_ = false;
  bool ending_ = false;  // the decision code has asked for the end
};

}  // namespace valvekeel::host
