/**
 * @file Callers' sessions that another daemon serves.
 *
 * A daemon that doesn't own a service hands each of its sessions to an owner, in its own zone if
 * there is one, and passes the bytes on both ways. Only what decides about such a session is here:
 * which owner, when to try the next, when to end the session.
 *
 * Owns: what is known of each relayed session. Invariant: a session is handed to another owner only
 * as long as no command of it was passed on, so nothing runs twice. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "model/reply.h"
#include "relay/role_map.h"

namespace valvekeel::relay {

using session_number = std::uint64_t;

/** What the decisions about relayed sessions need from their surroundings. */
class relay_port {
 public:
  virtual ~relay_port() = default;

  /** @return true if the daemon is heard. */
  virtual bool alive(const std::string& daemon, common::Instant now) const = 0;

  /** @return true if the daemon is heard, and is not about to stop. */
  virtual bool stays(const std::string& daemon, common::Instant now) const = 0;

  /** Opens a link to an owner and passes on what the caller has sent so far. */
  virtual void open_link(session_number session, const std::string& owner) = 0;

  /** Closes the link, if there still is one. */
  virtual void close_link(session_number session) = 0;

  /** Serves the session here: no owner can be had. */
  virtual void serve_here(session_number session, common::Instant now) = 0;

  /** Ends the caller's connection. */
  virtual void end_caller(session_number session) = 0;

  /** Tells the log what became of a session. */
  virtual void note(const char* event, session_number session, const std::string& service,
                    const std::string& owner) = 0;
};

/** Counters for metrics. */
struct relay_counters {
  std::uint64_t started = 0;
  std::uint64_t retried = 0;      // handed to another owner before they were accepted
  std::uint64_t served_here = 0;  // for want of an owner
  std::uint64_t lost = 0;         // ended because the owner did
};

class relayed_sessions {
 public:
  relayed_sessions(std::string zone, const role_map& roles, relay_port& port);

  /**
   * Begins to relay a session of a service that this daemon doesn't own.
   *
   * @param tenant  whose sessions go to the same owner of a zone, so that they share its
   *                connections; empty: to the owner with the fewest sessions
   */
  void start(session_number session, const std::string& service, const std::string& tenant,
             common::Instant now);

  /** The owner has accepted the session. */
  void accepted(session_number session);

  /** The owner has turned the caller away, which was told so: no other owner is tried. */
  void declined(session_number session);

  /** A command of the caller was passed on. */
  void command_sent(session_number session);

  /** An answer was passed back. */
  void answered(session_number session, model::TransactionState state, common::Instant now);

  /** The link ended, or could not be opened. */
  void link_ended(session_number session, common::Instant now);

  void caller_closed(session_number session);

  void tick(common::Instant now);

  /** From now on each session ends as soon as it rests. */
  void start_closing();

  /** Ends every session that has no command under way. */
  void close_idle();

  bool contains(session_number session) const { return this->sessions.contains(session); }
  std::size_t size() const { return this->sessions.size(); }
  const relay_counters& counters() const { return this->counts; }

 private:
  struct relayed_session {
    std::string service;
    std::string tenant;
    std::string owner;
    common::Instant opened{0};
    bool is_accepted = false;
    std::size_t unanswered = 0;
    std::uint64_t commands = 0;
    model::TransactionState state = model::TransactionState::kIdle;
    std::set<std::string> tried;

    bool rests() const {
      return this->unanswered == 0 && this->state == model::TransactionState::kIdle;
    }
  };

  std::string choose(const relayed_session& session, common::Instant now) const;
  /** @return the owners that can take the session. */
  std::vector<std::string> usable(const std::vector<std::string>& owners,
                                  const relayed_session& session, common::Instant now) const;
  std::string pick(const std::vector<std::string>& owners, const relayed_session& session,
                   common::Instant now) const;
  std::string least_used(const std::vector<std::string>& owners) const;
  void hand_over(session_number number, relayed_session& session, common::Instant now);
  void forget(session_number number);
  void end(session_number number);
  /** Finds the owners of sessions that are lost, and those that are about to stop. */
  void note_owners(common::Instant now, std::set<std::string>& lost,
                   std::set<std::string>& leaving) const;
  void end_all(const std::vector<session_number>& numbers);

  std::string zone;
  const role_map& roles;
  relay_port& port;
  std::map<session_number, relayed_session> sessions;
  std::map<std::string, std::size_t> sessions_by_owner;
  std::size_t unaccepted = 0;  // sessions that no owner has accepted yet
  relay_counters counts;
  bool closing = false;
};

}  // namespace valvekeel::relay
