// The actions that the proxy's decision code requests from its host.
//
// Invariant: an action carries everything that its host needs; the host makes no decisions. The
// types are plain values and can be used from any thread.
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

/// Number of a caller's session, assigned by the host.
using SessionNumber = std::uint64_t;

/// Number of a connection to an instance, assigned by the proxy.
using ConnectionNumber = std::uint64_t;

/// Number of a call whose result the host returns, assigned by the proxy.
using CallNumber = std::uint64_t;

/// Opens a connection to an instance.
struct OpenConnection {
  ConnectionNumber connection = 0;
  common::Endpoint address;
  std::string service;
  std::string instance;
  std::string tenant;  // whose requests it carries; empty for the proxy's own
};

/// Sends requests in one write. Replies arrive in the order of the requests.
struct SendRequests {
  ConnectionNumber connection = 0;
  std::vector<model::InstanceRequest> requests;
};

/// Closes a connection to an instance.
struct CloseConnection {
  ConnectionNumber connection = 0;
};

/// Notifies a caller that its session is accepted.
struct AcceptSession {
  SessionNumber session = 0;
};

/// Times of a statement, for metrics.
struct StatementTimes {
  model::Consistency consistency = model::Consistency::kPrimary;
  common::Duration waited{0};    // before an instance was available
  common::Duration instance{0};  // from sending to the reply
};

/// Answers the caller's oldest unanswered command.
struct AnswerCaller {
  SessionNumber session = 0;
  model::Reply reply;
  std::optional<StatementTimes> times;  // only for a statement that an instance answered
};

/// Closes a session after all output to its caller has been written. If with_error is set, the
/// error is sent first.
struct CloseSession {
  SessionNumber session = 0;
  bool with_error = false;
  model::ErrorCode error = model::ErrorCode::kBusy;
  std::string error_text;
};

/// Relays a caller's session to another daemon: the host forwards what the caller has sent so far
/// and then all traffic in both directions.
struct RelaySession {
  SessionNumber session = 0;
  common::Endpoint owner;                    // where it accepts relayed sessions
  std::uint64_t required_configuration = 0;  // minimum version in force there
};

/// Closes the link of a relayed session if it is still open.
struct CloseRelay {
  SessionNumber session = 0;
};

/// Asks the daemon that handed a session over to end it as soon as it is idle.
struct RequestSessionEnd {
  SessionNumber session = 0;
};

/// Lists or watches a collection of the metadata store.
struct ReadCatalog {
  CallNumber call = 0;
  metadata::ReadCall read;
};

/// Reads the newest configuration from the store, never from a stale state.
struct ReadConfiguration {
  CallNumber call = 0;
};

/// Writes a leadership record to the store.
struct WriteLeadership {
  CallNumber call = 0;
  failover::ConditionalWrite write;
};

/// Reads the current leadership record.
struct ReadLeadership {
  CallNumber call = 0;
  std::uint64_t era = 0;  // of the store, whose record is read
};

/// Reads the record of a group's commit holders, never from a stale state.
struct ReadHolders {
  CallNumber call = 0;
  std::string service;
};

/// Writes the record of a group's commit holders, if it still has the expected revision.
struct WriteHolders {
  CallNumber call = 0;
  std::string service;
  model::HolderRecord record;
  model::Revision revision;  // that the record must have; number 0: none may exist
};

/// How a call on the record of a group's commit holders ended.
struct HolderResult {
  /// kWritten or kConflict if the present record is known, as after each answered read.
  failover::WriteStatus status = failover::WriteStatus::kNoAnswer;
  model::Revision revision;  // number 0: no record exists
  model::HolderRecord record;
};

/// Writes this daemon's own entry to the store, replacing any existing entry.
struct WriteDaemonEntry {
  CallNumber call = 0;
  model::DaemonEntry entry;
};

/// Asks the promotion service to promote an instance.
struct Promote {
  CallNumber call = 0;
  std::string service;
  std::string instance;
  std::string holder;
  std::uint64_t token = 0;
  common::Instant valid_until{0};  // when the holder's right to act ends
};

/// Sends a message to another daemon.
struct SendPeerMessage {
  common::Endpoint address;
  PeerMessage message;
};

/// Fetches another daemon's copy of the catalog.
struct FetchCatalog {
  CallNumber call = 0;
  common::Endpoint address;
  bool configuration_only = false;  // otherwise instances and daemons too
};

/// Sets the answer of the readiness check.
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

using Action = std::variant<OpenConnection, SendRequests, CloseConnection, AcceptSession,
                            AnswerCaller, CloseSession, RelaySession, CloseRelay, RequestSessionEnd,
                            ReadCatalog, ReadLeadership, ReadConfiguration, WriteLeadership,
                            ReadHolders, WriteHolders, WriteDaemonEntry, Promote, SendPeerMessage,
                            FetchCatalog, SetReady, Exit, LogEvent>;

}  // namespace valvekeel::proxy
