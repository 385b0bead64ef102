// Startup of a session and the settings that valvekeel itself answers; the rest of the session is
// in session.cc.

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/position.h"
#include "common/sqlstate.h"
#include "common/text.h"
#include "gateway/session.h"
#include "gateway/session_parts.h"

namespace valvekeel::gateway {
namespace {

using asio::awaitable;
using common::IsOk;
using common::ValueOf;
using sql::Classification;
using sql::StatementKind;
using wire::ErrorFields;

constexpr std::string_view kTokenSetting = "valvekeel.session_token";
constexpr std::string_view kRequestIdSetting = "valvekeel.request_id";
constexpr std::string_view kRepeatableSetting = "valvekeel.repeatable";
constexpr std::string_view kDeadlineSetting = "valvekeel.deadline_ms";
constexpr std::string_view kStalenessSetting = "valvekeel.max_staleness_ms";
constexpr std::string_view kServerVersion = "15.0";
constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;
constexpr std::size_t kMaxRequestIdBytes = 200;

ErrorFields InvalidValue(std::string_view name, std::string_view value, std::string_view reason) {
  return MakeError(common::kInvalidParameter,
                   absl::StrCat("invalid value for parameter \"", common::ToAbsl(name), "\": \"",
                                common::ToAbsl(value), "\""),
                   std::string(reason));
}

bool ParseSwitch(const std::string& text, bool* value) {
  const bool on = text == "on" || text == "true" || text == "1" || text == "yes";
  const bool off = text == "off" || text == "false" || text == "0" || text == "no";
  *value = on;
  return on || off;
}

bool ParseMilliseconds(const std::string& text, common::Duration* duration) {
  std::int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds < 0 ||
      milliseconds > kMaxMilliseconds) {
    return false;
  }
  *duration = std::chrono::milliseconds(milliseconds);
  return true;
}

std::string TextRow(const std::string& column, const std::string& value, bool describe) {
  wire::Encoder encoder;
  if (describe) {
    wire::ColumnDescription description;
    description.name = column;
    description.type = kTextType;
    encoder.RowDescription({description});
  }
  encoder.DataRow({value});
  encoder.CommandComplete("SHOW");
  return encoder.Take();
}

/// @return true for startup parameters that identify the caller or that are not applied to shared
/// database connections.
bool IsConnectionParameter(const std::string& name) {
  return name == "user" || name == "database" || name == "options" || name == "replication" ||
         name == "application_name" || absl::StartsWith(name, "_pq_.");
}

}  // namespace

// --- Startup ----------------------------------------------------------------------------------

awaitable<bool> Session::Startup() {
  while (true) {
    auto next = decoder_.NextInitial();
    if (!IsOk(next)) {
      co_return co_await SendFatal(
          MakeError(common::kProtocolViolation, common::ErrorOf(next).reason));
    }
    if (!ValueOf(next)) {
      const bool received = co_await ReadMore();
      if (!received) {
        co_return false;
      }
      continue;
    }
    wire::InitialMessage& message = *ValueOf(next);
    if (std::holds_alternative<wire::EncryptionRequest>(message)) {
      encoder_.AppendMessages("N");
      const bool flushed = co_await Flush();
      if (!flushed) {
        co_return false;
      }
      continue;
    }
    if (const auto* cancel = std::get_if<wire::CancelRequest>(&message)) {
      on_cancel_({cancel->process_id, cancel->secret_key});
      co_return false;
    }
    co_return co_await Open(std::move(std::get<wire::StartupMessage>(message)));
  }
}

awaitable<bool> Session::Open(wire::StartupMessage message) {
  route_.share_group = message.parameters["user"];
  route_.database = message.parameters["database"];
  if (route_.database.empty()) {
    route_.database = route_.share_group;
  }
  if (services_.stopping) {
    co_return co_await SendFatal(MakeError(common::kAdminShutdown, std::string(kStoppingMessage)));
  }
  if (!services_.backends.View(route_.database)) {
    co_return co_await SendFatal(
        MakeError(common::kInvalidCatalogName,
                  absl::StrCat("database \"", route_.database, "\" is not declared")));
  }
  const auto group = services_.backends.ShareGroup(route_.share_group);
  const bool allowed = group && std::find(group->databases.begin(), group->databases.end(),
                                          route_.database) != group->databases.end();
  if (!allowed) {
    co_return co_await SendFatal(
        MakeError(common::kInsufficientPrivilege,
                  absl::StrCat("group \"", route_.share_group, "\" may not reach database \"",
                               route_.database, "\"")));
  }
  for (const auto& [name, value] : message.parameters) {
    const bool utf8 = name == "client_encoding" && absl::EqualsIgnoreCase(value, "UTF8");
    if (absl::StartsWith(name, kOwnPrefix)) {
      if (auto error = SetOwnSetting(name, value)) {
        co_return co_await SendFatal(std::move(*error));
      }
    } else if (!IsConnectionParameter(name) && !utf8) {
      settings_[name] = value;
    }
  }
  if (auto error = ApplyStartupOptions(message.parameters["options"])) {
    co_return co_await SendFatal(std::move(*error));
  }
  encoder_.AuthenticationOk();
  encoder_.ParameterStatus("server_version", kServerVersion);
  encoder_.ParameterStatus("server_encoding", "UTF8");
  encoder_.ParameterStatus("client_encoding", "UTF8");
  encoder_.ParameterStatus("DateStyle", "ISO, MDY");
  encoder_.ParameterStatus("TimeZone", "UTC");
  encoder_.ParameterStatus("integer_datetimes", "on");
  encoder_.ParameterStatus("standard_conforming_strings", "on");
  encoder_.BackendKeyData(key_.process_id, key_.secret_key);
  encoder_.ReadyForQuery(Status());
  co_return co_await Flush();
}

