// Tests how several rules for one instance combine into one decision.

#include "access/rule_set.h"

#include <catch2/catch.hpp>

namespace valvekeel::access {
namespace {

constexpr common::Instant NOW{10'000'000};

/** Returns the decisions that the test sets. */
class fixed_rule : public rule {
 public:
  decision evaluate(const model::InstanceEntry& /*instance*/, const work& /*requested*/,
                    common::Instant /*now*/) const override {
    return this->fixed_decision;
  }

  leader_evaluation evaluate_leader(const model::InstanceEntry& /*instance*/,
                                    common::Instant /*now*/) const override {
    return this->fixed_leader;
  }

  void on_sent(const model::InstanceEntry& /*instance*/, std::size_t requests,
               common::Instant /*now*/) override {
    this->sent_requests += requests;
  }

  decision fixed_decision;
  leader_evaluation fixed_leader;
  std::size_t sent_requests = 0;
};

}  // namespace

TEST_CASE("Without rules an instance is open and fit", "[access]") {
  const rule_set rules;
  const model::Route route;
  CHECK(rules.evaluate({}, {route, ""}, NOW).level == access_level::open);
  CHECK(rules.evaluate_leader({}, NOW).fitness == model::LeaderFitness::kFit);
}

TEST_CASE("The strictest rule decides", "[access]") {
  fixed_rule mild;
  fixed_rule strict;
  rule_set rules;
  rules.add(mild);
  rules.add(strict);
  const model::Route route;
  mild.fixed_decision = {access_level::deferred, "mild", common::Duration(300)};
  strict.fixed_decision = {access_level::closed, "strict", common::Duration(100)};
  CHECK(rules.evaluate({}, {route, ""}, NOW).reason == std::string("strict"));
  mild.fixed_decision.level = access_level::closed;
  CHECK(rules.evaluate({}, {route, ""}, NOW).retry_after == common::Duration(300));
  mild.fixed_leader = {model::LeaderFitness::kPoor, "mild"};
  strict.fixed_leader = {model::LeaderFitness::kUnfit, "strict"};
  CHECK(rules.evaluate_leader({}, NOW).reason == std::string("strict"));
}

TEST_CASE("Every rule is notified of sent work", "[access]") {
  fixed_rule first;
  fixed_rule second;
  rule_set rules;
  rules.add(first);
  rules.add(second);
  rules.on_sent({}, 3, NOW);
  CHECK(first.sent_requests == 3);
  CHECK(second.sent_requests == 3);
}

}  // namespace valvekeel::access
