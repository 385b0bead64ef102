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
                  "retry_after_ms=" + Milliseconds(barred->come_back) + " " + barred->reason, now);
  return true;
}

void Dispatcher::EndBarredTransaction(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  if (!transaction.open || !transaction.connection || transaction.failed) {
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

void Dispatcher::SendWork(Backend& backend, Connection& connection,
                          std::vector<model::InstanceRequest> requests, Purpose purpose,
                          common::Instant now) {
  access_.note_sent(backend.Entry(), requests.size(), now);
  backends_.Send(backend, connection, std::move(requests), purpose, now);
}

}  // namespace valvekeel::proxy
