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

std::optional<access::answer> Dispatcher::BlockingAnswerInTransaction(const Session& session,
                                                                      common::Instant now) {
  const Transaction& transaction = session.transaction;
  const Backend* backend = backends_.Find(transaction.instance);
  if (backend == nullptr) {
    return std::nullopt;
  }
  const access::answer answer =
      access_.judge(backend->Entry(), {transaction.route, transaction.tenant, true}, now);
  return answer.outcome >= access::verdict::later ? std::optional(answer) : std::nullopt;
}

std::optional<access::answer> Dispatcher::BlockingAnswer(const Session& session,
                                                         common::Instant now) {
  const access::work work = WorkOf(session);
  const std::string& service = session.operation->route.service;
  if (NeedsPrimary(session)) {
    // The operation waits for a primary that takes work again soon. It also waits if the primary is
    // closed and unfit to lead, as another instance replaces it. A closed primary that is fit to
    // lead stays the primary, so no instance will run the operation.
    const Backend* primary = backends_.Find(groups_.UsablePrimary(service, now));
    const access::answer answer =
        primary == nullptr ? access::answer() : access_.judge(primary->Entry(), work, now);
    const bool primary_stays =
        answer.outcome == access::verdict::closed &&
        access_.judge_leader(primary->Entry(), now).fitness == model::LeaderFitness::kFit;
    if (answer.outcome == access::verdict::later || primary_stays) {
      return answer;
    }
  }
  std::optional<access::answer> soonest;
  for (const std::string& id : groups_.Members(service)) {
    const Backend& backend = *backends_.Find(id);
    if (backend.unlisted_since) {
      continue;
    }
    const access::answer answer = access_.judge(backend.Entry(), work, now);
    if (answer.outcome < access::verdict::later) {
      return std::nullopt;
    }
    if (!soonest || answer.come_back < soonest->come_back) {
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
      blocked->outcome == access::verdict::later &&
      now + blocked->come_back < std::min(operation.queue_deadline, operation.deadline);
  if (retry_in_time) {
    return false;
  }
  ++counters_.blocked[blocked->reason];
  if (pinned) {
    FailTransaction(session, now);
  }
  FinishWithError(session, pinned ? model::ErrorCode::kAborted : model::ErrorCode::kBusy,
                  "retry_after_ms=" + MillisecondsText(blocked->come_back) + " " + blocked->reason,
                  now);
  return true;
}

void Dispatcher::EndBlockedTransaction(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  // A failed transaction keeps its connection until the caller ends it.
  if (!transaction.open || !transaction.connection) {
    return;
  }
  const auto blocked = BlockingAnswerInTransaction(session, now);
  if (!blocked || blocked->outcome != access::verdict::closed) {
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
         access_.judge(backend->Entry(), {route, tenant, true}, now).outcome ==
             access::verdict::closed;
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
  access_.note_sent(backend.Entry(), requests.size() + following, now);
  backends_.Send(backend, connection, std::move(requests), purpose, now);
}

}  // namespace valvekeel::proxy
