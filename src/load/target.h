// Addresses of daemons as given on the command line.
//
// Owns: nothing. Invariant: none. Thread: any.
#pragma once

#include <optional>
#include <string>

#include "load/caller.h"

namespace valvekeel::load {

/// @param text "name=host:port". @return the target, or nothing if the text is not one.
std::optional<Target> ParseTarget(const std::string& text);

}  // namespace valvekeel::load