std::optional<ErrorFields> Session::ApplyStartupOptions(const std::string& options) {
  const std::vector<std::string> words = absl::StrSplit(options, ' ', absl::SkipEmpty());
  for (std::size_t i = 0; i < words.size(); ++i) {
    std::string assignment = words[i];
    if (assignment == "-c" && i + 1 < words.size()) {
      assignment = words[++i];
    } else if (absl::StartsWith(assignment, "-c") || absl::StartsWith(assignment, "--")) {
      assignment = assignment.substr(2);
    } else {
      return MakeError(common::kInvalidParameter,
                       absl::StrCat("startup option \"", assignment, "\" is not -c name=value"));
    }
    const std::vector<std::string> parts = absl::StrSplit(assignment, absl::MaxSplits('=', 1));
    if (parts.size() != 2) {
      return MakeError(common::kInvalidParameter,
                       absl::StrCat("startup option \"", assignment, "\" is not name=value"));
    }
    if (absl::StartsWith(parts[0], kOwnPrefix)) {
      if (auto error = SetOwnSetting(parts[0], parts[1])) {
        return error;
      }
    } else {
      settings_[parts[0]] = parts[1];
    }
  }
  return std::nullopt;
}

// --- Own settings -----------------------------------------------------------------------------

std::optional<ErrorFields> Session::SetOwnSetting(const std::string& name,
                                                  const std::string& value) {
  if (name == kTokenSetting) {
    if (value.empty()) {
      return std::nullopt;
    }
    const auto token = common::ParseToken(value);
    if (!IsOk(token)) {
      return InvalidValue(name, value, common::ErrorOf(token).reason);
    }
    if (ValueOf(token).database != route_.database) {
      return InvalidValue(name, value, "the token is of another database");
    }
    route_.required = std::max(route_.required, ValueOf(token).position);
    route_.barrier_needed = false;
    return std::nullopt;
  }
  if (name == kRequestIdSetting) {
    if (value.size() > kMaxRequestIdBytes) {
      return InvalidValue(name, value, "longer than 200 bytes");
    }
    route_.request_id = value;
    return std::nullopt;
  }
  if (name == kRepeatableSetting) {
    if (!ParseSwitch(value, &route_.repeatable)) {
      return InvalidValue(name, value, "neither on nor off");
    }
    return std::nullopt;
  }
  if (name == kDeadlineSetting) {
    if (!ParseMilliseconds(value, &route_.budget) || route_.budget.count() == 0) {
      return InvalidValue(name, value, "not a number of milliseconds from 1 to one day");
    }
    return std::nullopt;
  }
  if (name == kStalenessSetting) {
    if (!ParseMilliseconds(value, &route_.max_staleness)) {
      return InvalidValue(name, value, "not a number of milliseconds from 0 to one day");
    }
    return std::nullopt;
  }
  return MakeError(common::kUndefinedObject,
                   absl::StrCat("unrecognized configuration parameter \"", name, "\""));
}

std::string Session::ShowOwnSetting(const std::string& name) const {
  if (name == kTokenSetting) {
    return common::FormatToken({route_.database, route_.required});
  }
  if (name == kRequestIdSetting) {
    return route_.request_id;
  }
  if (name == kRepeatableSetting) {
    return route_.repeatable ? "on" : "off";
  }
  const common::Duration duration = name == kDeadlineSetting ? route_.budget : route_.max_staleness;
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// Answers statements about valvekeel's own settings.
/// @return the encoded answer, or nothing for other statements and if *error is set.
std::optional<std::string> Session::AnswerLocally(const Classification& statement, bool describe,
                                                  std::optional<ErrorFields>* error) {
  if (statement.kind == StatementKind::kUnsupported) {
    *error = MakeError(common::kFeatureNotSupported,
                       absl::StrCat(statement.name, " is not supported through valvekeel"));
    return std::nullopt;
  }
  const bool own = absl::StartsWith(statement.name, kOwnPrefix);
  if (!own || statement.name == kOutcomeSetting) {
    return std::nullopt;
  }
  if (statement.kind == StatementKind::kSet) {
    *error = SetOwnSetting(statement.name, statement.value);
    return *error ? std::nullopt : std::optional<std::string>(Completed("SET"));
  }
  if (statement.kind == StatementKind::kShow) {
    const bool known = statement.name == kTokenSetting || statement.name == kRequestIdSetting ||
                       statement.name == kRepeatableSetting || statement.name == kDeadlineSetting ||
                       statement.name == kStalenessSetting;
    if (!known) {
      *error = SetOwnSetting(statement.name, "");
      return std::nullopt;
    }
    return TextRow(statement.name, ShowOwnSetting(statement.name), describe);
  }
  if (statement.kind == StatementKind::kReset) {
    route_.request_id = statement.name == kRequestIdSetting ? "" : route_.request_id;
    route_.repeatable = statement.name == kRepeatableSetting ? false : route_.repeatable;
    route_.budget =
        statement.name == kDeadlineSetting ? services_.settings.default_deadline : route_.budget;
    route_.max_staleness =
        statement.name == kStalenessSetting ? common::Duration{0} : route_.max_staleness;
    return Completed("RESET");
  }
  return std::nullopt;
}

void Session::AnnounceToken() {
  std::string token = common::FormatToken({route_.database, route_.required});
  if (token != announced_token_) {
    encoder_.ParameterStatus(kTokenSetting, token);
    announced_token_ = std::move(token);
  }
}

}  // namespace valvekeel::gateway
