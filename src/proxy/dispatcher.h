// Runs the commands of callers' sessions: answers them locally or sends them to database instances.
//
// Owns: the sessions and their operations. Invariant: every command is answered exactly once. A
// request that was sent to an instance is sent again only if it is a read, or if the instance has
// promised that nothing of it is kept. A connection serves one session from the first request sent
// for that session until the connection is released.
// No I/O and no clock; not thread-safe.
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
  std::uint64_t refused_early = 0;               // would not have started before their deadline
  std::map<std::string, std::uint64_t> refused_at_queue_deadline;  // by reason
};

/// When a session may be ended.
enum class SessionEndCondition : std::uint8_t {
  kNotYet,           // not yet; sessions are only counted
  kIdle,             // once no command is in progress and no transaction is open
  kBetweenCommands,  // once no command is in progress, also within a transaction
  kImmediately,
};

/// Error text for a caller whose session can't begin or continue while this daemon stops. The
/// retry-after time is that of a session that starts before the first configuration: the caller's
/// next attempt goes to another daemon.
inline constexpr const char* kDaemonStoppingText = "retry_after_ms=250 the daemon stops";

/// Executes the commands of callers' sessions on the instances' connections.
class Dispatcher : public ConnectionObserver {
 public:
  Dispatcher(const ProxySettings& settings, BackendSet& backends, GroupSet& groups,
             tenants::admission& admission, access::rule_set& access, Outbox& outbox);

  /// Sets a new version of the configuration. It applies to each session from its next transaction
  /// on. @param configuration must stay valid until the next call.
  void SetConfiguration(const model::Configuration* configuration, common::Instant now);

  /// Accepts or refuses a new session; before the first configuration the session waits.
  void SessionStarted(SessionNumber number, const std::string& database,
                      const tenants::key_digest& key, common::Instant now);
  /// Runs a command, or queues it behind the session's command in progress.
  void CommandReceived(SessionNumber number, const CallerCommand& command, common::Instant now);
  /// Removes a session that has ended, and ends its open transaction.
  /// Keeps the session's next commands waiting while the answers that its caller has not read yet
  /// are too many.
  void CallerCongested(SessionNumber number, bool congested, common::Instant now);
  void SessionClosed(SessionNumber number, common::Instant now);

  void OnAnswer(Backend& backend, Connection& connection, const OutstandingRequest& outstanding,
                const model::Reply& reply, common::Instant now) override;
  void OnLost(Backend& backend, Connection& connection, common::Instant now) override;
  void OnCapacity(common::Instant now) override;

  /// Records that another daemon handed the session over. No effect on a session that was refused.
  /// @param accepts_end_request the other daemon ends the session, once idle, if asked to.
  void RecordHandover(SessionNumber number, bool accepts_end_request);

  /// Ends the selected sessions that meet the condition. With kIdle, a session that accepts an end
  /// request is first left to the daemon that handed it over, which is asked to end it.
  /// @param reason for the log and for error texts. @return how many selected sessions are left.
  std::size_t EndSessions(const std::function<bool(const CallerSession&)>& selected,
                          SessionEndCondition condition, const char* reason, common::Instant now);

  /// Applies time-outs and starts queued operations; called periodically.
  void Tick(common::Instant now);

  /// Ends idle sessions, except those whose first command may still be on its way.
  /// @param include_transactions also ends these and sessions with an open transaction.
  void EndAllIdleSessions(bool include_transactions, common::Instant now);

  /// Ends the idle sessions of a service. @param include_handed_over also those handed over by
  /// daemons that accept no end request: their next command may already be on the link.
  void EndIdleSessionsOfService(const std::string& service, bool include_handed_over,
                                common::Instant now);

  /// Sets the observer to which load is reported. @param observer null: no observer.
  void SetLoadObserver(waiting::load_observer* observer) { load_observer_ = observer; }

  /// From now on each session ends as soon as it is idle.
  void StartDraining() { draining_ = true; }

  /// Ends all sessions; no operation starts from now on. Each unanswered command is answered with
  /// an error that says whether it may have run.
  void EndAllSessions(common::Instant now);

  std::size_t SessionCount() const { return sessions_.size(); }

  /// @return the services of the sessions served here.
  std::set<std::string> ServicesInUse() const;
  /// @return the number of operations that wait for an instance.
  std::size_t QueuedCount() const { return queues_.size(); }
  const DispatchCounters& Counters() const { return counters_; }

 private:
  using Session = CallerSession;

  Session* FindSession(SessionNumber number);
  const model::Route* RouteOf(const Session& session) const;

