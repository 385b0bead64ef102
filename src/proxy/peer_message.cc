#include "proxy/peer_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "bounded_json/bounded_json.h"
#include "bounded_json/checked_value.h"

namespace valvekeel::proxy {
namespace {

using bounded_json::to_duration;
using bounded_json::to_unsigned;
using nlohmann::json;

constexpr std::int64_t kNoAge = -1;

/// Rates are encoded as whole thousandths, which are shorter than a double.
constexpr double kThousandths = 1'000;
constexpr double kMaxRate = 1e12;

std::uint64_t ThousandthsOf(double value) {
  return static_cast<std::uint64_t>(std::lround(std::min(value, kMaxRate) * kThousandths));
}

double FromThousandths(const json& value) {
  return static_cast<double>(to_unsigned<std::uint64_t>(value)) / kThousandths;
}

json AgeToJson(const std::optional<common::Duration>& age) {
  return age ? json(age->count()) : json(kNoAge);
}

std::optional<common::Duration> AgeFromJson(const json& value) {
  const bool known = !value.is_number_integer() || value >= 0;
  return known ? std::optional(to_duration(value)) : std::nullopt;
}

json GroupToJson(const GroupReport& group) {
  json report =
      json::array({group.service, group.term, group.primary, AgeToJson(group.confirmation_age),
                   AgeToJson(group.sample_age), group.sample.term, group.sample.lsn,
                   group.commit_floor.term, group.commit_floor.lsn, group.replica_count,
                   group.primary_suspected, group.fence_below, group.released_below});
  if (group.acknowledged) {
    const group::AcknowledgedBounds& bounds = *group.acknowledged;
    for (const common::Position& each : {bounds.at_least, bounds.at_most, bounds.log_end}) {
      report.push_back(each.term);
      report.push_back(each.lsn);
    }
    report.push_back(group.acknowledged_complete);
  }
  return report;
}

GroupReport GroupFromJson(const json& value) {
  GroupReport group;
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return value.at(field++); };
  group.service = next().get<std::string>();
  group.term = to_unsigned<common::Term>(next());
  group.primary = next().get<std::string>();
  group.confirmation_age = AgeFromJson(next());
  group.sample_age = AgeFromJson(next());
  group.sample.term = to_unsigned<common::Term>(next());
  group.sample.lsn = to_unsigned<common::Lsn>(next());
  group.commit_floor.term = to_unsigned<common::Term>(next());
  group.commit_floor.lsn = to_unsigned<common::Lsn>(next());
  group.replica_count = to_unsigned<std::uint32_t>(next());
  group.primary_suspected = next().get<bool>();
  group.fence_below = to_unsigned<common::Term>(next());
  group.released_below = to_unsigned<common::Term>(next());
  // Earlier versions don't report it.
  if (field < value.size()) {
    group::AcknowledgedBounds bounds;
    for (common::Position* each : {&bounds.at_least, &bounds.at_most, &bounds.log_end}) {
      each->term = to_unsigned<common::Term>(next());
      each->lsn = to_unsigned<common::Lsn>(next());
    }
    group.acknowledged = bounds;
    group.acknowledged_complete = next().get<bool>();
  }
  return group;
}

json ToJson(const std::vector<membership::list_digest>& digests) {
  json all = json::array();
  for (const membership::list_digest& each : digests) {
    all.push_back(json::array({each.zone, each.digest}));
  }
  return all;
}

json ToJson(const membership::member& each) {
  return json::array({each.name, each.address.host, each.address.port, each.capacity,
                      each.store_connected, each.stopping});
}

json ToJson(const membership::zone_list& list) {
  json members = json::array();
  for (const membership::member& each : list.members) {
    members.push_back(ToJson(each));
  }
  return json::array({list.zone, std::move(members), list.moved});
}

json ToJson(const membership::view_message& view) {
  json lists = json::array();
  for (const membership::zone_list& list : view.lists) {
    lists.push_back(ToJson(list));
  }
  json introduced = json::array();
  for (const membership::member& each : view.known_hubs) {
    introduced.push_back(json::array({each.zone, ToJson(each)}));
  }
  return json::array({view.requests_hub_role, view.from_hub, view.covers_all_zones,
                      view.large_deployment, view.requests_discovery, std::move(introduced),
                      ToJson(view.acknowledged_lists), std::move(lists), view.complete, view.epoch,
                      view.zone_count});
}

membership::member MemberFrom(const std::string& zone, const json& value) {
  membership::member member;
  member.zone = zone;
  member.name = value.at(0).get<std::string>();
  member.address = {value.at(1).get<std::string>(), to_unsigned<std::uint16_t>(value.at(2))};
  member.capacity = to_unsigned<std::uint32_t>(value.at(3));
  member.store_connected = value.at(4).get<bool>();
  member.stopping = value.at(5).get<bool>();
  return member;
}

membership::zone_list ZoneListFrom(const json& value) {
  membership::zone_list list;
  list.zone = value.at(0).get<std::string>();
  for (const json& each : value.at(1)) {
    list.members.push_back(MemberFrom(list.zone, each));
  }
  list.digest = membership::digest_of(list.members);
  // Absent in messages of earlier versions.
  if (value.size() > 2) {
    list.moved = value.at(2).get<std::vector<std::string>>();
  }
  return list;
}

membership::view_message ViewFrom(const json& value) {
  membership::view_message view;
  std::size_t field = 0;
  const auto next = [&]() -> const json& { return value.at(field++); };
  view.requests_hub_role = next().get<bool>();
  view.from_hub = next().get<bool>();
  view.covers_all_zones = next().get<bool>();
  view.large_deployment = next().get<bool>();
  view.requests_discovery = next().get<bool>();
  for (const json& each : next()) {
    view.known_hubs.push_back(MemberFrom(each.at(0).get<std::string>(), each.at(1)));
  }
  for (const json& each : next()) {
    view.acknowledged_lists.push_back(
        {each.at(0).get<std::string>(), to_unsigned<std::uint64_t>(each.at(1))});
  }
  for (const json& each : next()) {
    view.lists.push_back(ZoneListFrom(each));
  }
  // Absent in messages of earlier versions, whose hubs count as informed.
  view.complete = field < value.size() ? next().get<bool>() : view.from_hub;
  view.epoch = field < value.size() ? to_unsigned<std::uint64_t>(next()) : 0;
  view.zone_count = field < value.size() ? to_unsigned<std::uint32_t>(next()) : 0;
  return view;
}

json ToJson(const tenants::rate_message& rates) {
  json usage = json::array();
  for (const tenants::usage_count& each : rates.usage) {
    usage.push_back(json::array({each.tenant, each.admitted, each.offered}));
  }
  json grants = json::array();
  for (const tenants::rate_grant& each : rates.grants) {
    grants.push_back(
        json::array({each.tenant, ThousandthsOf(each.rate), ThousandthsOf(each.fallback_rate),
                     ThousandthsOf(each.initial_tokens)}));
  }
  return json::array({rates.sender_is_allocator, rates.receiver_is_coordinator, std::move(usage),
                      std::move(grants)});
}

tenants::rate_message RatesFrom(const json& value) {
  tenants::rate_message rates;
  rates.sender_is_allocator = value.at(0).get<bool>();
  rates.receiver_is_coordinator = value.at(1).get<bool>();
  for (const json& each : value.at(2)) {
    rates.usage.push_back({to_unsigned<std::uint32_t>(each.at(0)),
                           to_unsigned<std::uint64_t>(each.at(1)),
                           to_unsigned<std::uint64_t>(each.at(2))});
  }
  for (const json& each : value.at(3)) {
    rates.grants.push_back({to_unsigned<std::uint32_t>(each.at(0)), FromThousandths(each.at(1)),
                            FromThousandths(each.at(2)), FromThousandths(each.at(3))});
  }
  return rates;
}

json ToJson(const evacuation::view_message& view) {
  return view.age ? json::array(
                        {view.revision.number, view.zones, AgeToJson(view.age), view.revision.era})
                  : json::array();
}

evacuation::view_message EvacuationsFrom(const json& value) {
  if (value.empty()) {
    return {};
  }
  // Earlier versions send no era.
  const std::uint64_t era = value.size() > 3 ? to_unsigned<std::uint64_t>(value.at(3)) : 0;
  return {{to_unsigned<std::uint64_t>(value.at(0)), era},
          value.at(1).get<std::vector<std::string>>(),
          AgeFromJson(value.at(2))};
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  json groups = json::array();
  for (const GroupReport& group : message.groups) {
    groups.push_back(GroupToJson(group));
  }
  const json whole = json::array({message.name,
                                  message.zone,
                                  message.incarnation,
                                  message.sequence,
                                  message.echoed,
                                  message.echoed_incarnation,
                                  message.interval.count(),
                                  message.store_connected,
                                  message.stopping,
                                  message.configuration_version,
                                  message.configuration_revision.number,
                                  message.instances_revision.number,
                                  message.capacity,
                                  ToJson(message.view),
                                  message.proven_version,
                                  AgeToJson(message.proof_age),
                                  ToJson(message.rates),
                                  ToJson(message.evacuations),
                                  std::move(groups),
                                  message.is_continuation,
                                  message.configuration_revision.era,
                                  message.instances_revision.era});
  std::string bytes;
  json::to_cbor(whole, bytes);
  return bytes;
}

common::Result<PeerMessage, PeerMessageError> DecodePeerMessage(std::string_view bytes) {
  const auto parsed = bounded_json::parse_cbor(bytes);
  if (!parsed) {
    return PeerMessageError{"not CBOR, or nested too deep"};
  }
  try {
    const json& whole = *parsed;
    PeerMessage message;
    std::size_t field = 0;
    const auto next = [&]() -> const json& { return whole.at(field++); };
    message.name = next().get<std::string>();
    message.zone = next().get<std::string>();
    message.incarnation = to_unsigned<std::uint64_t>(next());
    message.sequence = to_unsigned<std::uint64_t>(next());
    message.echoed = to_unsigned<std::uint64_t>(next());
    message.echoed_incarnation = to_unsigned<std::uint64_t>(next());
    message.interval = to_duration(next());
    message.store_connected = next().get<bool>();
    message.stopping = next().get<bool>();
    message.configuration_version = to_unsigned<std::uint64_t>(next());
    message.configuration_revision.number = to_unsigned<std::uint64_t>(next());
    message.instances_revision.number = to_unsigned<std::uint64_t>(next());
    message.capacity = to_unsigned<std::uint32_t>(next());
    message.view = ViewFrom(next());
    message.proven_version = to_unsigned<std::uint64_t>(next());
    message.proof_age = AgeFromJson(next());
    message.rates = RatesFrom(next());
    message.evacuations = EvacuationsFrom(next());
    for (const json& group : next()) {
      message.groups.push_back(GroupFromJson(group));
    }
    // Absent in messages of earlier versions, which send all groups in one message.
    message.is_continuation = field < whole.size() && next().get<bool>();
    // Earlier versions send no era; their revisions count as older than any with an era.
    const auto era = [&] { return field < whole.size() ? to_unsigned<std::uint64_t>(next()) : 0; };
    message.configuration_revision.era = era();
    message.instances_revision.era = era();
    return message;
  } catch (const std::exception& error) {
    return PeerMessageError{error.what()};
  }
}

}  // namespace valvekeel::proxy
