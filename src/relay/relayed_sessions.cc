#include "relay/relayed_sessions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/stable_hash.h"

namespace valvekeel::relay {
namespace {

/** Longest time for an owner to accept a session. */
constexpr common::Duration ACCEPT_TIMEOUT{400'000};

/** Interval of the checks for former owners: as often as the roles are computed. */
constexpr common::Duration FORMER_OWNER_CHECK_INTERVAL{100'000};

/** For a caller whose commands were not sent to any owner. A new connection uses another owner. */
constexpr const char* OWNER_UNREACHABLE = "retry_after_ms=250 its owner could not be reached";
constexpr const char* CONNECTION_LOST = "the connection was lost";

constexpr const char* STOPPING = "the daemon stops";
constexpr const char* OWNER_NOT_REACHABLE = "its owner is not heard";

}  // namespace

relayed_sessions::relayed_sessions(std::string zone, const role_map& roles, relay_port& port)
    : zone(std::move(zone)), roles(roles), port(port) {}

std::vector<std::string> relayed_sessions::available_owners(const std::vector<std::string>& owners,
                                                            const relayed_session& session,
                                                            common::Instant now) const {
  std::vector<std::string> available;
  for (const std::string& owner : owners) {
    if (!session.tried_owners.contains(owner) && this->port.is_available(owner, now)) {
      available.push_back(owner);
    }
  }
  return available;
}

std::string relayed_sessions::pick_owner(const std::vector<std::string>& owners,
                                         const relayed_session& session,
                                         common::Instant now) const {
  const std::vector<std::string> available = this->available_owners(owners, session, now);
  if (available.empty() || session.tenant.empty()) {
    return this->least_used_owner(available);
  }
  return *std::max_element(available.begin(), available.end(), [&](const auto& a, const auto& b) {
    return common::StableHash(session.tenant, a) < common::StableHash(session.tenant, b);
  });
}

std::string relayed_sessions::least_used_owner(const std::vector<std::string>& owners) const {
  std::string best;
  std::size_t fewest = 0;
  for (const std::string& owner : owners) {
    const auto used = this->sessions_by_owner.find(owner);
    const std::size_t count = used == this->sessions_by_owner.end() ? 0 : used->second;
    if (best.empty() || count < fewest) {
      best = owner;
      fewest = count;
    }
  }
  return best;
}

relayed_sessions::owner_choice relayed_sessions::choose_owner(session_number number,
                                                              const relayed_session& session,
                                                              common::Instant now) const {
  const bool may_use_own_zone = this->port.zone_may_serve(number, this->zone);
  if (may_use_own_zone) {
    const std::string owner =
        this->pick_owner(this->roles.owners_in(session.service, this->zone), session, now);
    if (!owner.empty()) {
      return {owner, this->zone};
    }
  }
  return this->choose_in_any_zone(number, session, !may_use_own_zone, now);
}

relayed_sessions::owner_choice relayed_sessions::choose_in_any_zone(session_number number,
                                                                    const relayed_session& session,
                                                                    bool excluded_from_own_zone,
                                                                    common::Instant now) const {
  std::vector<std::string> zones;
  std::vector<std::string> owners;
  std::map<std::string, std::string> zone_of;
  for (const auto& [zone, of_zone] : this->roles.owners_by_zone(session.service)) {
    if (!this->port.zone_may_serve(number, zone)) {
      continue;
    }
    zones.push_back(zone);
    owners.insert(owners.end(), of_zone.begin(), of_zone.end());
    for (const std::string& owner : of_zone) {
      zone_of[owner] = zone;
    }
  }
  if (!excluded_from_own_zone || session.tenant.empty()) {
    const std::string owner = this->pick_owner(owners, session, now);
    return {owner, zone_of[owner]};
  }
  // A zone can be excluded permanently, not only while owners are lost. So its tenants are spread
  // over the other zones.
  for (const std::string& zone : this->zones_in_tenant_order(std::move(zones), session.tenant)) {
    const std::string owner =
        this->pick_owner(this->roles.owners_in(session.service, zone), session, now);
    if (!owner.empty()) {
      return {owner, zone};
    }
  }
  return {};
}

std::vector<std::string> relayed_sessions::zones_in_tenant_order(std::vector<std::string> zones,
                                                                 const std::string& tenant) const {
  const std::string origin = this->zone + "/" + tenant;
  std::sort(zones.begin(), zones.end(), [&](const std::string& a, const std::string& b) {
    return common::StableHash(origin, a) > common::StableHash(origin, b);
  });
  return zones;
}

void relayed_sessions::start(session_number session, const std::string& service,
                             const std::string& tenant, common::Instant now) {
  relayed_session& added = this->sessions[session];
  added.service = service;
  added.tenant = tenant;
  ++this->counts.started;
  ++this->unaccepted;
  this->hand_over(session, added, now);
}

void relayed_sessions::hand_over(session_number number, relayed_session& session,
                                 common::Instant now) {
  const owner_choice chosen = this->choose_owner(number, session, now);
  const std::string& owner = chosen.owner;
  if (owner.empty()) {
    ++this->counts.served_locally;
    this->port.log_session({"session_served_here", number, session.service});
    --this->unaccepted;
    this->sessions.erase(number);
    this->port.serve_locally(number, now);
    return;
  }
  session.owner = owner;
  session.owner_zone = chosen.zone;
  session.excluded_from_own_zone = !this->port.zone_may_serve(number, this->zone);
  session.may_return = false;
  session.disallowed_since.reset();
  session.former_owner_since.reset();
  session.end_requested = false;
  session.opened = now;
  session.tried_owners.insert(owner);
  ++this->sessions_by_owner[owner];
  this->port.open_link(number, owner);
}

void relayed_sessions::on_accepted(session_number session, common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end() && !found->second.is_accepted) {
    found->second.is_accepted = true;
    found->second.accepted_at = now;
    --this->unaccepted;
  }
}

void relayed_sessions::on_rejected(session_number session, common::Instant now) {
  // As after an acceptance, the session ends with the link.
  this->on_accepted(session, now);
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.in_flight.clear();  // the error answers all of them
  }
}

void relayed_sessions::on_command_sent(session_number session, model::CommandKind kind,
                                       common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.in_flight.push_back({kind, now});
    ++found->second.commands;
    found->second.last_command = now;
  }
}

