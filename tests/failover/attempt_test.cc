#include "failover/attempt.h"

#include <catch2/catch.hpp>
#include <functional>

#include "group/read_lease.h"

namespace valvekeel::failover {
namespace {

using common::Duration;
using common::Instant;
using common::Position;

constexpr Instant kStart{10'000'000};
constexpr Duration kStep{10'000};

/// Runs an attempt for a group of a primary "p" of term 1 and two replicas, with no record in the
/// store.
class AttemptFixture {
 public:
  AttemptFixture() {
    view.service = "group";
    view.term = 1;
    view.primary = "p";
    view.sync_replicas = 1;
    view.members = {{"p", false, false, false, false},
                    {"a", false, true, false, false},
                    {"b", false, true, false, false}};
    view.holders_as_of = Instant::max();  // the store answers at once
    view.members_as_of = Instant::max();
    leadership.OnRecordRead({}, 0, now);
  }

  /// Advances the attempt and answers its actions. @return the actions of this step.
  std::vector<AttemptAction> Step() {
    const auto actions = attempt.Advance(view, now);
    for (const AttemptAction& action : actions) {
      if (const auto* write = std::get_if<WriteRecord>(&action)) {
        const auto entry = write->write.record.attempts.find("group");
        const bool names_candidate =
            entry != write->write.record.attempts.end() && !entry->second.candidate.empty();
        if (drop_record_answer && names_candidate) {
          unanswered_record = write->write.record;
          continue;
        }
        const std::uint64_t revision = ++last_revision;
        attempt.OnRecordWritten(
            leadership.OnWriteResult({WriteStatus::kWritten, revision, write->write.record}, now));
      } else if (const auto* control = std::get_if<SendControl>(&action)) {
        controls.push_back(*control);
        Answer(*control);
      } else if (const auto* promotion = std::get_if<RequestPromotion>(&action)) {
        promotions.push_back(*promotion);
        attempt.OnPromotionAnswer(promotion_answer);
      } else if (const auto* fence = std::get_if<RequestLeaseRelease>(&action)) {
        released_term = fence->replaced_term;
      }
    }
    now += kStep;
    return actions;
  }

  /// Advances until the attempt has ended or the limit has passed.
  void RunFor(Duration limit) {
    const Instant end = now + limit;
    while (!attempt.Ended() && now < end) {
      Step();
    }
  }

  void Answer(const SendControl& control) {
    const auto found = answers.find(control.instance);
    if (found == answers.end()) {
      return;  // unresponsive
    }
    model::InstanceStatus status = found->second;
    if (control.request.kind == model::ControlKind::kDemote) {
      status.primary = false;
      found->second.primary = false;
    }
    if (control.request.kind == model::ControlKind::kPauseReplication && !status.primary) {
      const bool kept = keeps_higher_fence && status.fenced_term > control.request.term;
      status.fenced_term = kept ? status.fenced_term : control.request.term;
    }
    if (control.request.kind == model::ControlKind::kStatus && !promotions.empty()) {
      status.primary = true;
      status.term = status.term + 1;
    }
    attempt.OnControlAnswer(control.instance, control.request, status, now);
  }

  static model::InstanceStatus Replica(Position received, common::Term term = 1) {
    model::InstanceStatus status;
    status.term = term;
    status.received = received;
    return status;
  }

  Instant now = kStart;
  GroupView view;
  Leadership leadership{"me.1"};
  Attempt attempt{"group", leadership, kStart};
  std::uint64_t last_revision = 0;
  std::map<std::string, model::InstanceStatus> answers;
  std::vector<SendControl> controls;
  std::vector<RequestPromotion> promotions;
  PromotionStatus promotion_answer = PromotionStatus::kAccepted;
  common::Term released_term = 0;
  bool keeps_higher_fence = false;  // an instance ignores a fence below its own
  bool drop_record_answer = false;  // the write that names the candidate gets no answer
  std::optional<model::LeadershipRecord> unanswered_record;
};

}  // namespace

TEST_CASE("The replica of the highest position is promoted", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 90})}};
  fixture.RunFor(Duration(2'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kFinished);
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "b");
  CHECK(fixture.promotions[0].token == 1);
  CHECK(fixture.released_term == 1);
}

