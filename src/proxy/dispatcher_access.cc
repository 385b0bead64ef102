// What the access rules (access/rule.h) mean for operations: who waits, who is refused at once.

#include <algorithm>
#include <utility>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {

access::work Dispatcher::WorkOf(const Session& session) {
  const Operation& operation = *session.operation;
  const bool continues = session.transaction.open && session.transaction.connection.has_value();
  return {operation.route, operation.tenant, continues};
}

std::optional<access::answer> Dispatcher::BarredWithin(const Session& session,
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

std::optional<access::answer> Dispatcher::Barred(const Session& session, common::Instant now) {
  const access::work work = WorkOf(session);
  const std::string& service = session.operation->route.service;
  if (NeedsPrimary(session)) {
    // A primary that lets work through again soon is waited for. So is one that is closed if it
    // should not lead: another takes its place. One that should lead stays, and what it may not run
    // nobody will.
    const Backend* primary = backends_.Find(groups_.UsablePrimary(service, now));
    const access::answer answer =
        primary == nullptr ? access::answer() : access_.judge(primary->Entry(), work, now);
    const bool stays =
        answer.outcome == access::verdict::closed &&
        access_.judge_leader(primary->Entry(), now).fitness == model::LeaderFitness::kFit;
    if (answer.outcome == access::verdict::later || stays) {
      return answer;
    }
  }
  std::optional<access::answer> soonest;
  for (const std::string& id : groups_.Members(service)) {
    const Backend& backend = *backends_.Find(id);
    if (backend.gone_since) {
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

bool Dispatcher::RefuseBarred(Session& session, common::Instant now) {
  const bool pinned = session.transaction.open && session.transaction.connection.has_value();
  const auto barred = pinned ? BarredWithin(session, now) : Barred(session, now);
  if (!barred) {
    return false;
  }
  const Operation& operation = *session.operation;
  const bool in_time = barred->outcome == access::verdict::later &&
                       now + barred->come_back < std::min(operation.hold_until, operation.deadline);
  if (in_time) {
    return false;
  }
  ++counters_.barred[barred->reason];
  if (pinned) {
    FailTransaction(session, now);
  }
  FinishWithError(session, pinned ? model::ErrorCode::kAborted : model::ErrorCode::kBusy,
                  "retry_after_ms=" + MillisecondsText(barred->come_back) + " " + barred->reason,
                  now);
  return true;
}

void Dispatcher::EndBarredTransaction(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  // One that has failed keeps its connection until its caller ends it.
  if (!transaction.open || !transaction.connection) {
    return;
  }
  const auto barred = BarredWithin(session, now);
  if (!barred || barred->outcome != access::verdict::closed) {
    return;
  }
  ++counters_.barred[barred->reason];
  outbox_.Log("transaction_barred",
              {{"request", transaction.begin_id},
               {"instance", transaction.instance},
               {"reason", barred->reason}},
              LogLevel::kWarning);
  FailTransaction(session, now);
}

bool Dispatcher::Closed(const std::string& instance, const model::Route& route,
                        const std::string& tenant, common::Instant now) {
  const Backend* backend = backends_.Find(instance);
  return backend != nullptr &&
         access_.judge(backend->Entry(), {route, tenant, true}, now).outcome ==
             access::verdict::closed;
}

void Dispatcher::NoteBarredRunning(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  if (transaction.open && transaction.connection && !transaction.barred) {
    transaction.barred = Closed(transaction.instance, transaction.route, transaction.tenant, now);
  }
}

void Dispatcher::LeaveConnection(const Transaction& transaction, Backend& backend,
                                 Connection& connection, common::Instant now) {
  if (transaction.barred) {
    // A ROLLBACK may come too late by now; the end of the connection is none of the instance's
    // work.
    backends_.Close(backend, connection.number);
    return;
  }
  backends_.Release(backend, connection, now);
}

void Dispatcher::SendWork(Backend& backend, Connection& connection,
                          std::vector<model::InstanceRequest> requests, Purpose purpose,
                          common::Instant now) {
  // A statement that follows its preparation is counted with it: nothing is asked in between.
  const std::size_t following = purpose == Purpose::kPreparation ? 1 : 0;
  access_.note_sent(backend.Entry(), requests.size() + following, now);
  backends_.Send(backend, connection, std::move(requests), purpose, now);
}

}  // namespace valvekeel::proxy
