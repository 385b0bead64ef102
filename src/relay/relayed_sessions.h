/**
 * @file Callers' sessions that another daemon serves.
 *
 * A daemon that doesn't own a service hands each of its sessions to an owner, in its own zone if
 * there is one that may hold it, and passes the bytes on both ways. Only what decides about such a
 * session is here: which owner, when to try the next, when to end the session.
 *
 * Owns: what is known of each relayed session. Invariant: a session is handed to another owner only
 * as long as no command of it was passed on, so nothing runs twice; it is handed to no zone that
 * may not hold it. Pure. Thread: its host's.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "model/command.h"
#include "model/reply.h"
#include "relay/lost_commands.h"
#include "relay/role_map.h"

namespace valvekeel::relay {

using session_number = std::uint64_t;

/**
 * Time from a change of regions until a session that its owner may no longer hold ends with the
 * answer under way, also within a transaction. A configuration has to be in force 5 s after it was
 * made, and reaches a daemon within 2 s.
 */
inline constexpr common::Duration MOVE_LIMIT{1'500'000};
/** The same until it ends whatever is under way: a caller may send without awaiting answers. */
inline constexpr common::Duration MOVE_DEADLINE{2'500'000};

/**
 * Silence after which an owner counts as lost: callers wait for it, their time is short. Hubs tell
 * of a daemon that they have not heard for this time that it is lost.
 */
