#include "gateway/batch_router.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "common/sqlstate.h"

namespace valvekeel::gateway {
namespace {

using asio::awaitable;
using common::Duration;
using common::Instant;
using common::SteadyNow;
using pool::Access;
using pool::BatchReply;
using pool::BatchRequest;
using pool::Outcome;
using pool::Refusal;

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr Duration kRetryAfterNoPrimary{500'000};

BatchReply MakeRefusal(Refusal refusal, std::string reason, Duration retry_after) {
  BatchReply reply;
  reply.outcome = Outcome::kRefused;
  reply.refusal = refusal;
  reply.reason = std::move(reason);
  reply.retry_after_us = retry_after.count();
  return reply;
}

std::string_view SqlStateOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kOverloaded:
      return common::kTooManyConnections;
    case Refusal::kStopping:
      return common::kAdminShutdown;
    case Refusal::kTransactionLost:
      return common::kSerializationFailure;
    default:
      return common::kCannotConnectNow;
  }
}

wire::ErrorFields ErrorOf(const BatchReply& reply) {
  wire::ErrorFields error;
  if (reply.outcome == Outcome::kUnknown) {
    error.sqlstate = common::kTransactionOutcomeUnknown;
    error.message = absl::StrCat("the outcome is not known: ", reply.reason);
    error.detail = "The request may have run once; valvekeel will not run it again.";
    return error;
  }
  error.sqlstate = SqlStateOf(reply.refusal);
  error.message = reply.reason;
  error.detail = absl::StrCat("The request did not run. retry-after-ms=",
                              std::max<std::int64_t>(1, reply.retry_after_us / kMicrosPerMilli));
  return error;
}

bool RefusedAsReadOnly(const BatchReply& reply) {
  return std::any_of(reply.answers.begin(), reply.answers.end(), [](const auto& answer) {
    return answer.error && answer.error->sqlstate == common::kReadOnlyTransaction;
  });
}

}  // namespace

routing::RetryBudget& BatchRouter::BudgetOf(const std::string& group) {
  const auto [found, added] = budgets_.try_emplace(
      group, routing::RetryBudget(settings_.retry_fraction, settings_.retry_reserve));
  return found->second;
}

void BatchRouter::RecordOutcome(const SessionRoute& route, const BatchReply& reply,
                                const std::string& instance) {
  if (reply.replayed != common::Position{}) {
    backends_.RecordReplayed(route.database, instance, reply.replayed);
  }
  const bool lost = reply.outcome == Outcome::kUnknown ||
                    (reply.outcome == Outcome::kRefused && reply.refusal == Refusal::kUnreachable);
  if (lost) {
    backends_.RecordUnreachable(route.database, instance);
  }
}

awaitable<RoutedReply> BatchRouter::Run(SessionRoute& route, SessionBatch batch) {
  const Instant deadline = SteadyNow() + route.budget;
  BudgetOf(route.share_group).OnRequest();
  BatchRequest request;
  request.database = route.database;
  request.share_group = route.share_group;
  request.session = route.number;
  request.settings = std::move(batch.settings);
  request.statements = std::move(batch.statements);
  request.changes_settings = batch.changes_settings;
  request.opens_transaction = batch.opens_transaction;
  request.max_staleness_us = route.max_staleness.count();
  request.read_wait_us = settings_.read_wait.count();
  const bool in_transaction = !route.transaction_instance.empty();
  const bool wrote = route.transaction_wrote || !(batch.reads_only || batch.opens_read_only);
  request.access = wrote ? Access::kWrite : Access::kRead;
  request.request_id = batch.records_request ? route.request_id : "";
  request.budget_us = route.budget.count();

  BatchReply reply;
  if (in_transaction) {
    reply = co_await RunInTransaction(route, std::move(request));
  } else if (wrote) {
    reply = co_await RunWrite(route, std::move(request), deadline);
  } else {
    reply = co_await RunRead(route, std::move(request), deadline);
  }

  if (reply.outcome == Outcome::kUnknown && !batch.may_commit) {
    reply =
        MakeRefusal(Refusal::kTransactionLost,
                    absl::StrCat("the transaction was rolled back: ", reply.reason), Duration{0});
  }
  RoutedReply routed;
  counters_.refused += reply.outcome == Outcome::kRefused ? 1 : 0;
  counters_.unknown += reply.outcome == Outcome::kUnknown ? 1 : 0;
  if (reply.outcome != Outcome::kDone) {
    route.transaction_instance.clear();
    route.transaction_wrote = false;
    routed.error = ErrorOf(reply);
    routed.reply = std::move(reply);
    co_return routed;
  }
  if (reply.status == wire::TransactionStatus::kIdle) {
    route.transaction_instance.clear();
    route.transaction_wrote = false;
    routed.committed = wrote;
    route.required = std::max(route.required, reply.position);
    route.barrier_needed = false;
  } else {
    route.transaction_wrote = wrote;
  }
  routed.reply = std::move(reply);
  co_return routed;
}

awaitable<BatchReply> BatchRouter::RunInTransaction(const SessionRoute& route,
                                                    BatchRequest request) {
  const std::string instance = route.transaction_instance;
  request.instance = instance;
  request.continues = true;
  BatchReply reply = co_await backends_.Execute(std::move(request));
  RecordOutcome(route, reply, instance);
  co_return reply;
}

