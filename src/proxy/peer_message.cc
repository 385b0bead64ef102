#include "proxy/peer_message.h"

#include <nlohmann/json.hpp>

namespace valvekeel::proxy {
namespace {

using nlohmann::json;

constexpr std::int64_t kNoAge = -1;

json AgeToJson(const std::optional<common::Duration>& age) {
  return age ? json(age->count()) : json(kNoAge);
}

std::optional<common::Duration> AgeFromJson(const json& value) {
  const auto count = value.get<std::int64_t>();
  if (count < 0) {
    return std::nullopt;
  }
  return common::Duration(count);
}

json GroupToJson(const GroupReport& group) {
  return json::array({group.service, group.term, group.primary, AgeToJson(group.confirmation_age),
                      AgeToJson(group.sample_age), group.sample.term, group.sample.lsn,
                      group.floor.term, group.floor.lsn, group.replicas, group.primary_lost,
                      group.fence_below, group.released_below});
}

GroupReport GroupFromJson(const json& value) {
  GroupReport group;
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return value.at(field++); };
  group.service = next().get<std::string>();
  group.term = next().get<common::Term>();
  group.primary = next().get<std::string>();
  group.confirmation_age = AgeFromJson(next());
  group.sample_age = AgeFromJson(next());
  group.sample.term = next().get<common::Term>();
  group.sample.lsn = next().get<common::Lsn>();
  group.floor.term = next().get<common::Term>();
  group.floor.lsn = next().get<common::Lsn>();
  group.replicas = next().get<std::size_t>();
  group.primary_lost = next().get<bool>();
  group.fence_below = next().get<common::Term>();
  group.released_below = next().get<common::Term>();
  return group;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  json groups = json::array();
  for (const GroupReport& group : message.groups) {
    groups.push_back(GroupToJson(group));
  }
  const json whole =
      json::array({message.name, message.zone, message.incarnation, message.sequence,
                   message.echoed, message.echoed_incarnation, message.interval.count(),
                   message.store_connected, message.stopping, message.configuration_version,
                   message.catalog_revision, std::move(groups)});
  std::string bytes;
  json::to_cbor(whole, bytes);
  return bytes;
}

common::Result<PeerMessage, PeerMessageError> DecodePeerMessage(std::string_view bytes) {
  try {
    const json whole = json::from_cbor(bytes.begin(), bytes.end());
    PeerMessage message;
    std::size_t field = 0;
    const auto next = [&]() -> const json& { return whole.at(field++); };
    message.name = next().get<std::string>();
    message.zone = next().get<std::string>();
    message.incarnation = next().get<std::uint64_t>();
    message.sequence = next().get<std::uint64_t>();
    message.echoed = next().get<std::uint64_t>();
    message.echoed_incarnation = next().get<std::uint64_t>();
    message.interval = common::Duration(next().get<std::int64_t>());
    message.store_connected = next().get<bool>();
    message.stopping = next().get<bool>();
    message.configuration_version = next().get<std::uint64_t>();
    message.catalog_revision = next().get<std::uint64_t>();
    for (const json& group : next()) {
      message.groups.push_back(GroupFromJson(group));
    }
    return message;
  } catch (const json::exception& error) {
    return PeerMessageError{error.what()};
  }
}

}  // namespace valvekeel::proxy
