// Tests of the dispatcher's queues: order of starts, early refusals and retry-after times.

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

#include "proxy/dispatcher.h"
#include "waiting/retry_after.h"

namespace valvekeel::proxy {
namespace {

constexpr common::Instant kStart{10'000'000};
constexpr common::Duration kMillisecond{1'000};
constexpr common::Duration kAnswerTime = 2 * kTick;
constexpr common::Duration kTargetLatency{400'000};  // operations are queued for a quarter of it
const tenants::key_digest kLargeKey = tenants::digest_of("large-key");
const tenants::key_digest kSmallKey = tenants::digest_of("small-key");

/// A daemon with one connection to one instance; the connection is the large tenant's.
struct WaitingFixture {
  explicit WaitingFixture(bool early_refusal = true) {
    settings.early_refusal = early_refusal;
    settings.mechanisms.read_lease = false;
    settings.tenants.keys_required = true;
    backends.SetObserver(&dispatcher);
    backends.SetConnectionLimit("ledger", 1, false);
    model::InstanceEntry entry;
    entry.id = "i-1";
    entry.service = "ledger";
    entry.primary = true;
    backends.SetEntry(entry, kStart);
    groups.Get("ledger", kStart).lease.Renew({1, "i-1", kStart});
    configuration.version = 1;
    configuration.services["ledger"].name = "ledger";
    configuration.tenants["large"] = {"large", {kLargeKey}};
    configuration.tenants["small"] = {"small", {kSmallKey}};
    model::Route route;
    route.database = "orders";
    route.service = "ledger";
    route.timeout = std::chrono::seconds(5);
    route.target_latency = kTargetLatency;
    configuration.routes["orders"] = route;
    admission.set_configuration(1, configuration.tenants);
    dispatcher.SetConfiguration(&configuration, kStart);
    REQUIRE(backends.OpenFor("large", *backends.Find("i-1"), kStart));
    ProcessActions();
  }

  /// Sends a command in a new session. @return the session's number.
  SessionNumber SendInNewSession(const tenants::key_digest& key,
                                 model::CommandKind kind = model::CommandKind::kRead) {
    const SessionNumber session = ++sessions;
    dispatcher.SessionStarted(session, "orders", key, now);
    model::Command command;
    command.kind = kind;
    command.arguments = "k";
    dispatcher.CommandReceived(session, {std::to_string(session), command}, now);
    ProcessActions();
    return session;
  }

  /// Sends a read in an existing session.
  void SendRead(SessionNumber session) {
    model::Command command;
    command.kind = model::CommandKind::kRead;
    command.arguments = "k";
    dispatcher.CommandReceived(session, {std::to_string(session), command}, now);
    ProcessActions();
  }

  /// Answers the statement that runs at the instance, if there is one.
  void AnswerRunningStatement() {
    if (running.empty()) {
      return;
    }
    model::Reply reply;
    reply.succeeded = true;
    const ConnectionNumber connection = *running.begin();
    running.erase(running.begin());
    backends.OnAnswered(connection, reply, now);
    ProcessActions();
  }

  void Tick() {
    now += kTick;
    dispatcher.Tick(now);
    ProcessActions();
  }

  /// The large tenant sends four times as many statements as the instance can run.
  void Overload(common::Duration time) {
    for (const common::Instant end = now + time; now < end;) {
      for (common::Duration passed{0}; passed < kAnswerTime; passed += kTick) {
        SendInNewSession(kLargeKey);
        SendInNewSession(kLargeKey);
        Tick();
      }
      AnswerRunningStatement();
    }
  }

  /// Records sent and refused requests; opens requested connections at once.
  void ProcessActions() {
    for (const Action& action : outbox.Take()) {
      if (const auto* sent = std::get_if<SendRequests>(&action)) {
        running.insert(sent->connection);
        const auto& request = std::get<model::SessionRequest>(sent->requests.front());
        started.push_back(std::stoul(request.request_id));
      }
      if (const auto* opened = std::get_if<OpenConnection>(&action)) {
        opening.push_back(opened->connection);
      }
      const auto* logged = std::get_if<LogEvent>(&action);
      if (logged != nullptr && std::string(logged->event) == "request_failed") {
        failures.push_back(*logged);
      }
      const auto* answer = std::get_if<AnswerCaller>(&action);
      if (answer != nullptr && !answer->reply.succeeded) {
        refusals.push_back(*answer);
      }
    }
    for (const ConnectionNumber connection : std::exchange(opening, {})) {
      backends.OnOpened(connection, now);
      ProcessActions();
    }
  }

  std::size_t CountBusyRefusals(const std::string& reason) const {
    return static_cast<std::size_t>(
        std::count_if(refusals.begin(), refusals.end(), [&](const AnswerCaller& refusal) {
          return refusal.reply.error == model::ErrorCode::kBusy &&
                 refusal.reply.error_text.find(reason) != std::string::npos;
        }));
  }

  ProxySettings settings;
  Outbox outbox;
  relay::role_map roles{"d", {}};
  BackendSet backends{outbox};
  GroupSet groups{settings, backends, roles, outbox};
  tenants::admission admission{settings.tenants};
  access::rule_set access;
  Dispatcher dispatcher{settings, backends, groups, admission, access, outbox};
  model::Configuration configuration;
  common::Instant now = kStart;
  SessionNumber sessions = 0;
  std::set<ConnectionNumber> running;
  std::vector<ConnectionNumber> opening;
  std::vector<SessionNumber> started;
  std::vector<AnswerCaller> refusals;
  std::vector<LogEvent> failures;
};

}  // namespace

TEST_CASE("A small tenant's statement does not wait for a large tenant's backlog",
          "[proxy][waiting]") {
  WaitingFixture fixture;
  for (int i = 0; i < 6; ++i) {
    fixture.SendInNewSession(kLargeKey);
  }
  const SessionNumber small = fixture.SendInNewSession(kSmallKey);
  fixture.AnswerRunningStatement();
  fixture.AnswerRunningStatement();
  REQUIRE(fixture.started.size() == 3);
  CHECK(fixture.started.back() == small);
}

TEST_CASE("Operations too far back in the queue are refused at the next tick", "[proxy][waiting]") {
  WaitingFixture fixture;
  fixture.Overload(std::chrono::seconds(1));
  fixture.refusals.clear();
  const std::uint64_t before = fixture.dispatcher.Counters().refused_early;
  for (int i = 0; i < 30; ++i) {
    fixture.SendInNewSession(kLargeKey);
  }
  fixture.Tick();
  CHECK(fixture.CountBusyRefusals(" refused early: no free connection") >= 20);
  CHECK(fixture.dispatcher.Counters().refused_early - before ==
        fixture.CountBusyRefusals("refused early"));
  const auto& fields = fixture.failures.back().fields;
  const auto forecast = std::find_if(fields.begin(), fields.end(), [](const auto& field) {
    return std::string(field.first) == "forecast_ms";
  });
  REQUIRE(forecast != fields.end());
  CHECK(std::stol(forecast->second) > 100);
}

TEST_CASE("Without early refusal a statement is queued until its deadline", "[proxy][waiting]") {
  WaitingFixture fixture(false);
  fixture.Overload(std::chrono::seconds(1));
  fixture.refusals.clear();
  const SessionNumber last = fixture.SendInNewSession(kLargeKey);
  const common::Instant end = fixture.now + kTargetLatency / 4;
  while (fixture.now + kTick < end) {
    fixture.Tick();
  }
  const auto of_last = [&](const AnswerCaller& refusal) { return refusal.session == last; };
  CHECK(std::none_of(fixture.refusals.begin(), fixture.refusals.end(), of_last));
  fixture.Tick();
  CHECK(std::any_of(fixture.refusals.begin(), fixture.refusals.end(), of_last));
  CHECK(fixture.dispatcher.Counters().refused_early == 0);
  CHECK(fixture.dispatcher.Counters().refused_at_queue_deadline.contains("no free connection"));
}

TEST_CASE("Early refusal leaves no idle time to an overloaded instance", "[proxy][waiting]") {
  WaitingFixture fixture;
  fixture.Overload(std::chrono::seconds(2));
  // Refusals cost no throughput: the instance ran one statement after the other without a pause.
  const auto possible = static_cast<std::size_t>(std::chrono::seconds(2) / kAnswerTime);
  CHECK(fixture.started.size() >= possible);
}

TEST_CASE("Writes that wait for a primary are not refused early", "[proxy][waiting]") {
  WaitingFixture fixture;
  fixture.Overload(std::chrono::seconds(1));
  fixture.groups.Get("ledger", fixture.now).lease.Renew({2, "", fixture.now});
  fixture.refusals.clear();
  for (int i = 0; i < 30; ++i) {
    fixture.SendInNewSession(kLargeKey, model::CommandKind::kWrite);
  }
  fixture.Tick();
  fixture.Tick();
  CHECK(fixture.CountBusyRefusals("refused early") == 0);
}

TEST_CASE("Callers refused at their queue deadline get different retry-after times",
          "[proxy][waiting]") {
  WaitingFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.SendInNewSession(kLargeKey);
  }
  const common::Instant end = fixture.now + kTargetLatency / 4;
  while (fixture.now < end) {
    fixture.Tick();
  }
  REQUIRE(fixture.refusals.size() == 2);
  CHECK(fixture.refusals.front().reply.error_text != fixture.refusals.back().reply.error_text);
}

TEST_CASE("A caller that was refused before gets a longer retry-after time", "[proxy][waiting]") {
  WaitingFixture fixture;
  const auto pause_of = [&](SessionNumber session) {
    const auto refusal =
        std::find_if(fixture.refusals.rbegin(), fixture.refusals.rend(),
                     [&](const AnswerCaller& each) { return each.session == session; });
    REQUIRE(refusal != fixture.refusals.rend());
    const std::string text = refusal->reply.error_text;
    return std::chrono::milliseconds(std::stol(text.substr(text.find('=') + 1)));
  };
  fixture.Overload(std::chrono::seconds(1));
  const SessionNumber first = fixture.refusals.back().session;
  CHECK(pause_of(first) < waiting::LATE_RETRY_AFTER);
  fixture.Overload(kTargetLatency / 2);
  for (int i = 0; i < 5; ++i) {
    fixture.SendInNewSession(kLargeKey);
  }
  fixture.now += kMillisecond;  // queued behind these
  fixture.SendRead(first);
  const SessionNumber other = fixture.SendInNewSession(kLargeKey);
  fixture.Overload(kTargetLatency / 2);
  CHECK(pause_of(first) >= waiting::LATE_RETRY_AFTER);
  CHECK(pause_of(other) < waiting::LATE_RETRY_AFTER);
}

TEST_CASE("A read that was sent and not answered is not refused early", "[proxy][waiting]") {
  WaitingFixture fixture;
  fixture.Overload(std::chrono::seconds(1));
  const SessionNumber sent = fixture.started.back();
  const std::uint64_t before = fixture.dispatcher.Counters().resent_reads;
  while (fixture.dispatcher.Counters().resent_reads == before) {
    fixture.SendInNewSession(kLargeKey);
    fixture.SendInNewSession(kLargeKey);
    fixture.Tick();
  }
  for (int i = 0; i < 5; ++i) {
    fixture.Tick();
  }
  const auto of_sent = [&](const AnswerCaller& refusal) { return refusal.session == sent; };
  CHECK(fixture.CountBusyRefusals("refused early") > 0);
  CHECK(std::none_of(fixture.refusals.begin(), fixture.refusals.end(), of_sent));
}

TEST_CASE("The load is reported to the load observer", "[proxy][waiting]") {
  WaitingFixture fixture;
  waiting::trace_recorder recorder;
  fixture.dispatcher.SetLoadObserver(&recorder);
  fixture.SendInNewSession(kLargeKey);
  const SessionNumber in_transaction =
      fixture.SendInNewSession(kSmallKey, model::CommandKind::kBegin);
  fixture.Tick();
  fixture.AnswerRunningStatement();
  fixture.dispatcher.SessionClosed(in_transaction, fixture.now);
  const auto parsed = waiting::parse_trace(recorder.text());
  REQUIRE(common::IsOk(parsed));
  const waiting::trace& trace = common::ValueOf(parsed);
  REQUIRE(trace.arrivals.size() == 1);
  CHECK(trace.arrivals.front().tenant == "large");
  CHECK(trace.arrivals.front().needs == waiting::need::primary);
  CHECK(trace.arrivals.front().work == kTick);
  CHECK(trace.arrivals.front().max_wait == kTargetLatency / 4);
  REQUIRE(trace.capacities.size() == 2);
  CHECK(trace.capacities.front().slots == 2);
}

}  // namespace valvekeel::proxy