void relayed_sessions::on_owner_bytes(session_number session, bool between_messages,
                                      common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.between_messages = between_messages;
    this->last_bytes[found->second.owner] = now;
  }
}

void relayed_sessions::on_end_requested(session_number session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  found->second.end_requested = true;
  if (found->second.is_accepted && found->second.is_idle()) {
    this->end_sessions({session}, "the owner requested it");
  }
}

void relayed_sessions::on_answered(session_number session, model::TransactionState state,
                                   common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  relayed_session& relayed = found->second;
  relayed.state = state;
  if (!relayed.in_flight.empty()) {
    relayed.wrote = relayed.wrote || may_write(relayed.in_flight.front().kind);
    relayed.in_flight.pop_front();
  }
  relayed.wrote = relayed.wrote && state != model::TransactionState::kIdle;
  if (!relayed.in_flight.empty()) {
    return;  // the next answers may be in the bytes already forwarded
  }
  const bool must_leave = this->closing || relayed.end_requested ||
                          relayed.is_on_former_owner(now) ||
                          !this->port.is_available(relayed.owner, now);
  if (relayed.misplaced() && must_move(relayed, now)) {
    ++this->counts.moved;
    this->end_session(session);
  } else if (must_leave && relayed.is_idle()) {
    this->end_session(session);
  }
}

void relayed_sessions::log_session(const char* event, session_number number,
                                   const relayed_session& session, const std::string& reason,
                                   common::Instant now) {
  const bool in_transaction = session.state != model::TransactionState::kIdle;
  const common::Duration waited =
      session.commands == 0 ? common::Duration(0) : now - session.last_command;
  this->port.log_session({event, number, session.service, session.owner, reason,
                          session.is_accepted, session.in_flight.size(),
                          session.can_answer_in_flight(), in_transaction, waited});
}

void relayed_sessions::on_link_ended(session_number session, const link_end& end,
                                     common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  relayed_session& relayed = found->second;
  if (!relayed.is_accepted && relayed.commands == 0) {
    --this->sessions_by_owner[relayed.owner];
    ++this->counts.retried;
    this->log_session("relay_retried", session, relayed, end.reason, now);
    this->hand_over(session, relayed, now);
    return;
  }
  relayed.nothing_sent = !end.was_open;
  if (!relayed.is_idle()) {
    ++this->counts.lost;
    this->log_session("relay_lost", session, relayed, end.reason, now);
  }
  this->end_session(session);
}

