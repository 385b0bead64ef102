#include "relay/relayed_sessions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/stable_hash.h"

namespace valvekeel::relay {
namespace {

/** Time for an owner to accept a session. */
constexpr common::Duration ACCEPT_LIMIT{400'000};

/** Time between looks for owners that have ceased to be: as often as the roles are worked out. */
constexpr common::Duration FORMER_INTERVAL{100'000};

/** For a caller whose commands never left: another connection finds another owner. */
constexpr const char* COME_BACK = "retry_after_ms=250 its owner could not be reached";
constexpr const char* LOST = "the connection was lost";

constexpr const char* STOPPING = "the daemon stops";
constexpr const char* NOT_HEARD = "its owner is not heard";

}  // namespace

relayed_sessions::relayed_sessions(std::string zone, const role_map& roles, relay_port& port)
    : zone(std::move(zone)), roles(roles), port(port) {}

std::vector<std::string> relayed_sessions::usable(const std::vector<std::string>& owners,
                                                  const relayed_session& session,
                                                  common::Instant now) const {
  std::vector<std::string> able;
  for (const std::string& owner : owners) {
    if (!session.tried.contains(owner) && this->port.stays(owner, now)) {
      able.push_back(owner);
    }
  }
  return able;
}

std::string relayed_sessions::pick(const std::vector<std::string>& owners,
                                   const relayed_session& session, common::Instant now) const {
  const std::vector<std::string> able = this->usable(owners, session, now);
  if (able.empty() || session.tenant.empty()) {
    return this->least_used(able);
  }
  return *std::max_element(able.begin(), able.end(), [&](const auto& a, const auto& b) {
    return common::StableHash(session.tenant, a) < common::StableHash(session.tenant, b);
  });
}

std::string relayed_sessions::least_used(const std::vector<std::string>& owners) const {
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

relayed_sessions::place relayed_sessions::choose(session_number number,
                                                 const relayed_session& session,
                                                 common::Instant now) const {
  const bool may_stay = this->port.may_hold(number, this->zone);
  if (may_stay) {
    const std::string near =
        this->pick(this->roles.owners_in(session.service, this->zone), session, now);
    if (!near.empty()) {
      return {near, this->zone};
    }
  }
  return this->choose_elsewhere(number, session, !may_stay, now);
}

relayed_sessions::place relayed_sessions::choose_elsewhere(session_number number,
                                                           const relayed_session& session,
                                                           bool sent_away,
                                                           common::Instant now) const {
  std::vector<std::string> zones;
  std::vector<std::string> owners;
  std::map<std::string, std::string> zone_of;
  for (const auto& [zone, of_zone] : this->roles.owners_by_zone(session.service)) {
    if (!this->port.may_hold(number, zone)) {
      continue;
    }
    zones.push_back(zone);
    owners.insert(owners.end(), of_zone.begin(), of_zone.end());
    for (const std::string& owner : of_zone) {
      zone_of[owner] = zone;
    }
  }
  if (!sent_away || session.tenant.empty()) {
    const std::string owner = this->pick(owners, session, now);
    return {owner, zone_of[owner]};
  }
  // Whole zones are sent away for good, not only when owners are lost: their tenants are spread.
  for (const std::string& zone : this->spread(std::move(zones), session.tenant)) {
    const std::string owner =
        this->pick(this->roles.owners_in(session.service, zone), session, now);
    if (!owner.empty()) {
      return {owner, zone};
    }
  }
  return {};
}

std::vector<std::string> relayed_sessions::spread(std::vector<std::string> zones,
                                                  const std::string& tenant) const {
  const std::string origin = this->zone + "/" + tenant;
  std::sort(zones.begin(), zones.end(), [&](const std::string& a, const std::string& b) {
    return common::StableHash(origin, a) > common::StableHash(origin, b);
  });
  return zones;
}

void relayed_sessions::start(session_number session, const std::string& service,
                             const std::string& tenant, common::Instant now) {
  relayed_session& made = this->sessions[session];
  made.service = service;
  made.tenant = tenant;
  ++this->counts.started;
  ++this->unaccepted;
  this->hand_over(session, made, now);
}

void relayed_sessions::hand_over(session_number number, relayed_session& session,
                                 common::Instant now) {
  const place chosen = this->choose(number, session, now);
  const std::string& owner = chosen.owner;
  if (owner.empty()) {
    ++this->counts.served_here;
    this->port.note({"session_served_here", number, session.service});
    --this->unaccepted;
    this->sessions.erase(number);
    this->port.serve_here(number, now);
    return;
  }
  session.owner = owner;
  session.owner_zone = chosen.zone;
  session.sent_away = !this->port.may_hold(number, this->zone);
  session.returns = false;
  session.outside_since.reset();
  session.former_since.reset();
  session.is_asked_to_end = false;
  session.opened = now;
  session.tried.insert(owner);
  ++this->sessions_by_owner[owner];
  this->port.open_link(number, owner);
}

void relayed_sessions::accepted(session_number session, common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end() && !found->second.is_accepted) {
    found->second.is_accepted = true;
    found->second.accepted_at = now;
    --this->unaccepted;
  }
}

void relayed_sessions::declined(session_number session, common::Instant now) {
  // As after an acceptance, the end of the link ends the session.
  this->accepted(session, now);
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.under_way.clear();  // the error was the answer to all
  }
}

void relayed_sessions::command_sent(session_number session, model::CommandKind kind,
                                    common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.under_way.push_back({kind, now});
    ++found->second.commands;
    found->second.last_command = now;
  }
}

void relayed_sessions::owner_spoke(session_number session, bool between_messages,
                                   common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    found->second.between_messages = between_messages;
    this->spoke[found->second.owner] = now;
  }
}

