/**
 * @file Decides about callers' sessions that are relayed to another daemon.
 *
 * A daemon that doesn't own a service hands each of its sessions over to an owner, in its own zone
 * if an owner there may serve it, and forwards the bytes in both directions. This module contains
 * only the decisions: which owner to use, when to try the next one, and when to end a session.
 *
 * Owns: the state of each relayed session. Invariant: a session is handed over to another owner
 * only while none of its commands has been forwarded, so no command runs twice. It is never handed
 * over to a zone that may not serve it. No I/O and no clock; not thread-safe.
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
 * Time from a change of regions until a session that its owner may no longer serve ends with the
 * next answer, even within a transaction. A configuration must be in force 5 s after it was made,
 * and reaches a daemon within 2 s.
 */
inline constexpr common::Duration MOVE_LIMIT{1'500'000};
/** Time until such a session ends even if commands are in flight. A caller may send commands
 * without awaiting answers. */
inline constexpr common::Duration MOVE_DEADLINE{2'500'000};

/**
 * Time without a byte from an owner after which it counts as lost. It is short because callers wait
 * for the owner. Hubs report a daemon as lost when they have received no heartbeat from it for this
 * time.
 */
inline constexpr common::Duration OWNER_TIMEOUT{650'000};

/**
 * Time after which sessions on a daemon that no longer owns their service end once they are idle.
 * Their callers reconnect and are handed over to an owner.
 */
inline constexpr common::Duration FORMER_OWNER_GRACE{1'000'000};

/**
 * Time for a caller's first command to arrive after its session was accepted: four round trips
 * between regions that are 12 ms apart one way. An owner in another region receives the command
 * after two.
 */
inline constexpr common::Duration FIRST_COMMAND_GRACE{100'000};

/** How a link to an owner ended. */
struct link_end {
  std::string reason;    // text for the log
  bool was_open = true;  // false if nothing was sent to the owner
};

/** Log entry about a relayed session whose link ended. */
struct relay_log_entry {
  const char* event = "";
  session_number session = 0;
  std::string service;
  std::string owner;
  std::string reason;          // why the link ended
  bool is_accepted = false;    // by the owner
  std::size_t unanswered = 0;  // forwarded commands
  bool is_answered = false;    // the caller gets an error for each of these
  bool in_transaction = false;
  common::Duration waited{0};  // since the last command was forwarded
};

/** Interface to the daemon that carries out the decisions about relayed sessions. */
class relay_port {
 public:
  virtual ~relay_port() = default;

  /** @return true if the daemon is reachable. */
  virtual bool is_reachable(const std::string& daemon, common::Instant now) const = 0;

  /** @return true if the daemon is reachable and not about to stop. */
  virtual bool is_available(const std::string& daemon, common::Instant now) const = 0;

  /** @return true if daemons of the zone may serve the session's requests. */
  virtual bool zone_may_serve(session_number session, const std::string& zone) const = 0;

  /** Opens a link to an owner and forwards what the caller has sent so far. */
  virtual void open_link(session_number session, const std::string& owner) = 0;

  /** Closes the link if it is open. */
  virtual void close_link(session_number session) = 0;

  /** Serves the session on this daemon because no owner is available. */
  virtual void serve_locally(session_number session, common::Instant now) = 0;

  /** Answers the caller's oldest command in flight with an error. */
  virtual void answer(session_number session, model::ErrorCode error, const std::string& text) = 0;

  /** Ends the connection of a caller that was not accepted yet with an error. */
  virtual void reject_caller(session_number session, model::ErrorCode error,
                             const std::string& text) = 0;

  /** Closes the caller's connection. */
  virtual void close_caller(session_number session) = 0;

  /** Logs the end of a session's link. */
  virtual void log_session(const relay_log_entry& note) = 0;

  /** Logs that sessions are about to be ended although their links are intact. */
  virtual void log_ending(std::size_t sessions, const char* reason) = 0;
};

/** Counters for metrics. */
struct relay_counters {
  std::uint64_t started = 0;
  std::uint64_t retried = 0;         // handed over to another owner before they were accepted
  std::uint64_t served_locally = 0;  // because no owner was available
  std::uint64_t lost = 0;            // ended because the link to the owner ended
  std::uint64_t moved = 0;           // ended because they now belong to an owner in another region
};

/** The sessions that this daemon relays to owners. */
class relayed_sessions {
 public:
  relayed_sessions(std::string zone, const role_map& roles, relay_port& port);

  /**
   * Begins to relay a session of a service that this daemon doesn't own.
   *
   * @param tenant  the sessions of a tenant go to the same owner of a zone, so that they share its
   *                connections; if empty, the session goes to the owner with the fewest sessions
   */
  void start(session_number session, const std::string& service, const std::string& tenant,
             common::Instant now);

  /** To be called when the owner has accepted the session. */
  void on_accepted(session_number session, common::Instant now);

  /** To be called when the owner has rejected the caller with an error. No other owner is tried. */
  void on_rejected(session_number session, common::Instant now);

  /** To be called when a command of the caller has been forwarded. */
  void on_command_sent(session_number session, model::CommandKind kind, common::Instant now);

  /**
   * To be called when bytes of the owner have been forwarded to the caller.
   *
   * @param between_messages  true if the bytes so far end with a complete message
   */
  void on_owner_bytes(session_number session, bool between_messages, common::Instant now);

  /** To be called when the owner asks to end the session once it is idle. */
  void on_end_requested(session_number session);

  /** To be called when an answer has been forwarded to the caller. */
  void on_answered(session_number session, model::TransactionState state, common::Instant now);

  /** To be called when the link has ended or could not be opened. */
  void on_link_ended(session_number session, const link_end& end, common::Instant now);

  /** To be called when the caller has closed its connection. */
  void on_caller_closed(session_number session);

  /**
   * To be called when the regions where work may run have changed. A session whose owner may no
   * longer serve it is handed over to another owner, or ends once it is idle, at the latest after
   * MOVE_DEADLINE. A session that left this zone because of its regions and may now run here ends
   * once it is idle.
   *
   * @return the number of sessions that must move
   */
  std::size_t on_regions_changed(common::Instant now);

  /** Gives up failed links and ends sessions that are due. To be called about every 10 ms. */
  void tick(common::Instant now);

  /** Starts to end each session as soon as it is idle. */
  void start_closing(common::Instant now);

  /** Ends every session that has no command in flight. */
  void close_idle(common::Instant now);

  /** Ends every session. Callers get an error for each command in flight. */
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
    bool excluded_from_own_zone = false;              // this daemon's zone may not serve it
    bool may_return = false;                          // excluded before, but no longer
    std::optional<common::Instant> disallowed_since;  // the owner's zone may not serve it since
    std::optional<common::Instant>
        former_owner_since;  // the owner no longer owns the service since
    common::Instant opened{0};
    bool is_accepted = false;
    common::Instant accepted_at{0};
    bool end_requested = false;               // by its owner
    std::deque<forwarded_command> in_flight;  // commands without an answer, the oldest first
    bool between_messages = true;  // the owner's bytes so far end with a complete message
    std::uint64_t commands = 0;
    common::Instant last_command{0};
    model::TransactionState state = model::TransactionState::kIdle;
    bool wrote = false;         // a write was answered in the open transaction
    bool nothing_sent = false;  // the link failed before any byte was sent to the owner
    std::set<std::string> tried_owners;

    bool misplaced() const { return this->may_return || this->disallowed_since.has_value(); }
    bool is_on_former_owner(common::Instant now) const {
      return this->former_owner_since && now >= *this->former_owner_since + FORMER_OWNER_GRACE;
    }
    /** @return true if errors for the commands in flight can be sent to the caller. */
    bool can_answer_in_flight() const { return !this->in_flight.empty() && this->between_messages; }
    /** @return true if the session was accepted so recently that its first command may be on the
     * way. */
    bool awaits_first_command(common::Instant now) const {
      return this->commands == 0 && now < this->accepted_at + FIRST_COMMAND_GRACE;
    }
    bool is_idle() const {
      return this->in_flight.empty() && this->state == model::TransactionState::kIdle;
    }
  };

  /** An owner and its zone. Both are empty if there is none. */
  struct owner_choice {
    std::string owner;
    std::string zone;
  };

  owner_choice choose_owner(session_number number, const relayed_session& session,
                            common::Instant now) const;
  /** @return an owner in a zone that may serve the session. */
  owner_choice choose_in_any_zone(session_number number, const relayed_session& session,
                                  bool excluded_from_own_zone, common::Instant now) const;
  /** @return the zones in the order in which this zone's sessions of the tenant try them. */
  std::vector<std::string> zones_in_tenant_order(std::vector<std::string> zones,
                                                 const std::string& tenant) const;
  /** @return true if an accepted session that is misplaced must end now. */
  static bool must_move(const relayed_session& session, common::Instant now);
  /** @return the owners to which the session can be handed over. */
  std::vector<std::string> available_owners(const std::vector<std::string>& owners,
                                            const relayed_session& session,
                                            common::Instant now) const;
  std::string pick_owner(const std::vector<std::string>& owners, const relayed_session& session,
                         common::Instant now) const;
  std::string least_used_owner(const std::vector<std::string>& owners) const;
  void hand_over(session_number number, relayed_session& session, common::Instant now);
  /** Logs the end of a session's link. */
  void log_session(const char* event, session_number number, const relayed_session& session,
                   const std::string& reason, common::Instant now);
  void remove_session(session_number number);
  /** Sends an error for each command in flight. @return false if that has ended the caller's
   *  connection. */
  bool answer_lost_commands(session_number number, const relayed_session& session);
  void end_session(session_number number);
  /** Owners of sessions that are stopping or unreachable. */
  struct owner_states {
    std::set<std::string> stopping;     // about to stop
    std::set<std::string> unreachable;  // not in the view; they may be live
    std::set<std::string>
        timed_out;  // the unreachable ones that have sent no byte for a waiting command

    bool all_available() const { return this->stopping.empty() && this->unreachable.empty(); }
  };

  owner_states check_owners(common::Instant now) const;
  /** @return the unreachable owners that have sent nothing for OWNER_TIMEOUT while a command waits.
   */
  std::set<std::string> find_timed_out(const std::set<std::string>& unreachable,
                                       common::Instant now) const;
  /** @return why the session's link must be closed, or nullptr. */
  static const char* link_failure_reason(const relayed_session& session, const owner_states& owners,
                                         common::Instant now);
  /** @return why the session must end if it is idle, or nullptr. */
  static const char* idle_end_reason(const relayed_session& session, const owner_states& owners,
                                     common::Instant now);
  /** Finds the sessions whose owners no longer own the service. Does so at intervals. */
  void update_former_owners(common::Instant now);
  void end_sessions(const std::vector<session_number>& numbers, const char* reason);
  void end_misplaced(common::Instant now);

  std::string zone;
  const role_map& roles;
  relay_port& port;
  std::map<session_number, relayed_session> sessions;
  std::map<std::string, std::size_t> sessions_by_owner;
  std::map<std::string, common::Instant> last_bytes;  // time of the last bytes, by owner
  std::size_t unaccepted = 0;        // number of sessions that no owner has accepted yet
  bool any_on_former_owner = false;  // some session's owner no longer owns the service
  common::Instant next_former_check{0};
  bool any_misplaced = false;  // some session must move to an owner in another zone
  relay_counters counts;
  bool closing = false;
};

}  // namespace valvekeel::relay
