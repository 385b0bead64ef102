// Hosts one daemon's decision code in the simulation.
//
// Owns: the Proxy of the daemon's present life. Invariant: answers meant for an earlier life are
// dropped; while frozen, events wait and are delivered after the thaw. Thread: one.
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

/// Takes what a daemon sends to a caller.
struct CallerPort {
  std::function<void(const model::Reply&)> answer;
  std::function<void()> accepted;
  std::function<void()> closed;
  std::function<void()> asked_to_end;  // of sessions handed over
};

/// A caller's first message.
struct SessionStart {
  std::string database;
  std::string key;
};

/// A command that a daemon has read.
struct TakenCommand {
  std::string id;
  common::Instant at{0};
};

/// A connection that a daemon has accepted.
struct AcceptedCaller {
  CallerPort port;
  bool is_direct = false;               // else another daemon's, of a relayed session
  std::deque<TakenCommand> unanswered;  // of direct callers
  std::string owner;                    // newest that the session was handed to
};

/// What a daemon has sent over all its lives.
struct TrafficCounters {
  std::size_t messages = 0;     // heartbeats
  std::size_t bytes = 0;        // of these, if they are encoded
  std::size_t largest = 0;      // bytes of the largest of them
  std::size_t store_calls = 0;  // of any kind
};

/// A session that another daemon serves.
///
/// What is sent on it one way arrives in order.
struct RelayLink {
  struct Arrivals {
    common::Instant at_owner{0};
    common::Instant from_owner{0};
  };
  DaemonHost* owner = nullptr;
  std::uint64_t owner_life = 0;
  proxy::SessionNumber owner_session = 0;
  std::uint64_t epoch = 0;  // told apart from earlier links of the session
  std::shared_ptr<Arrivals> last = std::make_shared<Arrivals>();
};

class DaemonHost {
 public:
  DaemonHost(Cluster& cluster, std::string name, std::string zone, common::Endpoint address);

  void Start();
  /// Ends the process, unplanned.
  void Kill();
  void Stop();
  void Freeze();
  void Thaw();

  bool Alive() const { return proxy_ != nullptr; }
  bool Ready() const { return Alive() && ready_; }
  /// @return true if it runs, and was not told to stop.
  bool Runs() const { return Alive() && !frozen_ && !stopping_; }
  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  const common::Endpoint& Address() const { return address_; }
  proxy::Proxy* Decisions() { return proxy_.get(); }
  const TrafficCounters& Traffic() const { return traffic_; }
  /// @return the load over all lives, if it is recorded.
  const waiting::trace_recorder& Load() const { return load_; }

  // Callers.
  void OpenSession(proxy::SessionNumber number, const SessionStart& start, CallerPort port);
  /// Takes a session that another daemon hands over.
  void TakeHandover(proxy::SessionNumber number, const SessionStart& start,
                    const proxy::SessionOrigin& origin, CallerPort port);
  void Command(proxy::SessionNumber number, const proxy::CallerCommand& command);
  void CloseSession(proxy::SessionNumber number);

  /// Delivers an event to this life, now or after a thaw.
  void Deliver(std::uint64_t life, std::function<void()> event);
  std::uint64_t Life() const { return life_; }

 private:
  /// @return false if the process is about to end and reads nothing more.
  bool Reads() const;
  /// The process ends.
  void End();
  void Accept(proxy::SessionNumber number, const SessionStart& start,
              const proxy::SessionOrigin& origin, AcceptedCaller caller);
  void Answer(proxy::SessionNumber number, const model::Reply& reply);
  /// Tells the checker of commands that the end of their connection cuts off.
  void CheckAnswered(const AcceptedCaller& caller, const std::string& how);
  /// Checks that an owner may hold a caller's request.
  void CheckHolder(const DaemonHost& owner, const std::string& request_id);
  /// Gives a relayed session's owner an event after the network's delay, if it is reached.
  void ToOwner(const RelayLink& link, std::function<void(DaemonHost& owner)> event);
  /// @return the port over which an owner answers to a relayed session of this daemon.
  CallerPort RelayPort(proxy::SessionNumber number, const RelayLink& link);
  /// Takes what an owner sends, after the network's delay, as long as the link stands.
  void FromOwner(proxy::SessionNumber number, const RelayLink& link, std::function<void()> event);
  /// @return the connection's number at the instances, unlike that of any other daemon or life.
  std::uint64_t KeyOf(proxy::ConnectionNumber number) const;
  void Tick(std::uint64_t life);
  void Drain();
  /// Holds callers' statements that are sent to an instance against the regions in force here: by
  /// the time that they run this daemon may know a newer configuration.
  void CheckRegions(const std::string& instance,
                    const std::vector<model::InstanceRequest>& requests);
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

  Cluster& cluster_;
  std::string name_;
  std::string zone_;
  common::Endpoint address_;
  std::unique_ptr<proxy::Proxy> proxy_;
  std::uint64_t life_ = 0;
  waiting::trace_recorder load_;
  TrafficCounters traffic_;
  bool frozen_ = false;
  bool stopping_ = false;
  bool ready_ = false;
  bool draining_ = false;
  bool exiting_ = false;  // the decision to end has been made
  common::Instant told_to_stop_{0};
  common::Instant decided_to_end_{0};
  std::string lost_reason_;                 // of the relayed session that was lost last
  std::deque<std::function<void()>> held_;  // while frozen
  std::map<proxy::SessionNumber, AcceptedCaller> callers_;
  std::map<proxy::SessionNumber, SessionStart> starts_;  // of the callers' sessions
  std::map<proxy::SessionNumber, RelayLink> relays_;
  std::uint64_t next_link_ = 1;
  std::map<proxy::ConnectionNumber, std::string> connections_;  // instance by connection
};

}  // namespace valvekeel::proxysim
