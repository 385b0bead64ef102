#include "pool/instance_pool.h"

#include <catch2/catch.hpp>

#include "support/group_fixture.h"

namespace valvekeel::pool {
namespace {

PoolSettings FastSettings() {
  PoolSettings settings;
  settings.probe_interval = std::chrono::milliseconds(5);
  settings.confirm_timeout = std::chrono::milliseconds(300);
  return settings;
}

BatchRequest Batch(std::vector<std::string> texts, Access access) {
  BatchRequest request;
  request.database = "db";
  request.share_group = "alpha";
  request.access = access;
  request.budget_us = 2'000'000;
  request.read_wait_us = 500'000;
  for (std::string& text : texts) {
    Statement statement;
    statement.text = std::move(text);
    request.statements.push_back(std::move(statement));
  }
  return request;
}

class PoolFixture : public tests::GroupFixture {
 public:
  explicit PoolFixture(std::chrono::milliseconds election = std::chrono::milliseconds(50))
      : GroupFixture(election) {
    for (const auto& instance : database.instances) {
      auto pool = std::make_shared<InstancePool>(
          loop, FastSettings(),
          [](const std::string&, const std::string&, const monitor::Observation&) {});
      pool->Start(database, instance.id);
      pools.push_back(std::move(pool));
    }
  }

  ~PoolFixture() {
    for (const auto& pool : pools) {
      pool->Stop();
    }
  }

  BatchReply Run(std::size_t instance, const BatchRequest& request, SessionNumber session = 1) {
    return Await(pools[instance]->Execute({"gateway", 1, session}, request));
  }

  BatchReply Write(const std::string& text, SessionNumber session = 1) {
    return Run(0, Batch({text}, Access::kWrite), session);
  }

