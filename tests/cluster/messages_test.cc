#include "cluster/messages.h"

#include <catch2/catch.hpp>
#include <limits>

namespace valvekeel::cluster {
namespace {

using nlohmann::json;
using replicated::EntryKind;

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr int kUpdate = 1;
constexpr int kSummaries = 3;

Member MakeMember() {
  Member member;
  member.id = "a";
  member.zone = "z";
  member.peer = {"127.0.0.1", 1};
  return member;
}

bool IsRead(const json& message) { return common::IsOk(FromJson(message)); }

/// @return true if an update with an entry of these contents is read.
bool IsEntryRead(const json& kind, const json& major, const json& minor, const json& value) {
  const json entry = json::array({json::array({kind, "name"}), major, minor, false, value});
  return IsRead(json::array({kUpdate, json::array({json::array({entry}), false, 0, 0})}));
}

}  // namespace

// An entry whose value was of another type ended the process of each daemon that it reached.
TEST_CASE("Entries with values of another type are rejected", "[cluster]") {
  REQUIRE(IsRead(ToJson(Update{{ToEntry(MakeMember())}, true, {}})));
  REQUIRE(IsRead(ToJson(Join{ToEntry(MakeMember())})));
  const json member = ToEntry(MakeMember()).value;
  REQUIRE(IsEntryRead(EntryKind::kMember, 1, 0, member));
  for (const json& value : {json(5), json(), json::array(), json::object(), json{{"zone", 5}},
                            json{{"zone", "z"}, {"peer", 5}}}) {
    CAPTURE(value);
    CHECK_FALSE(IsEntryRead(EntryKind::kMember, 1, 0, value));
    CHECK_FALSE(IsEntryRead(EntryKind::kTopology, 1, 0, value));
    CHECK_FALSE(IsEntryRead(EntryKind::kZone, 1, 0, value));
    CHECK(IsEntryRead(EntryKind::kDatabase, 1, 0, value));  // refused where it is read
  }
  CHECK_FALSE(IsEntryRead(EntryKind::kMember, 1, 9, member));
  CHECK_FALSE(IsEntryRead(5, 1, 0, member));
  CHECK_FALSE(IsEntryRead(-1, 1, 0, member));
  CHECK_FALSE(IsEntryRead(EntryKind::kMember, 1e300, 0, member));
  CHECK_FALSE(IsEntryRead(EntryKind::kTopology, kMaxNumber, 0, {{"primary", "a"}}));
  json port = member;
  port["peer"]["port"] = 65'536;
  CHECK_FALSE(IsEntryRead(EntryKind::kMember, 1, 0, port));
}

TEST_CASE("Numbers of buckets that do not exist are rejected", "[cluster]") {
  const auto summaries = [](const json& buckets) {
    return json::array({kSummaries, json::array({buckets, json::array()})});
  };
  CHECK(IsRead(summaries({0, 63})));
  CHECK_FALSE(IsRead(summaries({64})));
  CHECK_FALSE(IsRead(summaries(std::vector<int>(65, 1))));
}

TEST_CASE("Deeply nested bytes are not decoded to a message", "[cluster]") {
  CHECK_FALSE(common::IsOk(Decode(std::string(1'000'000, '\x81'))));
  CHECK_FALSE(common::IsOk(Decode(std::string(1'000'000, '\x7F'))));
}

}  // namespace valvekeel::cluster