void relayed_sessions::asked_to_end(session_number session) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  found->second.is_asked_to_end = true;
  if (found->second.is_accepted && found->second.rests()) {
    this->end_all({session}, "the owner asks for it");
  }
}

void relayed_sessions::answered(session_number session, model::TransactionState state,
                                common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  relayed_session& relayed = found->second;
  relayed.state = state;
  if (!relayed.under_way.empty()) {
    relayed.wrote = relayed.wrote || may_write(relayed.under_way.front().kind);
    relayed.under_way.pop_front();
  }
  relayed.wrote = relayed.wrote && state != model::TransactionState::kIdle;
  if (!relayed.under_way.empty()) {
    return;  // the next answers may be among the bytes that the caller has already
  }
  const bool leaving = this->closing || relayed.is_asked_to_end || relayed.is_guest(now) ||
                       !this->port.stays(relayed.owner, now);
  if (relayed.misplaced() && must_move(relayed, now)) {
    ++this->counts.moved;
    this->end(session);
  } else if (leaving && relayed.rests()) {
    this->end(session);
  }
}

void relayed_sessions::note(const char* event, session_number number,
                            const relayed_session& session, const std::string& reason,
                            common::Instant now) {
  const bool in_transaction = session.state != model::TransactionState::kIdle;
  const common::Duration waited =
      session.commands == 0 ? common::Duration(0) : now - session.last_command;
  this->port.note({event, number, session.service, session.owner, reason, session.is_accepted,
                   session.under_way.size(), session.can_be_told(), in_transaction, waited});
}

void relayed_sessions::link_ended(session_number session, const link_end& end,
                                  common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  relayed_session& relayed = found->second;
  if (!relayed.is_accepted && relayed.commands == 0) {
    --this->sessions_by_owner[relayed.owner];
    ++this->counts.retried;
    this->note("relay_retried", session, relayed, end.reason, now);
    this->hand_over(session, relayed, now);
    return;
  }
  relayed.never_left = !end.was_open;
  if (!relayed.rests()) {
    ++this->counts.lost;
    this->note("relay_lost", session, relayed, end.reason, now);
  }
  this->end(session);
}

