// Several rules on one instance, as one answer.

#include "access/rule_set.h"

#include <catch2/catch.hpp>

namespace valvekeel::access {
namespace {

constexpr common::Instant NOW{10'000'000};

/** Gives the answers that a test sets. */
class fixed_rule : public rule {
 public:
  answer judge(const model::InstanceEntry& /*instance*/, const work& /*asked*/,
               common::Instant /*now*/) const override {
    return this->given;
  }

  leader_answer judge_leader(const model::InstanceEntry& /*instance*/,
                             common::Instant /*now*/) const override {
    return this->leader;
  }

  void note_sent(const model::InstanceEntry& /*instance*/, std::size_t requests,
                 common::Instant /*now*/) override {
    this->sent += requests;
  }

  answer given;
  leader_answer leader;
  std::size_t sent = 0;
};

}  // namespace

TEST_CASE("Without rules an instance is open and fit", "[access]") {
  const rule_set rules;
  const model::Route route;
  CHECK(rules.judge({}, {route, ""}, NOW).outcome == verdict::open);
  CHECK(rules.judge_leader({}, NOW).fitness == model::LeaderFitness::kFit);
}

TEST_CASE("The strictest rule decides", "[access]") {
  fixed_rule mild;
  fixed_rule strict;
  rule_set rules;
  rules.add(mild);
  rules.add(strict);
  const model::Route route;
  mild.given = {verdict::later, "mild", common::Duration(300)};
  strict.given = {verdict::closed, "strict", common::Duration(100)};
  CHECK(rules.judge({}, {route, ""}, NOW).reason == std::string("strict"));
  mild.given.outcome = verdict::closed;
  CHECK(rules.judge({}, {route, ""}, NOW).come_back == common::Duration(300));
  mild.leader = {model::LeaderFitness::kPoor, "mild"};
  strict.leader = {model::LeaderFitness::kUnfit, "strict"};
  CHECK(rules.judge_leader({}, NOW).reason == std::string("strict"));
}

TEST_CASE("Every rule hears of what is sent", "[access]") {
  fixed_rule first;
  fixed_rule second;
  rule_set rules;
  rules.add(first);
  rules.add(second);
  rules.note_sent({}, 3, NOW);
  CHECK(first.sent == 3);
  CHECK(second.sent == 3);
}

}  // namespace valvekeel::access
