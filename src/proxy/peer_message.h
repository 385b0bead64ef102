// Defines the heartbeat message between daemons and its encoding.
//
// Owns: the typed message and its encoding (CBOR). Invariant: ages are counted from the time of
// sending. A receiver that knows which of its own messages the sender had received can map them to
// its own clock without relying on the sender's. Thread-safe: values only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/position.h"
#include "common/result.h"
#include "common/time.h"
#include "evacuation/zone_view.h"
#include "group/acknowledged_commits.h"
#include "membership/member.h"
#include "model/revision.h"
#include "tenants/rate_messages.h"

namespace valvekeel::proxy {

/// A daemon's view of one database group.
struct GroupReport {
  std::string service;
  common::Term term = 0;
  std::string primary;
  std::optional<common::Duration> confirmation_age;  // since the read lease's newest renewal began
  std::optional<common::Duration> sample_age;        // of `sample`
  common::Position sample;                           // position of the primary, see PositionHistory
  common::Position commit_floor;                     // a replica must hold it to be promoted
  std::size_t replica_count = 0;                     // listed or reachable for the sender
  bool primary_suspected = false;
  bool degraded = false;            // the report goes to all daemons; not encoded
  common::Term fence_below = 0;     // all daemons are asked to release leases of terms below
  common::Term released_below = 0;  // the sender has released leases of terms below
  /// Of the sender's last acknowledged commit, once it suspects the primary; final once it has
  /// released its lease.
  std::optional<group::AcknowledgedBounds> acknowledged;
  bool acknowledged_complete = false;  // the bounds cover the sender's earlier processes too
};

struct PeerMessage {
  std::string name;
  std::string zone;
  std::uint64_t incarnation = 0;  // of the sender's process, set at its start
  std::uint64_t sequence = 0;     // counts the sender's messages to the receiver
  std::uint64_t echoed = 0;       // highest sequence that the sender received from the receiver
  std::uint64_t echoed_incarnation = 0;
  common::Duration interval{0};  // until the next message to the receiver, at the latest
  bool store_connected = false;
  bool stopping = false;
  std::uint64_t configuration_version = 0;
  model::Revision configuration_revision;  // newest that the sender knows
  model::Revision instances_revision;      // the same of the list of instances
  std::uint32_t capacity = 0;              // of the sender's machine, thousandths of a core
  membership::view_message view;           // membership, in a large deployment
  std::uint64_t proven_version = 0;        // newest that a read has proved to be the store's newest
  std::optional<common::Duration> proof_age;  // since that read was sent
  tenants::rate_message rates;
  evacuation::view_message evacuations;  // empty if zones cannot be evacuated
  std::vector<GroupReport> groups;
  bool is_continuation = false;  // its groups add to those of the preceding message
};

/// Why bytes could not be decoded.
struct PeerMessageError {
  std::string reason;
};

std::string EncodePeerMessage(const PeerMessage& message);

common::Result<PeerMessage, PeerMessageError> DecodePeerMessage(std::string_view bytes);

}  // namespace valvekeel::proxy
