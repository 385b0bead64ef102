// Runs the proxy's decision code on an event loop with real sockets, timers and logs.
//
// Owns: all sockets of the daemon. Invariant: the host makes no decisions. It passes each event to
// the decision code and executes each action that the decision code returns. Not thread-safe: runs
// on the event loop's thread.
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

/// The reason for which the host could not start.
struct StartError {
  std::string reason;
};

/// Path at which a daemon serves its copy of the catalog to other daemons.
inline constexpr const char* kCatalogPath = "/catalog";

/// Path at which it serves only the configuration, for large deployments.
inline constexpr const char* kConfigurationPath = "/configuration";

inline constexpr int kHttpOk = 200;

class ProxyHost {
 public:
  /// @param adapter outlives the host.
  ProxyHost(asio::io_context& loop, HostSettings settings, Adapter& adapter);

  /// Binds all addresses and starts serving. @return the error if an address cannot be bound.
  std::optional<StartError> Start();

  /// Begins a planned stop; the event loop is stopped when it is complete.
  void Stop();

  /// Writes a line at level "info" to the log and flushes the log.
  void Log(const char* event, const runtime::BoundedLog::Fields& fields);

 private:
  struct Caller {
    std::shared_ptr<net::Stream> stream;
    std::unique_ptr<CallerCodec> codec;
    bool started = false;
    bool accepted = false;
    std::size_t unanswered = 0;  // commands without a reply
    bool congested = false;      // its next command waits until the queued answers are sent
    proxy::SessionOrigin origin;
    std::string unaccepted;  // bytes received before the session is accepted, to send to an owner
    std::unique_ptr<relay_link::owner_link> link;  // set while an owner serves the session
  };
  struct InstanceConnection {
    std::shared_ptr<net::Stream> stream;
    std::unique_ptr<InstanceCodec> codec;
    bool accepted = false;
  };

  class OwnerEvents;

  bool ListenForPeers();
  void AddCaller(asio::ip::tcp::socket socket);
  /// Adds a session unless there are too many. @return its number, 0 if it was rejected.
  proxy::SessionNumber AddSession(const std::shared_ptr<net::Stream>& stream,
                                  const proxy::SessionOrigin& origin);
  /// Accepts a connection on which another daemon hands over a session.
  void AddHandover(asio::ip::tcp::socket socket);
  bool HandleCallerMessage(proxy::SessionNumber number, const CallerMessage& message,
                           common::Instant now);
  /// Keeps bytes of a session that may still be handed to another owner, which then gets them all.
  /// @return false if they are too many: the caller is told so and disconnected.
  bool KeepUnaccepted(Caller& caller, std::string_view bytes);
  void OnCallerBytes(proxy::SessionNumber number, std::string_view bytes);
  /// Queues an answer, or a part of one. While the caller reads too slowly, its next commands wait.
  void SendToCaller(proxy::SessionNumber number, Caller& caller, std::string bytes);
  /// Handles that all bytes queued for a congested caller have been sent.
  void OnCallerDrained(proxy::SessionNumber number);
  void OnCallerClosed(proxy::SessionNumber number);
  void OnInstanceBytes(proxy::ConnectionNumber number, std::string_view bytes);
  void OnInstanceClosed(proxy::ConnectionNumber number);
  void OnInstanceConnected(proxy::ConnectionNumber number, const proxy::OpenConnection& action);
  void FailConnection(proxy::ConnectionNumber number, proxy::OpenFailure failure,
                      model::ErrorCode error);
  bool HandleInstanceMessage(proxy::ConnectionNumber number, const InstanceMessage& message);
  void ReceivePeerMessage();
  /// Handles a datagram of the present sender. One that can't be read is counted and logged.
  void HandlePeerDatagram(std::string_view bytes);
  void ScheduleTick();
  net::HttpResponse AnswerHttp(const net::HttpMessage& request);

  /// Counts and logs a connection that could not be accepted.
  void OnAcceptFailed(const common::Endpoint& address, const std::string& reason);
  /// Counts and logs an answer of the store that could not be read.
  void OnUnreadableAnswer(const UnreadableAnswer& answer);
  /// Counts and logs a heartbeat that could not be sent.
  void OnHeartbeatNotSent(std::size_t bytes, const std::string& reason);
  static void OnCommandAnswered(Caller& caller);
  /// Keeps a connection that carries callers' requests until it is closed.
  void TrackStream(const std::shared_ptr<net::Stream>& stream);
  void DropClosedStreams();
  /// Stops accepting and reading from connections; what is already queued is still sent.
  void StopAccepting();
  /// Stops the event loop once all data queued for callers and the log is written, or at `limit`.
  void ExitWhenFlushed(common::Instant limit);
  /// Logs the numbers of callers and unanswered commands that the end of the process cuts off.
  void LogExit();

  /// Executes all actions that the decision code has queued.
  void ExecuteActions();
  void Execute(const proxy::OpenConnection& action);
  void Execute(const proxy::SendRequests& action);
  void Execute(const proxy::CloseConnection& action);
  void Execute(const proxy::AcceptSession& action);
  void Execute(const proxy::AnswerCaller& action);
  void Execute(const proxy::CloseSession& action);
  void Execute(const proxy::RelaySession& action);
  void Execute(const proxy::CloseRelay& action);
  void Execute(const proxy::RequestSessionEnd& action);
  void Execute(const proxy::ReadCatalog& action);
  void Execute(const proxy::ReadLeadership& action);
  void Execute(const proxy::ReadConfiguration& action);
  void Execute(const proxy::WriteLeadership& action);
  void Execute(const proxy::ReadHolders& action);
  void Execute(const proxy::WriteHolders& action);
  void Execute(const proxy::WriteDaemonEntry& action);
  void Execute(const proxy::Promote& action);
  void Execute(const proxy::SendPeerMessage& action);
  void Execute(const proxy::FetchCatalog& action);
  void Execute(const proxy::SetReady& action);
  void Execute(const proxy::Exit& action);
  void Execute(const proxy::LogEvent& action);

  asio::io_context& loop_;
  HostSettings settings_;
  Adapter& adapter_;
  proxy::Proxy proxy_;
  runtime::BoundedLog log_;
  Metrics metrics_;
  ConfigurationCopyCache configuration_copy_;
  std::size_t largest_heartbeat_bytes_ = 0;
  std::uint64_t unsent_heartbeats_ = 0;
  std::uint64_t unreadable_heartbeats_ = 0;
  std::uint64_t failed_accepts_ = 0;
  std::map<std::string, std::uint64_t> unreadable_answers_;  // by call
  net::Listener callers_listener_;
  net::Listener handover_listener_;  // for sessions that other daemons hand over
  asio::ip::udp::socket peers_;
  asio::ip::udp::endpoint peer_sender_;
  std::array<char, 65536> peer_buffer_{};
  std::vector<std::unique_ptr<net::HttpServer>> http_;
  asio::steady_timer tick_;
  std::map<proxy::SessionNumber, Caller> callers_;
  std::map<proxy::ConnectionNumber, InstanceConnection> instances_;
  /// Connections of callers and of daemons that hand over sessions; some may be closed.
  std::vector<std::shared_ptr<net::Stream>> streams_;
  proxy::SessionNumber next_session_ = 1;
  bool ready_ = false;
  bool executing_actions_ = false;
  bool exit_requested_ = false;  // the decision code has requested the end of the process
};

}  // namespace valvekeel::host