awaitable<bool> BatchRouter::ConfirmBarrier(SessionRoute& route, Instant deadline) {
  ++counters_.barriers;
  while (SteadyNow() < deadline) {
    const auto view = backends_.View(route.database);
    const auto primary = view ? routing::ReadWriteSplit::WriteTarget(*view) : std::nullopt;
    if (primary) {
      pool::BarrierRequest request;
      request.database = route.database;
      request.instance = *primary;
      request.budget_us = (deadline - SteadyNow()).count();
      const pool::BarrierReply reply = co_await backends_.Barrier(std::move(request));
      if (reply.confirmed) {
        route.required = std::max(route.required, reply.position);
        route.barrier_needed = false;
        co_return true;
      }
    }
    co_await backends_.WaitForChange(route.database, settings_.change_poll);
  }
  co_return false;
}

awaitable<BatchReply> BatchRouter::RunRead(SessionRoute& route, BatchRequest request,
                                           Instant deadline) {
  ++counters_.reads;
  const bool by_position = settings_.read_policy == routing::ReadPolicy::kByPosition;
  if (by_position && route.barrier_needed) {
    const bool passed = co_await ConfirmBarrier(route, deadline);
    if (!passed) {
      co_return MakeRefusal(Refusal::kUnreachable,
                            "no primary confirmed a position for this session's first read",
                            kRetryAfterNoPrimary);
    }
  }
  request.required = route.required;
  BatchReply last =
      MakeRefusal(Refusal::kUnreachable, "no instance can serve the read", kRetryAfterNoPrimary);
  bool first = true;
  while (SteadyNow() < deadline) {
    const auto view = backends_.View(route.database);
    if (!view) {
      co_return MakeRefusal(Refusal::kUnreachable, "the database is not declared",
                            kRetryAfterNoPrimary);
    }
    const routing::ReadRequirements needs{route.required, settings_.zone, route.preferred_replica,
                                          route.number};
    for (const std::string& instance : split_.ReadCandidates(*view, needs, SteadyNow())) {
      const bool primary = instance == view->primary;
      BatchRequest attempt = request;
      attempt.instance = instance;
      attempt.budget_us = (deadline - SteadyNow()).count();
      attempt.max_staleness_us = primary ? 0 : request.max_staleness_us;
      BatchReply reply = co_await backends_.Execute(std::move(attempt));
      RecordOutcome(route, reply, instance);
      const bool rerouted = reply.outcome == Outcome::kDone && !primary && RefusedAsReadOnly(reply);
      if (rerouted && reply.status == wire::TransactionStatus::kIdle) {
        // The replica refused the statement because it writes. It did not run, so it is sent to
        // the primary.
        --counters_.reads;
        co_return co_await RunWrite(route, std::move(request), deadline);
      }
      if (reply.outcome == Outcome::kDone) {
        counters_.reads_on_replicas += primary ? 0 : 1;
        if (!primary) {
          route.preferred_replica = instance;
        }
        if (reply.status != wire::TransactionStatus::kIdle) {
          route.transaction_instance = instance;
        }
        co_return reply;
      }
      const bool overloaded =
          reply.outcome == Outcome::kRefused && reply.refusal == Refusal::kOverloaded;
      last = std::move(reply);
      if (overloaded && primary) {
        co_return last;
      }
      if (last.outcome == Outcome::kUnknown && !BudgetOf(route.share_group).ConsumeRetry()) {
        co_return last;
      }
      counters_.retries += first ? 0 : 1;
      first = false;
      if (SteadyNow() >= deadline) {
        co_return last;
      }
    }
    co_await backends_.WaitForChange(route.database, settings_.change_poll);
  }
  co_return last;
}

awaitable<BatchReply> BatchRouter::RunWrite(SessionRoute& route, BatchRequest request,
                                            Instant deadline) {
  ++counters_.writes;
  request.access = Access::kWrite;
  BatchReply last = MakeRefusal(Refusal::kUnreachable, "no primary is known", kRetryAfterNoPrimary);
  while (SteadyNow() < deadline) {
    const auto view = backends_.View(route.database);
    const auto primary = view ? routing::ReadWriteSplit::WriteTarget(*view) : std::nullopt;
    if (primary) {
      BatchRequest attempt = request;
      attempt.instance = *primary;
      attempt.budget_us = (deadline - SteadyNow()).count();
      BatchReply reply = co_await backends_.Execute(std::move(attempt));
      RecordOutcome(route, reply, *primary);
      if (reply.outcome == Outcome::kDone && reply.status != wire::TransactionStatus::kIdle) {
        route.transaction_instance = *primary;
      }
      const bool repeat = reply.outcome == Outcome::kUnknown && route.repeatable;
      const bool not_run = reply.outcome == Outcome::kRefused;
      const bool final_refusal = not_run && reply.refusal == Refusal::kOverloaded;
      if (final_refusal || !(not_run || repeat)) {
        co_return reply;
      }
      if (repeat && !BudgetOf(route.share_group).ConsumeRetry()) {
        co_return reply;
      }
      ++counters_.retries;
      last = std::move(reply);
    }
    if (waiting_writes_ >= settings_.max_waiting_writes) {
      co_return MakeRefusal(Refusal::kOverloaded, "too many writes wait for a primary",
                            kRetryAfterNoPrimary);
    }
    ++waiting_writes_;
    co_await backends_.WaitForChange(route.database, settings_.change_poll);
    --waiting_writes_;
  }
  co_return last;
}

}  // namespace valvekeel::gateway
