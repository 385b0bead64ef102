#include "wire/decoder.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace valvekeel::wire {
namespace {

using common::ErrorOf;
using common::IsOk;
using common::Result;
using common::ValueOf;

// Codes in the first message of a connection, as the PostgreSQL protocol defines them.
constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssRequestCode = 80877104;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTypeBytes = 1;
// PostgreSQL's own limit on the startup message (MAX_STARTUP_PACKET_LENGTH).
constexpr std::size_t kMaximumStartupBytes = 10000;
constexpr std::size_t kCompactThreshold = 65536;  // decoded bytes that are kept before erasing them

std::uint32_t ReadBigEndian32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

/// Reads the fields of one message body; after a failed read every later read fails too.
class FieldReader {
 public:
  explicit FieldReader(std::string_view body) : rest_(body) {}

  std::uint32_t Int32() {
    if (!Require(kLengthBytes)) {
      return 0;
    }
    const std::uint32_t value = ReadBigEndian32(rest_);
    rest_.remove_prefix(kLengthBytes);
    return value;
  }

  std::uint16_t Int16() {
    if (!Require(2)) {
      return 0;
    }
    const auto high = static_cast<unsigned char>(rest_[0]);
    const auto low = static_cast<unsigned char>(rest_[1]);
    rest_.remove_prefix(2);
    return static_cast<std::uint16_t>((high << 8U) | low);
  }

  char Byte() {
    if (!Require(1)) {
      return 0;
    }
    const char value = rest_[0];
    rest_.remove_prefix(1);
    return value;
  }

  std::string CString() {
    const std::size_t end = rest_.find('\0');
    if (failed_ || end == std::string_view::npos) {
      failed_ = true;
      return {};
    }
    std::string value(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    return value;
  }

  /// Reads a length and as many bytes; length -1 is SQL NULL.
  WireValue Value() {
    const auto length = static_cast<std::int32_t>(Int32());
    if (failed_ || length == -1) {
      return std::nullopt;
    }
    if (length < 0 || !Require(static_cast<std::size_t>(length))) {
      failed_ = true;
      return std::nullopt;
    }
    std::string value(rest_.substr(0, static_cast<std::size_t>(length)));
    rest_.remove_prefix(static_cast<std::size_t>(length));
    return value;
  }

  /// Reads the number of elements that follow. Fails if the rest of the body is too short for them,
  /// given the minimum size of one element in bytes.
  std::size_t Count(std::size_t element_bytes) {
    const std::size_t count = Int16();
    if (count * element_bytes > rest_.size()) {
      failed_ = true;
      return 0;
    }
    return count;
  }

  bool Failed() const { return failed_; }
  /// @return true if every read succeeded and no byte of the body is left.
  bool Complete() const { return !failed_ && rest_.empty(); }

 private:
  bool Require(std::size_t bytes) {
    if (failed_ || rest_.size() < bytes) {
      failed_ = true;
    }
    return !failed_;
  }

  std::string_view rest_;
  bool failed_ = false;
};

std::vector<FormatCode> ReadFormats(FieldReader& reader) {
  std::vector<FormatCode> formats;
  const std::size_t count = reader.Count(sizeof(FormatCode));
  for (std::size_t i = 0; i < count; ++i) {
    formats.push_back(static_cast<FormatCode>(reader.Int16()));
  }
  return formats;
}

FrontendMessage ReadParse(FieldReader& reader) {
  ParseMessage message;
  message.statement = reader.CString();
  message.text = reader.CString();
  const std::size_t count = reader.Count(sizeof(TypeId));
  for (std::size_t i = 0; i < count; ++i) {
    message.parameter_types.push_back(reader.Int32());
  }
  return message;
}

FrontendMessage ReadBind(FieldReader& reader) {
  BindMessage message;
  message.portal = reader.CString();
  message.statement = reader.CString();
  message.parameter_formats = ReadFormats(reader);
  const std::size_t count = reader.Count(kLengthBytes);
  for (std::size_t i = 0; i < count; ++i) {
    message.parameters.push_back(reader.Value());
  }
  message.result_formats = ReadFormats(reader);
  return message;
}

/// Reads the body of Describe or Close; `valid` becomes false if the kind of object is unknown.
template <typename Message>
FrontendMessage ReadObjectName(FieldReader& reader, bool* valid) {
  Message message;
  const char kind = reader.Byte();
  *valid = kind == static_cast<char>(ObjectKind::kStatement) ||
           kind == static_cast<char>(ObjectKind::kPortal);
  message.kind = static_cast<ObjectKind>(kind);
  message.name = reader.CString();
  return message;
}

Result<FrontendMessage, ProtocolError> DecodeBody(char type, std::string_view body) {
  FieldReader reader(body);
  FrontendMessage message = SyncMessage{};
  bool valid = true;
  switch (type) {
    case 'Q':
      message = QueryMessage{reader.CString()};
      break;
    case 'P':
      message = ReadParse(reader);
      break;
    case 'B':
      message = ReadBind(reader);
      break;
    case 'D':
      message = ReadObjectName<DescribeMessage>(reader, &valid);
      break;
    case 'C':
      message = ReadObjectName<CloseMessage>(reader, &valid);
      break;
    case 'E': {
      ExecuteMessage execute;
      execute.portal = reader.CString();
      execute.maximum_rows = static_cast<std::int32_t>(reader.Int32());
      message = std::move(execute);
      break;
    }
    case 'S':
      message = SyncMessage{};
      break;
    case 'H':
      message = FlushMessage{};
      break;
    case 'X':
      message = TerminateMessage{};
      break;
    case 'F':  // function call
    case 'd':  // copy data
    case 'c':  // copy done
    case 'f':  // copy fail
    case 'p':  // password
      return FrontendMessage{UnsupportedMessage{type}};
    default:
      return ProtocolError{absl::StrCat("unknown message type ", static_cast<int>(type))};
  }
  if (!valid || !reader.Complete()) {
    return ProtocolError{absl::StrCat("malformed message of type ", std::string(1, type))};
  }
  return message;
}

Result<InitialMessage, ProtocolError> DecodeStartup(FieldReader& reader) {
  StartupMessage message;
  while (true) {
    std::string name = reader.CString();
    if (reader.Failed()) {
      return ProtocolError{"malformed startup message"};
    }
    if (name.empty()) {
      break;
    }
    std::string value = reader.CString();
    message.parameters[std::move(name)] = std::move(value);
  }
  if (!reader.Complete()) {
    return ProtocolError{"malformed startup message"};
  }
  return InitialMessage{std::move(message)};
}

Result<InitialMessage, ProtocolError> DecodeInitialBody(std::string_view body) {
  FieldReader reader(body);
  const std::uint32_t code = reader.Int32();
  switch (code) {
    case kSslRequestCode:
    case kGssRequestCode:
      return InitialMessage{EncryptionRequest{}};
    case kCancelRequestCode: {
      CancelRequest cancel;
      cancel.process_id = reader.Int32();
      cancel.secret_key = reader.Int32();
      if (!reader.Complete()) {
        return ProtocolError{"malformed cancel request"};
      }
      return InitialMessage{cancel};
    }
    case kProtocolVersion3:
      return DecodeStartup(reader);
    default:
      return ProtocolError{absl::StrCat("unsupported protocol version ", code)};
  }
}

}  // namespace

void Decoder::Feed(std::string_view bytes) { buffer_.append(bytes); }

void Decoder::Consume(std::size_t bytes) {
  consumed_ += bytes;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  } else if (consumed_ > kCompactThreshold) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
}