void relayed_sessions::forget(session_number number) {
  const auto found = this->sessions.find(number);
  --this->sessions_by_owner[found->second.owner];
  this->unaccepted -= found->second.is_accepted ? 0 : 1;
  this->sessions.erase(found);
  this->port.close_link(number);
}

bool relayed_sessions::tell_outcomes(session_number number, const relayed_session& session) {
  const bool untouched = !session.is_accepted && session.under_way.empty();
  if (untouched) {
    this->port.refuse(number, model::ErrorCode::kBusy, COME_BACK);
    return false;
  }
  if (!session.can_be_told()) {
    return true;
  }
  const std::vector<model::ErrorCode> outcomes =
      outcomes_of_lost(session.under_way, session.state, session.wrote);
  if (session.is_accepted) {
    for (const model::ErrorCode outcome : outcomes) {
      this->port.answer(number, outcome, LOST);
    }
    return true;
  }
  if (session.never_left) {
    this->port.refuse(number, model::ErrorCode::kBusy, COME_BACK);
  } else {
    this->port.refuse(number, outcomes.front(), LOST);
  }
  return false;
}

void relayed_sessions::end(session_number number) {
  const relayed_session ended = this->sessions.at(number);
  this->forget(number);
  if (this->tell_outcomes(number, ended)) {
    this->port.end_caller(number);
  }
}

void relayed_sessions::end_all(const std::vector<session_number>& numbers, const char* reason) {
  if (!numbers.empty()) {
    this->port.note_ending(numbers.size(), reason);
  }
  for (const session_number number : numbers) {
    this->end(number);
  }
}

void relayed_sessions::caller_closed(session_number session) {
  if (this->contains(session)) {
    this->forget(session);
  }
}

relayed_sessions::owners_seen relayed_sessions::look_at_owners(common::Instant now) const {
  owners_seen seen;
  for (const auto& [owner, count] : this->sessions_by_owner) {
    if (count == 0) {
      continue;
    }
    if (!this->port.alive(owner, now)) {
      seen.unheard.insert(owner);
    } else if (!this->port.stays(owner, now)) {
      seen.leaving.insert(owner);
    }
  }
  if (!seen.unheard.empty()) {
    seen.silent = this->silent_of(seen.unheard, now);
  }
  return seen;
}

std::set<std::string> relayed_sessions::silent_of(const std::set<std::string>& unheard,
                                                  common::Instant now) const {
  // A view loses owners for a moment when the daemon that tells it who lives stops: in days of
  // planned stops owners were given up 4 to 196 ms after a command that they were at work on.
  std::set<std::string> silent;
  for (const auto& [number, session] : this->sessions) {
    if (session.under_way.empty() || !unheard.contains(session.owner)) {
      continue;
    }
    const auto spoken = this->spoke.find(session.owner);
    const common::Instant sent = session.under_way.front().sent;
    const common::Instant since =
        spoken == this->spoke.end() ? sent : std::max(sent, spoken->second);
    if (now >= since + OWNER_SILENCE) {
      silent.insert(session.owner);
    }
  }
  return silent;
}

const char* relayed_sessions::broken_reason(const relayed_session& session,
                                            const owners_seen& owners, common::Instant now) {
  if (!session.is_accepted && now >= session.opened + ACCEPT_LIMIT) {
    return "not accepted in time";
  }
  const bool untouched = !session.is_accepted && session.commands == 0;
  const bool given_up = owners.silent.contains(session.owner) ||
                        (untouched && owners.unheard.contains(session.owner));
  return given_up ? NOT_HEARD : nullptr;
}

const char* relayed_sessions::leaving_reason(const relayed_session& session,
                                             const owners_seen& owners, common::Instant now) {
  if (!session.is_accepted || !session.rests() || session.awaits_first(now)) {
    return nullptr;
  }
  if (owners.leaving.contains(session.owner)) {
    return "the owner stops";
  }
  if (owners.unheard.contains(session.owner)) {
    return NOT_HEARD;
  }
  return session.is_guest(now) ? "owned by other daemons" : nullptr;
}

