#include "cluster/messages.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

#include "bounded_json/bounded_json.h"
#include "bounded_json/checked_value.h"
#include "common/position.h"

namespace valvekeel::replicated {

using bounded_json::to_unsigned;

// Entries are encoded as arrays, because field names would take a third of the bytes.

void to_json(nlohmann::json& out, const EntryId& id) {
  out = nlohmann::json::array({static_cast<int>(id.kind), id.name});
}

void from_json(const nlohmann::json& in, EntryId& id) {
  constexpr auto kLast = static_cast<std::uint8_t>(EntryKind::kZone);
  id.kind = static_cast<EntryKind>(to_unsigned<std::uint8_t>(in.at(0), kLast));
  id.name = in.at(1).get<std::string>();
}

void to_json(nlohmann::json& out, const EntrySummary& summary) {
  out = nlohmann::json::array({summary.id, summary.version.major, summary.version.minor});
}

void from_json(const nlohmann::json& in, EntrySummary& summary) {
  summary.id = in.at(0).get<EntryId>();
  summary.version = {to_unsigned<std::uint64_t>(in.at(1)), to_unsigned<std::uint64_t>(in.at(2))};
}

void to_json(nlohmann::json& out, const Entry& entry) {
  out = nlohmann::json::array(
      {entry.id, entry.version.major, entry.version.minor, entry.deleted, entry.value});
}

void from_json(const nlohmann::json& in, Entry& entry) {
  entry.id = in.at(0).get<EntryId>();
  entry.version = {to_unsigned<std::uint64_t>(in.at(1)), to_unsigned<std::uint64_t>(in.at(2))};
  entry.deleted = in.at(3).get<bool>();
  entry.value = in.at(4);
}

}  // namespace valvekeel::replicated

namespace valvekeel::cluster {
namespace {

using bounded_json::to_unsigned;
using bounded_json::value_error;
using nlohmann::json;

// Position of the message type in an encoded message. The type is the index in the variant.
constexpr std::size_t kTypeIndex = 0;

json Body(const Heartbeat& message) {
  return json::array({message.incarnation, message.table_hash});
}

json Body(const Update& message) {
  return json::array({message.entries, message.forward, message.span.first, message.span.last});
}

json Body(const Digest& message) { return json::array({message.hashes}); }

json Body(const BucketSummaries& message) {
  return json::array({message.buckets, message.summaries});
}

json Body(const EntriesRequest& message) { return json::array({message.ids}); }

json Body(const Join& message) { return json::array({message.member}); }

/// Throws if the value lacks what the readers of the entry's kind expect. Specifications are
/// checked where they are read, since one that is faulty still replaces its earlier version.
void CheckValue(const replicated::Entry& entry) {
  const json& value = entry.value;
  switch (entry.id.kind) {
    case replicated::EntryKind::kMember:
      to_unsigned<std::uint8_t>(entry.version.minor, static_cast<std::uint8_t>(MemberState::kLeft));
      value.at("zone").get_ref<const std::string&>();
      value.at("peer").at("host").get_ref<const std::string&>();
      to_unsigned<std::uint16_t>(value.at("peer").at("port"));
      break;
    case replicated::EntryKind::kTopology:
      to_unsigned<common::Term>(entry.version.major);
      value.at("primary").get_ref<const std::string&>();
      break;
    case replicated::EntryKind::kZone:
      value.at("reachable").get_ref<const bool&>();
      break;
    case replicated::EntryKind::kDatabase:
    case replicated::EntryKind::kShareGroup:
      break;
  }
}

replicated::Entry ReadEntry(const json& value) {
  auto entry = value.get<replicated::Entry>();
  CheckValue(entry);
  return entry;
}

std::vector<std::uint32_t> ReadBuckets(const json& value) {
  if (value.size() > replicated::kBucketCount) {
    throw value_error("more buckets than there are");
  }
  std::vector<std::uint32_t> buckets;
  for (const json& each : value) {
    buckets.push_back(to_unsigned<std::uint32_t>(each, replicated::kBucketCount - 1));
  }
  return buckets;
}

Message ReadBody(std::size_t type, const json& body) {
  switch (type) {
    case 0:
      return Heartbeat{to_unsigned<std::uint64_t>(body.at(0)),
                       to_unsigned<std::uint64_t>(body.at(1))};
    case 1: {
      Update update;
      for (const json& each : body.at(0)) {
        update.entries.push_back(ReadEntry(each));
      }
      update.forward = body.at(1).get<bool>();
      update.span = {to_unsigned<std::uint64_t>(body.at(2)),
                     to_unsigned<std::uint64_t>(body.at(3))};
      return update;
    }
    case 2:
      return Digest{body.at(0).get<replicated::BucketHashes>()};
    case 3:
      return BucketSummaries{ReadBuckets(body.at(0)),
                             body.at(1).get<std::vector<replicated::EntrySummary>>()};
    case 4:
      return EntriesRequest{body.at(0).get<std::vector<replicated::EntryId>>()};
    default:
      return Join{ReadEntry(body.at(0))};
  }
}

}  // namespace

json ToJson(const Message& message) {
  json body = std::visit([](const auto& typed) { return Body(typed); }, message);
  return json::array({message.index(), std::move(body)});
}

common::Result<Message, DecodeError> FromJson(const json& value) {
  try {
    const auto type = to_unsigned<std::size_t>(value.at(kTypeIndex));
    if (type >= std::variant_size_v<Message>) {
      return DecodeError{absl::StrCat("unknown message type ", type)};
    }
    return ReadBody(type, value.at(1));
  } catch (const std::exception& error) {
    return DecodeError{error.what()};
  }
}

std::string Encode(const Message& message) {
  std::string bytes;
  json::to_cbor(ToJson(message), bytes);
  return bytes;
}

common::Result<Message, DecodeError> Decode(std::string_view bytes) {
  const auto value = bounded_json::parse_cbor(bytes);
  return value ? FromJson(*value) : DecodeError{"not CBOR, or nested too deep"};
}

}  // namespace valvekeel::cluster
