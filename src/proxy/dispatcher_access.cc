// Applies the access rules (access/rule.h) to operations and transactions of the dispatcher.

#include <algorithm>
#include <utility>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {

access::work Dispatcher::WorkOf(const Session& session) {
  const Operation& operation = *session.operation;
  const bool continues = session.transaction.open && session.transaction.connection.has_value();
  return {operation.route, operation.tenant, continues};
}

std::optional<access::decision> Dispatcher::BlockingAnswerInTransaction(const Session& session,
                                                                        common::Instant now) {
  const Transaction& transaction = session.transaction;
  const Backend* backend = backends_.Find(transaction.instance);
  if (backend == nullptr) {
    return std::nullopt;
  }
  const access::decision answer =
      access_.evaluate(backend->Entry(), {transaction.route, transaction.tenant, true}, now);
  return answer.level >= access::access_level::deferred ? std::optional(answer) : std::nullopt;
}

std::optional<access::decision> Dispatcher::BlockingAnswer(const Session& session,
                                                           common::Instant now) {
  const access::work work = WorkOf(session);
  const std::string& service = session.operation->route.service;
  if (NeedsPrimary(session)) {
    // The operation waits for a primary that takes work again soon. It also waits if the primary is
    // closed and unfit to lead, as another instance replaces it. A closed primary that is fit to
    // lead stays the primary, so no instance will run the operation.
    const Backend* primary = backends_.Find(groups_.UsablePrimary(service, now));
    const access::decision answer =
        primary == nullptr ? access::decision() : access_.evaluate(primary->Entry(), work, now);
    const bool primary_stays =
        answer.level == access::access_level::closed &&
        access_.evaluate_leader(primary->Entry(), now).fitness == model::LeaderFitness::kFit;
    if (answer.level == access::access_level::deferred || primary_stays) {
      return answer;
    }
  }
  std::optional<access::decision> soonest;
  for (const std::string& id : groups_.Members(service)) {
    const Backend& backend = *backends_.Find(id);
    if (backend.unlisted_since) {
      continue;
    }
    const access::decision answer = access_.evaluate(backend.Entry(), work, now);
    if (answer.level < access::access_level::deferred) {
      return std::nullopt;
    }
    if (!soonest || answer.retry_after < soonest->retry_after) {
      soonest = answer;
    }
  }
  return soonest;
}

bool Dispatcher::RefuseBlocked(Session& session, common::Instant now) {
  const bool pinned = session.transaction.open && session.transaction.connection.has_value();
  const auto blocked =
      pinned ? BlockingAnswerInTransaction(session, now) : BlockingAnswer(session, now);
  if (!blocked) {
    return false;
  }
  const Operation& operation = *session.operation;
  const bool retry_in_time =
      blocked->level == access::access_level::deferred &&
      now + blocked->retry_after < std::min(operation.queue_deadline, operation.deadline);
  if (retry_in_time) {
    return false;
  }
  ++counters_.blocked[blocked->reason];
  if (pinned) {
    FailTransaction(session, now);
  }
  FinishWithError(
      session, pinned ? model::ErrorCode::kAborted : model::ErrorCode::kBusy,
      "retry_after_ms=" + MillisecondsText(blocked->retry_after) + " " + blocked->reason, now);
  return true;
}

void Dispatcher::EndBlockedTransaction(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  // A failed transaction keeps its connection until the caller ends it.
  if (!transaction.open || !transaction.connection) {
    return;
  }
  const auto blocked = BlockingAnswerInTransaction(session, now);
  if (!blocked || blocked->level != access::access_level::closed) {
    return;
  }
  ++counters_.blocked[blocked->reason];
  outbox_.Log("transaction_barred",
              {{"request", transaction.begin_request_id},
               {"instance", transaction.instance},
               {"reason", blocked->reason}},
              LogLevel::kWarning);
  FailTransaction(session, now);
}

bool Dispatcher::IsInstanceClosed(const std::string& instance, const model::Route& route,
                                  const std::string& tenant, common::Instant now) {
  const Backend* backend = backends_.Find(instance);
  return backend != nullptr &&
         access_.evaluate(backend->Entry(), {route, tenant, true}, now).level ==
             access::access_level::closed;
}

void Dispatcher::RecordInstanceClosed(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  if (transaction.open && transaction.connection && !transaction.instance_closed) {
    transaction.instance_closed =
        IsInstanceClosed(transaction.instance, transaction.route, transaction.tenant, now);
  }
}

void Dispatcher::ReleaseOrCloseConnection(const Transaction& transaction, Backend& backend,
                                          Connection& connection, common::Instant now) {
  if (transaction.instance_closed) {
    // A ROLLBACK may come too late by now. Closing the connection is no request, so the instance
    // gets no more work.
    backends_.Close(backend, connection.number);
    return;
  }
  backends_.Release(backend, connection, now);
}

void Dispatcher::SendAndCountRequests(Backend& backend, Connection& connection,
                                      std::vector<model::InstanceRequest> requests,
                                      RequestPurpose purpose, common::Instant now) {
  // A statement is counted with its preparation: after that, only a closed instance keeps it from
  // being sent.
  const std::size_t following = purpose == RequestPurpose::kPreparation ? 1 : 0;
  access_.on_sent(backend.Entry(), requests.size() + following, now);
  backends_.Send(backend, connection, std::move(requests), purpose, now);
}

}  // namespace valvekeel::proxy
