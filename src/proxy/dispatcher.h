// Callers' sessions: what is answered at once, what runs where, what is tried again.
//
// Owns: the sessions and their operations. Invariant: every command is answered once; what was sent
// to an instance is sent again only if it reads, or after a promise that nothing of it is kept; a
// connection serves one session from the first request sent for it until it is released. Pure.
// Thread: its host's.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "access/rule_set.h"
#include "proxy/backend_set.h"
#include "proxy/caller_session.h"
#include "proxy/group_set.h"
#include "proxy/outbox.h"
#include "proxy/proxy_settings.h"
#include "proxy/read_placement.h"
#include "tenants/admission.h"
#include "waiting/recorder.h"
#include "waiting/service_queues.h"

namespace valvekeel::proxy {

/// Counters for metrics.
struct DispatchCounters {
  std::uint64_t commands = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t replica_reads = 0;
  std::uint64_t primary_reads = 0;
  std::uint64_t retries = 0;
  std::uint64_t resent_reads = 0;
  std::map<std::string, std::uint64_t> errors;        // answered to callers, by code
  std::map<std::string, std::uint64_t> barred;        // refused or ended by access rules, by reason
  std::uint64_t refused_early = 0;                    // their turn would not have come in time
  std::map<std::string, std::uint64_t> held_in_vain;  // refused at the end of their hold, by reason
};

/// How long the end of a session waits.
enum class EndWhen : std::uint8_t {
  kLater,     // none ends yet
  kResting,   // until it rests outside a transaction
  kAnswered,  // until no answer is awaited
  kAtOnce,
};

/// For a caller whose session can't begin or go on. The pause is that of a session that comes too
/// early: the caller's next attempt goes to another daemon.
inline constexpr const char* kGoElsewhere = "retry_after_ms=250 the daemon stops";

class Dispatcher : public ConnectionObserver {
 public:
  Dispatcher(const ProxySettings& settings, BackendSet& backends, GroupSet& groups,
             tenants::admission& admission, access::rule_set& access, Outbox& outbox);

  /// Takes a new version of the configuration; in force from each session's next transaction.
  void SetConfiguration(const model::Configuration* configuration, common::Instant now);

  void SessionStarted(SessionNumber number, const std::string& database,
                      const tenants::key_digest& key, common::Instant now);
  void CommandReceived(SessionNumber number, const CallerCommand& command, common::Instant now);
  void SessionClosed(SessionNumber number, common::Instant now);

  void OnAnswer(Backend& backend, Connection& connection, const OutstandingRequest& outstanding,
                const model::Reply& reply, common::Instant now) override;
  void OnLost(Backend& backend, Connection& connection, common::Instant now) override;
  void OnCapacity(common::Instant now) override;

  /// The session was handed over by another daemon. One that was refused is not known any more.
  /// @param takes_goodbye the other daemon ends it as it rests if asked to.
  void NoteHandedOver(SessionNumber number, bool takes_goodbye);

  /// Ends those chosen that may end now; what another daemon handed over and may end as it rests,
  /// that daemon is asked to. @param reason for the log. @return how many are left.
  std::size_t EndSessions(const std::function<bool(const CallerSession&)>& chosen, EndWhen when,
                          const char* reason, common::Instant now);

  void Tick(common::Instant now);

  /// Ends sessions that rest, but for those whose first command may be on its way; with `all`, also
  /// these and those in a transaction.
  void CloseResting(bool all, common::Instant now);

  /// Ends the sessions of a service that rest. @param handed_over also those of other daemons that
  /// take no goodbye: their next command may be on the link already.
  void EndResting(const std::string& service, bool handed_over, common::Instant now);

  /// Tells an observer of the load from now on. @param observer nothing: nobody any more.
  void SetLoadObserver(waiting::load_observer* observer) { load_observer_ = observer; }

  /// From now on each session ends as soon as it rests.
  void StartClosing() { closing_ = true; }

  /// Ends all sessions, and nothing runs from now on. Each command that has no answer yet gets one
  /// that tells what is known of it.
  void EndAll(common::Instant now);

