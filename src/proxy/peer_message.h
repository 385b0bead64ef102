// Heartbeats between daemons.
//
// Owns: the typed message and its encoding (CBOR). Invariant: ages are counted from the moment of
// sending, so a receiver that knows which of its own messages the sender had seen can place them on
// its own clock without trusting the other's. Thread: any (values only).
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
#include "membership/member.h"
#include "model/revision.h"
#include "tenants/rate_messages.h"

namespace valvekeel::proxy {

/// What a daemon knows of one database group.
struct GroupReport {
  std::string service;
  common::Term term = 0;
  std::string primary;
  std::optional<common::Duration> confirmation_age;  // of the read lease's newest round
  std::optional<common::Duration> sample_age;        // of `sample`
  common::Position sample;                           // the primary's position, see PositionHistory
  common::Position minimum_position;                 // that a promoted replica must hold
  std::size_t replica_count = 0;                     // that the sender counts
  bool primary_suspected = false;
  bool degraded = false;            // all should hear of it; not sent
  common::Term fence_below = 0;     // all are asked to let go of terms below
  common::Term released_below = 0;  // the sender has let go of terms below
};

struct PeerMessage {
  std::string name;
  std::string zone;
  std::uint64_t incarnation = 0;  // of the sender, chosen at its start
  std::uint64_t sequence = 0;     // counts the sender's messages to the receiver
  std::uint64_t echoed = 0;       // highest sequence that the sender got from the receiver
  std::uint64_t echoed_incarnation = 0;
  common::Duration interval{0};  // until the next message to the receiver, at the latest
  bool store_connected = false;
  bool stopping = false;
  std::uint64_t configuration_version = 0;
  model::Revision configuration_revision;  // of the store: newest that the sender has heard of
  model::Revision instances_revision;      // the same of the list of instances
  std::uint32_t capacity = 0;              // of the sender's machine, thousandths of a core
  membership::view_message view;           // in a large deployment
  std::uint64_t proven_version = 0;        // newest version known to have been the store's newest
  std::optional<common::Duration> proof_age;  // since that was read
  tenants::rate_message rates;
  evacuation::view_message evacuations;  // if zones can be evacuated
  std::vector<GroupReport> groups;
  bool is_continuation = false;  // its groups belong to those of the message before
};

/// Why bytes are not a message.
struct PeerMessageError {
  std::string reason;
};

std::string EncodePeerMessage(const PeerMessage& message);

common::Result<PeerMessage, PeerMessageError> DecodePeerMessage(std::string_view bytes);

}  // namespace valvekeel::proxy
