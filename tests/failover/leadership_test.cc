#include "failover/leadership.h"

#include <catch2/catch.hpp>

namespace valvekeel::failover {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{10'000'000};
const model::AttemptRecord kAttempt{1, ""};

/// A record held by somebody.
model::LeadershipRecord HeldBy(const std::string& holder, std::uint64_t token) {
  model::LeadershipRecord record;
  record.holder = holder;
  record.token = token;
  record.nonce = holder + "/x";
  return record;
}

}  // namespace

TEST_CASE("A vacant record is written at once, with the first token", "[failover]") {
  Leadership leadership("me");
  CHECK_FALSE(leadership.MayWrite(kStart));  // not read yet
  leadership.Seen({}, 0, kStart);
  REQUIRE(leadership.MayWrite(kStart));
  const RecordWrite write = leadership.Prepare("group", kAttempt, kStart);
  CHECK(write.revision == 0);
  CHECK(write.record.token == 1);
  CHECK(leadership.Written({WriteStatus::kWritten, 5, write.record}, kStart + Duration(9)));
  CHECK(leadership.IsHolder());
  CHECK(leadership.MayActUntil() == kStart + kActionWindow);
}

TEST_CASE("Another holder is replaced only after its record has rested, with a higher token",
          "[failover]") {
  Leadership leadership("me");
  leadership.Seen(HeldBy("other", 7), 3, kStart);
  CHECK_FALSE(leadership.MayWrite(kStart + kTakeoverTime - Duration(1)));
  REQUIRE(leadership.MayWrite(kStart + kTakeoverTime));
  CHECK(leadership.Prepare("group", kAttempt, kStart + kTakeoverTime).record.token == 8);
  STATIC_REQUIRE(kActionWindow < kTakeoverTime);
}

TEST_CASE("A lost answer is recognized by the record itself", "[failover]") {
  Leadership leadership("me");
  leadership.Seen({}, 0, kStart);
  const RecordWrite first = leadership.Prepare("group", kAttempt, kStart);
  CHECK_FALSE(leadership.Written({WriteStatus::kNoAnswer, 0, {}}, kStart + Duration(1)));
  CHECK_FALSE(leadership.IsHolder());
  // It was done after all: the next write meets it.
  const RecordWrite second = leadership.Prepare("group", kAttempt, kStart + Duration(2));
  CHECK_FALSE(leadership.Written({WriteStatus::kConflict, 9, first.record}, kStart + Duration(3)));
  CHECK(leadership.IsHolder());
  CHECK(leadership.MayActUntil() == Instant(0));
  const RecordWrite third = leadership.Prepare("group", kAttempt, kStart + Duration(4));
  CHECK(third.revision == 9);
  CHECK(third.record.token == second.record.token);
  CHECK(leadership.Written({WriteStatus::kWritten, 10, third.record}, kStart + Duration(5)));
}

TEST_CASE("A write that met another holder's gives no right to act", "[failover]") {
  Leadership leadership("me");
  leadership.Seen({}, 0, kStart);
  leadership.Prepare("group", kAttempt, kStart);
  CHECK_FALSE(
      leadership.Written({WriteStatus::kConflict, 4, HeldBy("other", 1)}, kStart + Duration(1)));
  CHECK_FALSE(leadership.IsHolder());
  CHECK_FALSE(leadership.MayWrite(kStart + Duration(2)));
}

TEST_CASE("Entries of other groups stay in the record", "[failover]") {
  Leadership leadership("me");
  model::LeadershipRecord record = HeldBy("me", 2);
  record.attempts["a"] = {3, "x"};
  leadership.Seen(record, 1, kStart);
  const RecordWrite write = leadership.Prepare("b", {1, "y"}, kStart);
  CHECK(write.record.attempts.size() == 2);
  leadership.Written({WriteStatus::kWritten, 2, write.record}, kStart);
  CHECK(leadership.Prepare("a", {}, kStart).record.attempts.count("a") == 0);
}

}  // namespace valvekeel::failover
