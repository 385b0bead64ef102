#include "proxy/peer_message.h"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace valvekeel::proxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDatagram = 65'507;

// Positions of fields in the encoded message.
constexpr std::size_t kInterval = 6;
constexpr std::size_t kCapacity = 12;
constexpr std::size_t kView = 13;
constexpr std::size_t kProofAge = 15;
constexpr std::size_t kRates = 16;
constexpr std::size_t kGroups = 18;
constexpr std::size_t kReplicaCount = 9;  // in a group

json EncodedMessage() {
  PeerMessage message;
  message.name = "b";
  GroupReport group;
  group.service = "group";
  message.groups.push_back(group);
  message.rates.grants.push_back({1, 2.5, 1, 1});
  return json::from_cbor(EncodePeerMessage(message));
}

bool IsDecoded(const json& whole) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(whole);
  return common::IsOk(
      DecodePeerMessage({reinterpret_cast<const char*>(bytes.data()), bytes.size()}));
}

/// @return true if the message is still decoded after the field is set to the value.
bool IsDecodedWith(const json::json_pointer& field, const json& value) {
  json whole = EncodedMessage();
  whole.at(field) = value;
  return IsDecoded(whole);
}

json::json_pointer Field(std::size_t position) { return json::json_pointer() / position; }

}  // namespace

// A datagram of nested items ended the process: the decoder recursed until the stack overflowed.
TEST_CASE("A datagram of deeply nested items is rejected", "[proxy][peer_message]") {
  for (const char item : {'\x81', '\x9F', '\xA1', '\xBF', '\x7F', '\x5F', '\xC0'}) {
    CHECK_FALSE(common::IsOk(DecodePeerMessage(std::string(kMaxDatagram, item))));
  }
  std::string maps;
  while (maps.size() + 2 < kMaxDatagram) {
    maps += "\xA1\x60";
  }
  CHECK_FALSE(common::IsOk(DecodePeerMessage(maps)));
}

// A negative or huge interval overflowed the time at which the peer counts as lost.
TEST_CASE("Durations of a peer that are negative or too long are rejected",
          "[proxy][peer_message]") {
  REQUIRE(IsDecoded(EncodedMessage()));
  for (const json& value : {json(-1), json(std::numeric_limits<std::int64_t>::min()),
                            json(std::numeric_limits<std::int64_t>::max()),
                            json(std::numeric_limits<std::uint64_t>::max()), json(1e300)}) {
    CAPTURE(value);
    CHECK_FALSE(IsDecodedWith(Field(kInterval), value));
  }
  CHECK_FALSE(IsDecodedWith(Field(kProofAge), std::numeric_limits<std::int64_t>::max()));
  CHECK(IsDecodedWith(Field(kProofAge), -2));  // unknown
}

// Numbers were truncated to the field's type, and a double out of its range is undefined there.
TEST_CASE("Numbers of a peer that do not fit their field are rejected", "[proxy][peer_message]") {
  CHECK_FALSE(IsDecodedWith(Field(kCapacity), std::uint64_t{1} << 32U));
  CHECK_FALSE(IsDecodedWith(Field(kCapacity), 1e300));
  CHECK_FALSE(IsDecodedWith(Field(kCapacity), -5));
  CHECK_FALSE(
      IsDecodedWith(Field(kGroups) / 0 / kReplicaCount, std::numeric_limits<std::uint64_t>::max()));
  CHECK_FALSE(IsDecodedWith(Field(kRates) / 3 / 0 / 1, -1.5));
  const json introduced =
      json::array({json::array({"zone", json::array({"c", "127.0.0.1", 65'536, 0, true, false})})});
  CHECK_FALSE(IsDecodedWith(Field(kView) / 5, introduced));
}

TEST_CASE("A rate that a configuration sets too high is encoded as the highest one",
          "[proxy][peer_message]") {
  PeerMessage message;
  message.rates.grants.push_back({1, 1e300, std::numeric_limits<double>::infinity(), 1});
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  REQUIRE(common::IsOk(decoded));
  const tenants::rate_grant& grant = common::ValueOf(decoded).rates.grants.at(0);
  CHECK(grant.rate > 1e11);
  CHECK(grant.fallback_rate > 1e11);
}

}  // namespace valvekeel::proxy
