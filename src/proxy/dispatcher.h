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
  std::map<std::string, std::uint64_t> errors;   // answered to callers, by code
  std::map<std::string, std::uint64_t> blocked;  // refused or ended by access rules, by reason
  std::uint64_t refused_early = 0;               // their turn would not have come in time
  std::map<std::string, std::uint64_t>
      refused_at_queue_deadline;  // refused at the end of their hold, by reason
};

/// How long the end of a session waits.
enum class SessionEndCondition : std::uint8_t {
  kNotYet,           // none ends yet
  kIdle,             // until it rests outside a transaction
  kBetweenCommands,  // until no answer is awaited
  kImmediately,
};

/// For a caller whose session can't begin or go on. The pause is that of a session that comes too
/// early: the caller's next attempt goes to another daemon.
inline constexpr const char* kDaemonStoppingText = "retry_after_ms=250 the daemon stops";

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

  void OnAnswer(Backend& backend, Connection& connection, const Outstanding& outstanding,
                const model::Reply& reply, common::Instant now) override;
  void OnLost(Backend& backend, Connection& connection, common::Instant now) override;
  void OnCapacity(common::Instant now) override;

  /// The session was handed over by another daemon. One that was refused is not known any more.
  /// @param takes_goodbye the other daemon ends it as it rests if asked to.
  void RecordHandover(SessionNumber number, bool accepts_end_request);

  /// Ends those chosen that may end now; what another daemon handed over and may end as it rests,
  /// that daemon is asked to. @param reason for the log. @return how many are left.
  std::size_t EndSessions(const std::function<bool(const CallerSession&)>& selected,
                          SessionEndCondition condition, const char* reason, common::Instant now);

  void Tick(common::Instant now);

  /// Ends sessions that rest, but for those whose first command may be on its way; with `all`, also
  /// these and those in a transaction.
  void EndAllIdleSessions(bool include_transactions, common::Instant now);

  /// Ends the sessions of a service that rest. @param handed_over also those of other daemons that
  /// take no goodbye: their next command may be on the link already.
  void EndIdleSessionsOfService(const std::string& service, bool include_handed_over,
                                common::Instant now);

  /// Tells an observer of the load from now on. @param observer nothing: nobody any more.
  void SetLoadObserver(waiting::load_observer* observer) { load_observer_ = observer; }

  /// From now on each session ends as soon as it rests.
  void StartDraining() { draining_ = true; }

  /// Ends all sessions, and nothing runs from now on. Each command that has no answer yet gets one
  /// that tells what is known of it.
  void EndAllSessions(common::Instant now);

  std::size_t SessionCount() const { return sessions_.size(); }

  /// @return the services of the sessions served here.
  std::set<std::string> ServicesInUse() const;
  std::size_t QueuedCount() const { return queues_.size(); }
  const DispatchCounters& Counters() const { return counters_; }

 private:
  using Session = CallerSession;

  Session* FindSession(SessionNumber number);
  const model::Route* RouteOf(const Session& session) const;

  // Tenants.
  /// @return true if the caller may start a session on the route; else it was turned away.
  bool AcceptsCaller(const Session& session, const model::Route& route, common::Instant now);
  /// Admits a new operation. @return its tenant; nothing if it was answered with a refusal.
  std::optional<std::string> AdmitOperation(Session& session, const CallerCommand& command,
                                            const model::Route& route, common::Instant now);
  /// Checks that a statement of an open transaction may still run for its tenant.
  /// @return false if the transaction was ended and the statement answered.
  bool CheckTransactionTenant(Session& session, const CallerCommand& command, common::Instant now);
  tenants::admission_result IdentifyTenant(const Session& session, const model::Route& route,
                                           common::Instant now) const;
  /// @return true if an operation that waited may still run, by what was found out just now.
  static bool StillAdmitted(const Session& session, const tenants::admission_result& current);
  void LogRejection(const std::string& request, const model::Route& route,
                    const tenants::admission_result& result);
  /// Ends the transaction at its instance; only its end is taken from the caller.
  void FailTransaction(Session& session, common::Instant now);

  // Access to instances.
  /// @return the session's operation as the access rules see it.
  static access::work WorkOf(const Session& session);
  /// @return why a waiting operation can't be served in its time; nothing if it may be.
  std::optional<access::answer> BlockingAnswer(const Session& session, common::Instant now);
  /// @return the same of a statement whose transaction is open at an instance.
  std::optional<access::answer> BlockingAnswerInTransaction(const Session& session,
                                                            common::Instant now);
  /// Refuses a waiting operation that can't be served in its time. @return true if it was refused.
  bool RefuseBlocked(Session& session, common::Instant now);
  /// @return true if the instance takes nothing more, not even for what is open there.
  bool IsInstanceClosed(const std::string& instance, const model::Route& route,
                        const std::string& tenant, common::Instant now);
  /// Rolls a transaction back whose instance takes nothing more.
  void EndBlockedTransaction(Session& session, common::Instant now);
  /// Notes that the transaction's instance takes nothing more while a statement runs there.
  void RecordInstanceClosed(Session& session, common::Instant now);
  /// Gives the connection of a transaction that ends back, or ends the connection.
  void ReleaseOrCloseConnection(const Transaction& transaction, Backend& backend,
                                Connection& connection, common::Instant now);
  /// Sends callers' work, and tells the access rules.
  void SendAndCountRequests(Backend& backend, Connection& connection,
                            std::vector<model::InstanceRequest> requests, Purpose purpose,
                            common::Instant now);

  // Commands.
  void BeginTransaction(Session& session, const CallerCommand& command, common::Instant now);
  void RunCommand(Session& session, const CallerCommand& command, common::Instant now);
  void Rollback(Session& session, common::Instant now);
  void Prepare(Session& session, const model::Command& command);
  void SetValue(Session& session, const model::Command& command);
  void Deallocate(Session& session, const model::Command& command);
  void CreateOperation(Session& session, const CallerCommand& command, common::Instant now);
  void RunPendingCommands(Session& session, common::Instant now);

  // Answers.
  model::TransactionState TransactionStateOf(const Session& session) const;
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
  void Enqueue(const Session& session);
  /// The session's operation found no instance with room among so many that could serve it.
  void RecordNoFreeSlot(Session& session, std::size_t instances, common::Instant now);
  /// The session's operation takes an instance's room.
  void RecordStart(const Session& session, common::Instant now);
  /// Tells the observer of an operation that ends.
  void ReportOperation(const Session& session, const Operation& operation, common::Instant now);
  /// Tells the observer what the instances' limits allow.
  void ReportCapacity(common::Instant now);
  /// Refuses those whose turn will not come in time.
  void RefuseEarly(common::Instant now);
  /// Refuses an operation that waited as long as it may.
  void RefuseAtQueueDeadline(Session& session, common::Instant now);
  /// Refuses the session's operation as busy and tells the caller when to come back.
  void RefuseWithRetryAfter(Session& session, const std::string& reason, common::Instant now);

  // Placement and execution.
  void StartQueuedOperations(common::Instant now);
  bool TryStart(Session& session, common::Instant now);
  bool NeedsPrimary(const Session& session) const;
  std::vector<Placement> FindPlacements(const Session& session, common::Instant now);
  bool StartOn(Session& session, const Placement& placement, common::Instant now);
  /// Opens a connection for an operation that found none, at the first place that can take it.
  void OpenConnectionFor(Session& session, const std::vector<Placement>& placements,
                         common::Instant now);
  bool AcceptsStatement(const Backend& backend, const Operation& operation,
                        common::Instant now) const;
  bool IsConnectionOpening(const Operation& operation, common::Instant now);
  void SendPreparation(Session& session, Backend& backend, Connection& connection,
                       const std::optional<common::Position>& required, common::Instant now);
  void SendStatement(Session& session, Backend& backend, Connection& connection,
                     common::Instant now);
  std::vector<model::InstanceRequest> BuildPreparation(
      const Session& session, Connection& connection,
      const std::optional<common::Position>& required) const;
  void Requeue(Session& session, const std::string& avoid, const char* reason,
               common::Duration pause, common::Instant now);
  void OnStatementAnswer(Session& session, Backend& backend, Connection& connection,
                         const model::Reply& reply, common::Instant now);
  void OnPreparationAnswer(Session& session, Backend& backend, Connection& connection,
                           const model::Reply& reply, common::Instant now);
  void OnStatementSucceeded(Session& session, Backend& backend, Connection& connection,
                            const model::Reply& reply, common::Instant now);
  void OnRefused(Session& session, Backend& backend, Connection& connection,
                 const model::Reply& reply, common::Instant now);
  bool IsWrite(const Session& session) const;
  bool MayHaveCommitted(const Session& session) const;
  bool WouldCommit(const Session& session) const;
  void AbandonSentRequest(Session& session, common::Instant now);

  // Time.
  void CheckOperation(Session& session, common::Instant now);
  void FailIdleTransaction(Session& session, common::Instant now);
  bool IsResendDue(const Session& session, const Backend& backend, common::Instant now) const;
  void RecordUnansweredWrites(common::Instant now);
  /// Answers an operation that can't go on, by what may have become of it.
  void FinishInterrupted(Session& session, const char* reason, common::Instant now);
  /// Answers what the end of a session cuts short, the commands that it has queued as well.
  void InterruptOperation(Session& session, const char* reason, common::Instant now);
  /// Tells the log of sessions that this daemon ends by itself.
  void LogEndingSessions(const std::vector<SessionNumber>& ending, const char* reason);

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
  waiting::service_queues queues_;                  // sessions with an operation in phase kWaiting
  std::set<SessionNumber> awaiting_configuration_;  // not accepted yet
  bool starting_queued_ = false;
  std::set<std::string> services_with_unanswered_write_;  // services with an unanswered write noted
  bool start_queued_again_ = false;
  bool draining_ = false;
  bool in_command_received_ = false;  // commands that were read together are being taken
  bool stopped_ = false;              // nothing is begun any more
  DispatchCounters counters_;
};

}  // namespace valvekeel::proxy
