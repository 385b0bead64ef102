#include "proxy/session_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "regions/region_rule.h"

namespace valvekeel::proxy {
namespace {

/// Longest wait of a session for the configuration that the daemon that handed it over has in
/// force.
constexpr common::Duration kConfigurationWaitLimit{350'000};

constexpr int kMissedHeartbeats = 3;

}  // namespace

SessionRelay::SessionRelay(const ProxySettings& settings, const relay::role_map& roles,
                           const PeerTable& peers, const membership::live_view& view,
                           const tenants::admission& admission,
                           const regions::region_policy& regions, Dispatcher& dispatcher,
                           Outbox& outbox)
    : zone_(settings.zone),
      roles_(roles),
      peers_(peers),
      membership_(view),
      admission_(admission),
      regions_(regions),
      dispatcher_(dispatcher),
      outbox_(outbox),
      sessions_(settings.zone, roles, *this) {}

std::string SessionRelay::ServiceOf(const std::string& database) const {
  if (configuration_ == nullptr) {
    return "";
  }
  const auto route = configuration_->routes.find(database);
  return route == configuration_->routes.end() ? "" : route->second.service;
}

bool SessionRelay::IsOwnedElsewhere(const std::string& database) const {
  const std::string service = ServiceOf(database);
  return !service.empty() && !roles_.owns(service);
}

bool SessionRelay::LacksProof(const std::string& database, common::Instant now) const {
  if (configuration_ == nullptr || !admission_.is_unproven(now)) {
    return false;
  }
  const auto route = configuration_->routes.find(database);
  return route != configuration_->routes.end() && !route->second.is_public;
}

void SessionRelay::SessionStarted(SessionNumber session, const std::string& database,
                                  const tenants::key_digest& key, const SessionOrigin& origin,
                                  common::Instant now) {
  const std::uint64_t version = configuration_ == nullptr ? 0 : configuration_->version;
  if (origin.handed_over && version < origin.required_configuration) {
    awaiting_configuration_[session] = {database, key, origin.required_configuration, now,
                                        origin.accepts_end_request};
    return;
  }
  if (origin.handed_over) {
    ServeOrDecline(session,
                   {database, key, origin.required_configuration, now, origin.accepts_end_request},
                   now);
    return;
  }
  if (IsOwnedElsewhere(database)) {
    if (!regions_.allows_anywhere(database, admission_.tenant_of(key))) {
      RefuseOutsideRegions(session, database);
      return;
    }
    relayed_starts_[session] = {database, key, 0, now};
    sessions_.start(session, ServiceOf(database), admission_.tenant_of(key), now);
    return;
  }
  dispatcher_.SessionStarted(session, database, key, now);
}

void SessionRelay::RefuseOutsideRegions(SessionNumber session, const std::string& database) {
  outbox_.Log("session_refused",
              {{"database", database},
               {"reason", regions::OUTSIDE_REGIONS},
               {"version", std::to_string(configuration_->version)}},
              LogLevel::kWarning);
  ++refused_outside_regions_;
  outbox_.Emit(CloseSession{
      session, true, model::ErrorCode::kBusy,
      "retry_after_ms=" + MillisecondsText(regions::RETRY_AFTER) + " " + regions::OUTSIDE_REGIONS});
}

void SessionRelay::ServeOrDecline(SessionNumber session, const StartRequest& start,
                                  common::Instant now) {
  const bool outside = !MayProcessIn(start.database, start.key, zone_);
  if (outside) {
    outbox_.Log("relayed_session_declined",
                {{"session", std::to_string(session)}, {"reason", regions::OUTSIDE_REGIONS}},
                LogLevel::kWarning);
  }
  if (outside || LacksProof(start.database, now)) {
    outbox_.Emit(CloseSession{session});  // without an error: another owner may take it
    return;
  }
  dispatcher_.SessionStarted(session, start.database, start.key, now);
  dispatcher_.RecordHandover(session, start.accepts_end_request);
  for (const CallerCommand& command : start.commands) {
    dispatcher_.CommandReceived(session, command, now);
  }
}

bool SessionRelay::MayProcessIn(const std::string& database, const tenants::key_digest& key,
                                const std::string& zone) const {
  return !regions_.active() || regions_.allows(database, admission_.tenant_of(key), zone);
}

bool SessionRelay::zone_may_serve(relay::session_number session, const std::string& zone) const {
  const StartRequest& start = relayed_starts_.at(session);
  return MayProcessIn(start.database, start.key, zone);
}

void SessionRelay::RegionsChanged(common::Instant now) {
  const std::size_t moving = sessions_.on_regions_changed(now);
  if (moving > 0) {
    outbox_.Log("relayed_sessions_moving", {{"sessions", std::to_string(moving)}});
  }
  outside_regions_since_ = outside_regions_since_.value_or(now);
  EndSessionsOutsideRegions(now);
}

void SessionRelay::EndSessionsOutsideRegions(common::Instant now) {
  if (!outside_regions_since_) {
    return;
  }
  const common::Duration since = now - *outside_regions_since_;
  // Before these limits the daemon that handed them over ends them: the next command of a session
  // that is idle here may be on the link.
  const SessionEndCondition when = since >= relay::MOVE_DEADLINE ? SessionEndCondition::kImmediately
                                   : since >= relay::MOVE_LIMIT
                                       ? SessionEndCondition::kBetweenCommands
                                       : SessionEndCondition::kNotYet;
  const auto outside = [this](const CallerSession& session) {
    return session.handed_over && !MayProcessIn(session.database, session.key, zone_);
  };
  if (dispatcher_.EndSessions(outside, when, regions::OUTSIDE_REGIONS, now) == 0) {
    outside_regions_since_.reset();
  }
}

bool SessionRelay::QueueCommand(SessionNumber session, const CallerCommand& command) {
  const auto found = awaiting_configuration_.find(session);
  if (found == awaiting_configuration_.end()) {
    return false;
  }
  found->second.commands.push_back(command);
  return true;
}

void SessionRelay::SessionClosed(SessionNumber session) {
  awaiting_configuration_.erase(session);
  relayed_starts_.erase(session);
  sessions_.on_caller_closed(session);
}

void SessionRelay::SetConfiguration(const model::Configuration* configuration,
                                    common::Instant now) {
  configuration_ = configuration;
  std::vector<SessionNumber> startable;
  for (const auto& [session, start] : awaiting_configuration_) {
    if (configuration_->version >= start.required_configuration) {
      startable.push_back(session);
    }
  }
  for (const SessionNumber session : startable) {
    const StartRequest start = awaiting_configuration_.at(session);
    awaiting_configuration_.erase(session);
    ServeOrDecline(session, start, now);
  }
}

void SessionRelay::Tick(common::Instant now) {
  sessions_.tick(now);
  EndSessionsOutsideRegions(now);
  std::vector<SessionNumber> expired;
  for (const auto& [session, start] : awaiting_configuration_) {
    if (now >= start.arrived + kConfigurationWaitLimit) {
      expired.push_back(session);
    }
  }
  for (const SessionNumber session : expired) {
    outbox_.Log("relayed_session_declined",
                {{"session", std::to_string(session)},
                 {"reason", "configuration not in force"},
                 {"needed_version",
                  std::to_string(awaiting_configuration_.at(session).required_configuration)}},
                LogLevel::kWarning);
    awaiting_configuration_.erase(session);
    outbox_.Emit(CloseSession{session});
  }
}

bool SessionRelay::HasRecentHeartbeat(const std::string& daemon, common::Instant now) const {
  const Peer* peer = peers_.FindByName(daemon);
  if (peer == nullptr || !peer->last_received_at) {
    return false;
  }
  const common::Duration limit =
      std::max(relay::OWNER_TIMEOUT, kMissedHeartbeats * peer->last.interval);
  return now < *peer->last_received_at + limit;
}

bool SessionRelay::is_reachable(const std::string& daemon, common::Instant now) const {
  // In a large deployment hubs receive the owners' heartbeats for all daemons.
  return membership_.find(daemon) != nullptr || HasRecentHeartbeat(daemon, now);
}

bool SessionRelay::is_available(const std::string& daemon, common::Instant now) const {
  const membership::member* member = membership_.find(daemon);
  if (member != nullptr) {
    return !member->stopping;
  }
  return HasRecentHeartbeat(daemon, now) && !peers_.FindByName(daemon)->last.stopping;
}

void SessionRelay::open_link(relay::session_number session, const std::string& owner) {
  const std::uint64_t version = configuration_ == nullptr ? 0 : configuration_->version;
  const membership::member* member = membership_.find(owner);
  const common::Endpoint& address =
      member != nullptr ? member->address : peers_.FindByName(owner)->address;
  outbox_.Emit(RelaySession{session, address, version});
}

void SessionRelay::close_link(relay::session_number session) { outbox_.Emit(CloseRelay{session}); }

void SessionRelay::serve_locally(relay::session_number session, common::Instant now) {
  const StartRequest start = relayed_starts_.at(session);
  relayed_starts_.erase(session);
  dispatcher_.SessionStarted(session, start.database, start.key, now);
}

void SessionRelay::answer(relay::session_number session, model::ErrorCode error,
                          const std::string& text) {
  model::Reply reply;
  reply.error = error;
  reply.error_text = text;
  // An open transaction ends with the owner's side of the session.
  reply.state = model::TransactionState::kIdle;
  outbox_.Emit(AnswerCaller{session, reply, std::nullopt});
}

void SessionRelay::reject_caller(relay::session_number session, model::ErrorCode error,
                                 const std::string& text) {
  relayed_starts_.erase(session);
  outbox_.Emit(CloseSession{session, true, error, text});
}

void SessionRelay::close_caller(relay::session_number session) {
  relayed_starts_.erase(session);
  outbox_.Emit(CloseSession{session});
}

void SessionRelay::log_ending(std::size_t sessions, const char* reason) {
  outbox_.Log("relayed_sessions_ended",
              {{"sessions", std::to_string(sessions)}, {"reason", reason}});
}

void SessionRelay::log_session(const relay::relay_log_entry& note) {
  outbox_.Log(note.event,
              {{"session", std::to_string(note.session)},
               {"service", note.service},
               {"owner", note.owner},
               {"reason", note.reason},
               {"accepted", note.is_accepted ? "true" : "false"},
               {"unanswered", std::to_string(note.unanswered)},
               {"told", note.is_answered ? "true" : "false"},
               {"in_transaction", note.in_transaction ? "true" : "false"},
               {"waited_ms", MillisecondsText(note.waited)}},
              LogLevel::kWarning);
}

}  // namespace valvekeel::proxy
