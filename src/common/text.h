// Bridge between the standard library's and Abseil's string views.
//
// Owns: nothing. Invariant: none. Debian builds Abseil with a string_view type of its own. Thread:
// any.
#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace valvekeel::common {

/// @return the same characters as Abseil's view.
inline absl::string_view ToAbsl(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace valvekeel::common