TEST_CASE("One fenced replica of two is not enough with one synchronous replica", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  CHECK(fixture.promotions.empty());
  // The fenced replica must be resumed, or the primary could not commit any more.
  CHECK(std::any_of(fixture.controls.begin(), fixture.controls.end(), [](const auto& control) {
    return control.instance == "a" &&
           control.request.kind == model::ControlKind::kResumeReplication;
  }));
  CHECK(fixture.leadership.Record().attempts.empty());
}

TEST_CASE("Replicas count although the primary is neither known nor listed", "[failover]") {
  // A daemon that had just started fenced one replica of two and promoted it.
  AttemptFixture fixture;
  fixture.view.term = 0;
  fixture.view.primary = "";
  fixture.view.members = {{"a", false, true, false, false}, {"b", false, false, false, false}};
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.promotions.empty());
  CHECK_FALSE(Attempt::IsFeasible(fixture.view));
}

TEST_CASE("Replicas reported only by other daemons count too", "[failover]") {
  AttemptFixture fixture;
  fixture.view.members = {{"p", false, false, false, false}, {"a", false, true, false, false}};
  fixture.view.reported_replicas = 2;
  CHECK_FALSE(Attempt::IsFeasible(fixture.view));
}

TEST_CASE("A candidate must hold commits that only terminated replicas may have held",
          "[failover]") {
  // A replica that leaves may take the only copies of commits with it.
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})}};
  fixture.view.commit_floor = Position{1, 40};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.promotions.empty());
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
}

TEST_CASE("A replacement waits for the record of commit holders", "[failover]") {
  // Guards against a loss of commits after a restart of all daemons: a replica that the store no
  // longer lists was not counted, since only the earlier processes knew of it.
  AttemptFixture fixture;
  fixture.view.holders_as_of = kStart - Duration(1);
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})}};
  fixture.RunFor(Duration(1'000'000));
  CHECK(fixture.promotions.empty());
  fixture.view.holders_as_of = kStart;
  fixture.view.members.push_back({"c", false, false, false, true});
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.promotions.empty());
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
}

