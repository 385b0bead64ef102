#include "routing/read_write_split.h"

#include <catch2/catch.hpp>

#include "routing/retry_budget.h"

namespace valvekeel::routing {
namespace {

DatabaseView View() {
  DatabaseView view;
  view.name = "db";
  view.term = 2;
  view.primary = "p";
  for (const char* id : {"p", "near", "far"}) {
    InstanceView instance;
    instance.id = id;
    instance.zone = std::string(id) == "far" ? "b" : "a";
    instance.replayed = {2, 100};
    view.instances.push_back(instance);
  }
  return view;
}

using Ids = std::vector<std::string>;

}  // namespace

TEST_CASE("Reads go to fresh replicas of the zone first and the primary last", "[routing]") {
  const ReadWriteSplit split(ReadPolicy::kByPosition);
  DatabaseView view = View();
  CHECK(split.ReadCandidates(view, {{2, 50}, "a", "", 1}, {}) == Ids{"near", "far", "p"});
  CHECK(split.ReadCandidates(view, {{2, 50}, "a", "far", 1}, {}) == Ids{"far", "near", "p"});
  view.instances[1].replayed = {2, 40};
  CHECK(split.ReadCandidates(view, {{2, 50}, "a", "", 1}, {}) == Ids{"far", "near", "p"});
  view.instances[2].avoid_until = common::Instant{10};
  CHECK(split.ReadCandidates(view, {{2, 50}, "a", "", 1}, {}) == Ids{"near", "far", "p"});
}

TEST_CASE("A later term with a lower position does not count as fresh", "[routing]") {
  const ReadWriteSplit split(ReadPolicy::kByPosition);
  DatabaseView view = View();
  view.instances[1].replayed = {3, 40};
  CHECK(split.ReadCandidates(view, {{2, 50}, "a", "", 1}, {}).front() == "far");
}

TEST_CASE("A leaving instance gets neither reads nor writes", "[routing]") {
  const ReadWriteSplit split(ReadPolicy::kByPosition);
  DatabaseView view = View();
  view.instances[1].leaving = true;
  CHECK(split.ReadCandidates(view, {{}, "a", "", 1}, {}) == Ids{"far", "p"});
  CHECK(ReadWriteSplit::WriteTarget(view) == "p");
  view.instances[0].leaving = true;
  CHECK_FALSE(ReadWriteSplit::WriteTarget(view));
  CHECK(split.ReadCandidates(view, {{}, "a", "", 1}, {}) == Ids{"far"});
}

TEST_CASE("Retries stay within their fraction of the requests", "[routing]") {
  RetryBudget budget(0.5, 2.0);
  CHECK(budget.ConsumeRetry());
  CHECK(budget.ConsumeRetry());
  CHECK_FALSE(budget.ConsumeRetry());
  budget.OnRequest();
  CHECK_FALSE(budget.ConsumeRetry());
  budget.OnRequest();
  CHECK(budget.ConsumeRetry());
}

}  // namespace valvekeel::routing
