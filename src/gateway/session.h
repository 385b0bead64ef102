// One caller's session: the server side of the PostgreSQL protocol.
//
// Owns: the caller's socket, prepared statements, portals and settings. Answers are sent in the
// order of the requests. A protocol error closes this session only. All calls are made on the event
// loop's thread.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/backends.h"
#include "gateway/batch_router.h"
#include "sql/classifier.h"
#include "sql/parse_tree.h"
#include "wire/decoder.h"
#include "wire/encoder.h"

namespace valvekeel::gateway {

/// Limits of sessions; see docs/operators/gateway.md.
struct SessionSettings {
  std::size_t max_message_bytes = std::size_t{16} << 20U;
  std::size_t max_pipeline_messages = 10'000;  // messages before a Sync
  std::size_t max_prepared_statements = 1000;  // of one session
  common::Duration default_deadline{10'000'000};
};

/// References to what all sessions of one gateway share.
struct SessionServices {
  asio::io_context& loop;
  Backends& backends;
  BatchRouter& router;
  sql::ParseCache& cache;
  const SessionSettings& settings;
  const bool& stopping;  // true: refuse new sessions and end idle ones
};

/// Key of a session for cancel requests.
struct CancelKey {
  std::uint32_t process_id = 0;
  std::uint32_t secret_key = 0;

  auto operator<=>(const CancelKey&) const = default;
};

/// Session of one caller, from its startup message until its connection is closed.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using CancelHandler = std::function<void(const CancelKey&)>;

  Session(SessionServices services, asio::ip::tcp::socket socket, pool::SessionNumber number,
          CancelKey key, CancelHandler on_cancel);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Serves the caller until either side ends the session.
  asio::awaitable<void> Run();

  /// Cancels the statement in progress.
  void Cancel();

  /// Ends the session at once if it is idle, else when its request or transaction has ended.
  void Stop();

  /// Closes the socket at once.
  void Close();

  /// @return true while a request or a transaction is in progress, or an answer is being sent.
  bool Busy() const { return busy_ || sending_ || !route_.transaction_instance.empty(); }

  const CancelKey& Key() const { return key_; }

 private:
  struct PreparedStatement {
    std::string text;
    std::vector<wire::TypeId> types;
    std::shared_ptr<const sql::ParseTree> tree;
  };
  struct Portal {
    PreparedStatement prepared;
    std::vector<wire::WireValue> parameters;
    std::vector<wire::FormatCode> parameter_formats;
    wire::FormatCode result_format = wire::kTextFormat;
    bool describe = false;  // the caller asked for the columns before the rows
  };
  /// Refers to the answer of a statement of the pending batch.
  struct StatementOutput {
    std::size_t statement = 0;
    bool describe = false;       // send the column descriptions first
    bool only_describe = false;  // send no rows
  };
  /// Encoded messages, or a reference to the answer that is sent in this place.
  using OutputItem = std::variant<std::string, StatementOutput>;

  /// Statements and their output, collected until Sync or Flush.
  struct PendingBatch {
    std::vector<pool::Statement> statements;
    std::vector<sql::Classification> classes;
    std::vector<OutputItem> output;
    bool needs_primary = false;  // only a primary can answer, though it only reads
  };

  /// @return true if nothing is in progress and no part of a message has been received.
  bool IsIdle() const { return !Busy() && decoder_.BufferedBytes() == 0; }
  /// Waits for input and reads it. @return false if the connection has ended.
  asio::awaitable<bool> ReadMore();
  /// Sends the encoded messages. @return false if the connection has failed.
  asio::awaitable<bool> Flush();
  /// Closes the sending side; no further request of the caller runs.
  void ShutdownSend();
  /// Reads and discards input until the caller closes the connection.
  asio::awaitable<void> DiscardUntilClosed();
  asio::awaitable<bool> Startup();
  asio::awaitable<bool> Open(wire::StartupMessage message);
  asio::awaitable<bool> Serve();
  asio::awaitable<bool> HandleSimple(wire::QueryMessage message);
  asio::awaitable<void> HandleSync();
  asio::awaitable<void> RunPending(bool simple);
  void HandleExtended(wire::FrontendMessage message);
  void HandleParse(wire::ParseMessage message);
  void HandleBind(wire::BindMessage message);
  void HandleDescribe(const wire::DescribeMessage& message);
  void HandleExecute(const wire::ExecuteMessage& message);
  void HandleClose(const wire::CloseMessage& message);

  void AddStatement(pool::Statement statement, const sql::ParsedStatement& parsed, bool describe);
  std::optional<std::string> AnswerLocally(const sql::Classification& statement, bool describe,
                                           std::optional<wire::ErrorFields>* error);
  std::optional<wire::ErrorFields> SetOwnSetting(const std::string& name, const std::string& value);
  std::string ShowOwnSetting(const std::string& name) const;
  std::optional<wire::ErrorFields> ApplyStartupOptions(const std::string& options);
  void FailPipeline(wire::ErrorFields error);
  void ClearRequestId();
  void Emit(const PendingBatch& pending, const pool::BatchReply& reply, bool simple);
  void SaveSettings(const PendingBatch& pending, const pool::BatchReply& reply);
  void AnnounceToken();
  wire::TransactionStatus Status() const { return status_; }
  asio::awaitable<bool> SendFatal(wire::ErrorFields error);

  SessionServices services_;
  asio::ip::tcp::socket socket_;
  CancelKey key_;
  CancelHandler on_cancel_;
  wire::Decoder decoder_;
  wire::Encoder encoder_;
  SessionRoute route_;
  wire::TransactionStatus status_ = wire::TransactionStatus::kIdle;
  std::map<std::string, PreparedStatement> statements_;
  std::map<std::string, Portal> portals_;
  /// Settings of the database that are applied on each connection used for this session.
  std::map<std::string, std::string> settings_;
  PendingBatch pending_;
  std::optional<wire::ErrorFields> pipeline_error_;
  std::string announced_token_;
  bool request_recorded_ = false;  // the request id was sent with a batch
  std::string last_request_id_;    // for SHOW valvekeel.request_outcome
  bool skip_until_sync_ = false;
  bool busy_ = false;
  bool sending_ = false;
  bool stopping_ = false;
  bool ended_ = false;  // the final error was sent and the sending side is closed
};

}  // namespace valvekeel::gateway
