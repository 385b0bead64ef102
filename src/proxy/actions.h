// What the proxy's decision code asks its host to do.
//
// Owns: the typed actions. Invariant: an action carries all that its host needs; the host decides
// nothing. Thread: any (values only).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/endpoint.h"
#include "common/time.h"
#include "failover/leadership.h"
#include "metadata/collection_follower.h"
#include "model/catalog.h"
#include "model/reply.h"
#include "model/request.h"
#include "proxy/peer_message.h"

namespace valvekeel::proxy {

/// Number of a caller's session, counted by the host.
using SessionNumber = std::uint64_t;

/// Number of a connection to an instance, counted by the proxy.
using ConnectionNumber = std::uint64_t;

/// Number of a call whose answer the host brings back, counted by the proxy.
using CallNumber = std::uint64_t;

struct OpenConnection {
  ConnectionNumber connection = 0;
  common::Endpoint address;
  std::string service;
  std::string instance;
  std::string tenant;  // whose requests it carries; empty: the proxy's own
};

/// Sends requests in one write; each is answered in turn.
struct SendRequests {
  ConnectionNumber connection = 0;
  std::vector<model::InstanceRequest> requests;
};

struct CloseConnection {
  ConnectionNumber connection = 0;
};

/// Tells a caller that its session may begin.
struct AcceptSession {
  SessionNumber session = 0;
};

/// How long a statement took, for metrics.
struct StatementTimes {
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration waited{0};    // for an instance
  common::Duration instance{0};  // from sending to the answer
};

/// Answers the caller's oldest unanswered command.
struct AnswerCaller {
  SessionNumber session = 0;
  model::Reply reply;
  std::optional<StatementTimes> times;  // of a statement that an instance answered
};

/// Ends a session once what was sent to it has left; an error goes out first if there is one.
struct CloseSession {
  SessionNumber session = 0;
  bool with_error = false;
  model::ErrorCode error = model::ErrorCode::kBusy;
  std::string error_text;
};

/// Hands a caller's session to another daemon: what the caller has sent so far goes there, and all
/// that follows both ways.
struct RelaySession {
  SessionNumber session = 0;
  common::Endpoint owner;                    // where it takes relayed sessions
  std::uint64_t required_configuration = 0;  // version that must be in force there
};

/// Closes the link of a relayed session, if there still is one.
struct CloseRelay {
  SessionNumber session = 0;
};

/// Asks the daemon that handed a session over to end it as it rests.
struct RequestSessionEnd {
  SessionNumber session = 0;
};

struct ReadCatalog {
  CallNumber call = 0;
  metadata::ReadCall read;
};

/// Asks for the newest configuration, never from an old state of the store.
struct ReadConfiguration {
  CallNumber call = 0;
};

struct WriteLeadership {
  CallNumber call = 0;
  failover::RecordWrite write;
};

/// Asks for the leadership record as it is now.
struct ReadLeadership {
  CallNumber call = 0;
  std::uint64_t era = 0;  // whose record
};

/// Writes what this daemon announces of itself, whatever is there.
struct WriteDaemonEntry {
  CallNumber call = 0;
  model::DaemonEntry entry;
};

struct Promote {
  CallNumber call = 0;
  std::string service;
  std::string instance;
  std::string holder;
  std::uint64_t token = 0;
};

struct SendPeerMessage {
  common::Endpoint address;
  PeerMessage message;
};

/// Asks another daemon for the catalog that it knows.
struct FetchCatalog {
  CallNumber call = 0;
  common::Endpoint address;
  bool configuration_only = false;  // else with instances and daemons
};

struct SetReady {
  bool ready = false;
};

/// Ends the process.
struct Exit {};

enum class LogLevel : std::uint8_t { kInfo, kWarning };

/// A line for the log; see docs/operators/log-events.md.
struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  const char* event = "";
  std::vector<std::pair<const char*, std::string>> fields;
};

using Action =
    std::variant<OpenConnection, SendRequests, CloseConnection, AcceptSession, AnswerCaller,
                 CloseSession, RelaySession, CloseRelay, RequestSessionEnd, ReadCatalog,
                 ReadLeadership, ReadConfiguration, WriteLeadership, WriteDaemonEntry, Promote,
                 SendPeerMessage, FetchCatalog, SetReady, Exit, LogEvent>;

}  // namespace valvekeel::proxy
