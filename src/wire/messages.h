// Typed messages of the PostgreSQL frontend/backend protocol, version 3.
//
// Values only, without I/O. Invariant: a message returned by the decoder has passed all of the
// decoder's length checks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace valvekeel::wire {

/// Encoding of a value: text (0) or binary (1).
using FormatCode = std::int16_t;
inline constexpr FormatCode kTextFormat = 0;
inline constexpr FormatCode kBinaryFormat = 1;

/// Object identifier of a type in PostgreSQL's catalog.
using TypeId = std::uint32_t;

/// A value as sent on the wire; nullopt is SQL NULL.
using WireValue = std::optional<std::string>;

/// First message of a session, with parameters such as user and database.
struct StartupMessage {
  std::map<std::string, std::string> parameters;
};

/// Request for an encrypted connection (TLS or GSSAPI).
struct EncryptionRequest {};

/// Request to cancel the statement of another session; it is sent on a connection of its own.
struct CancelRequest {
  std::uint32_t process_id = 0;
  std::uint32_t secret_key = 0;
};

/// Simple query; the text may hold several statements.
struct QueryMessage {
  std::string text;
};

/// Prepares a statement; an empty statement name is the unnamed statement.
struct ParseMessage {
  std::string statement;
  std::string text;
  std::vector<TypeId> parameter_types;
};

/// Creates a portal from a prepared statement and its parameters.
struct BindMessage {
  std::string portal;
  std::string statement;
  std::vector<FormatCode> parameter_formats;
  std::vector<WireValue> parameters;
  std::vector<FormatCode> result_formats;
};

/// Kind of object that a Describe or Close message refers to.
enum class ObjectKind : char { kStatement = 'S', kPortal = 'P' };

/// Requests the description of a prepared statement or portal.
struct DescribeMessage {
  ObjectKind kind = ObjectKind::kStatement;
  std::string name;
};

/// Executes a portal.
struct ExecuteMessage {
  std::string portal;
  std::int32_t maximum_rows = 0;  // 0 is no limit
};

/// Closes a prepared statement or portal.
struct CloseMessage {
  ObjectKind kind = ObjectKind::kStatement;
  std::string name;
};

struct SyncMessage {};
struct FlushMessage {};
struct TerminateMessage {};

/// A message of a type that valvekeel does not support (COPY, function call, password).
struct UnsupportedMessage {
  char type = 0;
};

/// Any first message of a connection.
using InitialMessage = std::variant<StartupMessage, EncryptionRequest, CancelRequest>;

/// Any later message from a caller.
using FrontendMessage =
    std::variant<QueryMessage, ParseMessage, BindMessage, DescribeMessage, ExecuteMessage,
                 CloseMessage, SyncMessage, FlushMessage, TerminateMessage, UnsupportedMessage>;

/// A column of a result, as a RowDescription message describes it.
struct ColumnDescription {
  std::string name;
  std::uint32_t table = 0;
  std::int16_t attribute = 0;
  TypeId type = 0;
  std::int16_t type_size = -1;
  std::int32_t type_modifier = -1;
  FormatCode format = kTextFormat;
};

/// Fields of an ErrorResponse.
struct ErrorFields {
  std::string sqlstate;
  std::string message;
  std::string detail;
  std::string severity = "ERROR";
};

/// Transaction status in a ReadyForQuery message.
enum class TransactionStatus : char { kIdle = 'I', kInTransaction = 'T', kFailed = 'E' };

}  // namespace valvekeel::wire