inline constexpr common::Duration OWNER_TIMEOUT{650'000};

/**
 * Time after which sessions with a daemon that does not own their service end as they rest: their
 * callers come back, and are handed to an owner.
 */
inline constexpr common::Duration FORMER_OWNER_GRACE{1'000'000};

/**
 * Time for a caller's first command to come after its session was accepted: four round trips
 * between regions of the users' sites, which are 12 ms apart one way. An owner in another region
 * gets it after two.
 */
inline constexpr common::Duration FIRST_COMMAND_GRACE{100'000};

/** How a link to an owner ended. */
struct link_end {
  std::string reason;    // in words for the log
  bool was_open = true;  // false: nothing was sent to the owner
};

/** What became of a relayed session, for the log. */
struct relay_log_entry {
  const char* event = "";
  session_number session = 0;
  std::string service;
  std::string owner;
  std::string reason;          // why its link ended
  bool is_accepted = false;    // by the owner
  std::size_t unanswered = 0;  // commands that were passed on
  bool is_answered = false;    // the caller gets an answer to each of these
  bool in_transaction = false;
  common::Duration waited{0};  // since the last command was passed on
};

/** What the decisions about relayed sessions need from their surroundings. */
class relay_port {
 public:
  virtual ~relay_port() = default;

  /** @return true if the daemon is heard. */
  virtual bool is_reachable(const std::string& daemon, common::Instant now) const = 0;

  /** @return true if the daemon is heard, and is not about to stop. */
  virtual bool is_available(const std::string& daemon, common::Instant now) const = 0;

  /** @return true if daemons of the zone may get the session's requests. */
  virtual bool zone_may_serve(session_number session, const std::string& zone) const = 0;

  /** Opens a link to an owner and passes on what the caller has sent so far. */
  virtual void open_link(session_number session, const std::string& owner) = 0;

  /** Closes the link, if there still is one. */
  virtual void close_link(session_number session) = 0;

  /** Serves the session here: no owner can be had. */
  virtual void serve_locally(session_number session, common::Instant now) = 0;

  /** Answers the caller's oldest command under way with an error. */
  virtual void answer(session_number session, model::ErrorCode error, const std::string& text) = 0;

  /** Ends the connection of a caller that was not accepted yet, with an error. */
  virtual void reject_caller(session_number session, model::ErrorCode error,
                             const std::string& text) = 0;

  /** Ends the caller's connection. */
  virtual void close_caller(session_number session) = 0;

  /** Tells the log what became of a session. */
  virtual void log_session(const relay_log_entry& note) = 0;

  /** Tells the log of sessions that are about to be ended while no answer is awaited. */
  virtual void log_ending(std::size_t sessions, const char* reason) = 0;
};

/** Counters for metrics. */
struct relay_counters {
  std::uint64_t started = 0;
  std::uint64_t retried = 0;         // handed to another owner before they were accepted
  std::uint64_t served_locally = 0;  // for want of an owner
  std::uint64_t lost = 0;            // ended because the owner did
  std::uint64_t moved = 0;           // ended because they belong to an owner of another region now
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
  void on_accepted(session_number session, common::Instant now);

  /** The owner has turned the caller away, which was told so: no other owner is tried. */
  void on_rejected(session_number session, common::Instant now);

  /** A command of the caller was passed on. */
  void on_command_sent(session_number session, model::CommandKind kind, common::Instant now);

  /**
   * Bytes of the owner were passed back.
   *
   * @param between_messages  what the caller has now ends with a whole message
   */
  void on_owner_bytes(session_number session, bool between_messages, common::Instant now);

  /** The owner asks to end the session as it rests. */
  void on_end_requested(session_number session);

  /** An answer was passed back. */
  void on_answered(session_number session, model::TransactionState state, common::Instant now);

  /** The link ended, or could not be opened. */
  void on_link_ended(session_number session, const link_end& end, common::Instant now);

  void on_caller_closed(session_number session);

  /**
   * The regions where work may run have changed. A session whose owner may no longer hold it is
   * handed on, or ends as it rests, or else after a while; one that was sent away from this zone
   * and needs not be any more ends as it rests.
   *
   * @return the number of sessions that have to move
   */
  std::size_t on_regions_changed(common::Instant now);

  void tick(common::Instant now);

  /** From now on each session ends as soon as it rests. */
  void start_closing(common::Instant now);

  /** Ends every session that has no command under way. */
  void close_idle(common::Instant now);

  /** Ends every session; callers are told what is known of their commands under way. */
  void close_all();

  bool contains(session_number session) const { return this->sessions.contains(session); }
  std::size_t size() const { return this->sessions.size(); }
  const relay_counters& counters() const { return this->counts; }

 private:
  struct relayed_session {
    std::string service;
    std::string tenant;
    std::string owner;
    std::string owner_zone;
    bool excluded_from_own_zone = false;                // this daemon's zone may not hold it
    bool may_return = false;                            // sent away, and needs not be any more
    std::optional<common::Instant> disallowed_since;    // the owner's zone may not hold it
    std::optional<common::Instant> former_owner_since;  // the owner has ceased to own the service
    common::Instant opened{0};
    bool is_accepted = false;
    common::Instant accepted_at{0};
    bool end_requested = false;               // by its owner
    std::deque<forwarded_command> in_flight;  // not answered yet, the oldest first
    bool between_messages = true;             // the owner's bytes so far end with a whole message
    std::uint64_t commands = 0;
    common::Instant last_command{0};
    model::TransactionState state = model::TransactionState::kIdle;
    bool wrote = false;         // a write was answered in the open transaction
    bool nothing_sent = false;  // no byte of the caller has reached its owner
    std::set<std::string> tried_owners;

    bool misplaced() const { return this->may_return || this->disallowed_since.has_value(); }
    bool is_on_former_owner(common::Instant now) const {
      return this->former_owner_since && now >= *this->former_owner_since + FORMER_OWNER_GRACE;
    }
    /** @return true if the caller can be answered what is under way. */
    bool can_answer_in_flight() const { return !this->in_flight.empty() && this->between_messages; }
    /** @return true if the caller was just told that it may begin. */
    bool awaits_first_command(common::Instant now) const {
      return this->commands == 0 && now < this->accepted_at + FIRST_COMMAND_GRACE;
    }
    bool is_idle() const {
      return this->in_flight.empty() && this->state == model::TransactionState::kIdle;
    }
  };

  /** An owner and its zone; both empty if there is none. */
  struct owner_choice {
    std::string owner;
    std::string zone;
  };

  owner_choice choose_owner(session_number number, const relayed_session& session,
                            common::Instant now) const;
  /** @return an owner of another zone that may hold the session. */
  owner_choice choose_in_other_zones(session_number number, const relayed_session& session,
                                     bool sent_away, common::Instant now) const;
  /** @return the zones in the order in which sessions of the tenant try them from here. */
  std::vector<std::string> zones_in_tenant_order(std::vector<std::string> zones,
                                                 const std::string& tenant) const;
  /** @return true if an accepted session ends now because it belongs elsewhere. */
  static bool must_move(const relayed_session& session, common::Instant now);
  /** @return the owners that can take the session. */
  std::vector<std::string> available_owners(const std::vector<std::string>& owners,
                                            const relayed_session& session,
                                            common::Instant now) const;
  std::string pick_owner(const std::vector<std::string>& owners, const relayed_session& session,
                         common::Instant now) const;
  std::string least_used_owner(const std::vector<std::string>& owners) const;
  void hand_over(session_number number, relayed_session& session, common::Instant now);
  /** Tells the log what became of a session whose link ended. */
  void log_session(const char* event, session_number number, const relayed_session& session,
                   const std::string& reason, common::Instant now);
  void remove_session(session_number number);
  /** Says of the commands under way what is known of them. @return false if the caller's connection
   *  has ended with that. */
  bool answer_lost_commands(session_number number, const relayed_session& session);
  void end_session(session_number number);
  /** Owners of sessions that are no longer just served by. */
  struct owner_states {
    std::set<std::string> stopping;     // about to stop
    std::set<std::string> unreachable;  // not in view; they may be alive
    std::set<std::string> timed_out;    // of these, those that leave a command without a byte

    bool all_available() const { return this->stopping.empty() && this->unreachable.empty(); }
  };

  owner_states check_owners(common::Instant now) const;
  /** @return those unheard that have been silent for too long while a command waits. */
  std::set<std::string> find_timed_out(const std::set<std::string>& unheard,
                                       common::Instant now) const;
  /** @return why the session's link is given up, nullptr if it is not. */
  static const char* link_failure_reason(const relayed_session& session, const owner_states& owners,
                                         common::Instant now);
  /** @return why the session ends if it rests, nullptr if it does not. */
  static const char* idle_end_reason(const relayed_session& session, const owner_states& owners,
                                     common::Instant now);
  /** Notes now and then whose owners have ceased to own their service. */
  void update_former_owners(common::Instant now);
  void end_sessions(const std::vector<session_number>& numbers, const char* reason);
  void end_misplaced(common::Instant now);

  std::string zone;
  const role_map& roles;
  relay_port& port;
  std::map<session_number, relayed_session> sessions;
  std::map<std::string, std::size_t> sessions_by_owner;
  std::map<std::string, common::Instant> last_bytes;  // when bytes of an owner came last, by owner
  std::size_t unaccepted = 0;                         // sessions that no owner has accepted yet
  bool any_on_former_owner = false;                   // some session's owner has ceased to be one
  common::Instant next_former_check{0};
  bool any_misplaced = false;  // some session belongs to another owner's region
  relay_counters counts;
  bool closing = false;
};

}  // namespace valvekeel::relay
