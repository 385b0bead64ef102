// Tests in which zones the work of routes and tenants may run.

#include "regions/region_policy.h"

#include <catch2/catch.hpp>

#include "regions/region_rule.h"

namespace valvekeel::regions {
namespace {

constexpr common::Instant NOW{10'000'000};

region_directory directory() {
  return region_directory({{"n1", "north"}, {"n2", "north"}, {"s1", "south"}});
}

model::Configuration configuration(const std::vector<std::string>& of_route,
                                   const std::vector<std::string>& of_tenant) {
  model::Configuration made;
  made.version = 1;
  model::Route route;
  route.database = "orders";
  route.service = "ledger";
  route.allowed_regions = of_route;
  made.routes["orders"] = route;
  tenants::tenant tenant;
  tenant.name = "baker";
  tenant.allowed_regions = of_tenant;
  made.tenants["baker"] = tenant;
  return made;
}

region_policy policy_of(const model::Configuration& given) {
  region_policy policy(directory());
  policy.set_configuration(given);
  return policy;
}

model::InstanceEntry instance_in(const std::string& zone) {
  model::InstanceEntry entry;
  entry.id = "i";
  entry.service = "ledger";
  entry.zone = zone;
  return entry;
}

}  // namespace

TEST_CASE("Without regions in a configuration every zone is allowed", "[regions]") {
  const region_policy policy = policy_of(configuration({}, {}));
  CHECK_FALSE(policy.active());
  CHECK(policy.allows("orders", "baker", "s1"));
  CHECK(policy.allows("orders", "baker", "elsewhere"));
  CHECK(policy.allows_anywhere("orders", "baker"));
}

TEST_CASE("A route's regions also apply to callers without a tenant", "[regions]") {
  const region_policy policy = policy_of(configuration({"north"}, {}));
  CHECK(policy.allows("orders", "", "n2"));
  CHECK_FALSE(policy.allows("orders", "", "s1"));
}

TEST_CASE("A tenant's regions apply to its work on every route", "[regions]") {
  const region_policy policy = policy_of(configuration({}, {"south"}));
  CHECK(policy.allows("orders", "baker", "s1"));
  CHECK_FALSE(policy.allows("orders", "baker", "n1"));
  CHECK_FALSE(policy.allows("unknown", "baker", "n1"));
  CHECK(policy.allows("orders", "another", "n1"));
}

TEST_CASE("A route's and a tenant's regions both apply", "[regions]") {
  const region_policy policy = policy_of(configuration({"north", "south"}, {"south"}));
  CHECK(policy.allows("orders", "baker", "s1"));
  CHECK_FALSE(policy.allows("orders", "baker", "n1"));
}

TEST_CASE("Without a common region work may run nowhere, not everywhere", "[regions]") {
  const region_policy policy = policy_of(configuration({"north"}, {"south"}));
  CHECK_FALSE(policy.allows("orders", "baker", "n1"));
  CHECK_FALSE(policy.allows("orders", "baker", "s1"));
  CHECK_FALSE(policy.allows_anywhere("orders", "baker"));
  CHECK(policy.allows_anywhere("orders", ""));
  CHECK_FALSE(allowed_regions({"north"}).intersect(allowed_regions({"south"})).everywhere());
}

TEST_CASE("A zone without a known region is outside all regions", "[regions]") {
  const region_policy policy = policy_of(configuration({"north"}, {}));
  CHECK_FALSE(policy.allows("orders", "", "elsewhere"));
  CHECK_FALSE(policy.allows_leader("ledger", "elsewhere"));
}

TEST_CASE("A tenant's regions do not apply on a public route", "[regions]") {
  model::Configuration given = configuration({}, {"south"});
  given.routes["orders"].is_public = true;
  CHECK(policy_of(given).allows("orders", "baker", "n1"));
}

TEST_CASE("A new configuration's regions replace the old ones", "[regions]") {
  region_policy policy = policy_of(configuration({"north"}, {}));
  CHECK(policy.set_configuration(configuration({"south"}, {})));
  CHECK_FALSE(policy.allows("orders", "", "n1"));
  CHECK_FALSE(policy.set_configuration(configuration({"south"}, {})));
  CHECK(policy.set_configuration(configuration({}, {})));
  CHECK_FALSE(policy.active());
  CHECK(policy.allows("orders", "", "n1"));
}

TEST_CASE("A leader is allowed where every route of its service may run", "[regions]") {
  model::Configuration given = configuration({"north", "south"}, {});
  model::Route second = given.routes["orders"];
  second.database = "stock";
  second.allowed_regions = {"south"};
  given.routes["stock"] = second;
  CHECK(policy_of(given).allows_leader("ledger", "s1"));
  CHECK_FALSE(policy_of(given).allows_leader("ledger", "n1"));
  CHECK(policy_of(given).allows_leader("another", "n1"));
}

TEST_CASE("Without a region common to its routes a leader is allowed everywhere", "[regions]") {
  model::Configuration given = configuration({"north"}, {});
  model::Route second = given.routes["orders"];
  second.database = "stock";
  second.allowed_regions = {"south"};
  given.routes["stock"] = second;
  CHECK(policy_of(given).allows_leader("ledger", "s1"));
  CHECK(policy_of(given).allows_leader("ledger", "n1"));
  CHECK(policy_of(configuration({"abroad"}, {})).allows_leader("ledger", "n1"));
}

TEST_CASE("An instance outside the allowed regions is closed, with a retry-after time",
          "[regions]") {
  const region_policy policy = policy_of(configuration({"north"}, {"north"}));
  const region_rule rule(policy);
  model::Route route;
  route.database = "orders";
  const access::decision outside = rule.evaluate(instance_in("s1"), {route, "baker", false}, NOW);
  CHECK(outside.level == access::access_level::closed);
  CHECK(outside.reason == OUTSIDE_REGIONS);
  CHECK(outside.retry_after > common::Duration(0));
  CHECK(rule.evaluate(instance_in("n1"), {route, "baker", false}, NOW).level ==
        access::access_level::open);
  CHECK(rule.evaluate_leader(instance_in("s1"), NOW).fitness == model::LeaderFitness::kUnfit);
  CHECK(rule.evaluate_leader(instance_in("n1"), NOW).fitness == model::LeaderFitness::kFit);
}

TEST_CASE("The newest configuration decides, not the route that a transaction began with",
          "[regions]") {
  region_policy policy = policy_of(configuration({"north"}, {}));
  const region_rule rule(policy);
  const model::Route old_route = configuration({"north"}, {}).routes.at("orders");
  policy.set_configuration(configuration({"south"}, {}));
  CHECK(rule.evaluate(instance_in("n1"), {old_route, "", true}, NOW).level ==
        access::access_level::closed);
}

}  // namespace valvekeel::regions
