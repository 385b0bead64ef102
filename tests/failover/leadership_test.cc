#include "failover/leadership.h"

#include <catch2/catch.hpp>

namespace valvekeel::failover {
namespace {

using common::Duration;
using common::Instant;

constexpr Instant kStart{10'000'000};
const model::AttemptRecord kAttempt{1, ""};

/// A record with this holder and token.
model::LeadershipRecord RecordHeldBy(const std::string& holder, std::uint64_t token) {
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
  leadership.OnRecordRead({}, 0, kStart);
  REQUIRE(leadership.MayWrite(kStart));
  const ConditionalWrite write = leadership.PrepareWrite("group", kAttempt, kStart);
  CHECK(write.revision == 0);
  CHECK(write.record.token == 1);
  CHECK(leadership.OnWriteResult({WriteStatus::kWritten, 5, write.record}, kStart + Duration(9)));
  CHECK(leadership.IsHolder());
  CHECK(leadership.MayActUntil() == kStart + kActionWindow);
}

TEST_CASE("Another holder is replaced only after the takeover time, with a higher token",
          "[failover]") {
  Leadership leadership("me");
  leadership.OnRecordRead(RecordHeldBy("other", 7), 3, kStart);
  CHECK_FALSE(leadership.MayWrite(kStart + kTakeoverTime - Duration(1)));
  REQUIRE(leadership.MayWrite(kStart + kTakeoverTime));
  CHECK(leadership.PrepareWrite("group", kAttempt, kStart + kTakeoverTime).record.token == 8);
  STATIC_REQUIRE(kActionWindow < kTakeoverTime);
}

TEST_CASE("A record restored with the store is written again, with a token never issued before",
          "[failover]") {
  // Guards against two faults. The restored record had revision 440 where 500 was known and was
  // ignored as older, so no primary was replaced until the revisions had grown past 500. Its token
  // had been issued before, so two holders promoted under the same one.
  Leadership leadership("me");
  model::LeadershipRecord former = RecordHeldBy("other", 7);
  former.attempts["begun before"] = {3, "i-1"};
  leadership.OnRecordRead(former, 500, kStart);
  const Instant restored_at = kStart + std::chrono::seconds(10);
  leadership.OnRecordRead({}, {0, 2}, restored_at);
  CHECK(leadership.Holder().empty());
  // The holder of the former era may still act.
  CHECK_FALSE(leadership.MayWrite(restored_at + kTakeoverTime - Duration(1)));
  const Instant expired_at = restored_at + kTakeoverTime;
  REQUIRE(leadership.MayWrite(expired_at));
  const ConditionalWrite write = leadership.PrepareWrite("group", kAttempt, expired_at);
  CHECK(write.record.era == 2);
  CHECK(write.revision == model::Revision(0, 2));
  CHECK(write.record.token > 1'000'000);
  CHECK(write.record.attempts.contains("begun before"));
  REQUIRE(leadership.OnWriteResult({WriteStatus::kWritten, {41, 2}, write.record}, expired_at));
  CHECK(leadership.IsHolder());
}

TEST_CASE("No daemon acts on a write of an earlier era", "[failover]") {
  Leadership leadership("me");
  leadership.OnRecordRead({}, 0, kStart);
  const ConditionalWrite write = leadership.PrepareWrite("group", kAttempt, kStart);
  SECTION("the answer is of the later era") {
    CHECK_FALSE(leadership.OnWriteResult({WriteStatus::kWritten, {5, 2}, write.record}, kStart));
  }
  SECTION("the answer arrives after the later era is known") {
    leadership.BeginEra(2, kStart);
    CHECK_FALSE(leadership.OnWriteResult({WriteStatus::kWritten, 5, write.record}, kStart));
  }
  SECTION("the later era becomes known after the answer") {
    CHECK(leadership.OnWriteResult({WriteStatus::kWritten, 5, write.record}, kStart));
    leadership.BeginEra(2, kStart);
  }
  CHECK(leadership.MayActUntil() == Instant(0));
  CHECK_FALSE(leadership.IsHolder());
}

TEST_CASE("A write whose answer was lost is recognized by its record", "[failover]") {
  Leadership leadership("me");
  leadership.OnRecordRead({}, 0, kStart);
  const ConditionalWrite first = leadership.PrepareWrite("group", kAttempt, kStart);
  CHECK_FALSE(leadership.OnWriteResult({WriteStatus::kNoAnswer, 0, {}}, kStart + Duration(1)));
  CHECK_FALSE(leadership.IsHolder());
  // The write was done after all: the next one conflicts with it.
  const ConditionalWrite second = leadership.PrepareWrite("group", kAttempt, kStart + Duration(2));
  CHECK_FALSE(
      leadership.OnWriteResult({WriteStatus::kConflict, 9, first.record}, kStart + Duration(3)));
  CHECK(leadership.IsHolder());
  CHECK(leadership.MayActUntil() == Instant(0));
  const ConditionalWrite third = leadership.PrepareWrite("group", kAttempt, kStart + Duration(4));
  CHECK(third.revision == 9);
  CHECK(third.record.token == second.record.token);
  CHECK(leadership.OnWriteResult({WriteStatus::kWritten, 10, third.record}, kStart + Duration(5)));
}

TEST_CASE("A write that conflicts with another holder's gives no right to act", "[failover]") {
  Leadership leadership("me");
  leadership.OnRecordRead({}, 0, kStart);
  leadership.PrepareWrite("group", kAttempt, kStart);
  CHECK_FALSE(leadership.OnWriteResult({WriteStatus::kConflict, 4, RecordHeldBy("other", 1)},
                                       kStart + Duration(1)));
  CHECK_FALSE(leadership.IsHolder());
  CHECK_FALSE(leadership.MayWrite(kStart + Duration(2)));
}

TEST_CASE("Entries of other groups stay in the record", "[failover]") {
  Leadership leadership("me");
  model::LeadershipRecord record = RecordHeldBy("me", 2);
  record.attempts["a"] = {3, "x"};
  leadership.OnRecordRead(record, 1, kStart);
  const ConditionalWrite write = leadership.PrepareWrite("b", {1, "y"}, kStart);
  CHECK(write.record.attempts.size() == 2);
  leadership.OnWriteResult({WriteStatus::kWritten, 2, write.record}, kStart);
  CHECK(leadership.PrepareWrite("a", {}, kStart).record.attempts.count("a") == 0);
}

}  // namespace valvekeel::failover