void relayed_sessions::remove_session(session_number number) {
  const auto found = this->sessions.find(number);
  --this->sessions_by_owner[found->second.owner];
  this->unaccepted -= found->second.is_accepted ? 0 : 1;
  this->sessions.erase(found);
  this->port.close_link(number);
}

bool relayed_sessions::answer_lost_commands(session_number number, const relayed_session& session) {
  const bool may_retry = !session.is_accepted && session.in_flight.empty();
  if (may_retry) {
    this->port.reject_caller(number, model::ErrorCode::kBusy, OWNER_UNREACHABLE);
    return false;
  }
  if (!session.can_answer_in_flight()) {
    return true;
  }
  const std::vector<model::ErrorCode> errors =
      errors_for_lost_commands(session.in_flight, session.state, session.wrote);
  if (session.is_accepted) {
    for (const model::ErrorCode error : errors) {
      this->port.answer(number, error, CONNECTION_LOST);
    }
    return true;
  }
  if (session.nothing_sent) {
    this->port.reject_caller(number, model::ErrorCode::kBusy, OWNER_UNREACHABLE);
  } else {
    this->port.reject_caller(number, errors.front(), CONNECTION_LOST);
  }
  return false;
}

void relayed_sessions::end_session(session_number number) {
  const relayed_session ended = this->sessions.at(number);
  this->remove_session(number);
  if (this->answer_lost_commands(number, ended)) {
    this->port.close_caller(number);
  }
}

void relayed_sessions::end_sessions(const std::vector<session_number>& numbers,
                                    const char* reason) {
  if (!numbers.empty()) {
    this->port.log_ending(numbers.size(), reason);
  }
  for (const session_number number : numbers) {
    this->end_session(number);
  }
}

void relayed_sessions::on_caller_closed(session_number session) {
  if (this->contains(session)) {
    this->remove_session(session);
  }
}

relayed_sessions::owner_states relayed_sessions::check_owners(common::Instant now) const {
  owner_states seen;
  for (const auto& [owner, count] : this->sessions_by_owner) {
    if (count == 0) {
      continue;
    }
    if (!this->port.is_reachable(owner, now)) {
      seen.unreachable.insert(owner);
    } else if (!this->port.is_available(owner, now)) {
      seen.stopping.insert(owner);
    }
  }
  if (!seen.unreachable.empty()) {
    seen.timed_out = this->find_timed_out(seen.unreachable, now);
  }
  return seen;
}

std::set<std::string> relayed_sessions::find_timed_out(const std::set<std::string>& unreachable,
                                                       common::Instant now) const {
  // A view can lose live owners for a moment when a hub stops. So an unreachable owner is given up
  // only after a timeout of its own. Without it, owners that were executing a command were given up
  // 4 to 196 ms after it was sent.
  std::set<std::string> timed_out;
  for (const auto& [number, session] : this->sessions) {
    if (session.in_flight.empty() || !unreachable.contains(session.owner)) {
      continue;
    }
    const auto last_received = this->last_bytes.find(session.owner);
    const common::Instant sent = session.in_flight.front().sent;
    const common::Instant since =
        last_received == this->last_bytes.end() ? sent : std::max(sent, last_received->second);
    if (now >= since + OWNER_TIMEOUT) {
      timed_out.insert(session.owner);
    }
  }
  return timed_out;
}

const char* relayed_sessions::link_failure_reason(const relayed_session& session,
                                                  const owner_states& owners, common::Instant now) {
  if (!session.is_accepted && now >= session.opened + ACCEPT_TIMEOUT) {
    return "not accepted in time";
  }
  const bool may_retry = !session.is_accepted && session.commands == 0;
  const bool given_up = owners.timed_out.contains(session.owner) ||
                        (may_retry && owners.unreachable.contains(session.owner));
  return given_up ? OWNER_NOT_REACHABLE : nullptr;
}

const char* relayed_sessions::idle_end_reason(const relayed_session& session,
                                              const owner_states& owners, common::Instant now) {
  if (!session.is_accepted || !session.is_idle() || session.awaits_first_command(now)) {
    return nullptr;
  }
  if (owners.stopping.contains(session.owner)) {
    return "the owner stops";
  }
  if (owners.unreachable.contains(session.owner)) {
    return OWNER_NOT_REACHABLE;
  }
  return session.is_on_former_owner(now) ? "owned by other daemons" : nullptr;
}

