// Handles open transactions and the confirmation of commits; instance_pool.cc has the other parts
// of the pool.

#include <algorithm>
#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <thread>

#include "common/time.h"
#include "pool/instance_pool.h"

namespace valvekeel::pool {
namespace {

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using common::Duration;
using common::Instant;
using common::IsOk;
using common::SteadyNow;
using common::ValueOf;

constexpr Duration kReconnectInterval{50'000};
constexpr Duration kMaxConfirmerWait{3'600'000'000};
constexpr std::size_t kCancelMessageBytes = 256;

}  // namespace

// --- Open transactions ------------------------------------------------------------------------

void InstancePool::PinConnection(const SessionKey& session, const ConnectionPointer& connection,
                                 bool recorded) {
  PinnedTransaction& pinned = pinned_[session];
  pinned.connection = connection;
  pinned.recorded = recorded;
  pinned.busy = false;
  pinned.last_used = SteadyNow();
}

void InstancePool::Release(const SessionKey& session) {
  const auto running = running_.find(session);
  if (running != running_.end()) {
    running->second.released = true;  // ExecuteAdmitted discards the connection when the batch ends
    return;
  }
  const auto found = pinned_.find(session);
  if (found == pinned_.end()) {
    return;
  }
  // The database rolls back when the connection closes; no state can leak to the next session.
  const ConnectionPointer connection = found->second.connection;
  pinned_.erase(found);
  Discard(connection);
}

void InstancePool::ReleaseGateway(const cluster::MemberId& gateway) {
  std::vector<SessionKey> sessions;
  for (const auto& [session, pinned] : pinned_) {
    if (session.gateway == gateway) {
      sessions.push_back(session);
    }
  }
  for (const auto& [session, running] : running_) {
    if (session.gateway == gateway) {
      sessions.push_back(session);
    }
  }
  for (const SessionKey& session : sessions) {
    Release(session);
  }
}

void InstancePool::ExpireIdleTransactions(Instant now) {
  std::vector<SessionKey> expired;
  for (const auto& [session, pinned] : pinned_) {
    if (!pinned.busy && now - pinned.last_used > settings_.idle_transaction_timeout) {
      expired.push_back(session);
    }
  }
  for (const SessionKey& session : expired) {
    Release(session);
  }
}

void InstancePool::Cancel(const SessionKey& session) {
  const auto found = running_.find(session);
  if (found == running_.end()) {
    return;
  }
  // PQcancel blocks while it connects, so it runs on a separate thread.
  auto handle = std::make_shared<std::unique_ptr<PGcancel, void (*)(PGcancel*)>>(
      found->second.connection->CancelHandle());
  std::thread([handle] {
    std::array<char, kCancelMessageBytes> message{};
    PQcancel(handle->get(), message.data(), static_cast<int>(message.size()));
  }).detach();
}

// --- Confirmation -----------------------------------------------------------------------------

void InstancePool::StartConfirmers() {
  for (const configuration::InstanceSpec& spec : database_spec_.instances) {
    if (spec.id == spec_.id || confirmers_.contains(spec.id)) {
      continue;
    }
    confirmers_[spec.id] = std::make_shared<Waiter>(loop_);
    const auto self = shared_from_this();
    const std::string peer = spec.id;
    asio::co_spawn(
        loop_, [self, peer]() -> awaitable<void> { co_await self->RunConfirmer(peer); },
        asio::detached);
  }
}

awaitable<void> InstancePool::RunConfirmer(std::string peer) {
  ConnectionPointer connection;
  while (!stopped_) {
    const auto spec =
        std::find_if(database_spec_.instances.begin(), database_spec_.instances.end(),
                     [&](const configuration::InstanceSpec& entry) { return entry.id == peer; });
    if (spec == database_spec_.instances.end()) {
      confirmers_.erase(peer);
      co_return;
    }
    CompleteConfirmations(confirmation_.Expire(SteadyNow()));
    if (!confirmation_.NeedsProbe(peer)) {
      confirmers_[peer] = std::make_shared<Waiter>(loop_);
      co_await WaitOn(confirmers_[peer], kMaxConfirmerWait);
      continue;
    }
    if (connection == nullptr || !connection->IsUsable()) {
      connection = NewConnection(*spec);
      const auto failure = co_await connection->Open(settings_.connect_timeout);
      if (failure) {
        connection = nullptr;
        co_await WaitOn(std::make_shared<Waiter>(loop_), kReconnectInterval);
      }
      continue;
    }
    const confirmation::ProbeNumber probe = confirmation_.StartProbe(peer);
    const auto answered = co_await ProbeInTime(connection);
    if (!IsOk(answered)) {
      confirmation_.OnProbeFailed(probe);
      continue;
    }
    const monitor::Observation& answer = ValueOf(answered);
    if (!answer.in_recovery && answer.term > known_term_ && on_topology_) {
      // The peer is the new primary: report it now, without waiting for the next probe of its
      // own pool.
      on_topology_(database_, peer, answer);
    }
    CompleteConfirmations(confirmation_.OnProbeAnswer(probe, {answer.term, answer.received}));
    if (confirmation_.NeedsProbe(peer)) {
      co_await WaitOn(std::make_shared<Waiter>(loop_), settings_.confirm_probe_interval);
    }
  }
}

void InstancePool::CompleteConfirmations(const std::vector<confirmation::Resolution>& resolutions) {
  for (const confirmation::Resolution& resolution : resolutions) {
    const auto found = confirming_.find(resolution.number);
    if (found == confirming_.end()) {
      continue;
    }
    counters_.superseded +=
        resolution.result == confirmation::ConfirmationResult::kSuperseded ? 1 : 0;
    found->second.second = resolution.result;
    Wake(found->second.first, false);
  }
}

awaitable<confirmation::ConfirmationResult> InstancePool::Confirm(common::Position position,
                                                                  bool position_needed,
                                                                  Duration limit) {
  const confirmation::PendingNumber number = next_pending_++;
  const auto waiter = std::make_shared<Waiter>(loop_);
  confirming_[number] = {waiter, confirmation::ConfirmationResult::kTimedOut};
  CompleteConfirmations(confirmation_.Add(number, position, position_needed, SteadyNow() + limit));
  for (const auto& [peer, confirmer] : confirmers_) {
    Wake(confirmer, false);
  }
  co_await WaitOn(waiter, limit);
  CompleteConfirmations(confirmation_.Expire(SteadyNow()));
  const confirmation::ConfirmationResult result = confirming_[number].second;
  confirming_.erase(number);
  co_return result;
}

awaitable<std::optional<common::Position>> InstancePool::CurrentPosition(Instant deadline) {
  auto acquired = co_await AcquireConnection(deadline);
  if (!IsOk(acquired)) {
    co_return std::nullopt;
  }
  const ConnectionPointer connection = ValueOf(acquired);
  const auto probed = co_await ProbeInTime(connection);
  if (!IsOk(probed)) {
    Discard(connection);
    co_return std::nullopt;
  }
  ReturnConnection(connection);
  const monitor::Observation& observation = ValueOf(probed);
  if (observation.in_recovery) {
    co_return std::nullopt;
  }
  co_return common::Position{observation.term, observation.received};
}

awaitable<BarrierReply> InstancePool::Barrier(BarrierRequest request) {
  const auto self = shared_from_this();
  BarrierReply reply;
  reply.number = request.number;
  const Instant deadline = SteadyNow() + Duration{request.budget_us};
  co_await WaitForFirstProbe(deadline);
  const auto position = co_await CurrentPosition(deadline);
  if (!position) {
    reply.reason = "the instance does not answer as a primary";
    co_return reply;
  }
  reply.position = *position;
  const auto result = co_await Confirm(
      reply.position, false, std::min(settings_.confirm_timeout, Duration{request.budget_us}));
  reply.confirmed = result == confirmation::ConfirmationResult::kConfirmed;
  reply.reason = reply.confirmed ? "" : "no majority confirmed the primary's term";
  co_return reply;
}

}  // namespace valvekeel::pool
