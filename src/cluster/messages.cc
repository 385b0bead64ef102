#include "cluster/messages.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace valvekeel::replicated {

// Entries are encoded as arrays, because field names would take a third of the bytes.

void to_json(nlohmann::json& out, const EntryId& id) {
  out = nlohmann::json::array({static_cast<int>(id.kind), id.name});
}

void from_json(const nlohmann::json& in, EntryId& id) {
  id.kind = static_cast<EntryKind>(in.at(0).get<int>());
  id.name = in.at(1).get<std::string>();
}

void to_json(nlohmann::json& out, const EntrySummary& summary) {
  out = nlohmann::json::array({summary.id, summary.version.major, summary.version.minor});
}

void from_json(const nlohmann::json& in, EntrySummary& summary) {
  summary.id = in.at(0).get<EntryId>();
  summary.version = {in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint64_t>()};
}

void to_json(nlohmann::json& out, const Entry& entry) {
  out = nlohmann::json::array(
      {entry.id, entry.version.major, entry.version.minor, entry.deleted, entry.value});
}

void from_json(const nlohmann::json& in, Entry& entry) {
  entry.id = in.at(0).get<EntryId>();
  entry.version = {in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint64_t>()};
  entry.deleted = in.at(3).get<bool>();
  entry.value = in.at(4);
}

}  // namespace valvekeel::replicated

namespace valvekeel::cluster {
namespace {

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

Message ReadBody(std::size_t type, const json& body) {
  switch (type) {
    case 0:
      return Heartbeat{body.at(0).get<std::uint64_t>(), body.at(1).get<std::uint64_t>()};
    case 1: {
      Update update;
      update.entries = body.at(0).get<std::vector<replicated::Entry>>();
      update.forward = body.at(1).get<bool>();
      update.span = {body.at(2).get<std::uint64_t>(), body.at(3).get<std::uint64_t>()};
      return update;
    }
    case 2:
      return Digest{body.at(0).get<replicated::BucketHashes>()};
    case 3:
      return BucketSummaries{body.at(0).get<std::vector<std::uint32_t>>(),
                             body.at(1).get<std::vector<replicated::EntrySummary>>()};
    case 4:
      return EntriesRequest{body.at(0).get<std::vector<replicated::EntryId>>()};
    default:
      return Join{body.at(0).get<replicated::Entry>()};
  }
}

}  // namespace

json ToJson(const Message& message) {
  json body = std::visit([](const auto& typed) { return Body(typed); }, message);
  return json::array({message.index(), std::move(body)});
}

common::Result<Message, DecodeError> FromJson(const json& value) {
  try {
    const std::size_t type = value.at(kTypeIndex).get<std::size_t>();
    if (type >= std::variant_size_v<Message>) {
      return DecodeError{absl::StrCat("unknown message type ", type)};
    }
    return ReadBody(type, value.at(1));
  } catch (const json::exception& error) {
    return DecodeError{error.what()};
  }
}

std::string Encode(const Message& message) {
  std::string bytes;
  json::to_cbor(ToJson(message), bytes);
  return bytes;
}

common::Result<Message, DecodeError> Decode(std::string_view bytes) {
  const json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (value.is_discarded()) {
    return DecodeError{"the bytes are not CBOR"};
  }
  return FromJson(value);
}

}  // namespace valvekeel::cluster
