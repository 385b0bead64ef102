#include "sql/classifier.h"

#include <catch2/catch.hpp>
#include <string>

namespace valvekeel::sql {
namespace {

StatementKind KindOf(const std::string& text) {
  const auto parsed = ParseSql(text);
  REQUIRE(common::IsOk(parsed));
  return Classify(common::ValueOf(parsed)->front()).kind;
}

}  // namespace

TEST_CASE("Only statements that certainly do not write are classified as reads", "[sql]") {
  for (const char* read : {"SELECT 1", "SELECT count(*) FROM t WHERE a = lower('X')", "VALUES (1)",
                           "WITH x AS (SELECT 1) SELECT * FROM x", "EXPLAIN SELECT * FROM t"}) {
    CHECK(KindOf(read) == StatementKind::kRead);
  }
  for (const char* write :
       {"SELECT nextval('s')", "SELECT * FROM t FOR UPDATE", "SELECT my_function()",
        "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", "SELECT 1 INTO u",
        "INSERT INTO t VALUES (1)", "EXPLAIN ANALYZE DELETE FROM t", "VACUUM", "SAVEPOINT s"}) {
    CHECK(KindOf(write) == StatementKind::kWrite);
  }
  for (const char* unsupported :
       {"COPY t TO STDOUT", "NOTIFY x", "PREPARE p AS SELECT 1", "CREATE TEMP TABLE t (i int)",
        "COMMIT AND CHAIN", "PREPARE TRANSACTION 'x'", "SELECT pg_advisory_lock(3)"}) {
    CHECK(KindOf(unsupported) == StatementKind::kUnsupported);
  }
}

TEST_CASE("Transaction and setting statements are classified with their options", "[sql]") {
  const auto classify = [](const std::string& text) {
    return Classify(common::ValueOf(ParseSql(text))->front());
  };
  CHECK(classify("BEGIN READ ONLY").read_only);
  CHECK_FALSE(classify("BEGIN READ WRITE").read_only);
  CHECK(classify("END").kind == StatementKind::kCommit);
  CHECK(classify("ABORT").kind == StatementKind::kRollback);
  const Classification set = classify("SET search_path = a, b");
  CHECK(set.kind == StatementKind::kSet);
  CHECK(set.name == "search_path");
  CHECK(set.value == "a,b");
  CHECK(classify("SET LOCAL x.y = 1").local);
  CHECK(classify("RESET ALL").kind == StatementKind::kReset);
}

TEST_CASE("The parse cache evicts the least recently used text and splits statements", "[sql]") {
  ParseCache cache(2, 100);
  const auto first = common::ValueOf(cache.Parse("SELECT 1; SELECT 2"));
  REQUIRE(first->size() == 2);
  CHECK((*first)[1].text == " SELECT 2");
  CHECK(common::ValueOf(cache.Parse("SELECT 1; SELECT 2")) == first);
  cache.Parse("SELECT 3");
  cache.Parse("SELECT 4");
  CHECK(common::ValueOf(cache.Parse("SELECT 1; SELECT 2")) != first);
  CHECK_FALSE(common::IsOk(cache.Parse("SELEC")));
}

}  // namespace valvekeel::sql
