// The proxy's planned stop: ends sessions, rejects new ones and exits the process.

#include <algorithm>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

/// Time after the stop signal until no more callers are directed to this daemon.
constexpr common::Duration kStopNotice{2'300'000};
/// Open transactions get the stop's time divided by this.
constexpr int kTransactionTimeDivisor = 2;
constexpr const char* kStoppingReason = "the daemon stops";
/// Remaining part of the stop's time when the process exits, whatever is still open.
constexpr common::Duration kExitReserve{900'000};

}  // namespace

void Proxy::Stop(common::Instant now) {
  if (stopping_since_) {
    return;
  }
  stopping_since_ = now;
  outbox_.Log("stopping", {{"sessions", std::to_string(dispatcher_.SessionCount())}});
  UpdateReadiness(now);
  SendHeartbeats(Receivers::kPartners, ReportsAllGroups(), now);
}

common::Instant Proxy::TransactionsUntil() const {
  return *stopping_since_ + settings_.stop_grace / kTransactionTimeDivisor;
}

bool Proxy::IsTooLateForSessions(common::Instant now) const {
  // Each accepted session gets the full time for a first command.
  return stopping_since_ && now >= TransactionsUntil() - relay::FIRST_COMMAND_GRACE;
}

void Proxy::RefuseSession(SessionNumber session, const std::string& database,
                          const SessionOrigin& origin) {
  if (origin.handed_over) {
    outbox_.Log("relayed_session_declined",
                {{"session", std::to_string(session)}, {"reason", kStoppingReason}});
    outbox_.Emit(CloseSession{session});  // without an error: another owner may take it
    return;
  }
  outbox_.Log("session_refused", {{"database", database},
                                  {"reason", kStoppingReason},
                                  {"version", std::to_string(catalog_.Configuration().version)}});
  outbox_.Emit(CloseSession{session, true, model::ErrorCode::kBusy, kDaemonStoppingText});
}

void Proxy::AdvanceStop(common::Instant now) {
  if (!stopping_since_ || exited_) {
    return;
  }
  const common::Instant transactions_until = TransactionsUntil();
  const common::Instant notice_until =
      *stopping_since_ + std::min(kStopNotice, settings_.stop_grace / kTransactionTimeDivisor);
  const common::Instant exit_at = *stopping_since_ + settings_.stop_grace - kExitReserve;
  if (now >= notice_until) {
    dispatcher_.StartDraining();
    dispatcher_.EndAllIdleSessions(now >= transactions_until, now);
    session_relay_.Sessions().start_closing(now);
    if (now >= transactions_until) {
      session_relay_.Sessions().close_idle(now);
    }
  }
  const std::size_t sessions = dispatcher_.SessionCount() + session_relay_.SessionCount();
  const bool done = now >= transactions_until && sessions == 0;
  if (done || now >= exit_at) {
    exited_ = true;
    outbox_.Log("stopped", {{"sessions_left", std::to_string(sessions)}});
    dispatcher_.EndAllSessions(now);
    session_relay_.Sessions().close_all();
    outbox_.Emit(Exit{});
  }
}

}  // namespace valvekeel::proxy
