// Constants and helpers shared by session.cc and session_settings.cc.
//
// No state; usable from any thread.
#pragma once

#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <utility>

#include "wire/encoder.h"
#include "wire/messages.h"

namespace valvekeel::gateway {

/// Prefix of the settings that valvekeel itself answers.
inline constexpr absl::string_view kOwnPrefix = "valvekeel.";

/// SHOW of this setting asks the database whether the last request id was recorded.
inline constexpr std::string_view kOutcomeSetting = "valvekeel.request_outcome";

/// Text of the last error sent to a session at a planned stop of the daemon.
inline constexpr std::string_view kStoppingMessage = "this proxy is stopping; connect to another";

/// OID of PostgreSQL's type text.
inline constexpr wire::TypeId kTextType = 25;

/// @return an error that leaves the session open.
inline wire::ErrorFields MakeError(std::string_view sqlstate, std::string message,
                                   std::string detail = "") {
  return {std::string(sqlstate), std::move(message), std::move(detail), "ERROR"};
}

/// @return an encoded CommandComplete message, the answer of a statement without rows.
inline std::string Completed(std::string_view tag) {
  wire::Encoder encoder;
  encoder.CommandComplete(tag);
  return encoder.Take();
}

}  // namespace valvekeel::gateway