void relayed_sessions::update_former_owners(common::Instant now) {
  if (now < this->next_former_check) {
    return;
  }
  this->next_former_check = now + FORMER_OWNER_CHECK_INTERVAL;
  this->any_on_former_owner = false;
  for (auto& [number, session] : this->sessions) {
    if (this->roles.owns(session.service, session.owner)) {
      session.former_owner_since.reset();
      continue;
    }
    session.former_owner_since = session.former_owner_since.value_or(now);
    this->any_on_former_owner = true;
  }
}

bool relayed_sessions::must_move(const relayed_session& session, common::Instant now) {
  if (session.is_idle() && !session.awaits_first_command(now)) {
    return true;
  }
  if (!session.disallowed_since) {
    return false;
  }
  const bool none_in_flight = session.in_flight.empty();
  return now >= *session.disallowed_since + (none_in_flight ? MOVE_LIMIT : MOVE_DEADLINE);
}

std::size_t relayed_sessions::on_regions_changed(common::Instant now) {
  std::size_t moving = 0;
  for (auto& [number, session] : this->sessions) {
    const bool outside = !this->port.zone_may_serve(number, session.owner_zone);
    session.may_return =
        session.excluded_from_own_zone && this->port.zone_may_serve(number, this->zone);
    if (!outside) {
      session.disallowed_since.reset();
    } else if (!session.disallowed_since) {
      session.disallowed_since = now;
    }
    moving += session.misplaced() ? 1 : 0;
  }
  this->any_misplaced = moving > 0;
  this->end_misplaced(now);
  return moving;
}

void relayed_sessions::end_misplaced(common::Instant now) {
  if (!this->any_misplaced) {
    return;
  }
  this->any_misplaced = false;
  std::vector<session_number> unaccepted_sessions;
  std::vector<session_number> ending;
  for (const auto& [number, session] : this->sessions) {
    if (!session.misplaced()) {
      continue;
    }
    if (!session.is_accepted && session.commands == 0) {
      unaccepted_sessions.push_back(number);
    } else if (must_move(session, now)) {
      ending.push_back(number);
    } else {
      this->any_misplaced = true;
    }
  }
  for (const session_number number : unaccepted_sessions) {
    this->port.close_link(number);
    this->on_link_ended(number, {"its owner may not hold it"}, now);
  }
  this->counts.moved += ending.size();
  this->end_sessions(ending, "their owners must not serve them");
}

void relayed_sessions::tick(common::Instant now) {
  this->end_misplaced(now);
  this->update_former_owners(now);
  const owner_states owners = this->check_owners(now);
  if (this->unaccepted == 0 && owners.all_available() && !this->any_on_former_owner) {
    return;
  }
  std::vector<std::pair<session_number, const char*>> failed;
  std::map<std::string, std::vector<session_number>> ending;
  for (const auto& [number, session] : this->sessions) {
    if (const char* failure = link_failure_reason(session, owners, now)) {
      failed.emplace_back(number, failure);
    } else if (const char* end_reason = idle_end_reason(session, owners, now)) {
      ending[end_reason].push_back(number);
    }
  }
  for (const auto& [number, reason] : failed) {
    this->port.close_link(number);
    this->on_link_ended(number, {reason}, now);
  }
  for (const auto& [reason, numbers] : ending) {
    this->end_sessions(numbers, reason.c_str());
  }
}

void relayed_sessions::start_closing(common::Instant now) {
  this->closing = true;
  std::vector<session_number> idle;
  for (const auto& [number, session] : this->sessions) {
    // The next tick follows within 10 ms. Ending a session that was just accepted would lose its
    // first command.
    if (session.is_accepted && session.is_idle() && !session.awaits_first_command(now)) {
      idle.push_back(number);
    }
  }
  this->end_sessions(idle, STOPPING);
}

void relayed_sessions::close_idle(common::Instant now) {
  std::vector<session_number> idle;
  for (const auto& [number, session] : this->sessions) {
    if (session.in_flight.empty() && !session.awaits_first_command(now)) {
      idle.push_back(number);
    }
  }
  this->end_sessions(idle, STOPPING);
}

void relayed_sessions::close_all() {
  std::vector<session_number> all;
  for (const auto& [number, session] : this->sessions) {
    all.push_back(number);
  }
  this->end_sessions(all, STOPPING);
}

}  // namespace valvekeel::relay