  std::size_t SessionCount() const { return sessions_.size(); }

  /// @return the services of the sessions served here.
  std::set<std::string> ServicesInUse() const;
  std::size_t WaitingCount() const { return waiting_.size(); }
  const DispatchCounters& Counters() const { return counters_; }

 private:
  using Session = CallerSession;

  Session* Find(SessionNumber number);
  const model::Route* RouteOf(const Session& session) const;

  // Tenants.
  /// @return true if the caller may start a session on the route; else it was turned away.
  bool AcceptsCaller(const Session& session, const model::Route& route, common::Instant now);
  /// Admits a new operation. @return its tenant; nothing if it was answered with a refusal.
  std::optional<std::string> AdmitOperation(Session& session, const CallerCommand& command,
                                            const model::Route& route, common::Instant now);
  /// Checks that a statement of an open transaction may still run for its tenant.
  /// @return false if the transaction was ended and the statement answered.
  bool ContinuesForTenant(Session& session, const CallerCommand& command, common::Instant now);
  tenants::admission_result Identify(const Session& session, const model::Route& route,
                                     common::Instant now) const;
  /// @return true if an operation that waited may still run, by what was found out just now.
  static bool StillAdmitted(const Session& session, const tenants::admission_result& found);
  void LogTurnedAway(const std::string& request, const model::Route& route,
                     const tenants::admission_result& result);
  /// Ends the transaction at its instance; only its end is taken from the caller.
  void FailTransaction(Session& session, common::Instant now);

  // Access to instances.
  /// @return the session's operation as the access rules see it.
  static access::work WorkOf(const Session& session);
  /// @return why a waiting operation can't be served in its time; nothing if it may be.
  std::optional<access::answer> Barred(const Session& session, common::Instant now);
  /// @return the same of a statement whose transaction is open at an instance.
  std::optional<access::answer> BarredWithin(const Session& session, common::Instant now);
  /// Refuses a waiting operation that can't be served in its time. @return true if it was refused.
  bool RefuseBarred(Session& session, common::Instant now);
  /// @return true if the instance takes nothing more, not even for what is open there.
  bool Closed(const std::string& instance, const model::Route& route, const std::string& tenant,
              common::Instant now);
  /// Rolls a transaction back whose instance takes nothing more.
  void EndBarredTransaction(Session& session, common::Instant now);
  /// Notes that the transaction's instance takes nothing more while a statement runs there.
  void NoteBarredRunning(Session& session, common::Instant now);
  /// Gives the connection of a transaction that ends back, or ends the connection.
  void LeaveConnection(const Transaction& transaction, Backend& backend, Connection& connection,
                       common::Instant now);
  /// Sends callers' work, and tells the access rules.
  void SendWork(Backend& backend, Connection& connection,
                std::vector<model::InstanceRequest> requests, RequestPurpose purpose,
                common::Instant now);

  // Commands.
  void Begin(Session& session, const CallerCommand& command, common::Instant now);
  void Run(Session& session, const CallerCommand& command, common::Instant now);
  void Rollback(Session& session, common::Instant now);
  void Prepare(Session& session, const model::Command& command);
  void SetValue(Session& session, const model::Command& command);
  void Deallocate(Session& session, const model::Command& command);
  void RunOnData(Session& session, const CallerCommand& command, common::Instant now);
  void TakeNext(Session& session, common::Instant now);

  // Answers.
  model::TransactionState StateOf(const Session& session) const;
  void AnswerLocally(Session& session);
  void AnswerError(Session& session, model::ErrorCode code, const std::string& text);
  void FinishWithError(Session& session, model::ErrorCode code, const std::string& reason,
                       common::Instant now);
  void FinishWithReply(Session& session, const model::Reply& reply, common::Instant now);
  void EndTransaction(Session& session, common::Instant now);