Result<std::optional<InitialMessage>, ProtocolError> Decoder::NextInitial() {
  const std::string_view pending = Pending();
  if (pending.size() < kLengthBytes) {
    return std::optional<InitialMessage>{};
  }
  const std::size_t length = ReadBigEndian32(pending);
  if (length < 2 * kLengthBytes || length > kMaximumStartupBytes) {
    return ProtocolError{absl::StrCat("invalid length ", length, " of the startup message")};
  }
  if (pending.size() < length) {
    return std::optional<InitialMessage>{};
  }
  auto decoded = DecodeInitialBody(pending.substr(kLengthBytes, length - kLengthBytes));
  Consume(length);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  return std::optional<InitialMessage>{std::move(ValueOf(decoded))};
}

Result<std::optional<FrontendMessage>, ProtocolError> Decoder::Next() {
  const std::string_view pending = Pending();
  if (pending.size() < kTypeBytes + kLengthBytes) {
    return std::optional<FrontendMessage>{};
  }
  const std::size_t length = ReadBigEndian32(pending.substr(kTypeBytes));
  if (length < kLengthBytes || length > maximum_message_bytes_) {
    return ProtocolError{
        absl::StrCat("message length ", length, " is outside 4..", maximum_message_bytes_)};
  }
  if (pending.size() < kTypeBytes + length) {
    return std::optional<FrontendMessage>{};
  }
  const std::string_view body = pending.substr(kTypeBytes + kLengthBytes, length - kLengthBytes);
  auto decoded = DecodeBody(pending[0], body);
  Consume(kTypeBytes + length);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  return std::optional<FrontendMessage>{std::move(ValueOf(decoded))};
}

}  // namespace valvekeel::wire
