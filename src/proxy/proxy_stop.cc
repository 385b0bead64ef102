// The planned stop: whose sessions end when, who is refused, when the process ends.

#include <algorithm>

#include "proxy/proxy.h"

namespace valvekeel::proxy {
namespace {

/// After the stop signal, time until callers are sent here no more.
constexpr common::Duration kStopNotice{2'300'000};
/// Part of the stop's time that open transactions get.
constexpr int kTransactionShare = 2;
constexpr const char* kStops = "the daemon stops";
/// Left of the stop's time when the process ends whatever is open.
constexpr common::Duration kExitReserve{900'000};

}  // namespace

void Proxy::Stop(common::Instant now) {
  if (stopping_since_) {
    return;
  }
  stopping_since_ = now;
  outbox_.Log("stopping", {{"sessions", std::to_string(dispatcher_.SessionCount())}});
  JudgeReadiness(now);
  SendHeartbeats(Receivers::kPartners, TellsAll(), now);
}

common::Instant Proxy::TransactionsUntil() const {
  return *stopping_since_ + settings_.stop_grace / kTransactionShare;
}

bool Proxy::TooLateForSessions(common::Instant now) const {
  // Each that is accepted has its whole time for a first command.
  return stopping_since_ && now >= TransactionsUntil() - relay::FIRST_COMMAND_GRACE;
}

void Proxy::RefuseSession(SessionNumber session, const std::string& database,
                          const SessionOrigin& origin) {
  if (origin.handed_over) {
    outbox_.Log("relayed_session_declined",
                {{"session", std::to_string(session)}, {"reason", kStops}});
    outbox_.Emit(CloseSession{session});  // without an error: another owner may take it
    return;
  }
  outbox_.Log("session_refused", {{"database", database},
                                  {"reason", kStops},
                                  {"version", std::to_string(catalog_.Configuration().version)}});
  outbox_.Emit(CloseSession{session, true, model::ErrorCode::kBusy, kGoElsewhere});
}

void Proxy::AdvanceStop(common::Instant now) {
  if (!stopping_since_ || exited_) {
    return;
  }
  const common::Instant transactions_until = TransactionsUntil();
  const common::Instant notice_until =
      *stopping_since_ + std::min(kStopNotice, settings_.stop_grace / kTransactionShare);
  const common::Instant exit_at = *stopping_since_ + settings_.stop_grace - kExitReserve;
  if (now >= notice_until) {
    dispatcher_.StartClosing();
    dispatcher_.CloseResting(now >= transactions_until, now);
    relay_.Sessions().start_closing(now);
    if (now >= transactions_until) {
      relay_.Sessions().close_idle(now);
    }
  }
  const std::size_t sessions = dispatcher_.SessionCount() + relay_.SessionCount();
  const bool done = now >= transactions_until && sessions == 0;
  if (done || now >= exit_at) {
    exited_ = true;
    outbox_.Log("stopped", {{"sessions_left", std::to_string(sessions)}});
    dispatcher_.EndAll(now);
    relay_.Sessions().close_all();
    outbox_.Emit(Exit{});
  }
}

}  // namespace valvekeel::proxy
