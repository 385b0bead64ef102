// Determines the tenant of sessions and operations; rejects unknown keys and tenants over their
// limit.

#include <utility>

#include "proxy/dispatcher.h"

namespace valvekeel::proxy {
namespace {

/// The error answered to a caller that is refused.
struct Refusal {
  model::ErrorCode code = model::ErrorCode::kBusy;
  std::string text;
};

std::string RetryAfterText(common::Duration pause) {
  return "retry_after_ms=" + MillisecondsText(pause);
}

Refusal RefusalOf(const tenants::admission_result& result) {
  switch (result.outcome) {
    case tenants::admission_outcome::unknown_key:
      return {model::ErrorCode::kDenied, "unknown key"};
    case tenants::admission_outcome::unproven:
      return {model::ErrorCode::kBusy,
              RetryAfterText(result.retry_after) + " keys cannot be checked now"};
    case tenants::admission_outcome::over_limit:
      return {model::ErrorCode::kBusy,
              RetryAfterText(result.retry_after) + " the tenant's rate is used up"};
    case tenants::admission_outcome::admitted:
      break;
  }
  return {};
}

const char* OutcomeName(tenants::admission_outcome outcome) {
  switch (outcome) {
    case tenants::admission_outcome::unknown_key:
      return "unknown key";
    case tenants::admission_outcome::unproven:
      return "keys unproven";
    case tenants::admission_outcome::over_limit:
      return "over the limit";
    case tenants::admission_outcome::admitted:
      return "admitted";
  }
  return "unknown";
}

}  // namespace

tenants::admission_result Dispatcher::IdentifyTenant(const Session& session,
                                                     const model::Route& route,
                                                     common::Instant now) const {
  return admission_.identify(route.is_public, session.key, now);
}

void Dispatcher::LogRejection(const std::string& request, const model::Route& route,
                              const tenants::admission_result& result) {
  admission_.record_refusal(result.outcome);
  outbox_.Log("request_turned_away",
              {{"request", request},
               {"reason", OutcomeName(result.outcome)},
               {"tenant", result.tenant},
               {"service", route.service},
               {"version", std::to_string(admission_.configuration_version())},
               {"proof_age_ms", MillisecondsText(result.proof_age)},
               {"retry_after_ms", MillisecondsText(result.retry_after)}},
              LogLevel::kWarning);
}

bool Dispatcher::AcceptsCaller(const Session& session, const model::Route& route,
                               common::Instant now) {
  const tenants::admission_result result = IdentifyTenant(session, route, now);
  if (result.outcome == tenants::admission_outcome::admitted) {
    return true;
  }
  LogRejection("", route, result);
  const Refusal refusal = RefusalOf(result);
  outbox_.Emit(CloseSession{session.number, true, refusal.code, refusal.text});
  return false;
}

std::optional<std::string> Dispatcher::AdmitOperation(Session& session,
                                                      const CallerCommand& command,
                                                      const model::Route& route,
                                                      common::Instant now) {
  tenants::admission_result result = admission_.admit(route.is_public, session.key, now);
  if (result.outcome == tenants::admission_outcome::admitted) {
    return std::move(result.tenant);
  }
  LogRejection(command.request_id, route, result);
  const Refusal refusal = RefusalOf(result);
  AnswerError(session, refusal.code, refusal.text);
  return std::nullopt;
}

bool Dispatcher::CheckTransactionTenant(Session& session, const CallerCommand& command,
                                        common::Instant now) {
  const Transaction& transaction = session.transaction;
  const tenants::admission_result result = IdentifyTenant(session, transaction.route, now);
  const bool admitted = result.outcome == tenants::admission_outcome::admitted;
  if (admitted && result.tenant == transaction.tenant) {
    return true;
  }
  LogRejection(command.request_id, transaction.route, result);
  // Nothing of the transaction is kept: ROLLBACK is sent before the caller is answered.
  FailTransaction(session, now);
  const bool commits = command.command.kind == model::CommandKind::kCommit;
  if (commits) {
    EndTransaction(session, now);
  }
  if (result.outcome == tenants::admission_outcome::unknown_key) {
    AnswerError(session, model::ErrorCode::kDenied, "the key was taken away");
  } else {
    AnswerError(session, model::ErrorCode::kAborted,
                admitted ? "the key has another tenant" : RefusalOf(result).text);
  }
  return false;
}

bool Dispatcher::StillAdmitted(const Session& session, const tenants::admission_result& current) {
  const bool same = !session.transaction.open || current.tenant == session.transaction.tenant;
  return current.outcome == tenants::admission_outcome::admitted && same;
}

void Dispatcher::FailTransaction(Session& session, common::Instant now) {
  Transaction& transaction = session.transaction;
  transaction.failed = true;
  if (!transaction.connection) {
    return;
  }
  Backend* backend = backends_.Find(transaction.instance);
  Connection* connection = backend == nullptr ? nullptr : backend->Find(*transaction.connection);
  transaction.connection.reset();
  if (connection != nullptr) {
    ReleaseOrCloseConnection(transaction, *backend, *connection, now);
  }
}

}  // namespace valvekeel::proxy
