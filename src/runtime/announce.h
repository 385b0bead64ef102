// Writes the addresses that a process has bound to a file.
//
// Invariant: the file appears complete or not at all. Thread-safe for different paths.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace valvekeel::runtime {

/// Writes the addresses as JSON for scripts that start processes with port 0.
/// @param path file to write; nothing is written if empty. @return false if it cannot be written.
bool AnnounceAddresses(const std::string& path, const nlohmann::json& addresses);

}  // namespace valvekeel::runtime
