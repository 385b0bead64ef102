// Announces the addresses that a process has bound.
//
// Owns: nothing. Invariant: the file appears whole or not at all. Thread: any.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace valvekeel::runtime {

/// Writes the addresses as JSON for scripts that start processes with port 0.
/// @param path file to write; nothing is written if empty. @return false if it cannot be written.
bool AnnounceAddresses(const std::string& path, const nlohmann::json& addresses);

}  // namespace valvekeel::runtime