  // Tenants.
  /// @return true if the caller may start a session on the route; else it was rejected.
  bool AcceptsCaller(const Session& session, const model::Route& route, common::Instant now);
  /// Admits a new operation. @return its tenant; nothing if it was answered with a refusal.
  std::optional<std::string> AdmitOperation(Session& session, const CallerCommand& command,
                                            const model::Route& route, common::Instant now);
  /// Checks that a statement of an open transaction may still run for its tenant.
  /// @return false if the transaction was ended and the statement answered.
  bool CheckTransactionTenant(Session& session, const CallerCommand& command, common::Instant now);
  tenants::admission_result IdentifyTenant(const Session& session, const model::Route& route,
                                           common::Instant now) const;
  /// @return true if a queued operation may still run, according to the current result.
  static bool StillAdmitted(const Session& session, const tenants::admission_result& current);
  void LogRejection(const std::string& request, const model::Route& route,
                    const tenants::admission_result& result);
  /// Rolls the transaction back at its instance. From then on the caller may only end it.
  void FailTransaction(Session& session, common::Instant now);

  // Access to instances.
  /// @return the session's operation in the form that the access rules take.
  static access::work WorkOf(const Session& session);
  /// @return the access rules' answer that blocks an operation outside an instance's transaction;
  /// nothing if an instance may run it or is expected to.
  std::optional<access::decision> BlockingAnswer(const Session& session, common::Instant now);
  /// The same for a statement whose transaction is open at an instance.
  std::optional<access::decision> BlockingAnswerInTransaction(const Session& session,
                                                              common::Instant now);
  /// Refuses a queued operation that the access rules block, unless they allow it again before its
  /// deadline. @return true if it was refused.
  bool RefuseBlocked(Session& session, common::Instant now);
  /// @return true if the access rules close the instance, also for transactions open there.
  bool IsInstanceClosed(const std::string& instance, const model::Route& route,
                        const std::string& tenant, common::Instant now);
  /// Rolls back a transaction without a command in progress whose instance is closed.
  void EndBlockedTransaction(Session& session, common::Instant now);
  /// Records if the transaction's instance has closed while a statement runs there.
  void RecordInstanceClosed(Session& session, common::Instant now);
  /// Releases the connection of a transaction that ends; closes it if its instance was closed while
  /// a statement ran.
  void ReleaseOrCloseConnection(const Transaction& transaction, Backend& backend,
                                Connection& connection, common::Instant now);
  /// Sends requests of a caller and reports their number to the access rules.
  void SendAndCountRequests(Backend& backend, Connection& connection,
                            std::vector<model::InstanceRequest> requests, RequestPurpose purpose,
                            common::Instant now);

  // Commands.
  void BeginTransaction(Session& session, const CallerCommand& command, common::Instant now);
  void RunCommand(Session& session, const CallerCommand& command, common::Instant now);
  void Rollback(Session& session, common::Instant now);
  void Prepare(Session& session, const model::Command& command);
  void SetValue(Session& session, const model::Command& command);
  void Deallocate(Session& session, const model::Command& command);
  /// Creates the operation for a command that needs an instance, and starts or queues it.
  void CreateOperation(Session& session, const CallerCommand& command, common::Instant now);
  /// Runs the session's pending commands until one is in progress; ends the session if it is idle
  /// and the daemon drains.
  void RunPendingCommands(SessionNumber number, common::Instant now);
  /// Starts a session that has waited for a configuration, and runs the commands received so far.
  void RestartSession(Session waiting, common::Instant now);

  // Answers.
  model::TransactionState TransactionStateOf(const Session& session) const;
  /// Answers success without an instance.
  void AnswerLocally(Session& session);
  /// Answers a command with an error; an open transaction fails.
  void AnswerError(Session& session, model::ErrorCode code, const std::string& text);
  /// Ends the session's operation with an error of this daemon, and runs the pending commands.
  void FinishWithError(Session& session, model::ErrorCode code, const std::string& reason,
                       common::Instant now);
  /// Ends the session's operation with an instance's reply, and runs the pending commands.
  void FinishWithReply(Session& session, const model::Reply& reply, common::Instant now);
  void EndTransaction(Session& session, common::Instant now);

  // Queueing.
  /// @return the instances that can serve the session's operation. Valid while the operation
  /// exists.
  waiting::target TargetOf(const Session& session) const;
  /// Queues the session's operation; no effect if it is queued already.
  void Enqueue(const Session& session);
  /// Records that none of the instances that could serve the session's operation had a free slot.
  void RecordNoFreeSlot(Session& session, std::size_t instances, common::Instant now);
  /// Records that the session's operation starts and takes a slot of an instance.
  void RecordStart(const Session& session, common::Instant now);
  /// Reports an operation that ends to the load observer.
  void ReportOperation(const Session& session, const Operation& operation, common::Instant now);
  /// Reports the instances' limits on statements in flight to the load observer.
  void ReportCapacity(common::Instant now);
  /// Refuses queued operations that will not start before their deadline.
  void RefuseEarly(common::Instant now);
  /// Refuses an operation that has reached its queue deadline.
  void RefuseAtQueueDeadline(Session& session, common::Instant now);
  /// Refuses the session's operation as busy, with a retry-after time.
  void RefuseWithRetryAfter(Session& session, const std::string& reason, common::Instant now);

