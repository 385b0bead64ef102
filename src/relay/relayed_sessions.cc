#include "relay/relayed_sessions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/stable_hash.h"

namespace valvekeel::relay {
namespace {

/** Time for an owner to accept a session. */
constexpr common::Duration ACCEPT_LIMIT{400'000};

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

std::string relayed_sessions::choose(const relayed_session& session, common::Instant now) const {
  const std::string near =
      this->pick(this->roles.owners_in(session.service, this->zone), session, now);
  return near.empty() ? this->pick(this->roles.owners(session.service), session, now) : near;
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
  const std::string owner = this->choose(session, now);
  if (owner.empty()) {
    ++this->counts.served_here;
    this->port.note("session_served_here", number, session.service, "");
    --this->unaccepted;
    this->sessions.erase(number);
    this->port.serve_here(number, now);
    return;
  }
  session.owner = owner;
  session.opened = now;
  session.tried.insert(owner);
  ++this->sessions_by_owner[owner];
  this->port.open_link(number, owner);
}

void relayed_sessions::accepted(session_number session) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end() && !found->second.is_accepted) {
    found->second.is_accepted = true;
    --this->unaccepted;
  }
}

void relayed_sessions::declined(session_number session) {
  // As after an acceptance, the end of the link ends the session.
  this->accepted(session);
}

void relayed_sessions::command_sent(session_number session) {
  const auto found = this->sessions.find(session);
  if (found != this->sessions.end()) {
    ++found->second.unanswered;
    ++found->second.commands;
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
  if (relayed.unanswered > 0) {
    --relayed.unanswered;
  }
  const bool leaving = this->closing || !this->port.stays(relayed.owner, now);
  if (leaving && relayed.rests()) {
    this->end(session);
  }
}

void relayed_sessions::link_ended(session_number session, common::Instant now) {
  const auto found = this->sessions.find(session);
  if (found == this->sessions.end()) {
    return;
  }
  relayed_session& relayed = found->second;
  if (!relayed.is_accepted && relayed.commands == 0) {
    --this->sessions_by_owner[relayed.owner];
    ++this->counts.retried;
    this->port.note("relay_retried", session, relayed.service, relayed.owner);
    this->hand_over(session, relayed, now);
    return;
  }
  if (!relayed.rests()) {
    ++this->counts.lost;
    this->port.note("relay_lost", session, relayed.service, relayed.owner);
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

void relayed_sessions::end(session_number number) {
  this->forget(number);
  this->port.end_caller(number);
}

void relayed_sessions::end_all(const std::vector<session_number>& numbers) {
  for (const session_number number : numbers) {
    this->end(number);
  }
}

void relayed_sessions::caller_closed(session_number session) {
  if (this->contains(session)) {
    this->forget(session);
  }
}

void relayed_sessions::note_owners(common::Instant now, std::set<std::string>& lost,
                                   std::set<std::string>& leaving) const {
  for (const auto& [owner, count] : this->sessions_by_owner) {
    if (count == 0) {
      continue;
    }
    if (!this->port.alive(owner, now)) {
      lost.insert(owner);
    } else if (!this->port.stays(owner, now)) {
      leaving.insert(owner);
    }
  }
}

void relayed_sessions::tick(common::Instant now) {
  std::set<std::string> lost_owners;
  std::set<std::string> leaving_owners;
  this->note_owners(now, lost_owners, leaving_owners);
  if (this->unaccepted == 0 && lost_owners.empty() && leaving_owners.empty()) {
    return;
  }
  std::vector<session_number> broken;
  std::vector<session_number> leaving;
  for (const auto& [number, session] : this->sessions) {
    const bool late = !session.is_accepted && now >= session.opened + ACCEPT_LIMIT;
    if (late || lost_owners.contains(session.owner)) {
      broken.push_back(number);
    } else if (session.is_accepted && session.rests() && leaving_owners.contains(session.owner)) {
      leaving.push_back(number);
    }
  }
  for (const session_number number : broken) {
    this->port.close_link(number);
    this->link_ended(number, now);
  }
  this->end_all(leaving);
}

void relayed_sessions::start_closing() {
  this->closing = true;
  std::vector<session_number> resting;
  for (const auto& [number, session] : this->sessions) {
    if (session.rests()) {
      resting.push_back(number);
    }
  }
  this->end_all(resting);
}

void relayed_sessions::close_idle() {
  std::vector<session_number> idle;
  for (const auto& [number, session] : this->sessions) {
    if (session.unanswered == 0) {
      idle.push_back(number);
    }
  }
  this->end_all(idle);
}

}  // namespace valvekeel::relay
