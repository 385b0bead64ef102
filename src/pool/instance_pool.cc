#include "pool/instance_pool.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <utility>

#include "common/sqlstate.h"
#include "common/text.h"
#include "common/time.h"
#include "pool/run_plan.h"
#include "runtime/logging.h"

namespace valvekeel::pool {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using backend::Command;
using backend::CommandResult;
using backend::ConnectionFault;
using common::Duration;
using common::ErrorOf;
using common::Instant;
using common::IsOk;
using common::SteadyNow;
using common::ValueOf;
using configuration::InstanceIntent;
using runtime::Log;
using runtime::LogLevel;

constexpr Duration kReconnectInterval{50'000};
constexpr Duration kDefaultRetryAfter{100'000};
constexpr Duration kPositionPollInterval{5'000};

BatchReply Refuse(const BatchRequest& request, Refusal refusal, std::string reason,
                  Duration retry_after = kDefaultRetryAfter) {
  BatchReply reply;
  reply.number = request.number;
  reply.outcome = Outcome::kRefused;
  reply.refusal = refusal;
  reply.reason = std::move(reason);
  reply.retry_after_us = retry_after.count();
  return reply;
}

BatchReply Unknown(const BatchRequest& request, std::string reason) {
  BatchReply reply;
  reply.number = request.number;
  reply.outcome = Outcome::kUnknown;
  reply.reason = std::move(reason);
  return reply;
}

bool AnyError(const std::vector<StatementAnswer>& answers) {
  return std::any_of(answers.begin(), answers.end(),
                     [](const StatementAnswer& answer) { return answer.error.has_value(); });
}

std::size_t AnswerBytes(const BatchReply& reply) {
  std::size_t bytes = 0;
  for (const StatementAnswer& answer : reply.answers) {
    bytes += answer.rows.size();
  }
  return bytes;
}

StatementAnswer AlreadyRecorded(const std::string& request_id) {
  StatementAnswer answer;
  answer.error = wire::ErrorFields{
      std::string(common::kUniqueViolation),
      absl::StrCat("the request \"", request_id, "\" is recorded already and was not run again"),
      "SHOW valvekeel.request_outcome tells the outcome of a request."};
  return answer;
}

}  // namespace

InstancePool::InstancePool(asio::io_context& loop, PoolSettings settings,
                           TopologyHandler on_topology)
    : loop_(loop),
      settings_(std::move(settings)),
      on_topology_(std::move(on_topology)),
      admission_(AdmissionSettings{}),
      monitor_wait_(std::make_shared<Waiter>(loop)) {}

InstancePool::~InstancePool() = default;

void InstancePool::Start(const configuration::DatabaseSpec& database, const std::string& instance) {
  database_ = database.name;
  spec_.id = instance;
  Configure(database);
  const auto self = shared_from_this();
  asio::co_spawn(
      loop_, [self]() -> awaitable<void> { co_await self->Monitor(); }, asio::detached);
}

void InstancePool::Configure(const configuration::DatabaseSpec& database) {
  database_spec_ = database;
  for (const configuration::InstanceSpec& spec : database.instances) {
    if (spec.id == spec_.id) {
      spec_ = spec;
    }
  }
  admission_.SetSlots(spec_.slots);
  confirmation_.SetInstances(database.instances.size());
  StartConfirmers();
}

void InstancePool::SetShare(const configuration::ShareGroupSpec& group) {
  admission_.SetShare(group.name, {group.share, group.minimum, group.maximum});
}

void InstancePool::Stop() {
  stopped_ = true;
  for (const ConnectionPointer& connection : connections_) {
    connection->Abort();
  }
  connections_.clear();
  idle_.clear();
  pinned_.clear();
  Wake(monitor_wait_, true);
  for (const auto& [peer, waiter] : confirmers_) {
    Wake(waiter, true);
  }
  for (const WaiterPointer& waiter : waiting_connections_) {
    Wake(waiter, true);
  }
  for (const WaiterPointer& waiter : waiting_positions_) {
    Wake(waiter, true);
  }
}

// --- Waiting ----------------------------------------------------------------------------------

awaitable<void> InstancePool::WaitOn(WaiterPointer waiter, Duration limit) {
  if (waiter->done) {
    co_return;
  }
  waiter->timer.expires_after(std::max(Duration{0}, limit));
  asio::error_code error;
  co_await waiter->timer.async_wait(redirect_error(use_awaitable, error));
}

void InstancePool::Wake(const WaiterPointer& waiter, bool failed) {
  waiter->done = true;
  waiter->failed = failed;
  waiter->timer.cancel();
}

// --- Monitoring -------------------------------------------------------------------------------

InstancePool::ConnectionPointer InstancePool::NewConnection(
    const configuration::InstanceSpec& spec) const {
  return std::make_shared<backend::Connection>(loop_, spec.address, database_, settings_.user);
}

InstancePool::ConnectionPointer InstancePool::NewConnection() const { return NewConnection(spec_); }

awaitable<void> InstancePool::Monitor() {
  while (!stopped_) {
    const ConnectionPointer connection = NewConnection();
    const auto failure = co_await connection->Open(settings_.connect_timeout);
    if (failure) {
      OnInstanceLost();
      co_await WaitOn(std::make_shared<Waiter>(loop_), kReconnectInterval);
      continue;
    }
    while (!stopped_) {
      const auto probed = co_await ProbeInTime(connection);
      if (!IsOk(probed)) {
        OnInstanceLost();
        break;
      }
      Observe(ValueOf(probed));
      ExpireIdleTransactions(SteadyNow());
      monitor_wait_ = std::make_shared<Waiter>(loop_);
      const Duration interval =
          waiting_positions_.empty() ? settings_.probe_interval : kPositionPollInterval;
      co_await WaitOn(monitor_wait_, interval);
      // Replies to batches carry the same observation, so a busy instance needs few probes.
      while (!stopped_ && waiting_positions_.empty() &&
             SteadyNow() - observed_at_ < settings_.probe_interval) {
        ExpireIdleTransactions(SteadyNow());
        monitor_wait_ = std::make_shared<Waiter>(loop_);
        co_await WaitOn(monitor_wait_, observed_at_ + settings_.probe_interval - SteadyNow());
      }
    }
  }
}

awaitable<common::Result<monitor::Observation, backend::ConnectionError>> InstancePool::ProbeInTime(
    ConnectionPointer connection) {
  const auto pending = std::make_shared<bool>(true);
  asio::steady_timer limit(loop_, settings_.probe_timeout);
  limit.async_wait([pending, connection](const asio::error_code& error) {
    if (!error && *pending) {
      connection->Abort();
    }
  });
  auto probed = co_await connection->Probe();
  *pending = false;
  co_return probed;
}

void InstancePool::Observe(const monitor::Observation& observation) {
  const auto& latest = replay_.Latest();
  const bool changed = !reachable_ || !latest || latest->term != observation.term ||
                       latest->in_recovery != observation.in_recovery;
  reachable_ = true;
  probed_ = true;
  observed_at_ = SteadyNow();
  replay_.RecordObservation(observation, SteadyNow());
  for (const WaiterPointer& waiter : waiting_positions_) {
    Wake(waiter, false);
  }
  if (changed && on_topology_) {
    on_topology_(database_, spec_.id, observation);
  }
}

void InstancePool::ObserveInBand(const monitor::Observation& observation) {
  const auto& latest = replay_.Latest();
  const bool newer = latest && latest->term == observation.term &&
                     latest->in_recovery == observation.in_recovery &&
                     latest->replayed <= observation.replayed &&
                     latest->received <= observation.received;
  if (reachable_ && newer) {
    Observe(observation);
  }
}

void InstancePool::OnInstanceLost() {
  if (reachable_) {
    Log(LogLevel::kWarning, "instance_lost", {{"database", database_}, {"instance", spec_.id}});
    // An instance that does not answer a probe does not answer statements either.
    for (const ConnectionPointer& connection : connections_) {
      connection->Abort();
    }
  }
  reachable_ = false;
  probed_ = true;
  replay_.Reset();
  for (const WaiterPointer& waiter : waiting_positions_) {
    Wake(waiter, true);
  }
}

// --- Execution --------------------------------------------------------------------------------

std::optional<BatchReply> InstancePool::RefuseNewWork(const BatchRequest& request) const {
  if (draining_ || stopped_) {
    return Refuse(request, Refusal::kStopping, "the pool owner is stopping");
  }
  if (spec_.intent == InstanceIntent::kLeaving) {
    return Refuse(request, Refusal::kLeaving, "the instance is leaving");
  }
  if (!reachable_) {
    return Refuse(request, Refusal::kUnreachable, "the instance cannot be reached");
  }
  const auto& latest = replay_.Latest();
  if (latest && latest->term < known_term_) {
    return Refuse(request, Refusal::kNotPrimary, "the instance is of an earlier term");
  }
  if (request.access == Access::kWrite && latest && latest->in_recovery) {
    return Refuse(request, Refusal::kNotPrimary, "the instance is a replica");
  }
  return std::nullopt;
}

awaitable<BatchReply> InstancePool::Execute(SessionKey session, BatchRequest request) {
  const auto self = shared_from_this();
  const Instant deadline = SteadyNow() + Duration{request.budget_us};
  ++counters_.batches;
  ++in_flight_;
  BatchReply reply = co_await ExecuteAdmitted(session, request, deadline);
  --in_flight_;
  counters_.refused += reply.outcome == Outcome::kRefused ? 1 : 0;
  counters_.unknown += reply.outcome == Outcome::kUnknown ? 1 : 0;
  co_return reply;
}

awaitable<BatchReply> InstancePool::ExecuteAdmitted(SessionKey session, const BatchRequest& request,
                                                    Instant deadline) {
  const auto open_transaction = pinned_.find(session);
  if (request.continues) {
    if (open_transaction == pinned_.end()) {
      co_return Refuse(request, Refusal::kTransactionLost,
                       "the transaction's connection is gone; it was rolled back");
    }
    open_transaction->second.busy = true;
  } else {
    if (open_transaction != pinned_.end()) {
      Release(session);
    }
    co_await WaitForFirstProbe(deadline);
    if (auto refusal = RefuseNewWork(request)) {
      co_return std::move(*refusal);
    }
    if (request.max_staleness_us > 0 &&
        replay_.Staleness(SteadyNow()).count() > request.max_staleness_us) {
      co_return Refuse(request, Refusal::kBehind, "the replica lags more than max_staleness_ms");
    }
    auto behind = co_await WaitForPosition(request, deadline);
    if (behind) {
      co_return std::move(*behind);
    }
  }
  if (!request.request_id.empty() && !request_table_ready_) {
    co_await EnsureRequestTable(deadline);
  }
  const Ticket ticket = next_ticket_++;
  auto refusal = co_await WaitForSlot(request, ticket, deadline);
  if (refusal) {
    const auto waiting_transaction = pinned_.find(session);
    if (waiting_transaction != pinned_.end()) {
      waiting_transaction->second.busy = false;
    }
    co_return std::move(*refusal);
  }
  ConnectionPointer connection;
  PinnedTransaction* pinned = nullptr;
  if (request.continues) {
    const auto current = pinned_.find(session);
    if (current == pinned_.end()) {
      FinishTicket(ticket);
      co_return Refuse(request, Refusal::kTransactionLost, "the transaction was rolled back");
    }
    pinned = &current->second;
    connection = pinned->connection;
  } else {
    auto acquired = co_await AcquireConnection(deadline);
    if (!IsOk(acquired)) {
      FinishTicket(ticket);
      BatchReply refusal = ErrorOf(acquired);
      refusal.number = request.number;
      co_return refusal;
    }
    connection = ValueOf(acquired);
  }
  running_[session] = {connection, false};
  bool recorded = pinned != nullptr && pinned->recorded;
  RecordingResult recording;
  BatchReply reply = co_await RunOn(connection, request, pinned, &recording);
  const bool released = running_[session].released;
  running_.erase(session);
  recorded = recorded || recording.recorded;
  FinishTicket(ticket);
  const bool released_in_transaction =
      released && connection->Status() != wire::TransactionStatus::kIdle;
  if (reply.outcome == Outcome::kUnknown || released_in_transaction || !connection->IsUsable()) {
    pinned_.erase(session);
    Discard(connection);
    co_return reply;
  }
  reply.status = connection->Status();
  if (reply.status != wire::TransactionStatus::kIdle) {
    PinConnection(session, connection, recorded);
    if (recording.already_recorded) {
      co_return co_await ConfirmReply(request, std::move(reply), true, deadline);
    }
    co_return reply;
  }
  pinned_.erase(session);
  ReturnConnection(connection);
  if (request.access == Access::kWrite && reply.outcome == Outcome::kDone) {
    co_return co_await ConfirmReply(request, std::move(reply), recording.already_recorded,
                                    deadline);
  }
  co_return reply;
}

awaitable<BatchReply> InstancePool::ConfirmReply(const BatchRequest& request, BatchReply reply,
                                                 bool already_recorded, Instant deadline) {
  if (!settings_.confirm_commits) {
    co_return reply;
  }
  if (already_recorded) {
    // The existing record of the request may not be on a majority yet, so it must be confirmed.
    const auto position = co_await CurrentPosition(deadline);
    if (!position) {
      co_return Unknown(request, "the earlier record of the request could not be confirmed");
    }
    reply.position = *position;
  }
  if (reply.position == common::Position{}) {
    co_return reply;  // the batch failed and was rolled back: nothing to confirm
  }
  const auto result = co_await Confirm(reply.position, true, settings_.confirm_timeout);
  if (result != confirmation::ConfirmationResult::kConfirmed) {
    const char* reason = result == confirmation::ConfirmationResult::kSuperseded
                             ? "the primary was replaced before its commit was confirmed"
                             : "no majority confirmed the commit in time";
    co_return Unknown(request, reason);
  }
  ++counters_.confirmed;
  co_return reply;
}

awaitable<void> InstancePool::WaitForFirstProbe(Instant deadline) {
  if (probed_ || stopped_) {
    co_return;
  }
  auto waiter = std::make_shared<Waiter>(loop_);
  waiting_positions_.push_back(waiter);
  co_await WaitOn(waiter, deadline - SteadyNow());
  waiting_positions_.remove(waiter);
}

awaitable<std::optional<BatchReply>> InstancePool::WaitForPosition(const BatchRequest& request,
                                                                   Instant deadline) {
  if (request.access != Access::kRead || !settings_.check_positions ||
      request.required == common::Position{}) {
    co_return std::nullopt;
  }
  const Instant limit = std::min(deadline, SteadyNow() + Duration{request.read_wait_us});
  while (!replay_.HasReplayed(request.required)) {
    const auto predicted = replay_.PredictWait(request.required, SteadyNow());
    if (!predicted || SteadyNow() + *predicted > limit || SteadyNow() >= limit) {
      ++counters_.behind;
      BatchReply refusal = Refuse(request, Refusal::kBehind, "the replica is behind",
                                  predicted.value_or(kDefaultRetryAfter));
      if (replay_.Latest()) {
        refusal.replayed = {replay_.Latest()->term, replay_.Latest()->replayed};
      }
      co_return refusal;
    }
    auto waiter = std::make_shared<Waiter>(loop_);
    waiting_positions_.push_back(waiter);
    Wake(monitor_wait_, false);
    co_await WaitOn(waiter, limit - SteadyNow());
    waiting_positions_.remove(waiter);
    if (waiter->failed) {
      co_return Refuse(request, Refusal::kUnreachable, "the instance was lost");
    }
  }
  co_return std::nullopt;
}

awaitable<std::optional<BatchReply>> InstancePool::WaitForSlot(const BatchRequest& request,
                                                               Ticket ticket, Instant deadline) {
  const Arrival arrival{ticket, request.share_group, deadline, request.continues};
  const ArrivalDecision decision = admission_.Arrive(arrival, SteadyNow());
  if (decision.outcome == AdmissionOutcome::kStarted) {
    co_return std::nullopt;
  }
  if (decision.outcome == AdmissionOutcome::kRefused) {
    co_return Refuse(request, Refusal::kOverloaded, "no slot is free before the deadline",
                     decision.retry_after);
  }
  auto waiter = std::make_shared<Waiter>(loop_);
  waiting_tickets_[ticket] = waiter;
  co_await WaitOn(waiter, deadline - SteadyNow());
  waiting_tickets_.erase(ticket);
  if (waiter->done && !waiter->failed) {
    co_return std::nullopt;
  }
  admission_.Withdraw(ticket);
  co_return Refuse(request, Refusal::kOverloaded, "no slot became free before the deadline",
                   admission_.PredictWait(request.share_group));
}

void InstancePool::FinishTicket(Ticket ticket) {
  for (const Ticket started : admission_.Finish(ticket, SteadyNow())) {
    const auto waiting = waiting_tickets_.find(started);
    if (waiting != waiting_tickets_.end()) {
      Wake(waiting->second, false);
    }
  }
}

awaitable<common::Result<InstancePool::ConnectionPointer, BatchReply>>
InstancePool::AcquireConnection(Instant deadline) {
  const BatchRequest unnumbered;
  while (SteadyNow() < deadline && !stopped_) {
    while (!idle_.empty()) {
      const ConnectionPointer connection = idle_.back();
      idle_.pop_back();
      if (connection->IsUsable()) {
        co_return connection;
      }
      Discard(connection);
    }
    const std::size_t max_connections = std::max<std::size_t>(
        1, spec_.connections - std::min(spec_.connections - 1, settings_.reserved_connections));
    if (connections_.size() < max_connections && opening_ < settings_.openings_at_once) {
      const ConnectionPointer connection = NewConnection();
      connections_.insert(connection);
      ++opening_;
      const auto failure = co_await connection->Open(settings_.connect_timeout);
      --opening_;
      if (!failure) {
        ++counters_.connections_opened;
        co_return connection;
      }
      Discard(connection);
      const bool full = failure->fault == ConnectionFault::kTooManyConnections;
      co_return Refuse(unnumbered, full ? Refusal::kOverloaded : Refusal::kUnreachable,
                       failure->message);
    }
    auto waiter = std::make_shared<Waiter>(loop_);
    waiting_connections_.push_back(waiter);
    co_await WaitOn(waiter, deadline - SteadyNow());
    waiting_connections_.remove(waiter);
  }
  co_return Refuse(unnumbered, Refusal::kOverloaded,
                   "no connection became free before the deadline");
}

awaitable<void> InstancePool::EnsureRequestTable(Instant deadline) {
  auto acquired = co_await AcquireConnection(deadline);
  if (!IsOk(acquired)) {
    co_return;  // the batch's own attempt reports the error
  }
  const ConnectionPointer connection = ValueOf(acquired);
  const Statement create = TextStatement(absl::StrCat(
      "CREATE TABLE IF NOT EXISTS ", common::ToAbsl(kRequestTable), " (id text PRIMARY KEY)"));
  std::vector<Command> commands = {{&create, true}};
  const auto created = co_await connection->Run(std::move(commands), false);
  if (!IsOk(created)) {
    Discard(connection);
    co_return;
  }
  request_table_ready_ = !ValueOf(created).front().answer.error;
  ReturnConnection(connection);
}

void InstancePool::ReturnConnection(ConnectionPointer connection) {
  if (stopped_ || !connection->IsUsable()) {
    Discard(connection);
    return;
  }
  idle_.push_back(std::move(connection));
  if (!waiting_connections_.empty()) {
    Wake(waiting_connections_.front(), false);
  }
}

void InstancePool::Discard(const ConnectionPointer& connection) {
  connection->Abort();
  counters_.connections_lost += connections_.erase(connection);
  if (!waiting_connections_.empty()) {
    Wake(waiting_connections_.front(), false);
  }
}

awaitable<std::optional<BatchReply>> InstancePool::ApplySettings(ConnectionPointer connection,
                                                                 const BatchRequest& request) {
  // Settings run before the batch: if the database rejects one, the batch must not run.
  connection->applied_settings.reset();
  const std::vector<Statement> statements = SettingsStatements(request.settings);
  std::vector<Command> commands;
  for (const Statement& statement : statements) {
    commands.push_back({&statement, false});
  }
  commands.back().sync_after = true;
  const auto run = co_await connection->Run(std::move(commands), false);
  if (!IsOk(run)) {
    co_return Refuse(request, Refusal::kUnreachable, ErrorOf(run).message);
  }
  for (const CommandResult& result : ValueOf(run)) {
    if (result.answer.error) {
      BatchReply refused;
      refused.number = request.number;
      refused.outcome = Outcome::kDone;
      refused.answers.assign(request.statements.size(), {});
      refused.answers[0].error = result.answer.error;
      co_return refused;
    }
  }
  connection->applied_settings = request.settings;
  co_return std::nullopt;
}

awaitable<BatchReply> InstancePool::RunOn(ConnectionPointer connection, const BatchRequest& request,
                                          PinnedTransaction* pinned, RecordingResult* recording) {
  const bool in_transaction = pinned != nullptr;
  const bool check = !in_transaction && settings_.check_positions &&
                     request.access == Access::kRead &&
                     !common::Covers(connection->highest_replayed, request.required);
  const bool record = !request.request_id.empty() && (pinned == nullptr || !pinned->recorded);
  if (!in_transaction && connection->applied_settings != request.settings) {
    auto refused = co_await ApplySettings(connection, request);
    if (refused) {
      co_return std::move(*refused);
    }
  }
  const RunPlan plan = BuildRunPlan(request, {in_transaction, check, record});
  recording->recorded = record;
  const bool usable = connection->IsUsable();
  auto run = co_await connection->Run(plan.commands, true);
  if (!IsOk(run)) {
    if (!usable) {
      co_return Refuse(request, Refusal::kUnreachable, ErrorOf(run).message);
    }
    co_return Unknown(request, ErrorOf(run).message);
  }
  std::vector<CommandResult>& results = ValueOf(run);
  if (request.changes_settings) {
    connection->applied_settings.reset();
  }
  BatchReply reply;
  reply.number = request.number;
  reply.outcome = Outcome::kDone;
  const auto after = backend::ReadObservation(results[plan.final_probe]);
  if (after) {
    reply.position = {after->term, after->replayed};
    reply.replayed = reply.position;
    connection->highest_replayed = reply.position;
    ObserveInBand(*after);
  }
  if (plan.position_check) {
    const auto before = backend::ReadObservation(results[*plan.position_check]);
    if (!before || !common::Covers({before->term, before->replayed}, request.required)) {
      // The rows are discarded, so for the caller the read did not run.
      BatchReply refusal = Refuse(request, Refusal::kBehind, "the replica is behind");
      refusal.replayed = reply.replayed;
      co_return refusal;
    }
  }
  for (const std::size_t index : plan.caller_statements) {
    reply.answers.push_back(std::move(results[index].answer));
  }
  if (plan.request_record && results[*plan.request_record].answer.error) {
    const wire::ErrorFields& error = *results[*plan.request_record].answer.error;
    StatementAnswer answer;
    answer.error = error;
    reply.answers.assign(request.statements.size(), {});
    recording->already_recorded = error.sqlstate == common::kUniqueViolation;
    reply.answers[0] = recording->already_recorded ? AlreadyRecorded(request.request_id) : answer;
  }
  if (plan.added_commit && AnyError(reply.answers)) {
    // The added transaction failed, so its COMMIT was skipped and it must be rolled back.
    const Statement rollback = TextStatement("ROLLBACK");
    std::vector<Command> commands = {{&rollback, true}};
    co_await connection->Run(std::move(commands), false);
  }
  if (plan.added_commit && !AnyError(reply.answers) && results[*plan.added_commit].answer.error) {
    reply.answers.back().error = results[*plan.added_commit].answer.error;
  }
  if (!after && request.access == Access::kWrite && !AnyError(reply.answers) &&
      connection->Status() == wire::TransactionStatus::kIdle) {
    co_return Unknown(request, "the position of the commit could not be read");
  }
  if (AnswerBytes(reply) > settings_.largest_answer_bytes) {
    StatementAnswer answer;
    answer.error = wire::ErrorFields{std::string(common::kProgramLimitExceeded),
                                     "the answer is larger than pool.largest_answer_bytes", ""};
    reply.answers.assign(request.statements.size(), {});
    reply.answers[0] = std::move(answer);
  }
  counters_.reads_served += request.access == Access::kRead ? 1 : 0;
  co_return reply;
}

}  // namespace valvekeel::pool
