// Hosts one daemon's proxy::Proxy in the simulation.
//
// Owns: the Proxy of the daemon's current incarnation. Invariant: answers to an earlier incarnation
// are dropped; events for a frozen daemon are queued and delivered when it thaws. Not thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy/proxy.h"
#include "proxysim/database_group.h"
#include "proxysim/store.h"
#include "proxysim/world.h"
#include "waiting/recorder.h"

namespace valvekeel::proxysim {

class Cluster;
class DaemonHost;

/// Callbacks for what a daemon sends to a caller.
struct CallerCallbacks {
  std::function<void(const model::Reply&)> answer;
  std::function<void()> accepted;
  std::function<void()> closed;
  std::function<void()> end_requested;  // end request, of sessions handed over
};

/// A caller's first message.
struct SessionStart {
  std::string database;
  std::string key;
};

/// A command that a daemon has read and not yet answered.
struct PendingCommand {
  std::string id;
  common::Instant at{0};
};

/// A connection that a daemon has accepted.
struct CallerConnection {
  CallerCallbacks callbacks;
  bool is_direct = false;                 // false: from another daemon, for a relayed session
  std::deque<PendingCommand> unanswered;  // of direct callers
  std::string owner;                      // daemon to which the session was last handed over
};

/// What a daemon has sent over all its incarnations.
struct TrafficCounters {
  std::size_t messages = 0;         // heartbeats
  std::size_t bytes = 0;            // of the heartbeats, if they are encoded
  std::size_t largest_message = 0;  // bytes of the largest heartbeat
  std::size_t store_calls = 0;      // of any kind
};

/// A session that another daemon serves.
///
/// Messages in one direction arrive in order.
struct RelayLink {
  struct Arrivals {
    common::Instant at_owner{0};
    common::Instant from_owner{0};
  };
  DaemonHost* owner = nullptr;
  std::uint64_t owner_incarnation = 0;
  proxy::SessionNumber owner_session = 0;
  std::uint64_t epoch = 0;  // distinguishes it from earlier links of the session
  std::shared_ptr<Arrivals> last_arrivals = std::make_shared<Arrivals>();
};

class DaemonHost {
 public:
  DaemonHost(Cluster& cluster, std::string name, std::string zone, common::Endpoint address);

  void Start();
  /// Ends the process without a stop signal.
  void Kill();
  void Stop();
  void Freeze();
  void Thaw();

  bool Alive() const { return proxy_ != nullptr; }
  bool Ready() const { return Alive() && ready_; }
  /// @return true if the process is running, not frozen, and has received no stop signal.
  bool IsOperating() const { return Alive() && !frozen_ && !stopping_; }
  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  const common::Endpoint& Address() const { return address_; }
  proxy::Proxy* Proxy() { return proxy_.get(); }
  const TrafficCounters& Traffic() const { return traffic_; }
  /// @return the load over all incarnations, if it is recorded.
  const waiting::trace_recorder& Load() const { return load_; }

  // Callers.
  void OpenSession(proxy::SessionNumber number, const SessionStart& start,
                   CallerCallbacks callbacks);
  /// Accepts a session that another daemon hands over.
  void AcceptHandover(proxy::SessionNumber number, const SessionStart& start,
                      const proxy::SessionOrigin& origin, CallerCallbacks callbacks);
  void Command(proxy::SessionNumber number, const proxy::CallerCommand& command);
  void CloseSession(proxy::SessionNumber number);

  /// Delivers an event to an incarnation, now or after the daemon thaws; drops it if that has
  /// ended.
  void Deliver(std::uint64_t incarnation, std::function<void()> event);
  std::uint64_t Incarnation() const { return incarnation_; }

 private:
  /// @return false if the process is about to end and reads no further input.
  bool AcceptsInput() const;
  /// Ends the process: connections are reset and sessions are closed.
  void EndProcess();
  void Accept(proxy::SessionNumber number, const SessionStart& start,
              const proxy::SessionOrigin& origin, CallerConnection caller);
  void Answer(proxy::SessionNumber number, const model::Reply& reply);
  /// Passes the commands left unanswered when their connection is closed to the checker.
  void ReportUnanswered(const CallerConnection& caller, const std::string& how);
  /// Checks that a caller's request is allowed in the owner's region.
  void CheckOwnerRegion(const DaemonHost& owner, const std::string& request_id);
  /// Delivers an event to a relayed session's owner after the network delay, if it is reachable.
  void SendToOwner(const RelayLink& link, std::function<void(DaemonHost& owner)> event);
  /// @return the callbacks through which an owner answers a relayed session of this daemon.
  CallerCallbacks RelayCallbacks(proxy::SessionNumber number, const RelayLink& link);
  /// Handles what an owner sends, after the network delay, if the link still exists.
  void ReceiveFromOwner(proxy::SessionNumber number, const RelayLink& link,
                        std::function<void()> event);
  /// @return the connection's number at the instances, unique over all daemons and incarnations.
  std::uint64_t ConnectionKey(proxy::ConnectionNumber number) const;
  void Tick(std::uint64_t incarnation);
  void PerformActions();
  /// Checks callers' statements when they are sent to an instance against the regions then in force
  /// at this daemon: it may have a newer configuration by the time they run.
  void CheckRegions(const std::string& instance,
                    const std::vector<model::InstanceRequest>& requests);
  void Perform(const proxy::OpenConnection& action);
  void Perform(const proxy::SendRequests& action);
  void Perform(const proxy::CloseConnection& action);
  void Perform(const proxy::AcceptSession& action);
  void Perform(const proxy::AnswerCaller& action);
  void Perform(const proxy::CloseSession& action);
  void Perform(const proxy::RelaySession& action);
  void Perform(const proxy::CloseRelay& action);
  void Perform(const proxy::RequestSessionEnd& action);
  void Perform(const proxy::ReadCatalog& action);
  void Perform(const proxy::ReadLeadership& action);
  void Perform(const proxy::ReadConfiguration& action);
  void Perform(const proxy::WriteLeadership& action);
  void Perform(const proxy::ReadHolders& action);
  void Perform(const proxy::WriteHolders& action);
  void Perform(const proxy::WriteDaemonEntry& action);
  void Perform(const proxy::Promote& action);
  /// Sends the request on an open connection.
  void RequestPromotion(const proxy::Promote& action);
  void Perform(const proxy::SendPeerMessage& action);
  void Perform(const proxy::FetchCatalog& action);
  void Perform(const proxy::SetReady& action);
  void Perform(const proxy::Exit& action);
  void Perform(const proxy::LogEvent& action);

  Cluster& cluster_;
  std::string name_;
  std::string zone_;
  common::Endpoint address_;
  std::unique_ptr<proxy::Proxy> proxy_;
  std::uint64_t incarnation_ = 0;
  waiting::trace_recorder load_;
  TrafficCounters traffic_;
  bool frozen_ = false;
  bool stopping_ = false;
  bool ready_ = false;
  bool performing_ = false;
  bool exiting_ = false;  // the Proxy has decided to end the process
  common::Instant stop_signal_at_{0};
  common::Instant exit_decided_at_{0};
  std::string relay_lost_reason_;                     // of the last lost relayed session
  std::deque<std::function<void()>> pending_events_;  // received while frozen
  std::map<proxy::SessionNumber, CallerConnection> callers_;
  std::map<proxy::SessionNumber, SessionStart> session_starts_;  // by session of a caller
  std::map<proxy::SessionNumber, RelayLink> relays_;
  std::uint64_t next_epoch_ = 1;
  std::map<proxy::ConnectionNumber, std::string> connections_;  // instance by connection
};

}  // namespace valvekeel::proxysim