void relayed_sessions::look_for_former_owners(common::Instant now) {
  if (now < this->look_for_former_at) {
    return;
  }
  this->look_for_former_at = now + FORMER_INTERVAL;
  this->any_former = false;
  for (auto& [number, session] : this->sessions) {
    if (this->roles.owns(session.service, session.owner)) {
      session.former_since.reset();
      continue;
    }
    session.former_since = session.former_since.value_or(now);
    this->any_former = true;
  }
}

bool relayed_sessions::must_move(const relayed_session& session, common::Instant now) {
  if (session.rests() && !session.awaits_first(now)) {
    return true;
  }
  if (!session.outside_since) {
    return false;
  }
  const bool waits = session.under_way.empty();
  return now >= *session.outside_since + (waits ? MOVE_LIMIT : MOVE_DEADLINE);
}

std::size_t relayed_sessions::regions_changed(common::Instant now) {
  std::size_t moving = 0;
  for (auto& [number, session] : this->sessions) {
    const bool outside = !this->port.may_hold(number, session.owner_zone);
    session.returns = session.sent_away && this->port.may_hold(number, this->zone);
    if (!outside) {
      session.outside_since.reset();
    } else if (!session.outside_since) {
      session.outside_since = now;
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
  std::vector<session_number> early;
  std::vector<session_number> ending;
  for (const auto& [number, session] : this->sessions) {
    if (!session.misplaced()) {
      continue;
    }
    if (!session.is_accepted && session.commands == 0) {
      early.push_back(number);
    } else if (must_move(session, now)) {
      ending.push_back(number);
    } else {
      this->any_misplaced = true;
    }
  }
  for (const session_number number : early) {
    this->port.close_link(number);
    this->link_ended(number, {"its owner may not hold it"}, now);
  }
  this->counts.moved += ending.size();
  this->end_all(ending, "their owners' region");
}

void relayed_sessions::tick(common::Instant now) {
  this->end_misplaced(now);
  this->look_for_former_owners(now);
  const owners_seen owners = this->look_at_owners(now);
  if (this->unaccepted == 0 && owners.all_stay() && !this->any_former) {
    return;
  }
  std::vector<std::pair<session_number, const char*>> broken;
  std::map<std::string, std::vector<session_number>> leaving;
  for (const auto& [number, session] : this->sessions) {
    if (const char* why = broken_reason(session, owners, now)) {
      broken.emplace_back(number, why);
    } else if (const char* leaves = leaving_reason(session, owners, now)) {
      leaving[leaves].push_back(number);
    }
  }
  for (const auto& [number, reason] : broken) {
    this->port.close_link(number);
    this->link_ended(number, {reason}, now);
  }
  for (const auto& [reason, numbers] : leaving) {
    this->end_all(numbers, reason.c_str());
  }
}

void relayed_sessions::start_closing(common::Instant now) {
  this->closing = true;
  std::vector<session_number> resting;
  for (const auto& [number, session] : this->sessions) {
    // Ended by the next tick, within 10 ms, a session that was just accepted loses its first
    // command.
    if (session.is_accepted && session.rests() && !session.awaits_first(now)) {
      resting.push_back(number);
    }
  }
  this->end_all(resting, STOPPING);
}

void relayed_sessions::close_idle(common::Instant now) {
  std::vector<session_number> idle;
  for (const auto& [number, session] : this->sessions) {
    if (session.under_way.empty() && !session.awaits_first(now)) {
      idle.push_back(number);
    }
  }
  this->end_all(idle, STOPPING);
}

void relayed_sessions::close_all() {
  std::vector<session_number> all;
  for (const auto& [number, session] : this->sessions) {
    all.push_back(number);
  }
  this->end_all(all, STOPPING);
}

}  // namespace valvekeel::relay