  // Waiting.
  /// What the session's operation waits for. Valid while the operation is there.
  waiting::target TargetOf(const Session& session) const;
  /// Lets the session's operation wait; nothing changes if it does already.
  void JoinQueue(const Session& session);
  /// The session's operation found no instance with room among so many that could serve it.
  void NoteNoRoom(Session& session, std::size_t places, common::Instant now);
  /// The session's operation takes an instance's room.
  void NoteStarted(const Session& session, common::Instant now);
  /// Tells the observer of an operation that ends.
  void ObserveOperation(const Session& session, const Operation& operation, common::Instant now);
  /// Tells the observer what the instances' limits allow.
  void ObserveCapacity(common::Instant now);
  /// Refuses those whose turn will not come in time.
  void RefuseHopeless(common::Instant now);
  /// Refuses an operation that waited as long as it may.
  void RefuseHeld(Session& session, common::Instant now);
  /// Refuses the session's operation as busy and tells the caller when to come back.
  void RefuseWaiting(Session& session, const std::string& reason, common::Instant now);

  // Placement and execution.
  void Pump(common::Instant now);
  bool TryStart(Session& session, common::Instant now);
  bool NeedsPrimary(const Session& session) const;
  std::vector<Placement> Places(const Session& session, common::Instant now);
  bool StartOn(Session& session, const Placement& place, common::Instant now);
  /// Opens a connection for an operation that found none, at the first place that can take it.
  void OpenFor(Session& session, const std::vector<Placement>& places, common::Instant now);
  bool TakesStatement(const Backend& backend, const Operation& operation,
                      common::Instant now) const;
  bool AwaitsConnection(const Operation& operation, common::Instant now);
  void SendPreparation(Session& session, Backend& backend, Connection& connection,
                       const std::optional<common::Position>& required, common::Instant now);
  void SendStatement(Session& session, Backend& backend, Connection& connection,
                     common::Instant now);
  std::vector<model::InstanceRequest> Preparation(
      const Session& session, Connection& connection,
      const std::optional<common::Position>& required) const;
  void Wait(Session& session, const std::string& avoid, const char* reason, common::Duration pause,
            common::Instant now);
  void AnswerToStatement(Session& session, Backend& backend, Connection& connection,
                         const model::Reply& reply, common::Instant now);
  void AnswerToPreparation(Session& session, Backend& backend, Connection& connection,
                           const model::Reply& reply, common::Instant now);
  void Succeeded(Session& session, Backend& backend, Connection& connection,
                 const model::Reply& reply, common::Instant now);
  void Refused(Session& session, Backend& backend, Connection& connection,
               const model::Reply& reply, common::Instant now);
  bool IsWrite(const Session& session) const;
  bool MayHaveCommitted(const Session& session) const;
  bool WouldCommit(const Session& session) const;
  void Abandon(Session& session, common::Instant now);

  // Time.
  void CheckOperation(Session& session, common::Instant now);
  void CheckTransaction(Session& session, common::Instant now);
  bool ResendDue(const Session& session, const Backend& backend, common::Instant now) const;
  void NoteUnansweredWrites(common::Instant now);
  /// Answers an operation that can't go on, by what may have become of it.
  void CutShort(Session& session, const char* reason, common::Instant now);
  /// Answers what the end of a session cuts short, the commands that it has queued as well.
  void EndOperation(Session& session, const char* reason, common::Instant now);
  /// Tells the log of sessions that this daemon ends by itself.
  void NoteEnding(const std::vector<SessionNumber>& ending, const char* reason);

  const ProxySettings& settings_;
  BackendSet& backends_;
  GroupSet& groups_;
  tenants::admission& admission_;
  access::rule_set& access_;
  Outbox& outbox_;
  ReadPlacement placement_;
  const model::Configuration* configuration_ = nullptr;
  std::map<SessionNumber, Session> sessions_;
  waiting::load_observer* load_observer_ = nullptr;
  waiting::service_queues waiting_;   // sessions with an operation in phase kWaiting
  std::set<SessionNumber> starting_;  // not accepted yet
  bool pumping_ = false;
  std::set<std::string> unanswered_in_;  // services with an unanswered write noted
  bool pump_again_ = false;
  bool closing_ = false;
  bool reading_ = false;  // commands that were read together are being taken
  bool ended_ = false;    // nothing is begun any more
  DispatchCounters counters_;
};

}  // namespace valvekeel::proxy
