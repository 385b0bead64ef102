// Messages by which daemons replicate their table and detect failures.
//
// Owns: the message types and their encoding. Invariant: Decode accepts only what Encode can
// produce. Thread-safe: value types and functions without state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/member.h"
#include "common/result.h"
#include "replicated/replicated_table.h"

namespace valvekeel::cluster {

/// Range of member hashes, both ends included, whose members a daemon forwards an update to. It is
/// empty if first is above last.
struct Span {
  std::uint64_t first = 0;
  std::uint64_t last = ~std::uint64_t{0};
};

/// Sent at a fixed interval to the successors on the ring of the zone and between bridges.
struct Heartbeat {
  std::uint64_t incarnation = 0;
  std::uint64_t table_hash = 0;
};

/// Entries sent to a daemon, which forwards them down the tree of its zone if `forward` is set.
struct Update {
  std::vector<replicated::Entry> entries;
  bool forward = false;  // the receiver forwards to the members in the span
  Span span;
};

/// Hashes of all buckets, sent when the table hash in a heartbeat differs from the local one.
struct Digest {
  replicated::BucketHashes hashes{};
};

/// Versions of the sender's entries in the buckets that differ.
struct BucketSummaries {
  std::vector<std::uint32_t> buckets;
  std::vector<replicated::EntrySummary> summaries;
};

/// Requests entries by id.
struct EntriesRequest {
  std::vector<replicated::EntryId> ids;
};

/// Sent at start-up: announces the sender and requests the whole table.
struct Join {
  replicated::Entry member;
};

using Message = std::variant<Heartbeat, Update, Digest, BucketSummaries, EntriesRequest, Join>;

/// Why bytes or a JSON value could not be decoded as a message.
struct DecodeError {
  std::string reason;
};

/// @return the message as CBOR.
std::string Encode(const Message& message);

/// @return the message, or an error if the bytes are not a message.
common::Result<Message, DecodeError> Decode(std::string_view bytes);

/// @return the message as JSON, for traces and for envelopes that contain it.
nlohmann::json ToJson(const Message& message);

/// @return the message, or an error if the JSON value is not a message.
common::Result<Message, DecodeError> FromJson(const nlohmann::json& value);

}  // namespace valvekeel::cluster