TEST_CASE("No candidate is chosen before the store has listed the instances since the fences",
          "[failover]") {
  // Guards against a loss of commits: a replica that had just joined was neither fenced nor
  // compared, because no watch had reported it yet.
  AttemptFixture fixture;
  fixture.view.members_as_of = kStart;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})},
                     {"c", AttemptFixture::Replica({1, 90})}};
  bool listed = false;
  for (std::size_t step = 0; step < 20; ++step) {
    for (const AttemptAction& action : fixture.Step()) {
      listed = listed || std::holds_alternative<RequestInstanceList>(action);
    }
  }
  CHECK(listed);
  CHECK(fixture.promotions.empty());
  fixture.view.members.push_back({"c", false, true, false, false});
  fixture.view.members_as_of = fixture.now;
  fixture.RunFor(Duration(2'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "c");
}

TEST_CASE("Without word of a daemon the instances are listed once its lease has lapsed",
          "[failover]") {
  // Guards against a loss of commits: a replica that joined after the fences received commits that
  // a daemon which the promoting one did not hear of acknowledged until its lease lapsed.
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})},
                     {"c", AttemptFixture::Replica({1, 90})}};
  fixture.view.unreleased_daemons = {"other"};
  fixture.view.members_as_of = kStart + Duration(500'000);
  fixture.RunFor(group::kLeaseTime + Duration(500'000));
  CHECK(fixture.promotions.empty());
  fixture.view.members.push_back({"c", false, true, false, false});
  fixture.view.members_as_of = Instant::max();
  fixture.RunFor(Duration(1'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "c");
}

TEST_CASE("A replica that is learned of after the choice starts the choice again", "[failover]") {
  // Guards against a loss of commits: a replica that joined during the last steps was fenced, but
  // its higher position was ignored.
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})},
                     {"c", AttemptFixture::Replica({1, 90})}};
  fixture.drop_record_answer = true;
  while (fixture.attempt.CurrentStep() != Step::kRecord) {
    fixture.Step();
  }
  REQUIRE(fixture.attempt.Candidate() == "b");
  fixture.view.members.push_back({"c", false, true, false, false});
  fixture.drop_record_answer = false;
  REQUIRE(fixture.unanswered_record);
  fixture.attempt.OnRecordWritten(fixture.leadership.OnWriteResult(
      {WriteStatus::kWritten, ++fixture.last_revision, *fixture.unanswered_record}, fixture.now));
  fixture.RunFor(Duration(2'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "c");
}

TEST_CASE("A candidate must hold every commit that a daemon reports to have acknowledged",
          "[failover]") {
  // Guards against a loss of commits: an instance that neither the store lists nor the daemons
  // reach may hold commits that the daemons have passed on.
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})}};
  fixture.view.unreleased_daemons = {"other"};
  while (fixture.attempt.CurrentStep() != Step::kRelease) {
    fixture.Step();
  }
  // The other daemon reports with the release of its lease.
  fixture.view.unreleased_daemons.clear();
  fixture.view.acknowledged = {{1, 40}, {1, 41}, {1, 41}};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.promotions.empty());
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
}

TEST_CASE("A candidate that may lack the last commit waits for instances that are not listed yet",
          "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})}};
  fixture.view.acknowledged = {{1, 39}, {1, 40}, {1, 40}};
  fixture.view.members_as_of = kStart + Duration(1'000'000);
  fixture.RunFor(Duration(1'500'000));
  CHECK(fixture.promotions.empty());
  fixture.view.members_as_of = Instant::max();
  fixture.RunFor(Duration(1'000'000));
  CHECK(fixture.promotions.size() == 1);
}

