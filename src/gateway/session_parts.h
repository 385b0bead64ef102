// Shared by the parts of a session: session.cc and session_settings.cc.
//
// Owns: nothing. Invariant: none. Thread: any.
#pragma once

#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <utility>

#include "wire/encoder.h"
#include "wire/messages.h"

namespace valvekeel::gateway {

/// Settings that begin so are valvekeel's own.
inline constexpr absl::string_view kOwnPrefix = "valvekeel.";

/// Tells, by SHOW, whether the last request id was recorded; the database is asked.
inline constexpr std::string_view kOutcomeSetting = "valvekeel.request_outcome";

/// Last message to a caller's session when the daemon stops.
inline constexpr std::string_view kStoppingMessage = "this proxy is stopping; connect to another";

/// Type number of PostgreSQL's text.
inline constexpr wire::TypeId kTextType = 25;

/// @return an error that leaves the session open.
inline wire::ErrorFields MakeError(std::string_view sqlstate, std::string message,
                                   std::string detail = "") {
  return {std::string(sqlstate), std::move(message), std::move(detail), "ERROR"};
}

/// @return the bytes that end a statement without rows.
inline std::string Completed(std::string_view tag) {
  wire::Encoder encoder;
  encoder.CommandComplete(tag);
  return encoder.Take();
}

}  // namespace valvekeel::gateway
