// Messages between daemons about the replicated table.
//
// Owns: the message types and their encoding. Invariant: Decode never accepts what Encode cannot
// have made. Thread: any.
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

/// Part of the hash order of a zone's members, from first to last, that a daemon forwards to.
struct Span {
  std::uint64_t first = 0;
  std::uint64_t last = ~std::uint64_t{0};
};

/// Sent at a fixed interval to the successors on the zone's ring and between bridges.
struct Heartbeat {
  std::uint64_t incarnation = 0;
  std::uint64_t table_hash = 0;
};

/// New entries, forwarded down the zone's tree.
struct Update {
  std::vector<replicated::Entry> entries;
  bool forward = false;  // the receiver forwards to the span
  Span span;
};

/// Hashes of all buckets, sent when a heartbeat shows a difference.
struct Digest {
  replicated::BucketHashes hashes{};
};

/// Versions of the entries in the buckets that differ.
struct BucketSummaries {
  std::vector<std::uint32_t> buckets;
  std::vector<replicated::EntrySummary> summaries;
};

/// Asks for entries by name.
struct EntriesRequest {
  std::vector<replicated::EntryId> ids;
};

/// Asks, at the start, for the whole table; introduces the sender.
struct Join {
  replicated::Entry member;
};

using Message = std::variant<Heartbeat, Update, Digest, BucketSummaries, EntriesRequest, Join>;

/// Bytes that are not a message.
struct DecodeError {
  std::string reason;
};

/// @return the message as CBOR.
std::string Encode(const Message& message);

/// @return the message in the bytes or why they cannot be read.
common::Result<Message, DecodeError> Decode(std::string_view bytes);

/// @return the message as JSON, for traces and for envelopes that are encoded as a whole.
nlohmann::json ToJson(const Message& message);

/// @return the message in a JSON value or why it cannot be read.
common::Result<Message, DecodeError> FromJson(const nlohmann::json& value);

}  // namespace valvekeel::cluster