  // Placement and execution.
  /// Tries to start all queued operations, in the order of their queues.
  void StartQueuedOperations(common::Instant now);
  /// @return true if the session's operation was sent to an instance.
  bool TryStart(Session& session, common::Instant now);
  bool NeedsPrimary(const Session& session) const;
  /// @return the instances that may run the session's operation now, the best first.
  std::vector<Placement> FindPlacements(const Session& session, common::Instant now);
  bool StartOn(Session& session, const Placement& placement, common::Instant now);
  /// Opens a connection for an operation that found none free, at the first placement that can take
  /// it.
  void OpenConnectionFor(Session& session, const std::vector<Placement>& placements,
                         common::Instant now);
  bool AcceptsStatement(const Backend& backend, const Operation& operation,
                        common::Instant now) const;
  /// @return true if the connection opened for the operation may still become usable in time.
  bool IsConnectionOpening(const Operation& operation, common::Instant now);
  /// Sends the requests that bring the connection to the session's state; if there are none, sends
  /// the statement.
  void SendPreparation(Session& session, Backend& backend, Connection& connection,
                       const std::optional<common::Position>& required, common::Instant now);
  void SendStatement(Session& session, Backend& backend, Connection& connection,
                     common::Instant now);
  std::vector<model::InstanceRequest> BuildPreparation(
      const Session& session, const Connection& connection,
      const std::optional<common::Position>& required) const;
  /// Queues an operation again after a pause. @param avoid the instance that could not serve it.
  void Requeue(Session& session, const std::string& avoid, const char* reason,
               common::Duration pause, common::Instant now);
  /// Handles an instance that does not know a name that it has confirmed: the state of the
  /// connection is unknown, so the connection is closed.
  void OnSessionStateMismatch(Session& session, Backend& backend, Connection& connection,
                              common::Instant now);
  void OnStatementAnswer(Session& session, Backend& backend, Connection& connection,
                         const model::Reply& reply, common::Instant now);
  /// Finishes a commit with an unknown outcome, since this daemon holds no lease of the primary
  /// that committed it.
  void WithholdAcknowledgement(Session& session, Connection& connection, common::Instant now);
  void OnPreparationAnswer(Session& session, Backend& backend, Connection& connection,
                           const model::Reply& reply, common::Instant now);
  void OnStatementSucceeded(Session& session, Backend& backend, Connection& connection,
                            const model::Reply& reply, common::Instant now);
  void OnRefused(Session& session, Backend& backend, Connection& connection,
                 const model::Reply& reply, common::Instant now);
  bool IsWrite(const Session& session) const;
  /// @return true if the operation's request was sent and would commit if it succeeds.
  bool MayHaveCommitted(const Session& session) const;
  /// @return true if the operation commits a write if it succeeds.
  bool WouldCommit(const Session& session) const;
  /// Gives up the answer to the operation's request. Its connection is closed if that is needed to
  /// roll back; else it is free again once the instance has answered.
  void AbandonSentRequest(Session& session, common::Instant now);

  // Time.
  /// Refuses, resends or ends an operation if its time or its instance requires it.
  void CheckOperation(Session& session, common::Instant now);
  /// Fails a transaction that has been idle for longer than the configured limit.
  void FailIdleTransaction(Session& session, common::Instant now);
  /// @return true if a read without an answer should be sent again.
  bool IsResendDue(const Session& session, const Backend& backend, common::Instant now) const;
  /// Records for each service the send time of its oldest unanswered write at the primary.
  void RecordUnansweredWrites(common::Instant now);
  /// Answers an operation that can't continue. The error code says what may have become of it.
  void FinishInterrupted(Session& session, const char* reason, common::Instant now);
  /// Answers the operation, and the pending commands, of a session that this daemon ends.
  void InterruptOperation(Session& session, const char* reason, common::Instant now);
  /// Answers the pending commands of a session that this daemon ends.
  void RefusePendingCommands(Session& session, const char* reason, common::Instant now);
  /// Logs the sessions that this daemon ends on its own account.
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
  waiting::service_queues queues_;                  // sessions with an operation in phase kQueued
  std::set<SessionNumber> awaiting_configuration_;  // not accepted yet
  bool starting_queued_ = false;
  std::set<std::string> services_with_unanswered_write_;  // at the last tick
  bool start_queued_again_ = false;
  bool draining_ = false;
  bool in_command_received_ = false;  // commands that were read together are being run
  bool stopped_ = false;              // no operation starts any more
  DispatchCounters counters_;
};

}  // namespace valvekeel::proxy