  std::vector<std::shared_ptr<InstancePool>> pools;
};

}  // namespace

TEST_CASE("A committed write is confirmed and read back on a replica at its position", "[pool]") {
  PoolFixture fixture;
  REQUIRE(fixture.Write("CREATE TABLE t (id text PRIMARY KEY)").outcome == Outcome::kDone);
  const BatchReply written = fixture.Write("INSERT INTO t VALUES ('a')");
  REQUIRE(written.outcome == Outcome::kDone);
  REQUIRE(written.position.lsn > 0);

  BatchRequest read = Batch({"SELECT count(*) FROM t"}, Access::kRead);
  read.required = written.position;
  const BatchReply reply = fixture.Run(1, read);
  REQUIRE(reply.outcome == Outcome::kDone);
  REQUIRE(common::Covers(reply.replayed, written.position));
  REQUIRE(reply.answers[0].rows.find('1') != std::string::npos);
}

TEST_CASE("A commit on a partitioned primary is never acknowledged", "[pool]") {
  PoolFixture fixture;
  REQUIRE(fixture.Write("CREATE TABLE t (id text PRIMARY KEY)").outcome == Outcome::kDone);
  fixture.group.Isolate(0, common::SteadyNow());
  REQUIRE(fixture.Write("INSERT INTO t VALUES ('lost')").outcome == Outcome::kUnknown);
}

TEST_CASE("A request recorded only on a partitioned primary is not reported as recorded",
          "[pool]") {
  // Guards against a retry that finds the unconfirmed record and is answered "recorded already"
  // although the record may be lost in a failover.
  PoolFixture fixture(std::chrono::milliseconds(5000));
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  BatchRequest insert = Batch({"INSERT INTO t VALUES ('entry')"}, Access::kWrite);
  insert.request_id = "request-1";
  BatchRequest first = insert;
  first.request_id = "request-0";
  REQUIRE(fixture.Run(0, first).outcome == Outcome::kDone);

  fixture.group.Isolate(0, common::SteadyNow());
  REQUIRE(fixture.Run(0, insert).outcome == Outcome::kUnknown);
  REQUIRE(fixture.Run(0, insert).outcome == Outcome::kUnknown);
}

TEST_CASE("A request id runs its statements at most once", "[pool]") {
  PoolFixture fixture;
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  BatchRequest insert = Batch({"INSERT INTO t VALUES ('entry')"}, Access::kWrite);
  insert.request_id = "request-1";
  REQUIRE_FALSE(fixture.Run(0, insert).answers[0].error);
  const BatchReply again = fixture.Run(0, insert, 2);
  REQUIRE(again.outcome == Outcome::kDone);
  REQUIRE(again.answers[0].error->sqlstate == "23505");
  const BatchReply count = fixture.Run(0, Batch({"SELECT count(*) FROM t"}, Access::kRead));
  REQUIRE(count.answers[0].rows.find('1') != std::string::npos);
}

TEST_CASE("Open transactions keep their connection and are rolled back on release", "[pool]") {
  PoolFixture fixture;
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  const BatchReply begun = fixture.Write("BEGIN", 7);
  REQUIRE(begun.status == wire::TransactionStatus::kInTransaction);
  BatchRequest inside = Batch({"INSERT INTO t VALUES ('a')"}, Access::kWrite);
  inside.continues = true;
  REQUIRE(fixture.Run(0, inside, 7).status == wire::TransactionStatus::kInTransaction);
  REQUIRE(fixture.pools[0]->Pinned() == 1);

  // Another session does not see the open transaction's row.
  BatchReply count = fixture.Run(0, Batch({"SELECT count(*) FROM t"}, Access::kRead), 8);
  REQUIRE(count.answers[0].rows.find('0') != std::string::npos);

  fixture.pools[0]->Release({"gateway", 1, 7});
  REQUIRE(fixture.pools[0]->Pinned() == 0);
  const BatchReply after = fixture.Run(0, inside, 7);
  REQUIRE(after.outcome == Outcome::kRefused);
  REQUIRE(after.refusal == Refusal::kTransactionLost);
  count = fixture.Run(0, Batch({"SELECT count(*) FROM t"}, Access::kRead), 8);
  REQUIRE(count.answers[0].rows.find('0') != std::string::npos);
}

TEST_CASE("A replica that is too far behind refuses the read as not run", "[pool]") {
  PoolFixture fixture;
  fixture.group.SetReplayLag(2, std::chrono::seconds(60));
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  const BatchReply written = fixture.Write("INSERT INTO t VALUES ('a')");
  BatchRequest read = Batch({"SELECT count(*) FROM t"}, Access::kRead);
  read.required = written.position;
  read.read_wait_us = 20'000;
  const BatchReply reply = fixture.Run(2, read);
  REQUIRE(reply.outcome == Outcome::kRefused);
  REQUIRE(reply.refusal == Refusal::kBehind);
}

TEST_CASE("A barrier covers acknowledged writes and fails on a replaced primary", "[pool]") {
  PoolFixture fixture;
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  const BatchReply written = fixture.Write("INSERT INTO t VALUES ('a')");
  BarrierRequest request;
  request.budget_us = 300'000;
  const BarrierReply reply = fixture.Await(fixture.pools[0]->Barrier(request));
  REQUIRE(reply.confirmed);
  REQUIRE(common::Covers(reply.position, written.position));

  fixture.group.Isolate(0, common::SteadyNow());
  fixture.RunUntil([&] { return fixture.group.Primary() != 0; });
  REQUIRE_FALSE(fixture.Await(fixture.pools[0]->Barrier(request)).confirmed);
}

TEST_CASE("Statements with errors leave the connection usable", "[pool]") {
  PoolFixture fixture;
  const BatchReply failed = fixture.Write("SELECT nothing FROM nowhere");
  REQUIRE(failed.outcome == Outcome::kDone);
  REQUIRE(failed.answers[0].error->sqlstate == "42P01");
  REQUIRE(fixture.Write("CREATE TABLE t (id text)").outcome == Outcome::kDone);
  REQUIRE(fixture.pools[0]->Connections() == 1);
}

}  // namespace valvekeel::pool