TEST_CASE("A demoted primary leads again if no replica holds every acknowledged commit",
          "[failover]") {
  // All daemons have released the lease of its term, so nothing else would end the outage.
  AttemptFixture fixture;
  fixture.view.members[0].reachable = true;
  model::InstanceStatus primary = AttemptFixture::Replica({1, 45});
  primary.primary = true;
  fixture.answers = {{"p", primary},
                     {"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 39})}};
  fixture.view.unreleased_daemons = {"other"};
  while (fixture.attempt.CurrentStep() != Step::kRelease) {
    fixture.Step();
  }
  fixture.view.unreleased_daemons.clear();
  fixture.view.acknowledged = {{1, 40}, {1, 45}, {1, 45}};
  fixture.RunFor(Duration(4'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kFinished);
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "p");
}

TEST_CASE("An attempt whose leadership was taken over lifts no fences", "[failover]") {
  // Guards against a loss of commits: the other holder may rely on the fences.
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(1'000'000));
  model::LeadershipRecord record = fixture.leadership.Record();
  record.holder = "other.1";
  ++record.token;
  fixture.leadership.OnRecordRead(record, 100, fixture.now);
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  CHECK(std::none_of(fixture.controls.begin(), fixture.controls.end(), [](const auto& control) {
    return control.request.kind == model::ControlKind::kResumeReplication;
  }));
}

TEST_CASE("Daemons that have not released their lease are waited for, at most the lease time",
          "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 38})}};
  fixture.view.unreleased_daemons = {"other"};
  fixture.RunFor(group::kLeaseTime - Duration(50'000));
  CHECK(fixture.promotions.empty());
  fixture.RunFor(Duration(1'000'000));
  CHECK(fixture.promotions.size() == 1);
}

TEST_CASE("A later term found at a replica is recorded before the replica is fenced",
          "[failover]") {
  AttemptFixture fixture;
  model::InstanceStatus fenced = AttemptFixture::Replica({2, 50}, 2);
  fixture.answers = {{"a", fenced}, {"b", fenced}};
  fixture.RunFor(Duration(3'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.released_term == 2);
  CHECK(fixture.leadership.Record().attempts.at("group").replaced_term == 2);
}

TEST_CASE("A fence left by an earlier attempt counts as well", "[failover]") {
  AttemptFixture fixture;
  model::InstanceStatus fenced = AttemptFixture::Replica({1, 50});
  fenced.fenced_term = 4;
  fixture.answers = {{"a", fenced}, {"b", AttemptFixture::Replica({1, 49})}};
  fixture.keeps_higher_fence = true;
  fixture.RunFor(Duration(3'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "a");
}

TEST_CASE("Nothing is promoted if another instance already leads", "[failover]") {
  AttemptFixture fixture;
  model::InstanceStatus leader = AttemptFixture::Replica({2, 50}, 2);
  leader.primary = true;
  fixture.answers = {{"a", leader}, {"b", AttemptFixture::Replica({2, 50}, 1)}};
  fixture.RunFor(Duration(3'000'000));
  CHECK(fixture.promotions.empty());
  CHECK(fixture.attempt.CurrentStep() == Step::kFinished);
}

TEST_CASE("A candidate that does not run is replaced by the next eligible one", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 38})}};
  fixture.promotion_answer = PromotionStatus::kNotRunning;
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  CHECK(fixture.promotions.size() <= 2);
}

TEST_CASE("No promotion is requested after the action window", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 38})}};
  fixture.drop_record_answer = true;
  fixture.RunFor(Duration(500'000));
  REQUIRE(fixture.unanswered_record);
  // The write was done, but the daemon was suspended before it read the answer.
  fixture.now += Duration(2'000'000);
  fixture.attempt.OnRecordWritten(fixture.leadership.OnWriteResult(
      {WriteStatus::kWritten, 77, *fixture.unanswered_record}, fixture.now));
  const auto after = fixture.attempt.Advance(fixture.view, fixture.now);
  for (const AttemptAction& action : after) {
    CHECK_FALSE(std::holds_alternative<RequestPromotion>(action));
  }
}

TEST_CASE("A replica that returns unfenced is fenced before the promotion", "[failover]") {
  // Unfenced, it would acknowledge commits of the old primary.
  AttemptFixture fixture;
  fixture.view.members[2].terminated = true;
  fixture.view.unreleased_daemons = {"other"};
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(200'000));
  REQUIRE(fixture.attempt.CurrentStep() == Step::kRelease);
  fixture.answers["b"] = AttemptFixture::Replica({1, 38});
  fixture.controls.clear();
  fixture.RunFor(Duration(400'000));
  CHECK(std::any_of(fixture.controls.begin(), fixture.controls.end(), [](const auto& control) {
    return control.instance == "b" && control.request.kind == model::ControlKind::kPauseReplication;
  }));
}

TEST_CASE("The old primary, returned under an unknown id, is demoted and may lead again",
          "[failover]") {
  // All daemons have released the lease of its term, and it can't be fenced as a replica.
  AttemptFixture fixture;
  model::InstanceStatus returned = AttemptFixture::Replica({1, 99});
  returned.primary = true;
  fixture.answers = {{"a", returned}, {"b", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(2'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kFinished);
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "a");
}

TEST_CASE("A returned primary of an earlier term is demoted and fenced", "[failover]") {
  // As a primary it refused every fence. Two earlier replacements had not reached it, and without
  // it there were too few fences permanently.
  AttemptFixture fixture;
  fixture.view.term = 3;
  model::InstanceStatus returned = AttemptFixture::Replica({1, 30}, 1);
  returned.primary = true;
  fixture.answers = {{"a", returned}, {"b", AttemptFixture::Replica({3, 38}, 3)}};
  fixture.RunFor(Duration(2'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kFinished);
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "b");
  // It was not the replaced primary: that one may still have replicas that would return to it.
  for (const SendControl& control : fixture.controls) {
    CHECK(control.request.kind != model::ControlKind::kResumeReplication);
  }
}

TEST_CASE("A former primary that answers is demoted after the replicas are fenced", "[failover]") {
  AttemptFixture fixture;
  fixture.view.members[0].reachable = true;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(2'000'000));
  const auto demotion = std::find_if(
      fixture.controls.begin(), fixture.controls.end(),
      [](const auto& control) { return control.request.kind == model::ControlKind::kDemote; });
  REQUIRE(demotion != fixture.controls.end());
  CHECK(demotion->instance == "p");
  CHECK(std::distance(fixture.controls.begin(), demotion) >= 2);
}

TEST_CASE("Of replicas with the same log the fitter one is promoted", "[failover]") {
  AttemptFixture fixture;
  fixture.answers["a"] = AttemptFixture::Replica({1, 10});
  fixture.answers["b"] = AttemptFixture::Replica({1, 10});
  fixture.view.members[1].fitness = model::LeaderFitness::kPoor;
  fixture.RunFor(std::chrono::seconds(3));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions.front().candidate == "b");
}

TEST_CASE("An unfit replica is promoted if a fitter one lacks a commit", "[failover]") {
  AttemptFixture fixture;
  fixture.answers["a"] = AttemptFixture::Replica({1, 11});
  fixture.answers["b"] = AttemptFixture::Replica({1, 10});
  fixture.view.members[1].fitness = model::LeaderFitness::kUnfit;
  fixture.RunFor(std::chrono::seconds(3));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions.front().candidate == "a");
}

TEST_CASE("A planned replacement without a fitter candidate is given up", "[failover]") {
  AttemptFixture fixture;
  fixture.answers["a"] = AttemptFixture::Replica({1, 11});
  fixture.answers["b"] = AttemptFixture::Replica({1, 10});
  fixture.view.members[1].fitness = model::LeaderFitness::kUnfit;
  fixture.view.fitness_to_exceed = model::LeaderFitness::kUnfit;
  fixture.RunFor(std::chrono::seconds(3));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  CHECK(fixture.promotions.empty());
}

TEST_CASE("An attempt that is given up does not undo another's replacement of the same primary",
          "[failover]") {
  // Guards against a stale read: a daemon that could not reach the primary promoted by another
  // coordinator gave up and removed the record's entry, and the old primary's lease was renewed.
  AttemptFixture fixture;
  model::LeadershipRecord record;
  record.holder = "other.1";
  record.token = 4;
  record.attempts["group"] = {1, "b"};
  fixture.leadership.OnRecordRead(record, 1,
                                  fixture.now - std::chrono::seconds(10));  // may be taken over
  fixture.last_revision = 1;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})}};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  REQUIRE(fixture.leadership.Record().holder == "me.1");
  REQUIRE(fixture.leadership.Record().attempts.contains("group"));
  CHECK(fixture.leadership.Record().attempts.at("group") == model::AttemptRecord{1, "b"});
  CHECK(std::none_of(fixture.controls.begin(), fixture.controls.end(), [](const auto& control) {
    return control.request.kind == model::ControlKind::kResumeReplication;
  }));
}

TEST_CASE("An attempt that is given up keeps the terms replaced before on record", "[failover]") {
  // Guards against a stale read: daemons that were cut off with an earlier term renewed its lease
  // because a given-up attempt had cleared the record's entry.
  AttemptFixture fixture;
  fixture.view.term = 3;
  fixture.answers = {{"a", AttemptFixture::Replica({3, 38}, 3)}};
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  REQUIRE(fixture.leadership.Record().attempts.contains("group"));
  CHECK(fixture.leadership.Record().attempts.at("group").replaced_term == 2);
}

TEST_CASE("The candidate of an earlier replacement stays on record when the next is claimed",
          "[failover]") {
  // If the claim of a second attempt clears the candidate and that attempt ends without a further
  // write, the third attempt takes the old primary for one that was never replaced.
  AttemptFixture fixture;
  model::LeadershipRecord earlier;
  earlier.holder = "other.1";
  earlier.token = 1;
  earlier.sequence = 1;
  earlier.attempts["group"] = {1, "b"};
  fixture.leadership.OnRecordRead(earlier, 7, fixture.now);
  fixture.now += std::chrono::seconds(3);
  std::optional<model::LeadershipRecord> claimed;
  for (const AttemptAction& action : fixture.attempt.Advance(fixture.view, fixture.now)) {
    if (const auto* write = std::get_if<WriteRecord>(&action)) {
      claimed = write->write.record;
    }
  }
  REQUIRE(claimed);
  CHECK(claimed->attempts.at("group") == model::AttemptRecord{1, "b"});
}

TEST_CASE("A claim does not overwrite a later term in the record", "[failover]") {
  // This daemon knows term 1; another one has replaced the primary of term 2 since.
  AttemptFixture fixture;
  model::LeadershipRecord later;
  later.holder = "other.1";
  later.token = 1;
  later.sequence = 1;
  later.attempts["group"] = {2, "b"};
  fixture.leadership.OnRecordRead(later, 7, fixture.now);
  fixture.now += std::chrono::seconds(3);
  std::optional<model::LeadershipRecord> claimed;
  for (const AttemptAction& action : fixture.attempt.Advance(fixture.view, fixture.now)) {
    if (const auto* write = std::get_if<WriteRecord>(&action)) {
      claimed = write->write.record;
    }
  }
  REQUIRE(claimed);
  CHECK(claimed->attempts.at("group") == model::AttemptRecord{2, "b"});
}

TEST_CASE("A fenced replica that restarts is fenced and ranked again", "[failover]") {
  AttemptFixture fixture;
  fixture.view.unreleased_daemons = {"other"};
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 90})}};
  while (fixture.attempt.CurrentStep() != Step::kRelease) {
    fixture.Step();
  }
  REQUIRE(fixture.attempt.Candidate() == "b");
  fixture.answers["b"] = AttemptFixture::Replica({1, 0});
  fixture.attempt.OnMemberRestarted("b", fixture.now);
  fixture.RunFor(Duration(2'000'000));
  REQUIRE(fixture.promotions.size() == 1);
  CHECK(fixture.promotions[0].candidate == "a");
}

TEST_CASE("A candidate that restarts before it leads is not promoted again", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 38})},
                     {"b", AttemptFixture::Replica({1, 90})}};
  fixture.promotion_answer = PromotionStatus::kNoAnswer;
  while (fixture.promotions.empty()) {
    fixture.Step();
  }
  fixture.answers["b"] = AttemptFixture::Replica({1, 0});
  fixture.attempt.OnMemberRestarted("b", fixture.now);
  fixture.RunFor(Duration(2'000'000));
  REQUIRE(fixture.promotions.size() >= 2);
  CHECK(fixture.promotions[1].candidate == "a");
}

TEST_CASE("The lost log of a restarted replica counts as an unfenced replica", "[failover]") {
  AttemptFixture fixture;
  fixture.answers = {{"a", AttemptFixture::Replica({1, 0})},
                     {"b", AttemptFixture::Replica({1, 90})}};
  fixture.view.lost_logs = 1;
  CHECK_FALSE(Attempt::IsFeasible(fixture.view));
  fixture.RunFor(Duration(10'000'000));
  CHECK(fixture.attempt.CurrentStep() == Step::kGivenUp);
  CHECK(fixture.promotions.empty());
}

}  // namespace valvekeel::failover
