// Typed messages of the PostgreSQL frontend/backend protocol, version 3.
//
// Owns: the message types that a server receives. Invariant: a value of these types has passed all
// length checks of the decoder. Thread: any (values only).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace valvekeel::wire {

/// Text (0) or binary (1) form of a value.
using FormatCode = std::int16_t;
inline constexpr FormatCode kTextFormat = 0;
inline constexpr FormatCode kBinaryFormat = 1;

/// Type number from PostgreSQL's catalogue.
using TypeId = std::uint32_t;

/// A value on the wire; no value is SQL NULL.
using WireValue = std::optional<std::string>;

/// First message of a session.
struct StartupMessage {
  std::map<std::string, std::string> parameters;
};

/// Request for an encrypted connection (TLS or GSSAPI).
struct EncryptionRequest {};

/// Request, on a connection of its own, to cancel another session's statement.
struct CancelRequest {
  std::uint32_t process_id = 0;
  std::uint32_t secret_key = 0;
};

struct QueryMessage {
  std::string text;
};

struct ParseMessage {
  std::string statement;
  std::string text;
  std::vector<TypeId> parameter_types;
};

struct BindMessage {
  std::string portal;
  std::string statement;
  std::vector<FormatCode> parameter_formats;
  std::vector<WireValue> parameters;
  std::vector<FormatCode> result_formats;
};

/// What Describe and Close name.
enum class ObjectKind : char { kStatement = 'S', kPortal = 'P' };

struct DescribeMessage {
  ObjectKind kind = ObjectKind::kStatement;
  std::string name;
};

struct ExecuteMessage {
  std::string portal;
  std::int32_t maximum_rows = 0;
};

struct CloseMessage {
  ObjectKind kind = ObjectKind::kStatement;
  std::string name;
};

struct SyncMessage {};
struct FlushMessage {};
struct TerminateMessage {};

/// A message that is well formed but that valvekeel does not serve (COPY, function call, password).
struct UnsupportedMessage {
  char type = 0;
};

/// First message on a connection.
using InitialMessage = std::variant<StartupMessage, EncryptionRequest, CancelRequest>;

/// Any later message of a caller.
using FrontendMessage =
    std::variant<QueryMessage, ParseMessage, BindMessage, DescribeMessage, ExecuteMessage,
                 CloseMessage, SyncMessage, FlushMessage, TerminateMessage, UnsupportedMessage>;

/// A column of a result.
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

/// State that ReadyForQuery reports.
enum class TransactionStatus : char { kIdle = 'I', kInTransaction = 'T', kFailed = 'E' };

}  // namespace valvekeel::wire
